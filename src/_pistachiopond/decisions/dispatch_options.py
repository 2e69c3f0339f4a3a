"""Options of the dispatcher.

Replay disables single mechanisms to measure what each of them contributes.
"""

from typing import Literal, NamedTuple

from _pistachiopond.decisions.routing import Place


class DispatchOptions(NamedTuple):
    """How one entry daemon dispatches.

    Attributes
    ----------
    daemon : str
        Unique in the fleet, such as the daemon's address. It is hashed to choose the
        daemon's subset of servers, so that the daemons spread over all servers.
    place : Place
        The data centre and region of the daemon.
    hold_s : float
        How long a request waits while no server that can run it is reachable.
    max_waiting : int
        The largest number of queued requests; further ones are refused.
    fair_queueing, urgency_classes, adaptive_windows, ejection : bool
        False disables the mechanism.
    prefix_affinity, local_first, aged_reports, bounded_subset : bool
        False disables the mechanism.
    routing : {"cost", "least_load", "round_robin"}
        The policy that chooses a server. The latter two are baselines for
        comparison.
    late : {"serve", "last", "refuse"}
        What happens to an urgent or normal request that has missed its first-token
        target while still queued: it keeps its position, is queued again in the
        batch class, or is refused.
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
