"""Options of the dispatcher; replay switches parts off to see what each earns."""

from typing import Literal, NamedTuple

from _pistachiopond.decisions.routing import Place


class DispatchOptions(NamedTuple):
    """How one entry daemon dispatches.

    Attributes
    ----------
    daemon : str
        Unique in the fleet, such as its address; spreads the subsets.
    place : Place
        Where the daemon stands.
    hold_s : float
        How long a request waits while no replica can be reached.
    max_waiting : int
        More requests than this are refused.
    fair_queueing, urgency_classes, adaptive_windows, ejection : bool
        False leaves the part out.
    prefix_affinity, local_first, aged_reports, bounded_subset : bool
        False leaves the part out.
    routing : {"cost", "least_load", "round_robin"}
        The two latter are baselines.
    late : {"serve", "last", "refuse"}
        What happens to an urgent or normal request whose first token is late
        already while it waits.
    """

    daemon: str
    place: Place
    hold_s: float = 30.0
    max_waiting: int = 5_000
    fair_queueing: bool = True
    urgency_classes: bool = True
    adaptive_windows: bool = True
    ejection: bool = True
    prefix_affinity: bool = True
    local_first: bool = True
    aged_reports: bool = True
    bounded_subset: bool = True
    routing: Literal["cost", "least_load", "round_robin"] = "cost"
    late: Literal["serve", "last", "refuse"] = "last"
