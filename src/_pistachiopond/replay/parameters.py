"""Parameters of the fake engines and of the network, in one place."""

from typing import NamedTuple


class EngineParameters(NamedTuple):
    """How fast a fake engine works.

    Attributes
    ----------
    gap_base_s, gap_per_sequence_s : float
        Time between tokens is ``base + per_sequence * running``.
    prefill_tokens_per_s : float
        Prompt tokens computed one prompt after the other.
    prefill_slowdown : float
        Factor on the time between tokens while a prompt is computed.
    max_running : int
        More requests than this wait in the engine.
    cache_blocks : int
        Prompt blocks that the prefix cache holds.
    """

    gap_base_s: float = 0.012
    gap_per_sequence_s: float = 0.00035
    prefill_tokens_per_s: float = 12_000.0
    prefill_slowdown: float = 1.3
    max_running: int = 96
    cache_blocks: int = 6_000


class NetworkParameters(NamedTuple):
    """Delays and gaps between the parts.

    Attributes
    ----------
    same_data_centre_s, same_region_s, other_region_s : float
        One way from entry daemon to backend server.
    report_lag_s : float
        Age of an engine's load report when a view is made.
    view_period_s : float
        Time from one view to the next.
    cache_event_loss : float
        Share of cache events that never come.
    cache_events_per_view : int
        The latest events that a view carries for each server.
    load_s_per_gb, loads_per_s, full_speed_loads : float
        The weight store: time of one load at full speed, starts per second, and
        loads in flight before each slows down.
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
