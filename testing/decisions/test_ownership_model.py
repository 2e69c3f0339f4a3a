"""Model checker: explores every interleaving of two successive holders of one shard.

The first holder, A, writes an intent and sends its order; it may be paused between
any two steps or crash, and its order may arrive late or twice. The second, B, takes
over once the lease has expired. The folds, memory counts and settlement rules are
those of the daemon. With any part of the protocol removed, the exploration must find
an overcommit.
"""

import unittest
from collections import deque
from collections.abc import Iterator
from functools import cache
from typing import Final, NamedTuple

from _pistachiopond.decisions.earlier_orders import (
    EarlierOrdersInput,
    decide_earlier_orders,
)
from _pistachiopond.decisions.memory import EngineReport, free_mb
from _pistachiopond.decisions.shard_fold import fold_record
from _pistachiopond.schema.codec import to_json
from _pistachiopond.schema.engine import EngineModel, EngineState
from _pistachiopond.schema.records import (
    ClaimRecord,
    Intent,
    IntentRecord,
    Order,
    SettlementRecord,
    ShardState,
)

MEMORY_MB: Final = 10
MODEL_MB: Final = 10
MIN_STATES: Final = 500
MAX_STATES: Final = 400_000


class Rules(NamedTuple):
    """Which parts of the protocol are enabled."""

    checks_fencing: bool
    writes_intents: bool = True
    reads_back_intents: bool = True
    settles_only_when_gone: bool = True
    renews_report_after_settlement: bool = True
    requests_report_after_claim: bool = True
    settles_own_only_when_not_in_flight: bool = True


class ModelState(NamedTuple):
    """One state of the whole model."""

    log: tuple[str, ...]
    loaded: frozenset[str] = frozenset()
    highest_fence: int = 0
    in_flight: tuple[tuple[str, int], ...] = ()
    lease_expired: bool = False
    a_stage: str = "idle"
    a_sends: int = 0
    a_is_dead: bool = False
    a_is_gone: bool = False
    b_stage: str = "waiting"
    b_read: int = 1
    b_report: tuple[frozenset[str], int] | None = None
    pending_append: str = ""


@cache
def fold(log: tuple[str, ...]) -> ShardState:
    if not log:
        return ShardState()
    return fold_record(fold(log[:-1]), len(log) - 1, log[-1]).state


@cache
def claim_of(holder: str, log: tuple[str, ...]) -> str:
    return to_json(ClaimRecord(holder, "127.0.0.1:1", 10.0, 0, fold(log)))


@cache
def intent_of(holder: str, epoch: int, model: str) -> str:
    order = Order(0, "s", "load", model, "1", "", MODEL_MB)
    return to_json(IntentRecord(Intent(holder, "127.0.0.1:1", epoch, order)))


@cache
def settlement_of(writer: str, epoch: int, about: str) -> str:
    return to_json(SettlementRecord(writer, epoch, about, (0,)))


def engine_state(
    loaded: frozenset[str], highest_fence: int, rules: Rules
) -> EngineState:
    models = tuple(EngineModel(name, "1", MODEL_MB, "ready") for name in sorted(loaded))
    return EngineState(
        "i", False, rules.checks_fencing, MEMORY_MB, models, 0, 0, 0, highest_fence
    )


def initial_state() -> ModelState:
    return ModelState(log=(claim_of("A", ()),))


def is_intent_in_log(log: tuple[str, ...], holder: str) -> bool:
    return any(item.holder == holder for item in fold(log).intents)


