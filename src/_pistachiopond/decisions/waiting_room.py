"""The requests that wait: when they are queued again, put behind, or given up."""

from typing import final

from _pistachiopond.decisions import deadlines, refusals
from _pistachiopond.decisions.crash_watch import CrashWatch
from _pistachiopond.decisions.dispatch_options import DispatchOptions
from _pistachiopond.decisions.dispatch_request import OutputEstimates, Request
from _pistachiopond.decisions.dispatch_servers import Servers
from _pistachiopond.decisions.dispatch_types import Refuse
from _pistachiopond.decisions.queueing import FairQueue, Target
from _pistachiopond.schema.manifest import Urgency
from _pistachiopond.schema.verdict import Failure


@final
class WaitingRoom:
    """Everything about a dispatcher's requests that no server runs."""

    def __init__(
        self,
        options: DispatchOptions,
        requests: dict[str, Request],
        queue: FairQueue,
        servers: Servers,
        crashes: CrashWatch,
    ) -> None:
        self._options = options
        self._requests = requests
        self._queue = queue
        self._servers = servers
        self._crashes = crashes
        self._delayed: list[str] = []
        self._pace_s = 0.01
        self._dispatched_s = 0.0
        self.estimates = OutputEstimates()

    def is_full(self) -> bool:
        """Return whether no more requests may wait."""
        return len(self._queue) >= self._options.max_waiting

    def enqueue(
        self,
        request: Request,
        now_s: float,
        *,
        is_again: bool = False,
        urgency: Urgency | None = None,
    ) -> Target:
        """Queue a request; another urgency than its own puts it behind."""
        facts = request.facts
        is_suspect = self._crashes.is_suspect(facts.fingerprint, now_s)
        target = Target(facts.service, facts.model, facts.adapter, is_suspect)
        request.cost_tokens = self.estimates.cost_tokens(facts)
        self._queue.push(
            facts.request_id,
            target,
            urgency or facts.urgency,
            facts.customer,
            request.cost_tokens,
            is_again=is_again,
        )
        return target

    def enqueue_after(self, request: Request, delay_s: float, now_s: float) -> None:
        """Queue a request again, after a delay."""
        if delay_s <= 0.0:
            self.enqueue(request, now_s, is_again=True)
            return
        request.not_before_s = now_s + delay_s
        self._delayed.append(request.facts.request_id)

    def note_dispatch(self, now_s: float) -> None:
        """Note that a request has left the queue for a server."""
        gap_s = now_s - self._dispatched_s
        self._pace_s = deadlines.smooth_pace(self._pace_s, gap_s)
        self._dispatched_s = now_s

    def retry_after_s(self) -> float:
        """Return when coming back makes sense, in seconds."""
        return deadlines.retry_after_s(len(self._queue), self._pace_s)

    def tick(self, now_s: float) -> list[Refuse]:
        """Queue what was delayed, put late requests behind, and give up others."""
        self._requeue_delayed(now_s)
        if self._options.late == "last":
            self._demote_late(now_s)
        return self.give_up(now_s)

    def part_suspects(self, now_s: float) -> None:
        """Move requests whose standing has changed to the other lane."""
        for waiting in self._queue.waiting():
            request = self._requests[waiting.request_id]
            is_suspect = self._crashes.is_suspect(request.facts.fingerprint, now_s)
            if is_suspect != waiting.target.is_suspect:
                self._queue.drop(waiting.request_id)
                self.enqueue(request, now_s, urgency=waiting.urgency)

    def make_place(self, customer: str) -> Refuse | None:
        """Refuse the newest request of the customer with the most, if not this one.

        A customer that floods a full queue must not cost the others their place.
        """
        newest = self._queue.newest_of_longest()
        if newest is None or newest.customer == customer:
            return None
        request = self._requests.pop(newest.request_id)
        self._queue.drop(newest.request_id)
        failure = deadlines.waited_too_long(request.verdict, self.retry_after_s())
        return Refuse(newest.request_id, failure)

    def give_up(self, now_s: float) -> list[Refuse]:
        """Refuse the requests for which waiting has no use any more."""
        refused: list[Refuse] = []
        for waiting in self._queue.waiting():
            request = self._requests[waiting.request_id]
            failure = self._reason_to_give_up(request, waiting.target, now_s)
            if failure is None:
                continue
            self._queue.drop(waiting.request_id)
            del self._requests[waiting.request_id]
            refused.append(Refuse(waiting.request_id, failure))
        return refused

    def _reason_to_give_up(
        self, request: Request, target: Target, now_s: float
    ) -> Failure | None:
        if self._crashes.is_refused(request.facts.fingerprint, now_s):
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
        if deadlines.is_out_of_patience(urgency, waited_s) or (
            is_refused and deadlines.is_late(urgency, waited_s)
        ):
            return deadlines.waited_too_long(request.verdict, self.retry_after_s())
        return None

    def _requeue_delayed(self, now_s: float) -> None:
        left: list[str] = []
        for request_id in self._delayed:
            request = self._requests.get(request_id)
            if request is None:
                continue
            if request.not_before_s > now_s:
                left.append(request_id)
            else:
                self.enqueue(request, now_s, is_again=True)
        self._delayed = left

    def _demote_late(self, now_s: float) -> None:
        for waiting in self._queue.waiting():
            request = self._requests[waiting.request_id]
            waited_s = now_s - request.arrived_s
            if deadlines.is_late(waiting.urgency, waited_s):
                self._queue.drop(waiting.request_id)
                self.enqueue(request, now_s, urgency="batch")
