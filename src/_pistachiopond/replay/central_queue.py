"""One central queue with full knowledge: an estimate of what could be reached.

It sees every engine's true state without delay, orders requests by deadline, and
gives an engine no more jobs than it can run within the target time between tokens.
It isn't a proved upper bound, since it doesn't know future arrivals.
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
# Share of the target time between tokens that a full engine may use.
TOKEN_GAP_SHARE: Final = 0.90
# Share of an engine's job limit up to which batch requests are started.
BATCH_JOB_SHARE: Final = 0.6

FindEligible = Callable[[RequestFacts], Sequence[str]]


class _QueuedRequest:
    """One request that waits or runs."""

    def __init__(self, facts: RequestFacts, now_s: float) -> None:
        self.facts = facts
        is_batch = facts.urgency == "batch"
        target_s = BATCH_DEADLINE_S if is_batch else FIRST_TOKEN_TARGET_S
        self.deadline_s = now_s + target_s
        self.attempt = 0
        self.verdict = Verdict.NOT_RUN
        self.server = ""


@final
class CentralQueue:
    """Replaces the dispatchers of all entry daemons in a replay.

    Parameters
    ----------
    get_engine : callable
        Returns the engine of the server with that name.
    find_eligible : callable
        Returns the names of the servers that can run the request now.
    parameters : EngineParameters
        Of all engines.
    """

    def __init__(
        self,
        get_engine: Callable[[str], FakeEngine],
        find_eligible: FindEligible,
        parameters: EngineParameters,
    ) -> None:
        self._get_engine = get_engine
        self._find_eligible = find_eligible
        self._requests: dict[str, _QueuedRequest] = {}
        self._waiting: dict[str, _QueuedRequest] = {}
        self._parameters = parameters
        self._starting: dict[str, int] = {}
        gap_budget_s = TOKEN_GAP_TARGET_S * TOKEN_GAP_SHARE - parameters.gap_base_s
        self._max_jobs = int(gap_budget_s / parameters.gap_per_sequence_s)

    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Process an event as a dispatcher does."""
        if isinstance(event, Arrived):
            request = _QueuedRequest(event.facts, now_s)
            self._requests[event.facts.request_id] = request
            self._waiting[event.facts.request_id] = request
            return self._start_waiting(now_s)
        if isinstance(event, AttemptFinished):
            self._requests.pop(event.request_id, None)
            return self._start_waiting(now_s)
        if isinstance(event, AttemptFailed):
            return self._handle_failure(event, now_s)
        if isinstance(event, (Tick, FirstToken)):
            return self._start_waiting(now_s)
        return []

    def _handle_failure(self, event: AttemptFailed, now_s: float) -> list[Action]:
        request = self._requests[event.request_id]
        request.verdict = combine_verdicts(request.verdict, event.verdict)
        if event.output_began or not may_retry(
            request.verdict, idempotent=request.facts.idempotent
        ):
            del self._requests[event.request_id]
            failure = refusals.attempts_failed(
                request.verdict, event, "output_began", 1.0
            )
            return [Refuse(event.request_id, failure)]
        self._waiting[event.request_id] = request
        return self._start_waiting(now_s)

    def _start_waiting(self, now_s: float) -> list[Action]:
        """Start waiting requests in order, as far as engines have capacity."""
        actions: list[Action] = []
        saturated: set[tuple[str, str | None, str | None]] = set()

        def sort_key(request: _QueuedRequest) -> tuple[bool, bool, float]:
            """Order by deadline; batch goes after the others, overdue requests last."""
            is_batch = request.facts.urgency == "batch"
            return (request.deadline_s < now_s, is_batch, request.deadline_s)

        for request in sorted(self._waiting.values(), key=sort_key):
            facts = request.facts
            target = (facts.service, facts.model, facts.adapter)
            if target in saturated:
                continue
            server = self._choose_server(facts, now_s)
            if server is None:
                saturated.add(target)
                continue
            del self._waiting[facts.request_id]
            request.attempt += 1
            request.server = server
            actions.append(
                StartAttempt(facts.request_id, request.attempt, server, "", 0)
            )
        return actions

    def _choose_server(self, facts: RequestFacts, now_s: float) -> str | None:
        """Return the eligible server with the shortest wait for the first token."""
        best: tuple[float, int, str] | None = None
        limit = self._max_jobs * (BATCH_JOB_SHARE if facts.urgency == "batch" else 1.0)
        for server in self._find_eligible(facts):
            engine = self._get_engine(server)
            if engine.job_count() >= limit:
                continue
            cached = engine.cached_blocks(facts.prefix_ids) * BLOCK_TOKENS
            uncached_tokens = max(1, facts.prompt_tokens - cached)
            wait_s = engine.prefill_backlog_s()
            wait_s += uncached_tokens / self._parameters.prefill_tokens_per_s
            candidate = (round(wait_s, 2), engine.job_count(), server)
            if best is None or candidate < best:
                best = candidate
        return best[2] if best else None
