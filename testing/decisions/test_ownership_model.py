"""Explores every interleaving of two holders of one server's shard.

The first holder announces and sends an order, may be paused between any two steps,
may die, and its order may arrive late or twice. The second takes over when the
lease has lapsed. The folds, memory counts and settle rules are those of the daemon.
Weakening any part of the scheme must let the exploration find an overcommit.
"""

import unittest
from collections import deque
from collections.abc import Iterator
from functools import cache
from typing import Final, NamedTuple

from _pistachiopond.decisions.intents import ForeignInput, judge_foreign
from _pistachiopond.decisions.memory import Report, free_mb
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
LEAST_STATES: Final = 500
MOST_STATES: Final = 400_000


class Rules(NamedTuple):
    """Which parts of the scheme are in place."""

    checks_fencing: bool
    announces: bool = True
    reads_back: bool = True
    settles_only_when_gone: bool = True
    asks_again_after_settlement: bool = True
    asks_after_claim: bool = True
    settles_own_only_when_not_in_flight: bool = True


class World(NamedTuple):
    """One state of everything."""

    log: tuple[str, ...]
    loaded: frozenset[str] = frozenset()
    highest: int = 0
    flying: tuple[tuple[str, int], ...] = ()
    lease_lapsed: bool = False
    a_stage: str = "idle"
    a_sends: int = 0
    a_is_dead: bool = False
    a_is_gone: bool = False
    b_stage: str = "waiting"
    b_read: int = 1
    b_report: tuple[frozenset[str], int] | None = None
    late_append: str = ""


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


def engine_state(loaded: frozenset[str], highest: int, rules: Rules) -> EngineState:
    models = tuple(EngineModel(name, "1", MODEL_MB, "ready") for name in sorted(loaded))
    return EngineState(
        "i", False, rules.checks_fencing, MEMORY_MB, models, 0, 0, 0, highest
    )


def first_world() -> World:
    return World(log=(claim_of("A", ()),))


def is_intent_there(log: tuple[str, ...], holder: str) -> bool:
    return any(item.holder == holder for item in fold(log).intents)


def steps_of_a(world: World, rules: Rules) -> Iterator[World]:
    """Yield what the first holder may do next; it may stop for good anywhere."""
    if world.a_is_dead:
        return
    yield world._replace(a_is_dead=True)
    stage = world.a_stage
    if stage == "idle":
        record = intent_of("A", 0, "X") if rules.announces else ""
        yield world._replace(late_append=record, a_stage="announced")
    elif stage == "announced":
        valid = not rules.announces or is_intent_there(world.log, "A")
        if valid or not rules.reads_back:
            yield world._replace(a_stage="ready")
    elif stage == "ready" and not world.lease_lapsed:
        yield world._replace(a_stage="checked")
    elif stage in ("checked", "sent") and world.a_sends < 2:
        may_send = stage == "checked" or not world.lease_lapsed
        if may_send:
            flying = tuple(sorted((*world.flying, ("X", 0))))
            yield world._replace(
                flying=flying, a_stage="sent", a_sends=world.a_sends + 1
            )
    if stage == "sent" and rules.announces and may_a_settle(world, rules):
        log = (*world.log, settlement_of("A", 0, "A"))
        yield world._replace(log=log, a_stage="settled")


def may_a_settle(world: World, rules: Rules) -> bool:
    if rules.settles_own_only_when_not_in_flight:
        return ("X", 0) not in world.flying
    return "X" in world.loaded


def steps_of_b(world: World, rules: Rules) -> Iterator[World]:
    """Yield what the second holder may do next."""
    stage = world.b_stage
    if stage == "waiting":
        if world.lease_lapsed:
            log = (*world.log, claim_of("B", world.log))
            yield world._replace(log=log, b_stage="claimed")
        if not rules.asks_after_claim and world.b_report is None:
            yield world._replace(b_report=(world.loaded, world.highest))
        return
    if stage == "claimed":
        yield world._replace(b_read=len(world.log), b_stage="holder")
        return
    yield from steps_of_holder_b(world, rules)
    known = world.log[: world.b_read]
    epoch = fold(known).epoch
    if stage == "holder" and has_room(world, rules, known):
        log = (*world.log, intent_of("B", epoch, "Y")) if rules.announces else world.log
        yield world._replace(log=log, b_stage="announced")
    elif stage == "announced":
        if not rules.announces or is_intent_there(world.log, "B"):
            yield world._replace(b_stage="ready")
    elif stage == "ready":
        flying = tuple(sorted((*world.flying, ("Y", epoch))))
        yield world._replace(flying=flying, b_stage="sent")


