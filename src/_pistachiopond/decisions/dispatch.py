"""The dispatcher, which queues, starts, retries and refuses requests.

The dispatcher is a state machine: each typed event comes with its time and returns
the typed actions to perform. It does no I/O and reads no clock, so that live
processes and replay run the same code. Events of attempts that have ended are
ignored, so late and duplicated events are harmless.
"""

import random
from collections.abc import Callable
from typing import final

from _pistachiopond.decisions import deadlines, refusals
from _pistachiopond.decisions.backlog import Backlog
from _pistachiopond.decisions.crash_tracker import CrashTracker
from _pistachiopond.decisions.dispatch_options import DispatchOptions
from _pistachiopond.decisions.dispatch_request import Request
from _pistachiopond.decisions.dispatch_servers import ServerTable
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
    QueuedRequest,
    Rank,
    Target,
)
from _pistachiopond.decisions.recent_usage import RecentUsage
from _pistachiopond.decisions.retry import RetryBudgets, decide_retry
from _pistachiopond.schema.verdict import Failure, Verdict, combine_verdicts


@final
class Dispatcher:
    """Dispatches the requests of one entry daemon."""

    def __init__(self, options: DispatchOptions, seed: int) -> None:
        self._options = options
        self._requests: dict[str, Request] = {}
        self._weights: dict[str, float] = {}
        self._known_models: frozenset[str] | None = None
        self._is_stopping = False
        self._budgets = RetryBudgets()
        self._crash_tracker = CrashTracker(options.daemon)
        self.servers = ServerTable(options, random.Random(seed))
        self._recent_usage = RecentUsage(self._weight_of)
        self.queue = FairQueue(
            self._weight_of,
            is_fair=options.fair_queueing,
            has_classes=options.urgency_classes,
        )
        self._backlog = Backlog(
            options, self._requests, self.queue, self.servers, self._crash_tracker
        )
        self._handlers: dict[type, Callable[..., list[Action]]] = {
            Arrived: self._on_arrived,
            FirstToken: self._on_first_token,
            Progress: self._on_progress,
            AttemptFinished: self._on_finished,
            AttemptFailed: self._on_failed,
            CallerLeft: self._on_caller_left,
            ViewReceived: self._on_view,
            SuspectsReceived: self._on_suspects,
            ManifestChanged: self._on_manifest,
            Tick: self._on_tick,
            StopDispatching: self._on_stop,
        }

    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Process an event and return the actions to perform, in order.

        Parameters
        ----------
        event : Event
            A change to a request, an attempt, the backend servers or the settings.
        now_s : float
            The monotonic time in seconds; never less than in an earlier call.
        """
        return self._handlers[type(event)](event, now_s)

    def _on_arrived(self, event: Arrived, now_s: float) -> list[Action]:
        facts = event.facts
        if facts.request_id in self._requests:
            return []
        failure = self._immediate_refusal(facts, now_s)
        if failure is not None:
            return [Refuse(facts.request_id, failure)]
        actions: list[Action] = []
        if self._backlog.is_full():
            refused = self._backlog.shed_for(facts.customer)
            if refused is None:
                return [Refuse(facts.request_id, self._backlog_full())]
            actions.append(refused)
        self._requests[facts.request_id] = Request(facts, now_s)
        self._budgets.add_first_attempt(facts.customer)
        target = self._backlog.enqueue(self._requests[facts.request_id], now_s)
        return actions + self._dispatch([target], now_s)

    def _backlog_full(self) -> Failure:
        return deadlines.overloaded(Verdict.NOT_RUN, self._backlog.retry_after_s())

    def _immediate_refusal(self, facts: RequestFacts, now_s: float) -> Failure | None:
        if self._is_stopping:
            return refusals.stopping(Verdict.NOT_RUN)
        if self._is_unknown_model(facts.model):
            return refusals.unknown_model(facts.model)
        if self._crash_tracker.is_refused(facts.fingerprint, now_s):
            return refusals.crashing(Verdict.NOT_RUN)
        return None

    def _weight_of(self, customer: str) -> float:
        return self._weights.get(customer, 1.0)

    def _is_unknown_model(self, model: str | None) -> bool:
        if model is None or self._known_models is None:
            return False
        return model not in self._known_models

    def _dispatch(self, targets: list[Target], now_s: float) -> list[Action]:
        """Start queued requests while their servers have room.

        Of the requests at the heads of the targets' queues, the one with the lowest
        rank is tried first.
        """
        actions: list[Action] = []
        heads: dict[Target, tuple[Rank, QueuedRequest]] = {}
        for target in targets:
            self._refresh_head(heads, target)
        while heads:
            target = min(heads, key=lambda t: heads[t][0])
            queued = heads.pop(target)[1]
            request = self._requests[queued.request_id]
            server = self._choose_server(request, target, now_s)
            if server is None:
                continue
            self.queue.take(queued)
            actions.append(self._start(request, server, target, now_s))
            for other in [*heads, target]:
                self._refresh_head(heads, other)
        return actions

    def _choose_server(
        self, request: Request, target: Target, now_s: float
    ) -> str | None:
        is_above_share = (
            self._options.fair_queueing
            and self._recent_usage.is_over_share(request.facts.customer, now_s)
        )
        return self.servers.choose(
            request.facts, target, request.tried, now_s, is_over_share=is_above_share
        )

    def _dispatch_to_server(self, server: str, now_s: float) -> list[Action]:
        """Start queued requests that the server can run, after a slot became free."""
        ready = self.servers.ready
        targets = [t for t in self.queue.targets() if server in ready(t)]
        return self._dispatch(targets, now_s)

    def _refresh_head(
        self, heads: dict[Target, tuple[Rank, QueuedRequest]], target: Target
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
        self._recent_usage.add(facts.customer, request.cost_tokens, now_s)
        if target.is_suspect:
            running = self.servers.suspects_running
            running[server] = running.get(server, 0) + 1
        self._backlog.record_dispatch(now_s)
        return StartAttempt(
            facts.request_id,
            request.attempt,
            server,
            self.servers.url(server),
            CLASS_ORDER.index(facts.urgency),
        )

    def _running_request(self, request_id: str, attempt: int) -> Request | None:
        request = self._requests.get(request_id)
        if request is None or request.server is None or request.attempt != attempt:
            return None
        return request

    def _on_first_token(self, event: FirstToken, now_s: float) -> list[Action]:
        request = self._running_request(event.request_id, event.attempt)
        if request is None or request.server is None:
            return []
        if request.progress_s is not None:
            return []
        delay_s = now_s - request.started_s
        server = request.server
        self.servers.load(server).record_first_token(delay_s, now_s)
        self.servers.ejector.succeeded(server)
        if self.servers.ejector.record_delay(server, delay_s, now_s):
            self.servers.load(server).reset_window()
        request.progress_s = now_s
        return self._dispatch_to_server(server, now_s)

    def _on_progress(self, event: Progress, now_s: float) -> list[Action]:
        request = self._running_request(event.request_id, event.attempt)
        if request is None or request.server is None or event.tokens <= 0:
            return []
        request.generated_tokens += event.tokens
        if request.progress_s is not None:
            gap_s = (now_s - request.progress_s) / event.tokens
            self.servers.load(request.server).record_token_gap(gap_s, now_s)
        request.progress_s = now_s
        return []

    def _on_finished(self, event: AttemptFinished, now_s: float) -> list[Action]:
        request = self._running_request(event.request_id, event.attempt)
        if request is None or request.server is None:
            return []
        self.servers.ejector.succeeded(request.server)
        self._crash_tracker.record_completed(request.facts.fingerprint)
        self._backlog.estimates.learn(request.facts.model, request.generated_tokens)
        server = request.server
        self._release(request, is_complete=True)
        del self._requests[event.request_id]
        return self._dispatch_to_server(server, now_s)

    def _release(self, request: Request, *, is_complete: bool) -> None:
        """Detach the request from its server and charge the tokens that it used."""
        if request.server is None:
            return
        facts = request.facts
        self.servers.load(request.server).ended(facts.request_id)
        if request.was_suspect:
            self.servers.suspects_running[request.server] -= 1
        request.server = None
        used = request.used_tokens(is_complete=is_complete)
        self.queue.charge(facts.customer, used - request.cost_tokens)
        self.queue.finish(facts.customer)

    def _on_failed(self, event: AttemptFailed, now_s: float) -> list[Action]:
        request = self._running_request(event.request_id, event.attempt)
        if request is None or request.server is None:
            return []
        server = request.server
        actions = self._record_crash(request, event, now_s)
        self.servers.failed(server, event, now_s)
        self._release(request, is_complete=False)
        request.verdict = combine_verdicts(request.verdict, event.verdict)
        failure = self._requeue_or_fail(request, event, now_s)
        if failure is not None:
            del self._requests[event.request_id]
            actions.append(Refuse(event.request_id, failure))
        actions += self._dispatch(self.queue.targets(), now_s)
        return actions

    def _record_crash(
        self, request: Request, event: AttemptFailed, now_s: float
    ) -> list[Action]:
        server = request.server or ""
        on_server = [r for r in self._requests.values() if r.server == server]
        return self._crash_tracker.failed(
            server,
            event,
            tuple(r.facts.fingerprint for r in on_server),
            tuple(r.facts.fingerprint for r in on_server if r.was_suspect),
            now_s,
        )

    def _requeue_or_fail(
        self, request: Request, event: AttemptFailed, now_s: float
    ) -> Failure | None:
        """Queue the request for a retry, or return its final failure."""
        facts = request.facts
        if self._crash_tracker.is_refused(facts.fingerprint, now_s):
            return refusals.crashing(request.verdict)
        decision = decide_retry(
            self._budgets,
            event,
            customer=facts.customer,
            idempotent=facts.idempotent,
            verdict=request.verdict,
            waited_s=now_s - request.arrived_s,
        )
        if self._is_stopping or not decision.is_allowed:
            return refusals.attempts_failed(
                request.verdict,
                event,
                decision.reason or "stopping",
                self._backlog.retry_after_s(),
            )
        self._backlog.enqueue_after(request, decision.delay_s, now_s)
        return None

    def _on_caller_left(self, event: CallerLeft, now_s: float) -> list[Action]:
        request = self._requests.pop(event.request_id, None)
        if request is None:
            return []
        if request.server is None:
            self.queue.drop(event.request_id)
            return []
        server = request.server
        self._release(request, is_complete=False)
        cancel = CancelAttempt(event.request_id, request.attempt)
        return [cancel, *self._dispatch_to_server(server, now_s)]

    def _on_view(self, event: ViewReceived, now_s: float) -> list[Action]:
        self.servers.set_view(event.view, now_s)
        return self._dispatch(self.queue.targets(), now_s)

    def _on_suspects(self, event: SuspectsReceived, now_s: float) -> list[Action]:
        self._crash_tracker.set_fleet_suspects(event.view, now_s)
        refused = self._backlog.expire(now_s)
        self._backlog.requeue_changed_suspects(now_s)
        return [*refused, *self._dispatch(self.queue.targets(), now_s)]

    def _on_manifest(self, event: ManifestChanged, now_s: float) -> list[Action]:
        manifest = event.manifest
        self._weights = {c.name: c.weight for c in manifest.customers}
        self._known_models = frozenset(model.name for model in manifest.models)
        self.servers.set_manifest(manifest)
        return self._dispatch(self.queue.targets(), now_s)

    def _on_tick(self, event: Tick, now_s: float) -> list[Action]:
        refused = self._backlog.tick(now_s)
        return [*refused, *self._dispatch(self.queue.targets(), now_s)]

    def _on_stop(self, event: StopDispatching, now_s: float) -> list[Action]:
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
        The daemon's location, and which mechanisms are enabled.
    seed : int
        Seed of the random number generator, so that a replay is reproducible.
    """
    return Dispatcher(options, seed)