def steps_of_a(state: ModelState, rules: Rules) -> Iterator[ModelState]:
    """Yield the next states by a step of holder A, which may crash at any point."""
    if state.a_is_dead:
        return
    yield state._replace(a_is_dead=True)
    stage = state.a_stage
    if stage == "idle":
        record = intent_of("A", 0, "X") if rules.writes_intents else ""
        yield state._replace(pending_append=record, a_stage="announced")
    elif stage == "announced":
        valid = not rules.writes_intents or is_intent_in_log(state.log, "A")
        if valid or not rules.reads_back_intents:
            yield state._replace(a_stage="ready")
    elif stage == "ready" and not state.lease_expired:
        yield state._replace(a_stage="checked")
    elif stage in ("checked", "sent") and state.a_sends < 2:
        may_send = stage == "checked" or not state.lease_expired
        if may_send:
            in_flight = tuple(sorted((*state.in_flight, ("X", 0))))
            yield state._replace(
                in_flight=in_flight, a_stage="sent", a_sends=state.a_sends + 1
            )
    if stage == "sent" and rules.writes_intents and may_a_settle(state, rules):
        log = (*state.log, settlement_of("A", 0, "A"))
        yield state._replace(log=log, a_stage="settled")


def may_a_settle(state: ModelState, rules: Rules) -> bool:
    if rules.settles_own_only_when_not_in_flight:
        return ("X", 0) not in state.in_flight
    return "X" in state.loaded


def steps_of_b(state: ModelState, rules: Rules) -> Iterator[ModelState]:
    """Yield the next states by a step of holder B."""
    stage = state.b_stage
    if stage == "waiting":
        if state.lease_expired:
            log = (*state.log, claim_of("B", state.log))
            yield state._replace(log=log, b_stage="claimed")
        if not rules.requests_report_after_claim and state.b_report is None:
            yield state._replace(b_report=(state.loaded, state.highest_fence))
        return
    if stage == "claimed":
        yield state._replace(b_read=len(state.log), b_stage="holder")
        return
    yield from steps_of_holder_b(state, rules)
    log_read = state.log[: state.b_read]
    epoch = fold(log_read).epoch
    if stage == "holder" and has_memory_for_y(state, rules, log_read):
        log = (
            (*state.log, intent_of("B", epoch, "Y"))
            if rules.writes_intents
            else state.log
        )
        yield state._replace(log=log, b_stage="announced")
    elif stage == "announced":
        if not rules.writes_intents or is_intent_in_log(state.log, "B"):
            yield state._replace(b_stage="ready")
    elif stage == "ready":
        in_flight = tuple(sorted((*state.in_flight, ("Y", epoch))))
        yield state._replace(in_flight=in_flight, b_stage="sent")


def steps_of_holder_b(state: ModelState, rules: Rules) -> Iterator[ModelState]:
    log_read = state.log[: state.b_read]
    epoch = fold(log_read).epoch
    yield state._replace(b_report=(state.loaded, state.highest_fence))
    if state.b_read < len(state.log):
        yield b_reads_log(state, rules)
    if rules.checks_fencing and state.highest_fence < epoch:
        yield state._replace(highest_fence=epoch)
    if state.b_report is not None and "X" in state.b_report[0]:
        yield state._replace(loaded=state.loaded - {"X"}, b_report=None)
    if b_may_settle(state, rules, log_read):
        record = settlement_of("B", epoch, "A")
        if record not in state.log:
            yield state._replace(log=(*state.log, record))


def b_reads_log(state: ModelState, rules: Rules) -> ModelState:
    before = fold(state.log[: state.b_read]).intents
    after = fold(state.log).intents
    something_settled = any(item not in after for item in before)
    report = state.b_report
    if something_settled and rules.renews_report_after_settlement:
        report = None
    return state._replace(b_read=len(state.log), b_report=report)


def b_may_settle(state: ModelState, rules: Rules, log_read: tuple[str, ...]) -> bool:
    earlier = [item for item in fold(log_read).intents if item.holder == "A"]
    if state.b_report is None or not earlier:
        return False
    if not rules.settles_only_when_gone:
        return True
    gone = {"A": -1e9} if state.a_is_gone else {}
    fenced = frozenset({"s"} if rules.checks_fencing else ())
    facts = EarlierOrdersInput("B", fold(log_read).epoch, 0.0, fenced, gone)
    report = EngineReport(engine_state(*state.b_report, rules), 1.0)
    return bool(decide_earlier_orders(earlier, {"s": report}, facts, 2.0).settled)