def steps_of_holder_b(world: World, rules: Rules) -> Iterator[World]:
    known = world.log[: world.b_read]
    epoch = fold(known).epoch
    yield world._replace(b_report=(world.loaded, world.highest))
    if world.b_read < len(world.log):
        yield b_reads_on(world, rules)
    if rules.checks_fencing and world.highest < epoch:
        yield world._replace(highest=epoch)
    if world.b_report is not None and "X" in world.b_report[0]:
        yield world._replace(loaded=world.loaded - {"X"}, b_report=None)
    if b_may_settle(world, rules, known):
        record = settlement_of("B", epoch, "A")
        if record not in world.log:
            yield world._replace(log=(*world.log, record))


def b_reads_on(world: World, rules: Rules) -> World:
    before = fold(world.log[: world.b_read]).intents
    after = fold(world.log).intents
    something_settled = any(item not in after for item in before)
    report = world.b_report
    if something_settled and rules.asks_again_after_settlement:
        report = None
    return world._replace(b_read=len(world.log), b_report=report)


def b_may_settle(world: World, rules: Rules, known: tuple[str, ...]) -> bool:
    foreign = [item for item in fold(known).intents if item.holder == "A"]
    if world.b_report is None or not foreign:
        return False
    if not rules.settles_only_when_gone:
        return True
    gone = {"A": -1e9} if world.a_is_gone else {}
    fenced = frozenset({"s"} if rules.checks_fencing else ())
    facts = ForeignInput("B", fold(known).epoch, 0.0, fenced, gone)
    report = Report(engine_state(*world.b_report, rules), 1.0)
    return bool(judge_foreign(foreign, {"s": report}, facts, 2.0).settled)


def has_room(world: World, rules: Rules, known: tuple[str, ...]) -> bool:
    if world.b_report is None:
        return False
    state = engine_state(*world.b_report, rules)
    return free_mb("s", state, fold(known).intents) >= MODEL_MB


def steps_outside(world: World, rules: Rules) -> Iterator[World]:
    """Yield what time, the network and the engine may do next."""
    if not world.lease_lapsed:
        yield world._replace(lease_lapsed=True)
    if world.late_append:
        log = (*world.log, world.late_append)
        yield world._replace(log=log, late_append="")
    if world.a_is_dead and ("X", 0) not in world.flying:
        # What a dead process sent has arrived by then, or never will.
        yield world._replace(a_is_gone=True)
    for index, (model, epoch) in enumerate(world.flying):
        rest = world.flying[:index] + world.flying[index + 1 :]
        yield world._replace(flying=rest)
        if rules.checks_fencing and epoch < world.highest:
            continue
        yield world._replace(
            flying=rest,
            loaded=world.loaded | {model},
            highest=max(world.highest, epoch),
        )


def explore(rules: Rules) -> tuple[World | None, int]:
    """Return the first overcommitted world, if any, and how many were seen."""
    start = first_world()
    seen = {start}
    queue = deque([start])
    while queue:
        world = queue.popleft()
        if len(world.loaded) * MODEL_MB > MEMORY_MB:
            return world, len(seen)
        for steps in (steps_of_a, steps_of_b, steps_outside):
            for following in steps(world, rules):
                if following not in seen:
                    seen.add(following)
                    queue.append(following)
        if len(seen) > MOST_STATES:
            raise AssertionError("the model has grown; make it smaller again")
    return None, len(seen)


def reaches_both_models(rules: Rules) -> bool:
    """Return whether the second holder can ever load its model at all."""
    start = first_world()
    seen = {start}
    queue = deque([start])
    while queue:
        world = queue.popleft()
        if "Y" in world.loaded:
            return True
        for steps in (steps_of_a, steps_of_b, steps_outside):
            for following in steps(world, rules):
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
        self.assertGreater(count, LEAST_STATES)
        self.assertTrue(reaches_both_models(rules))

    def test_no_overcommit_where_fencing_is_ignored(self) -> None:
        self.assert_none_found(Rules(checks_fencing=False))

    def test_no_overcommit_where_fencing_is_checked(self) -> None:
        self.assert_none_found(Rules(checks_fencing=True))

    def test_without_intents_there_is_an_overcommit(self) -> None:
        self.assert_found(Rules(checks_fencing=False, announces=False))

    def test_without_reading_back_there_is_an_overcommit(self) -> None:
        self.assert_found(Rules(checks_fencing=False, reads_back=False))

    def test_settling_by_the_report_alone_lets_an_overcommit_through(self) -> None:
        self.assert_found(Rules(checks_fencing=False, settles_only_when_gone=False))

    def test_a_report_older_than_a_settlement_lets_an_overcommit_through(self) -> None:
        self.assert_found(
            Rules(checks_fencing=False, asks_again_after_settlement=False)
        )

    def test_a_report_older_than_the_claim_lets_an_overcommit_through(self) -> None:
        self.assert_found(
            Rules(
                checks_fencing=False,
                asks_after_claim=False,
                asks_again_after_settlement=False,
            )
        )

    def test_settling_a_confirmed_order_with_a_copy_in_flight_overcommits(self) -> None:
        self.assert_found(
            Rules(checks_fencing=False, settles_own_only_when_not_in_flight=False)
        )
