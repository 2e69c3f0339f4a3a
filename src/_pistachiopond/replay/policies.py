"""The policies that a replay compares.

They are simple baselines, the project's own policy, the same without one of its
features or with another treatment of late requests, and the upper bound.
"""

from typing import Any, Final, Literal, NamedTuple


class Policy(NamedTuple):
    """How requests are dispatched and models placed in one replay.

    Attributes
    ----------
    name : str
        As given on the command line.
    option_overrides : dict
        Fields of `DispatchOptions` that differ from the default.
    placement : {"planned", "static"}
        ``static`` keeps the initial placement.
    is_central : bool
        Whether one queue with full knowledge replaces the dispatchers.
    """

    name: str
    option_overrides: dict[str, Any]
    placement: Literal["planned", "static"] = "planned"
    is_central: bool = False


_ALL_FEATURES_OFF: Final[dict[str, Any]] = {
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
    Policy("round_robin", {**_ALL_FEATURES_OFF, "routing": "round_robin"}, "static"),
    Policy("least_load", {**_ALL_FEATURES_OFF, "routing": "least_load"}, "static"),
    Policy("least_load_planned", {**_ALL_FEATURES_OFF, "routing": "least_load"}),
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
# Alternatives for requests whose first token is late already while they wait.
LATE_VARIANTS: Final = (
    Policy("late_served", {"late": "serve"}),
    Policy("late_refused", {"late": "refuse"}),
)
POLICIES: Final = {
    policy.name: policy
    for policy in (*BASELINES, OURS, UPPER_BOUND, *ABLATIONS, *LATE_VARIANTS)
}
