"""Weighted fair queueing over customers, with urgency classes.

Each customer has a virtual counter of the tokens served to it, divided by its
weight. Customers whose counters are within `SLACK_TOKENS` of the smallest are served
in order of arrival, since that keeps most first tokens within their target. Customers
further ahead are served after these, in the order of their counters. When an idle
customer queues a request, its counter is raised to the smallest counter among the
customers with queued or running requests, so that idle time accumulates no credit.
The estimated cost of a request is charged at dispatch and corrected when the actual
number of tokens is known.

Classes have strict priority in the order urgent, normal, batch, except that a lower
class earns credit with each token dispatched in a class above it and may spend the
credit to go first. So no class starves.
"""

from collections import Counter, deque
from collections.abc import Callable
from typing import Final, NamedTuple, final

from _pistachiopond.schema.manifest import Urgency

CLASS_ORDER: Final[tuple[Urgency, ...]] = ("urgent", "normal", "batch")
CLASS_SHARE: Final[dict[Urgency, float]] = {"normal": 0.2, "batch": 0.05}
MAX_CREDIT_TOKENS: Final = 20_000.0
# Cap on a customer's counter above the smallest one, before division by its weight.
MAX_TOKENS_AHEAD: Final = 200_000.0
SLACK_TOKENS: Final = 2_000.0
CREDIT_RANK: Final = -1


class Target(NamedTuple):
    """What a worker must provide to run a request; each target has its own queue.

    Attributes
    ----------
    service : str
        The service that the worker must belong to.
    model, adapter : str or None
        The model and adapter that the worker must have loaded.
    is_suspect : bool
        Whether the request is suspected of crashing servers. Suspects are queued
        separately, so that they do not block other requests.
    """

    service: str
    model: str | None
    adapter: str | None
    is_suspect: bool = False


class QueuedRequest(NamedTuple):
    """One request in the queue, with its estimated cost in tokens."""

    request_id: str
    target: Target
    urgency: Urgency
    customer: str
    cost_tokens: float
    order: int


class Rank(NamedTuple):
    """The sort key of a queued request; the smallest is dispatched first."""

    class_rank: int
    counter_tokens: float
    order: int


TargetQueue = dict[Urgency, dict[str, deque[QueuedRequest]]]


