"""Says which unsettled orders of earlier holders are over.

An order of an earlier holder may be in flight, or its holder may be paused just
before sending it. It is over when the engine refuses it from now on, or when its
holder is gone and everything that it sent has arrived or never will.
"""

from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from _pistachiopond.decisions.memory import Report
from _pistachiopond.schema.records import Intent

IN_FLIGHT_LIMIT_S: Final = 120.0


class ForeignInput(NamedTuple):
    """What the decision depends on.

    Attributes
    ----------
    me : str
        This incarnation.
    epoch : int
        The claim that it holds.
    acquired_s : float
        Since when.
    checks_fencing : frozenset of str
        Servers whose engines refuse old fencing numbers, as the manifest says.
    gone_since_s : mapping of str to float
        Incarnations that are known to be gone, and since when that is known.
    """

    me: str
    epoch: int
    acquired_s: float
    checks_fencing: frozenset[str]
    gone_since_s: Mapping[str, float]


class ForeignDecision(NamedTuple):
    """What to do about earlier holders' orders.

    Attributes
    ----------
    settled : tuple of Intent
        Those that are over.
    to_fence : tuple of str
        Servers to which this epoch's fencing number should be shown.
    """

    settled: tuple[Intent, ...]
    to_fence: tuple[str, ...]


def judge_foreign(
    intents: Iterable[Intent],
    reports: Mapping[str, Report],
    facts: ForeignInput,
    now_s: float,
) -> ForeignDecision:
    """Sort the orders of other incarnations into those that are over and the rest.

    Parameters
    ----------
    intents : iterable of Intent
        Everything unsettled in the shard.
    reports : mapping of str to Report
        The engines' newest reports.
    facts : ForeignInput
        As of now.
    now_s : float
        By this daemon's clock.
    """
    settled: list[Intent] = []
    to_fence: list[str] = []
    for intent in intents:
        if intent.holder == facts.me:
            continue
        if _is_fenced_off(intent, reports, facts) or _is_gone(intent, facts, now_s):
            settled.append(intent)
        elif _can_fence(intent.order.server, reports, facts):
            to_fence.append(intent.order.server)
    return ForeignDecision(tuple(settled), tuple(sorted(set(to_fence))))


def _can_fence(server: str, reports: Mapping[str, Report], facts: ForeignInput) -> bool:
    report = reports.get(server)
    return (
        server in facts.checks_fencing
        and report is not None
        and report.state.checks_fencing
    )


def _is_fenced_off(
    intent: Intent, reports: Mapping[str, Report], facts: ForeignInput
) -> bool:
    server = intent.order.server
    if not _can_fence(server, reports, facts):
        return False
    report = reports[server]
    return (
        report.asked_s >= facts.acquired_s
        and report.state.highest_fencing_number >= facts.epoch
    )


def _is_gone(intent: Intent, facts: ForeignInput, now_s: float) -> bool:
    since_s = facts.gone_since_s.get(intent.holder)
    return since_s is not None and now_s >= since_s + IN_FLIGHT_LIMIT_S
