"""Weighted fair queueing over customers, with urgency classes.

Each customer has a counter of the tokens that were served to it, divided by its
weight. Those within a slack of the smallest counter go in the order of arrival,
since that keeps most first tokens in time; one that is further ahead waits, the
furthest longest. A customer that begins to wait is lifted to the smallest counter
of those that are being served or wait, so that idle time earns no credit.
Estimates are charged at dispatch and corrected when the true number of tokens is
known.

Classes go in the order urgent, normal, batch, but each lower class earns credit
with every token dispatched above it, so that none starves.
"""

from collections import Counter, deque
from collections.abc import Callable
from typing import Final, NamedTuple, final

from _pistachiopond.schema.manifest import Urgency

CLASS_ORDER: Final[tuple[Urgency, ...]] = ("urgent", "normal", "batch")
CLASS_SHARE: Final[dict[Urgency, float]] = {"normal": 0.2, "batch": 0.05}
MAX_CREDIT_TOKENS: Final = 20_000.0
MAX_LEAD_TOKENS: Final = 200_000.0
SLACK_TOKENS: Final = 2_000.0
CREDIT_RANK: Final = -1


class Target(NamedTuple):
    """What a request may run on; requests of one target wait in one lane.

    Attributes
    ----------
    service : str
        The service whose workers may run it.
    model, adapter : str or None
        What a worker must have loaded.
    is_suspect : bool
        Suspects wait apart, so that none blocks the others.
    """

    service: str
    model: str | None
    adapter: str | None
    is_suspect: bool = False


class Waiting(NamedTuple):
    """One request in the queue; `cost_tokens` is the estimate of its work."""

    request_id: str
    target: Target
    urgency: Urgency
    customer: str
    cost_tokens: float
    order: int


class Rank(NamedTuple):
    """The place of a waiting request among all; the smallest goes first."""

    class_rank: int
    counter_tokens: float
    order: int


Lane = dict[Urgency, dict[str, deque[Waiting]]]


