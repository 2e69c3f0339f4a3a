"""The dispatcher: the one place that queues, starts, retries and refuses requests.

It receives typed events with the time and answers with typed actions. Live
processes and replay share it. Events of attempts that are over are ignored, so
late and duplicated ones do no harm.
"""

import random
from collections.abc import Callable
from typing import final

from _pistachiopond.decisions import deadlines, refusals
from _pistachiopond.decisions.crash_watch import CrashWatch
from _pistachiopond.decisions.dispatch_options import DispatchOptions
from _pistachiopond.decisions.dispatch_request import Request
from _pistachiopond.decisions.dispatch_servers import Servers
from _pistachiopond.decisions.dispatch_types import (
    Action,
    Arrived,
    AttemptFailed,
    AttemptFinished,
    CallerLeft,
    CancelAttempt,
    Event,
    FirstToken,
    ManifestChanged,
    Progress,
    Refuse,
    RequestFacts,
    StartAttempt,
    StopDispatching,
    SuspectsReceived,
    Tick,
    ViewReceived,
)
from _pistachiopond.decisions.queueing import (
    CLASS_ORDER,
    FairQueue,
    Rank,
    Target,
    Waiting,
)
from _pistachiopond.decisions.retry import RetryBudgets, decide_retry
from _pistachiopond.decisions.shares import UseShares
from _pistachiopond.decisions.waiting_room import WaitingRoom
from _pistachiopond.schema.verdict import Failure, Verdict, combine_verdicts


