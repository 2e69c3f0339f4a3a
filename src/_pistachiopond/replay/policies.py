"""The policies that a replay compares: baselines, ours, and ours without a part."""

from typing import Any, Final, Literal, NamedTuple


class Policy(NamedTuple):
    """How the fleet decides in one replay.

    Attributes
    ----------
    name : str
        As named on the command line.
    changes : dict
        Fields of `DispatchOptions` that differ from the default.
    placement : {"planned", "static"}
        Static keeps the first placement.
    is_central : bool
        One queue with full knowledge in place of the dispatchers.
    """

    name: str
    changes: dict[str, Any]
    placement: Literal["planned", "static"] = "planned"
    is_central: bool = False


_PLAIN: Final[dict[str, Any]] = {
    "fair_queueing": False,
    "urgency_classes": False,
    "adaptive_windows": False,
    "ejection": False,
    "prefix_affinity": False,
    "local_first": False,
    "aged_reports": False,
    "bounded_subset": False,
}
BASELINES: Final = (
    Policy("round_robin", {**_PLAIN, "routing": "round_robin"}, "static"),
    Policy("least_load", {**_PLAIN, "routing": "least_load"}, "static"),
    Policy("least_load_planned", {**_PLAIN, "routing": "least_load"}),
)
OURS: Final = Policy("ours", {})
UPPER_BOUND: Final = Policy("central", {}, is_central=True)
ABLATIONS: Final = (
    Policy("without_fair_queueing", {"fair_queueing": False}),
    Policy("without_classes", {"urgency_classes": False}),
    Policy("without_windows", {"adaptive_windows": False}),
    Policy("without_ejection", {"ejection": False}),
    Policy("without_affinity", {"prefix_affinity": False}),
    Policy("without_local_first", {"local_first": False}),
    Policy("without_aged_reports", {"aged_reports": False}),
    Policy("without_subset", {"bounded_subset": False}),
    Policy("without_placement", {}, "static"),
)
TRIALS: Final = (
    Policy("late_served", {"late": "serve"}),
    Policy("late_refused", {"late": "refuse"}),
)
POLICIES: Final = {
    policy.name: policy
    for policy in (*BASELINES, OURS, UPPER_BOUND, *ABLATIONS, *TRIALS)
}
