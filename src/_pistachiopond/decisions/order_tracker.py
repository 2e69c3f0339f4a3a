"""Tracks the orders that one shard holder has issued and not yet settled.

Each order is written to the log as an intent and read back before it is sent. It is
resent until the engine's report shows its effect, and settled once no copy of it can
be in flight. The caller carries out the actions and reports their results.
"""

from collections.abc import Iterable, Mapping
from typing import Final, Literal, NamedTuple, final

from _pistachiopond.decisions.earlier_orders import IN_FLIGHT_LIMIT_S
from _pistachiopond.decisions.memory import EngineReport, effect_of
from _pistachiopond.decisions.ownership import ShardLease
from _pistachiopond.schema.records import (
    Intent,
    IntentRecord,
    Order,
    OrderVerb,
    SettlementRecord,
    ShardState,
)

ANNOUNCE_RETRY_S: Final = 5.0
SETTLE_RETRY_S: Final = 3.0
# An answered order is resent if no report shows its effect within this time.
RESEND_AFTER_S: Final = 10.0
FIRST_BACKOFF_S: Final = 1.0
LONGEST_BACKOFF_S: Final = 16.0
MAX_SENDS: Final = 8

AnswerKind = Literal["answered", "stale", "not_sent", "unknown"]


class AppendIntent(NamedTuple):
    """Action: append this intent to the shard's stream."""

    record: IntentRecord


class SendOrder(NamedTuple):
    """Action: send the order now, with the epoch as its fencing number."""

    order: Order
    epoch: int


class AppendSettlement(NamedTuple):
    """Action: append this settlement to the shard's stream."""

    record: SettlementRecord


OrderAction = AppendIntent | SendOrder | AppendSettlement


class Pending(NamedTuple):
    """One unsettled order and its progress.

    Attributes
    ----------
    order : Order
        The order.
    epoch : int
        The epoch of the claim under which it was issued.
    intent_sent_s : float
        When its intent was last passed on to be appended; -inf for never.
    open_sends : int
        Exchanges with the engine that have not ended.
    sends : int
        Exchanges started in total.
    next_send_s : float
        The earliest time for the next send.
    last_answer_s : float
        When the last exchange ended; -inf for none.
    in_flight_until_s : float
        Until then a copy of the order that got no answer may still reach the engine.
    is_finished : bool
        Whether the order is confirmed or given up, and so is not sent again.
    settlement_sent_s : float
        When its settlement was last passed on to be appended; -inf for never.
    """

    order: Order
    epoch: int
    intent_sent_s: float = float("-inf")
    open_sends: int = 0
    sends: int = 0
    next_send_s: float = float("-inf")
    last_answer_s: float = float("-inf")
    in_flight_until_s: float = float("-inf")
    is_finished: bool = False
    settlement_sent_s: float = float("-inf")


class _Settled(NamedTuple):
    intent: Intent
    read_s: float


