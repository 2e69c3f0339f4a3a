"""Scenarios: the faults that are injected into a replay, and when."""

from typing import Final, Literal, NamedTuple

FaultKind = Literal[
    "server_loss",
    "slow_server",
    "failing_server",
    "vm_loss",
    "data_centre_loss",
    "log_outage",
    "region_cut",
    "stale_reports",
]


class Fault(NamedTuple):
    """One fault.

    Attributes
    ----------
    kind : str
        What fails.
    at_s, duration_s : float
        When it begins and how long it lasts.
    share : float
        The share of servers or VMs that fails; at least one fails.
    """

    kind: FaultKind
    at_s: float
    duration_s: float
    share: float = 0.1


Scenario = tuple[Fault, ...]
FAULT_KINDS: Final[tuple[FaultKind, ...]] = (
    "server_loss",
    "slow_server",
    "failing_server",
    "vm_loss",
    "data_centre_loss",
    "log_outage",
    "region_cut",
    "stale_reports",
)


def make_scenario(name: str, length_s: float) -> Scenario:
    """Return the faults of a scenario for a trace of that length.

    Parameters
    ----------
    name : str
        ``calm``, one kind of fault, or several joined by ``+``.
    length_s : float
        Each fault begins at a quarter of it and lasts a quarter.
    """
    if name == "calm":
        return ()
    kinds = name.split("+")
    unknown = [kind for kind in kinds if kind not in FAULT_KINDS]
    if unknown:
        raise ValueError(f"unknown fault {unknown[0]!r}; choose from {FAULT_KINDS}")
    return tuple(
        Fault(kind, length_s / 4, length_s / 4)  # type: ignore[arg-type]
        for kind in kinds
    )