@final
class FairQueue:
    """The requests that wait in one entry daemon."""

    def __init__(
        self, weight_of: Callable[[str], float], *, is_fair: bool, has_classes: bool
    ) -> None:
        self._weight_of = weight_of
        self._is_fair = is_fair
        self._has_classes = has_classes
        self._lanes: dict[Target, Lane] = {}
        self._entries: dict[str, Waiting] = {}
        self._counters: dict[str, float] = {}
        self._active: dict[str, int] = {}
        self._credit: dict[Urgency, float] = dict.fromkeys(CLASS_SHARE, 0.0)
        self._class_waiting: dict[Urgency, int] = dict.fromkeys(CLASS_ORDER, 0)
        self._order = 0
        self._lowest = 0.0
        self.examined = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._entries)

    def targets(self) -> list[Target]:
        """Return the targets for which requests wait."""
        return list(self._lanes)

    def waiting(self) -> list[Waiting]:
        """Return all waiting requests, in the order of their arrival."""
        return list(self._entries.values())

    def push(
        self,
        request_id: str,
        target: Target,
        urgency: Urgency,
        customer: str,
        cost_tokens: float,
        *,
        is_again: bool = False,
    ) -> None:
        """Add a request.

        Parameters
        ----------
        request_id : str
            Unique in the process.
        target : Target
            What it may run on.
        urgency : {"urgent", "normal", "batch"}
            Its class.
        customer : str
            Who is charged.
        cost_tokens : float
            The estimate of its work, in tokens.
        is_again : bool
            A retry goes before the requests of its customer that came later.
        """
        self._order += 1
        if not self._has_classes:
            urgency = "normal"
        entry = Waiting(request_id, target, urgency, customer, cost_tokens, self._order)
        lane = self._lanes.setdefault(target, {})
        line = lane.setdefault(urgency, {}).setdefault(customer, deque())
        if is_again:
            line.appendleft(entry)
        else:
            line.append(entry)
        self._entries[request_id] = entry
        self._class_waiting[urgency] += 1
        self._lift(customer)
        self._active[customer] = self._active.get(customer, 0) + 1

    def head(self, target: Target) -> tuple[Rank, Waiting] | None:
        """Return the request of that target that goes next, and its rank."""
        lane = self._lanes.get(target)
        if not lane:
            return None
        best: tuple[Rank, Waiting] | None = None
        self._lowest = min(
            (self._counters.get(name, 0.0) for name in self._active), default=0.0
        )
        for urgency, lines in lane.items():
            for line in lines.values():
                self.examined += 1
                found = (self._rank(urgency, line[0]), line[0])
                if best is None or found[0] < best[0]:
                    best = found
        return best

    def take(self, entry: Waiting) -> None:
        """Remove a request that is dispatched, and charge its estimate."""
        self._remove_entry(entry)
        self._class_waiting[entry.urgency] -= 1
        self._settle_credit(entry)
        self.charge(entry.customer, entry.cost_tokens)

    def drop(self, request_id: str) -> None:
        """Remove a request that will not be dispatched; unknown ones are ignored."""
        entry = self._entries.get(request_id)
        if entry is None:
            return
        self._remove_entry(entry)
        self._class_waiting[entry.urgency] -= 1
        self.finish(entry.customer)

    def charge(self, customer: str, tokens: float) -> None:
        """Add tokens to a customer's counter; negative ones correct an estimate."""
        counter = self._counters.get(customer, 0.0)
        self._counters[customer] = counter + tokens / self._weight_of(customer)

    def finish(self, customer: str) -> None:
        """Note that one request of the customer neither waits nor runs any more."""
        left = self._active.get(customer, 0) - 1
        if left > 0:
            self._active[customer] = left
            return
        self._active.pop(customer, None)
        if not self._active:
            self._counters.clear()

    def newest_of_longest(self) -> Waiting | None:
        """Return the last arrival of the customer with the most waiting requests."""
        counts = Counter(entry.customer for entry in self._entries.values())
        if not counts:
            return None
        longest = max(counts, key=lambda name: (counts[name], name))
        own = [e for e in self._entries.values() if e.customer == longest]
        return max(own, key=lambda entry: entry.order)

    def _rank(self, urgency: Urgency, entry: Waiting) -> Rank:
        counter = self._lead_tokens(entry.customer) if self._is_fair else 0.0
        rank = CLASS_ORDER.index(urgency)
        if self._credit.get(urgency, 0.0) >= entry.cost_tokens:
            rank = CREDIT_RANK
        return Rank(rank, counter, entry.order)

    def _lead_tokens(self, customer: str) -> float:
        """Return how far the customer is ahead of the others; 0 within the slack."""
        lead = self._counters.get(customer, 0.0) - self._lowest
        return lead if lead > SLACK_TOKENS else 0.0

    def _settle_credit(self, entry: Waiting) -> None:
        if self._credit.get(entry.urgency, 0.0) >= entry.cost_tokens:
            self._credit[entry.urgency] -= entry.cost_tokens
            return
        place = CLASS_ORDER.index(entry.urgency)
        for lower in CLASS_ORDER[place + 1 :]:
            if self._class_waiting[lower] == 0:
                self._credit[lower] = 0.0
                continue
            earned = self._credit[lower] + CLASS_SHARE[lower] * entry.cost_tokens
            self._credit[lower] = min(earned, MAX_CREDIT_TOKENS)

    def _lift(self, customer: str) -> None:
        others = [
            self._counters.get(name, 0.0) for name in self._active if name != customer
        ]
        own = self._counters.get(customer, 0.0)
        if not others:
            return
        lowest = min(others)
        if self._active.get(customer, 0) == 0:
            own = max(own, lowest)
        limit = lowest + MAX_LEAD_TOKENS / self._weight_of(customer)
        self._counters[customer] = min(own, limit)

    def _remove_entry(self, entry: Waiting) -> None:
        del self._entries[entry.request_id]
        lane = self._lanes[entry.target]
        line = lane[entry.urgency][entry.customer]
        line.remove(entry)
        if line:
            return
        del lane[entry.urgency][entry.customer]
        if not lane[entry.urgency]:
            del lane[entry.urgency]
        if not lane:
            del self._lanes[entry.target]