@final
class OrderTracker:
    """Tracks the unsettled orders of one incarnation in one shard."""

    def __init__(self, me: str, address: str) -> None:
        self._me = me
        self._address = address
        self._next_number = 0
        self._pending: dict[int, Pending] = {}
        self._settled: list[_Settled] = []
        self._in_log: dict[tuple[str, int], Intent] = {}
        self._untracked_settlement_sent_s = float("-inf")

    def pending(self) -> tuple[Pending, ...]:
        """Return this incarnation's unsettled orders."""
        return tuple(self._pending.values())

    def is_open(self, server: str, verb: OrderVerb, model: str, adapter: str) -> bool:
        """Return whether such an order is in progress."""
        return any(
            not item.is_finished
            and (item.order.server, item.order.verb) == (server, verb)
            and (item.order.model, item.order.adapter) == (model, adapter)
            for item in self._pending.values()
        )

    def add(self, order: Order, epoch: int) -> Order:
        """Start tracking an order, and return it with its number."""
        numbered = order._replace(number=self._next_number)
        self._next_number += 1
        self._pending[numbered.number] = Pending(numbered, epoch)
        return numbered

    def intents(self) -> tuple[Intent, ...]:
        """Return every order whose memory must be counted, of any incarnation.

        These are the intents in the log, those that are about to be appended, and
        those that were settled after the engine's last report was requested.
        """
        intents_by_key = dict(self._in_log)
        for item in self._pending.values():
            intent = Intent(self._me, self._address, item.epoch, item.order)
            intents_by_key.setdefault((self._me, item.order.number), intent)
        for settled in self._settled:
            key = (settled.intent.holder, settled.intent.order.number)
            intents_by_key.setdefault(key, settled.intent)
        return tuple(intents_by_key.values())

    def take_state(
        self, state: ShardState, reports: Mapping[str, EngineReport], now_s: float
    ) -> None:
        """Update from the shard's stream and the engines' reports.

        A settled intent stays counted until a newer report of its engine is there:
        a report from before the settlement may lack what the order loaded.
        """
        current = {(item.holder, item.order.number): item for item in state.intents}
        gone = [item for key, item in self._in_log.items() if key not in current]
        self._settled += [_Settled(item, now_s) for item in gone]
        self._settled = [
            item for item in self._settled if not _is_covered_by_report(item, reports)
        ]
        self._in_log = current
        for intent in gone:
            if intent.holder == self._me:
                self._pending.pop(intent.order.number, None)
        self._confirm(reports)

    def _confirm(self, reports: Mapping[str, EngineReport]) -> None:
        for number, item in self._pending.items():
            report = reports.get(item.order.server)
            if report is None or item.sends == 0 or item.open_sends > 0:
                continue
            if report.asked_s <= item.last_answer_s:
                continue
            self._pending[number] = _apply_report(item, report)

    def next_actions(self, lease: ShardLease | None, now_s: float) -> list[OrderAction]:
        """Return the actions due now, and record them as started.

        Parameters
        ----------
        lease : ShardLease or None
            This incarnation's present authority over the shard.
        now_s : float
            The time by its clock.
        """
        actions: list[OrderAction] = []
        for number, item in list(self._pending.items()):
            if lease is None or lease.epoch != item.epoch:
                item = item._replace(is_finished=True)
                self._pending[number] = item
            action = self._next_action(item, now_s)
            if action is not None:
                actions.append(action)
        actions += self._settlements(now_s)
        return actions

    def _next_action(self, item: Pending, now_s: float) -> OrderAction | None:
        number = item.order.number
        if item.is_finished:
            self._drop_unannounced(item, now_s)
            return None
        if (self._me, number) not in self._in_log:
            if now_s - item.intent_sent_s < ANNOUNCE_RETRY_S:
                return None
            self._pending[number] = item._replace(intent_sent_s=now_s)
            intent = Intent(self._me, self._address, item.epoch, item.order)
            return AppendIntent(IntentRecord(intent))
        if item.open_sends > 0 or now_s < item.next_send_s:
            return None
        if item.sends >= MAX_SENDS:
            self._pending[number] = item._replace(is_finished=True)
            return None
        self._pending[number] = item._replace(open_sends=1, sends=item.sends + 1)
        return SendOrder(item.order, item.epoch)

    def _drop_unannounced(self, item: Pending, now_s: float) -> None:
        number = item.order.number
        in_log = (self._me, number) in self._in_log
        if in_log or item.sends > 0:
            return
        # If its intent appears in the log later, it is settled, not sent.
        if now_s - item.intent_sent_s >= ANNOUNCE_RETRY_S:
            del self._pending[number]

    def _settlements(self, now_s: float) -> list[OrderAction]:
        finished = [
            item.order.number
            for item in self._pending.values()
            if _may_settle(item, now_s)
            and (self._me, item.order.number) in self._in_log
        ]
        for number in finished:
            item = self._pending[number]
            self._pending[number] = item._replace(settlement_sent_s=now_s)
        if now_s - self._untracked_settlement_sent_s >= SETTLE_RETRY_S:
            untracked = self._untracked_orders()
            if untracked:
                self._untracked_settlement_sent_s = now_s
            finished += untracked
        if not finished:
            return []
        record = SettlementRecord(self._me, -1, self._me, tuple(sorted(finished)))
        return [AppendSettlement(record)]

    def _untracked_orders(self) -> list[int]:
        return [
            number
            for holder, number in self._in_log
            if holder == self._me and number not in self._pending
        ]

    def record_answer(self, number: int, kind: AnswerKind, now_s: float) -> None:
        """Record how an exchange with the engine ended.

        Parameters
        ----------
        number : int
            The order's number.
        kind : {"answered", "stale", "not_sent", "unknown"}
            ``unknown`` means that the order may still take effect.
        now_s : float
            When the exchange ended.
        """
        item = self._pending.get(number)
        if item is None:
            return
        backoff_s = min(FIRST_BACKOFF_S * 2 ** (item.sends - 1), LONGEST_BACKOFF_S)
        wait_s = RESEND_AFTER_S if kind == "answered" else backoff_s
        until_s = item.in_flight_until_s
        if kind == "unknown":
            until_s = now_s + IN_FLIGHT_LIMIT_S
        self._pending[number] = item._replace(
            open_sends=0,
            next_send_s=now_s + wait_s,
            last_answer_s=now_s,
            in_flight_until_s=until_s,
            is_finished=item.is_finished or kind == "stale",
        )

    def settle_for_shutdown(self, now_s: float) -> SettlementRecord | None:
        """Return a settlement for a shutdown, of orders certainly not in flight."""
        numbers = [
            number
            for (holder, number) in self._in_log
            if holder == self._me
            and _is_not_in_flight(self._pending.get(number), now_s)
        ]
        if not numbers:
            return None
        return SettlementRecord(self._me, -1, self._me, tuple(sorted(numbers)))


def _is_covered_by_report(item: _Settled, reports: Mapping[str, EngineReport]) -> bool:
    report = reports.get(item.intent.order.server)
    return report is not None and report.asked_s > item.read_s


def _apply_report(item: Pending, report: EngineReport) -> Pending:
    effect = effect_of(item.order, report.state)
    if effect == "underway":
        later_s = report.asked_s + RESEND_AFTER_S
        return item._replace(next_send_s=max(item.next_send_s, later_s))
    has_ended = _has_ended_at_engine(item, report)
    if effect != "done" and not has_ended:
        return item
    # An engine that checks fencing numbers answers a late copy without repeating it.
    until_s = float("-inf") if has_ended else item.in_flight_until_s
    return item._replace(is_finished=True, in_flight_until_s=until_s)


def _has_ended_at_engine(item: Pending, report: EngineReport) -> bool:
    if not report.state.checks_fencing:
        return False
    return any(
        (order.fencing_number, order.order_number) == (item.epoch, item.order.number)
        and order.state != "running"
        for order in report.state.orders
    )


def _is_not_in_flight(item: Pending | None, now_s: float) -> bool:
    return item is None or (item.open_sends == 0 and now_s >= item.in_flight_until_s)


def _may_settle(item: Pending, now_s: float) -> bool:
    if not item.is_finished or now_s - item.settlement_sent_s < SETTLE_RETRY_S:
        return False
    return _is_not_in_flight(item, now_s)


def intents_for_server(server: str, intents: Iterable[Intent]) -> tuple[Intent, ...]:
    """Return the intents for one server."""
    return tuple(item for item in intents if item.order.server == server)
