"""One central queue with full knowledge: an estimate of what could be reached.

It sees every engine's true state without delay, orders requests by deadline, and
gives an engine no more than it can run within the time between tokens. It is not
a proved bound, since it does not know the future.
"""

from collections.abc import Callable, Sequence
from typing import Final, final

from _pistachiopond.decisions import refusals
from _pistachiopond.decisions.deadlines import (
    FIRST_TOKEN_TARGET_S,
    TOKEN_GAP_TARGET_S,
)
from _pistachiopond.decisions.dispatch_types import (
    Action,
    Arrived,
    AttemptFailed,
    AttemptFinished,
    Event,
    FirstToken,
    Refuse,
    RequestFacts,
    StartAttempt,
    Tick,
)
from _pistachiopond.decisions.routing import BLOCK_TOKENS
from _pistachiopond.replay.engine import FakeEngine
from _pistachiopond.replay.parameters import EngineParameters
from _pistachiopond.schema.verdict import Verdict, combine_verdicts, may_retry

BATCH_DEADLINE_S: Final = 60.0
GAP_MARGIN: Final = 0.90
BATCH_PART: Final = 0.6

Eligible = Callable[[RequestFacts], Sequence[str]]


class _Held:
    """One request in the central queue."""

    def __init__(self, facts: RequestFacts, now_s: float) -> None:
        self.facts = facts
        is_batch = facts.urgency == "batch"
        patience_s = BATCH_DEADLINE_S if is_batch else FIRST_TOKEN_TARGET_S
        self.deadline_s = now_s + patience_s
        self.attempt = 0
        self.verdict = Verdict.NOT_RUN
        self.server = ""


@final
class CentralQueue:
    """Stands in for all dispatchers of a replay."""

    def __init__(
        self,
        engine_of: Callable[[str], FakeEngine],
        eligible: Eligible,
        parameters: EngineParameters,
    ) -> None:
        self._engine_of = engine_of
        self._eligible = eligible
        self._held: dict[str, _Held] = {}
        self._waiting: dict[str, _Held] = {}
        self._parameters = parameters
        self._starting: dict[str, int] = {}
        gap_room = TOKEN_GAP_TARGET_S * GAP_MARGIN - parameters.gap_base_s
        self._most = int(gap_room / parameters.gap_per_sequence_s)

    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Take an event as a dispatcher does."""
        if isinstance(event, Arrived):
            held = _Held(event.facts, now_s)
            self._held[event.facts.request_id] = held
            self._waiting[event.facts.request_id] = held
            return self._start_all(now_s)
        if isinstance(event, AttemptFinished):
            self._held.pop(event.request_id, None)
            return self._start_all(now_s)
        if isinstance(event, AttemptFailed):
            return self._failed(event, now_s)
        if isinstance(event, (Tick, FirstToken)):
            return self._start_all(now_s)
        return []

    def _failed(self, event: AttemptFailed, now_s: float) -> list[Action]:
        held = self._held[event.request_id]
        held.verdict = combine_verdicts(held.verdict, event.verdict)
        if event.output_began or not may_retry(
            held.verdict, idempotent=held.facts.idempotent
        ):
            del self._held[event.request_id]
            failure = refusals.attempts_failed(held.verdict, event, "output_began", 1.0)
            return [Refuse(event.request_id, failure)]
        self._waiting[event.request_id] = held
        return self._start_all(now_s)

    def _start_all(self, now_s: float) -> list[Action]:
        actions: list[Action] = []
        full: set[tuple[str, str | None, str | None]] = set()

        def order(held: _Held) -> tuple[bool, bool, float]:
            is_batch = held.facts.urgency == "batch"
            return (held.deadline_s < now_s, is_batch, held.deadline_s)

        for held in sorted(self._waiting.values(), key=order):
            facts = held.facts
            target = (facts.service, facts.model, facts.adapter)
            if target in full:
                continue
            server = self._choose(facts, now_s)
            if server is None:
                full.add(target)
                continue
            del self._waiting[facts.request_id]
            held.attempt += 1
            held.server = server
            actions.append(StartAttempt(facts.request_id, held.attempt, server, "", 0))
        return actions

    def _choose(self, facts: RequestFacts, now_s: float) -> str | None:
        best: tuple[float, int, str] | None = None
        limit = self._most * (BATCH_PART if facts.urgency == "batch" else 1.0)
        for server in self._eligible(facts):
            engine = self._engine_of(server)
            if engine.load() >= limit:
                continue
            cached = engine.cached_blocks(facts.prefix_ids) * BLOCK_TOKENS
            own_tokens = max(1, facts.prompt_tokens - cached)
            wait_s = engine.prefill_backlog_s()
            wait_s += own_tokens / self._parameters.prefill_tokens_per_s
            found = (round(wait_s, 2), engine.load(), server)
            if best is None or found < best:
                best = found
        return best[2] if best else None