@final
class FairQueue:
    """The queue of one entry daemon."""

    def __init__(
        self, weight_of: Callable[[str], float], *, is_fair: bool, has_classes: bool
    ) -> None:
        self._weight_of = weight_of
        self._is_fair = is_fair
        self._has_classes = has_classes
        self._by_target: dict[Target, TargetQueue] = {}
        self._entries: dict[str, QueuedRequest] = {}
        self._counters: dict[str, float] = {}
        self._active: dict[str, int] = {}
        self._credit: dict[Urgency, float] = dict.fromkeys(CLASS_SHARE, 0.0)
        self._waiting_by_class: dict[Urgency, int] = dict.fromkeys(CLASS_ORDER, 0)
        self._order = 0
        self._min_counter = 0.0
        self.examined = 0

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._entries)

    def targets(self) -> list[Target]:
        """Return the targets that have queued requests."""
        return list(self._by_target)

    def waiting(self) -> list[QueuedRequest]:
        """Return all queued requests, in the order in which they were added."""
        return list(self._entries.values())

    def push(
        self,
        request_id: str,
        target: Target,
        urgency: Urgency,
        customer: str,
        cost_tokens: float,
        *,
        is_retry: bool = False,
    ) -> None:
        """Add a request.

        Parameters
        ----------
        request_id : str
            Unique in the process.
        target : Target
            What a worker must provide to run it.
        urgency : {"urgent", "normal", "batch"}
            Its class.
        customer : str
            The customer that is charged.
        cost_tokens : float
            Its estimated cost.
        is_retry : bool
            Whether to queue it before the other requests of its customer.
        """
        self._order += 1
        if not self._has_classes:
            urgency = "normal"
        entry = QueuedRequest(
            request_id, target, urgency, customer, cost_tokens, self._order
        )
        by_class = self._by_target.setdefault(target, {})
        fifo = by_class.setdefault(urgency, {}).setdefault(customer, deque())
        if is_retry:
            fifo.appendleft(entry)
        else:
            fifo.append(entry)
        self._entries[request_id] = entry
        self._waiting_by_class[urgency] += 1
        self._bound_counter(customer)
        self._active[customer] = self._active.get(customer, 0) + 1

    def head(self, target: Target) -> tuple[Rank, QueuedRequest] | None:
        """Return the next request of the target and its rank, or None."""
        by_class = self._by_target.get(target)
        if not by_class:
            return None
        best: tuple[Rank, QueuedRequest] | None = None
        self._min_counter = min(
            (self._counters.get(name, 0.0) for name in self._active), default=0.0
        )
        for urgency, by_customer in by_class.items():
            for fifo in by_customer.values():
                self.examined += 1
                found = (self._rank(urgency, fifo[0]), fifo[0])
                if best is None or found[0] < best[0]:
                    best = found
        return best

    def take(self, entry: QueuedRequest) -> None:
        """Remove a request that is dispatched, and charge its estimated cost."""
        self._remove_entry(entry)
        self._waiting_by_class[entry.urgency] -= 1
        self._update_credit(entry)
        self.charge(entry.customer, entry.cost_tokens)

    def drop(self, request_id: str) -> None:
        """Remove a request that will not be dispatched; ignore an unknown one."""
        entry = self._entries.get(request_id)
        if entry is None:
            return
        self._remove_entry(entry)
        self._waiting_by_class[entry.urgency] -= 1
        self.finish(entry.customer)

    def charge(self, customer: str, tokens: float) -> None:
        """Add tokens to a customer's counter; negative if the estimate was too high."""
        counter = self._counters.get(customer, 0.0)
        self._counters[customer] = counter + tokens / self._weight_of(customer)

    def finish(self, customer: str) -> None:
        """Record that a request of the customer is no longer queued or running."""
        left = self._active.get(customer, 0) - 1
        if left > 0:
            self._active[customer] = left
            return
        self._active.pop(customer, None)
        if not self._active:
            self._counters.clear()

    def newest_of_largest_backlog(self) -> QueuedRequest | None:
        """Return the newest request of the customer with the most queued requests."""
        counts = Counter(entry.customer for entry in self._entries.values())
        if not counts:
            return None
        most_waiting = max(counts, key=lambda name: (counts[name], name))
        own = [e for e in self._entries.values() if e.customer == most_waiting]
        return max(own, key=lambda entry: entry.order)

    def _rank(self, urgency: Urgency, entry: QueuedRequest) -> Rank:
        counter = self._tokens_ahead(entry.customer) if self._is_fair else 0.0
        rank = CLASS_ORDER.index(urgency)
        if self._credit.get(urgency, 0.0) >= entry.cost_tokens:
            rank = CREDIT_RANK
        return Rank(rank, counter, entry.order)

    def _tokens_ahead(self, customer: str) -> float:
        """Return the excess over the smallest counter; 0 within the slack."""
        ahead = self._counters.get(customer, 0.0) - self._min_counter
        return ahead if ahead > SLACK_TOKENS else 0.0

    def _update_credit(self, entry: QueuedRequest) -> None:
        if self._credit.get(entry.urgency, 0.0) >= entry.cost_tokens:
            self._credit[entry.urgency] -= entry.cost_tokens
            return
        class_index = CLASS_ORDER.index(entry.urgency)
        for lower in CLASS_ORDER[class_index + 1 :]:
            if self._waiting_by_class[lower] == 0:
                self._credit[lower] = 0.0
                continue
            earned = self._credit[lower] + CLASS_SHARE[lower] * entry.cost_tokens
            self._credit[lower] = min(earned, MAX_CREDIT_TOKENS)

    def _bound_counter(self, customer: str) -> None:
        """Raise an idle customer's counter to the smallest one, and cap its excess."""
        others = [
            self._counters.get(name, 0.0) for name in self._active if name != customer
        ]
        own = self._counters.get(customer, 0.0)
        if not others:
            return
        lowest = min(others)
        if self._active.get(customer, 0) == 0:
            own = max(own, lowest)
        limit = lowest + MAX_TOKENS_AHEAD / self._weight_of(customer)
        self._counters[customer] = min(own, limit)

    def _remove_entry(self, entry: QueuedRequest) -> None:
        del self._entries[entry.request_id]
        by_class = self._by_target[entry.target]
        fifo = by_class[entry.urgency][entry.customer]
        fifo.remove(entry)
        if fifo:
            return
        del by_class[entry.urgency][entry.customer]
        if not by_class[entry.urgency]:
            del by_class[entry.urgency]
        if not by_class:
            del self._by_target[entry.target]