@final
class Dispatcher:
    """The dispatcher of one entry daemon."""

    def __init__(self, options: DispatchOptions, seed: int) -> None:
        self._options = options
        self._requests: dict[str, Request] = {}
        self._weights: dict[str, float] = {}
        self._models: frozenset[str] | None = None
        self._is_stopping = False
        self._budgets = RetryBudgets()
        self._crashes = CrashWatch(options.daemon)
        self.servers = Servers(options, random.Random(seed))
        self._shares = UseShares(self._weight_of)
        self.queue = FairQueue(
            self._weight_of,
            is_fair=options.fair_queueing,
            has_classes=options.urgency_classes,
        )
        self._room = WaitingRoom(
            options, self._requests, self.queue, self.servers, self._crashes
        )
        self._handlers: dict[type, Callable[..., list[Action]]] = {
            Arrived: self._arrived,
            FirstToken: self._first_token,
            Progress: self._progress,
            AttemptFinished: self._finished,
            AttemptFailed: self._failed,
            CallerLeft: self._caller_left,
            ViewReceived: self._view,
            SuspectsReceived: self._suspects,
            ManifestChanged: self._manifest,
            Tick: self._tick,
            StopDispatching: self._stop,
        }

    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Take an event and return what is to be done, in order.

        Parameters
        ----------
        event : Event
            Anything that concerns a request, an attempt or the servers.
        now_s : float
            The monotonic time in seconds; never smaller than before.
        """
        return self._handlers[type(event)](event, now_s)

    def _arrived(self, event: Arrived, now_s: float) -> list[Action]:
        facts = event.facts
        if facts.request_id in self._requests:
            return []
        failure = self._reason_to_refuse(facts, now_s)
        if failure is not None:
            return [Refuse(facts.request_id, failure)]
        actions: list[Action] = []
        if self._room.is_full():
            refused = self._room.make_place(facts.customer)
            if refused is None:
                return [Refuse(facts.request_id, self._room_is_full())]
            actions.append(refused)
        self._requests[facts.request_id] = Request(facts, now_s)
        self._budgets.first_attempt(facts.customer)
        target = self._room.enqueue(self._requests[facts.request_id], now_s)
        return actions + self._dispatch([target], now_s)

    def _room_is_full(self) -> Failure:
        return deadlines.waited_too_long(Verdict.NOT_RUN, self._room.retry_after_s())

    def _reason_to_refuse(self, facts: RequestFacts, now_s: float) -> Failure | None:
        if self._is_stopping:
            return refusals.stopping(Verdict.NOT_RUN)
        if self._is_unknown(facts.model):
            return refusals.unknown_model(facts.model)
        if self._crashes.is_refused(facts.fingerprint, now_s):
            return refusals.crashing(Verdict.NOT_RUN)
        return None

    def _weight_of(self, customer: str) -> float:
        return self._weights.get(customer, 1.0)

    def _is_unknown(self, model: str | None) -> bool:
        if model is None or self._models is None:
            return False
        return model not in self._models

    def _dispatch(self, targets: list[Target], now_s: float) -> list[Action]:
        """Start what has room, the first in rank among the targets' heads first."""
        actions: list[Action] = []
        heads: dict[Target, tuple[Rank, Waiting]] = {}
        for target in targets:
            self._refresh(heads, target)
        while heads:
            target = min(heads, key=lambda t: heads[t][0])
            waiting = heads.pop(target)[1]
            request = self._requests[waiting.request_id]
            server = self._choose(request, target, now_s)
            if server is None:
                continue
            self.queue.take(waiting)
            actions.append(self._start(request, server, target, now_s))
            for other in [*heads, target]:
                self._refresh(heads, other)
        return actions

    def _choose(self, request: Request, target: Target, now_s: float) -> str | None:
        is_over = self._options.fair_queueing and self._shares.is_over(
            request.facts.customer, now_s
        )
        return self.servers.choose(
            request.facts, target, request.tried, now_s, is_over_share=is_over
        )

    def _dispatch_on(self, server: str, now_s: float) -> list[Action]:
        """Start what the server may run, after it has got room."""
        ready = self.servers.ready
        targets = [t for t in self.queue.targets() if server in ready(t)]
        return self._dispatch(targets, now_s)

    def _refresh(
        self, heads: dict[Target, tuple[Rank, Waiting]], target: Target
    ) -> None:
        head = self.queue.head(target)
        if head is None:
            heads.pop(target, None)
        else:
            heads[target] = head

    def _start(
        self, request: Request, server: str, target: Target, now_s: float
    ) -> Action:
        facts = request.facts
        request.begin(server, now_s, is_suspect=target.is_suspect)
        self.servers.started(server, facts, request.cost_tokens, now_s)
        self._shares.add(facts.customer, request.cost_tokens, now_s)
        if target.is_suspect:
            running = self.servers.suspects_running
            running[server] = running.get(server, 0) + 1
        self._room.note_dispatch(now_s)
        return StartAttempt(
            facts.request_id,
            request.attempt,
            server,
            self.servers.url(server),
            CLASS_ORDER.index(facts.urgency),
        )

    def _running(self, request_id: str, attempt: int) -> Request | None:
        request = self._requests.get(request_id)
        if request is None or request.server is None or request.attempt != attempt:
            return None
        return request

    def _first_token(self, event: FirstToken, now_s: float) -> list[Action]:
        request = self._running(event.request_id, event.attempt)
        if request is None or request.server is None:
            return []
        if request.progress_s is not None:
            return []
        delay_s = now_s - request.started_s
        server = request.server
        self.servers.load(server).first_token(delay_s, now_s)
        self.servers.ejector.succeeded(server)
        if self.servers.ejector.observed_delay(server, delay_s, now_s):
            self.servers.load(server).restart()
        request.progress_s = now_s
        return self._dispatch_on(server, now_s)

    def _progress(self, event: Progress, now_s: float) -> list[Action]:
        request = self._running(event.request_id, event.attempt)
        if request is None or request.server is None or event.tokens <= 0:
            return []
        request.generated_tokens += event.tokens
        if request.progress_s is not None:
            gap_s = (now_s - request.progress_s) / event.tokens
            self.servers.load(request.server).token_gap(gap_s, now_s)
        request.progress_s = now_s
        return []

    def _finished(self, event: AttemptFinished, now_s: float) -> list[Action]:
        request = self._running(event.request_id, event.attempt)
        if request is None or request.server is None:
            return []
        self.servers.ejector.succeeded(request.server)
        self._crashes.cleared(request.facts.fingerprint)
        self._room.estimates.learn(request.facts.model, request.generated_tokens)
        server = request.server
        self._release(request, is_over=True)
        del self._requests[event.request_id]
        return self._dispatch_on(server, now_s)

    def _release(self, request: Request, *, is_over: bool) -> None:
        """Take the request off its server and settle what it used."""
        if request.server is None:
            return
        facts = request.facts
        self.servers.load(request.server).ended(facts.request_id)
        if request.was_suspect:
            self.servers.suspects_running[request.server] -= 1
        request.server = None
        used = request.used_tokens(is_over=is_over)
        self.queue.charge(facts.customer, used - request.cost_tokens)
        self.queue.finish(facts.customer)

    def _failed(self, event: AttemptFailed, now_s: float) -> list[Action]:
        request = self._running(event.request_id, event.attempt)
        if request is None or request.server is None:
            return []
        server = request.server
        actions = self._watch_crash(request, event, now_s)
        self.servers.failed(server, event, now_s)
        self._release(request, is_over=False)
        request.verdict = combine_verdicts(request.verdict, event.verdict)
        failure = self._after_failure(request, event, now_s)
        if failure is not None:
            del self._requests[event.request_id]
            actions.append(Refuse(event.request_id, failure))
        actions += self._dispatch(self.queue.targets(), now_s)
        return actions

    def _watch_crash(
        self, request: Request, event: AttemptFailed, now_s: float
    ) -> list[Action]:
        server = request.server or ""
        there = [r for r in self._requests.values() if r.server == server]
        return self._crashes.failed(
            server,
            event,
            tuple(r.facts.fingerprint for r in there),
            tuple(r.facts.fingerprint for r in there if r.was_suspect),
            now_s,
        )

    def _after_failure(
        self, request: Request, event: AttemptFailed, now_s: float
    ) -> Failure | None:
        """Queue the request again, or return the final failure."""
        facts = request.facts
        if self._crashes.is_refused(facts.fingerprint, now_s):
            return refusals.crashing(request.verdict)
        answer = decide_retry(
            self._budgets,
            event,
            customer=facts.customer,
            idempotent=facts.idempotent,
            verdict=request.verdict,
            waited_s=now_s - request.arrived_s,
        )
        if self._is_stopping or not answer.is_allowed:
            return refusals.attempts_failed(
                request.verdict,
                event,
                answer.reason or "stopping",
                self._room.retry_after_s(),
            )
        self._room.enqueue_after(request, answer.delay_s, now_s)
        return None

    def _caller_left(self, event: CallerLeft, now_s: float) -> list[Action]:
        request = self._requests.pop(event.request_id, None)
        if request is None:
            return []
        if request.server is None:
            self.queue.drop(event.request_id)
            return []
        server = request.server
        self._release(request, is_over=False)
        cancel = CancelAttempt(event.request_id, request.attempt)
        return [cancel, *self._dispatch_on(server, now_s)]

    def _view(self, event: ViewReceived, now_s: float) -> list[Action]:
        self.servers.set_view(event.view, now_s)
        return self._dispatch(self.queue.targets(), now_s)

    def _suspects(self, event: SuspectsReceived, now_s: float) -> list[Action]:
        self._crashes.received(event.view, now_s)
        refused = self._room.give_up(now_s)
        self._room.part_suspects(now_s)
        return [*refused, *self._dispatch(self.queue.targets(), now_s)]

    def _manifest(self, event: ManifestChanged, now_s: float) -> list[Action]:
        manifest = event.manifest
        self._weights = {c.name: c.weight for c in manifest.customers}
        self._models = frozenset(model.name for model in manifest.models)
        self.servers.set_manifest(manifest)
        return self._dispatch(self.queue.targets(), now_s)

    def _tick(self, event: Tick, now_s: float) -> list[Action]:
        refused = self._room.tick(now_s)
        return [*refused, *self._dispatch(self.queue.targets(), now_s)]

    def _stop(self, event: StopDispatching, now_s: float) -> list[Action]:
        self._is_stopping = True
        actions: list[Action] = []
        waiting = [r for r in self._requests.values() if r.server is None]
        for request in waiting:
            request_id = request.facts.request_id
            self.queue.drop(request_id)
            del self._requests[request_id]
            actions.append(Refuse(request_id, refusals.stopping(request.verdict)))
        return actions


def make_dispatcher(options: DispatchOptions, seed: int) -> Dispatcher:
    """Return the dispatcher of one entry daemon.

    Parameters
    ----------
    options : DispatchOptions
        Where the daemon stands and which parts are used.
    seed : int
        Seeds the random draws, so that a replay can be repeated exactly.
    """
    return Dispatcher(options, seed)