def has_memory_for_y(
    state: ModelState, rules: Rules, log_read: tuple[str, ...]
) -> bool:
    if state.b_report is None:
        return False
    engine = engine_state(*state.b_report, rules)
    return free_mb("s", engine, fold(log_read).intents) >= MODEL_MB


def steps_outside(state: ModelState, rules: Rules) -> Iterator[ModelState]:
    """Yield the next states by a step of time, the network or the engine."""
    if not state.lease_expired:
        yield state._replace(lease_expired=True)
    if state.pending_append:
        log = (*state.log, state.pending_append)
        yield state._replace(log=log, pending_append="")
    if state.a_is_dead and ("X", 0) not in state.in_flight:
        # A holder counts as gone once its messages have arrived or been lost.
        yield state._replace(a_is_gone=True)
    for index, (model, epoch) in enumerate(state.in_flight):
        rest = state.in_flight[:index] + state.in_flight[index + 1 :]
        yield state._replace(in_flight=rest)
        if rules.checks_fencing and epoch < state.highest_fence:
            continue
        yield state._replace(
            in_flight=rest,
            loaded=state.loaded | {model},
            highest_fence=max(state.highest_fence, epoch),
        )


def explore(rules: Rules) -> tuple[ModelState | None, int]:
    """Return the first overcommitted state, if any, and the number of states seen."""
    start = initial_state()
    seen = {start}
    queue = deque([start])
    while queue:
        state = queue.popleft()
        if len(state.loaded) * MODEL_MB > MEMORY_MB:
            return state, len(seen)
        for steps in (steps_of_a, steps_of_b, steps_outside):
            for following in steps(state, rules):
                if following not in seen:
                    seen.add(following)
                    queue.append(following)
        if len(seen) > MAX_STATES:
            raise AssertionError(
                f"the model has {len(seen)} states, more than {MAX_STATES}; "
                "reduce its size"
            )
    return None, len(seen)


def reaches_both_models(rules: Rules) -> bool:
    """Return whether holder B can ever load its model."""
    start = initial_state()
    seen = {start}
    queue = deque([start])
    while queue:
        state = queue.popleft()
        if "Y" in state.loaded:
            return True
        for steps in (steps_of_a, steps_of_b, steps_outside):
            for following in steps(state, rules):
                if following not in seen:
                    seen.add(following)
                    queue.append(following)
    return False


class OwnershipModelTests(unittest.TestCase):
    def assert_found(self, rules: Rules) -> None:
        found, _ = explore(rules)
        self.assertIsNotNone(found, f"{rules} should let an overcommit through")

    def assert_none_found(self, rules: Rules) -> None:
        found, count = explore(rules)
        self.assertIsNone(found)
        self.assertGreater(count, MIN_STATES)
        self.assertTrue(reaches_both_models(rules))

    def test_no_overcommit_with_engines_that_ignore_fencing(self) -> None:
        self.assert_none_found(Rules(checks_fencing=False))

    def test_no_overcommit_with_engines_that_check_fencing(self) -> None:
        self.assert_none_found(Rules(checks_fencing=True))

    def test_sending_orders_without_intents_overcommits(self) -> None:
        self.assert_found(Rules(checks_fencing=False, writes_intents=False))

    def test_sending_orders_before_reading_back_intents_overcommits(self) -> None:
        self.assert_found(Rules(checks_fencing=False, reads_back_intents=False))

    def test_settling_before_the_earlier_holder_is_gone_overcommits(self) -> None:
        self.assert_found(Rules(checks_fencing=False, settles_only_when_gone=False))

    def test_using_a_report_older_than_a_settlement_overcommits(self) -> None:
        self.assert_found(
            Rules(checks_fencing=False, renews_report_after_settlement=False)
        )

    def test_using_a_report_older_than_the_claim_overcommits(self) -> None:
        self.assert_found(
            Rules(
                checks_fencing=False,
                requests_report_after_claim=False,
                renews_report_after_settlement=False,
            )
        )

    def test_settling_an_own_order_with_a_copy_in_flight_overcommits(self) -> None:
        self.assert_found(
            Rules(checks_fencing=False, settles_own_only_when_not_in_flight=False)
        )
