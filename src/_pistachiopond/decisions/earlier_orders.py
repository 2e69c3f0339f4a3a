"""Decides which unsettled orders of earlier holders can no longer take effect.

An order of an earlier holder may be in flight, or its holder may be paused just
before sending it. It can be settled when the engine rejects it by its fencing number,
or when its holder is gone and every message that it sent has arrived or been lost.
"""

from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from _pistachiopond.decisions.memory import EngineReport
from _pistachiopond.schema.records import Intent

# A message is assumed to have arrived or been lost this long after it was sent.
IN_FLIGHT_LIMIT_S: Final = 120.0


class EarlierOrdersInput(NamedTuple):
    """The inputs of the decision.

    Attributes
    ----------
    me : str
        This incarnation.
    epoch : int
        The epoch of the claim that it holds.
    acquired_s : float
        When it acquired the shard.
    checks_fencing : frozenset of str
        Servers whose engines reject old fencing numbers, according to the manifest.
    ended_since_s : mapping of str to float
        Incarnations known to have ended, and since when.
    """

    me: str
    epoch: int
    acquired_s: float
    checks_fencing: frozenset[str]
    ended_since_s: Mapping[str, float]


class EarlierOrdersDecision(NamedTuple):
    """How to handle earlier holders' orders.

    Attributes
    ----------
    settled : tuple of Intent
        Orders that can no longer take effect.
    to_fence : tuple of str
        Servers to which this epoch's fencing number should be sent.
    """

    settled: tuple[Intent, ...]
    to_fence: tuple[str, ...]


def decide_earlier_orders(
    intents: Iterable[Intent],
    reports: Mapping[str, EngineReport],
    facts: EarlierOrdersInput,
    now_s: float,
) -> EarlierOrdersDecision:
    """Return which orders of other incarnations can be settled, and whom to fence.

    Parameters
    ----------
    intents : iterable of Intent
        All unsettled intents of the shard.
    reports : mapping of str to EngineReport
        The engines' newest reports.
    facts : EarlierOrdersInput
        The present facts.
    now_s : float
        The time by this daemon's clock.
    """
    settled: list[Intent] = []
    to_fence: list[str] = []
    for intent in intents:
        if intent.holder == facts.me:
            continue
        if _is_fenced_off(intent, reports, facts) or _has_sender_ended(
            intent, facts, now_s
        ):
            settled.append(intent)
        elif _can_fence(intent.order.server, reports, facts):
            to_fence.append(intent.order.server)
    return EarlierOrdersDecision(tuple(settled), tuple(sorted(set(to_fence))))


def _can_fence(
    server: str, reports: Mapping[str, EngineReport], facts: EarlierOrdersInput
) -> bool:
    report = reports.get(server)
    return (
        server in facts.checks_fencing
        and report is not None
        and report.state.checks_fencing
    )


def _is_fenced_off(
    intent: Intent, reports: Mapping[str, EngineReport], facts: EarlierOrdersInput
) -> bool:
    server = intent.order.server
    if not _can_fence(server, reports, facts):
        return False
    report = reports[server]
    return (
        report.asked_s >= facts.acquired_s
        and report.state.highest_fencing_number >= facts.epoch
    )


def _has_sender_ended(intent: Intent, facts: EarlierOrdersInput, now_s: float) -> bool:
    since_s = facts.ended_since_s.get(intent.holder)
    return since_s is not None and now_s >= since_s + IN_FLIGHT_LIMIT_S
