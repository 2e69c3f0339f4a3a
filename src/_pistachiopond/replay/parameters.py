"""Parameters of the simulated engines, network, control views and weight store."""

from typing import NamedTuple


class EngineParameters(NamedTuple):
    """Speed and capacity of a fake engine.

    Attributes
    ----------
    gap_base_s, gap_per_sequence_s : float
        The time between two tokens of a sequence is
        ``gap_base_s + gap_per_sequence_s * running``.
    prefill_tokens_per_s : float
        Prompt tokens computed per second; one prompt is computed at a time.
    prefill_slowdown : float
        Factor on the time between tokens while a prompt is computed.
    max_running : int
        Largest number of sequences in the batch; further requests wait.
    cache_blocks : int
        Capacity of the prefix cache, in prompt blocks.
    """

    gap_base_s: float = 0.012
    gap_per_sequence_s: float = 0.00035
    prefill_tokens_per_s: float = 12_000.0
    prefill_slowdown: float = 1.3
    max_running: int = 96
    cache_blocks: int = 6_000


class NetworkParameters(NamedTuple):
    """Network delays, properties of the routing views, and weight store limits.

    Attributes
    ----------
    same_data_centre_s, same_region_s, other_region_s : float
        One-way delay between entry daemon and backend server.
    report_lag_s : float
        Minimum age of an engine's load report in a view, if it has one that old.
    view_period_s : float
        Time from one view to the next.
    cache_event_loss : float
        Share of the engines' cache events that are lost.
    cache_events_per_view : int
        Number of latest cache events per server that a view contains.
    load_s_per_gb : float
        Time that a load from the weight store takes per GB at full speed.
    loads_per_s : float
        Loads that the weight store starts per second.
    full_speed_loads : int
        Loads in progress above which each one slows down.
    """

    same_data_centre_s: float = 0.0003
    same_region_s: float = 0.001
    other_region_s: float = 0.015
    report_lag_s: float = 1.0
    view_period_s: float = 1.0
    cache_event_loss: float = 0.2
    cache_events_per_view: int = 50
    load_s_per_gb: float = 0.5
    loads_per_s: float = 2.0
    full_speed_loads: int = 8


class Parameters(NamedTuple):
    """All parameters of a replay."""

    engine: EngineParameters = EngineParameters()
    network: NetworkParameters = NetworkParameters()
