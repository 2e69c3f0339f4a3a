"""Requests that wait for a server: queueing, retry delays, expiry and shedding."""

from typing import final

from _pistachiopond.decisions import deadlines, refusals
from _pistachiopond.decisions.crash_tracker import CrashTracker
from _pistachiopond.decisions.dispatch_options import DispatchOptions
from _pistachiopond.decisions.dispatch_request import OutputEstimates, Request
from _pistachiopond.decisions.dispatch_servers import ServerTable
from _pistachiopond.decisions.dispatch_types import Refuse
from _pistachiopond.decisions.queueing import FairQueue, Target
from _pistachiopond.schema.manifest import Urgency
from _pistachiopond.schema.verdict import Failure


@final
class Backlog:
    """Manages the requests of a dispatcher that no server is running."""

    def __init__(
        self,
        options: DispatchOptions,
        requests: dict[str, Request],
        queue: FairQueue,
        servers: ServerTable,
        crash_tracker: CrashTracker,
    ) -> None:
        self._options = options
        self._requests = requests
        self._queue = queue
        self._servers = servers
        self._crash_tracker = crash_tracker
        self._delayed: list[str] = []
        self._dispatch_interval_s = 0.01
        self._last_dispatch_s = 0.0
        self.estimates = OutputEstimates()

    def is_full(self) -> bool:
        """Return whether the queue has reached its maximum length."""
        return len(self._queue) >= self._options.max_waiting

    def enqueue(
        self,
        request: Request,
        now_s: float,
        *,
        is_retry: bool = False,
        urgency: Urgency | None = None,
    ) -> Target:
        """Queue a request and return its target.

        `urgency` overrides the request's own class, to demote it.
        """
        facts = request.facts
        is_suspect = self._crash_tracker.is_suspect(facts.fingerprint, now_s)
        target = Target(facts.service, facts.model, facts.adapter, is_suspect)
        request.cost_tokens = self.estimates.cost_tokens(facts)
        self._queue.push(
            facts.request_id,
            target,
            urgency or facts.urgency,
            facts.customer,
            request.cost_tokens,
            is_retry=is_retry,
        )
        return target

    def enqueue_after(self, request: Request, delay_s: float, now_s: float) -> None:
        """Queue a request for a retry, after a delay."""
        if delay_s <= 0.0:
            self.enqueue(request, now_s, is_retry=True)
            return
        request.not_before_s = now_s + delay_s
        self._delayed.append(request.facts.request_id)

    def record_dispatch(self, now_s: float) -> None:
        """Record a dispatch, to estimate how fast the queue drains."""
        gap_s = now_s - self._last_dispatch_s
        self._dispatch_interval_s = deadlines.smooth_interval(
            self._dispatch_interval_s, gap_s
        )
        self._last_dispatch_s = now_s

    def retry_after_s(self) -> float:
        """Return the delay in seconds after which a refused caller should retry."""
        return deadlines.retry_after_s(len(self._queue), self._dispatch_interval_s)

    def tick(self, now_s: float) -> list[Refuse]:
        """Queue retries that are due, demote late requests and refuse expired ones."""
        self._requeue_delayed(now_s)
        if self._options.late == "last":
            self._demote_late(now_s)
        return self.expire(now_s)

    def requeue_changed_suspects(self, now_s: float) -> None:
        """Queue requests again that have become suspects or have ceased to be."""
        for queued in self._queue.waiting():
            request = self._requests[queued.request_id]
            is_suspect = self._crash_tracker.is_suspect(
                request.facts.fingerprint, now_s
            )
            if is_suspect != queued.target.is_suspect:
                self._queue.drop(queued.request_id)
                self.enqueue(request, now_s, urgency=queued.urgency)

    def shed_for(self, customer: str) -> Refuse | None:
        """Free a place in a full queue for a request of this customer.

        Refuses the newest request of the customer with the most queued requests, or
        nothing if that is this customer. So a customer that floods the queue does
        not cause requests of other customers to be refused.
        """
        newest = self._queue.newest_of_largest_backlog()
        if newest is None or newest.customer == customer:
            return None
        request = self._requests.pop(newest.request_id)
        self._queue.drop(newest.request_id)
        failure = deadlines.overloaded(request.verdict, self.retry_after_s())
        return Refuse(newest.request_id, failure)

    def expire(self, now_s: float) -> list[Refuse]:
        """Refuse queued requests that have expired.

        They crash servers, no server that can run them has been reachable for the
        hold time, or they have waited for too long.
        """
        refused: list[Refuse] = []
        for queued in self._queue.waiting():
            request = self._requests[queued.request_id]
            failure = self._expiry_failure(request, queued.target, now_s)
            if failure is None:
                continue
            self._queue.drop(queued.request_id)
            del self._requests[queued.request_id]
            refused.append(Refuse(queued.request_id, failure))
        return refused

    def _expiry_failure(
        self, request: Request, target: Target, now_s: float
    ) -> Failure | None:
        if self._crash_tracker.is_refused(request.facts.fingerprint, now_s):
            return refusals.crashing(request.verdict)
        if self._servers.ready(target):
            request.unreachable_since_s = None
        elif request.unreachable_since_s is None:
            request.unreachable_since_s = now_s
        elif now_s - request.unreachable_since_s >= self._options.hold_s:
            return refusals.unreachable(request.verdict)
        waited_s = now_s - request.arrived_s
        urgency = request.facts.urgency
        is_refused = self._options.late == "refuse"
        if deadlines.has_exceeded_max_wait(urgency, waited_s) or (
            is_refused and deadlines.is_late(urgency, waited_s)
        ):
            return deadlines.overloaded(request.verdict, self.retry_after_s())
        return None

    def _requeue_delayed(self, now_s: float) -> None:
        still_delayed: list[str] = []
        for request_id in self._delayed:
            request = self._requests.get(request_id)
            if request is None:
                continue
            if request.not_before_s > now_s:
                still_delayed.append(request_id)
            else:
                self.enqueue(request, now_s, is_retry=True)
        self._delayed = still_delayed

    def _demote_late(self, now_s: float) -> None:
        for queued in self._queue.waiting():
            request = self._requests[queued.request_id]
            waited_s = now_s - request.arrived_s
            if deadlines.is_late(queued.urgency, waited_s):
                self._queue.drop(queued.request_id)
                self.enqueue(request, now_s, urgency="batch")
