"""Estimates when refused requests of one customer should return.

Load that this answers: a customer whose callers together ask for several times its
rate. Its bucket is empty for all VMs, and one request's cost does not tell when there
is room again, since the refused callers return into the same queue. A caller returns
at most once, so a return that is refused again is a request lost.

So the leader tells each refused caller when the bucket is expected to have refilled
behind those refused before. No tokens are kept for that time: what is there goes to
whoever can be served at once. Keeping it for returns refuses requests that could be
served in time for the sake of others that are late by then, and serves no more of them.
"""

import math
from bisect import insort
from collections import Counter
from collections.abc import Sequence
from typing import Final, NamedTuple, final

# Added to the time at which the tokens are expected, since a refusal whose time is too
# early costs its caller more than one that is somewhat late.
RETURN_MARGIN_S: Final = 0.05
# A return is expected until this long after the time told: callers return some tenths
# of a second late, and some don't return at all.
RETURN_GRACE_S: Final = 0.6
# A request is taken for a return from this long before its time. Earlier ones with the
# same digest are other requests with the same content.
EARLY_RETURN_S: Final = 0.1
# A member asks again for some tenths of a second. A grant that is on its way is not
# repeated then.
ASK_MEMORY_S: Final = 1.0
# Bounds the work for each of a member's messages on customers with small requests.
MAX_EXPECTED: Final = 2_000
# Least time told.
MIN_WAIT_S: Final = 0.05
MAX_WAIT_S: Final = 3.0
# Callers for which no room is expected in time return spread over this share of their
# wait.
LATE_SPREAD: Final = 0.25
GOLDEN_RATIO: Final = 0.618034
# Rounding errors of sums of costs.
TOLERANCE_TOKENS: Final = 1e-6


class WaitingRequest(NamedTuple):
    """A request that a member has no tokens for.

    Attributes
    ----------
    number : int
        Identifies it among the member's requests.
    digest : str
        The same for a refused request and its return.
    cost : float
        The tokens that it needs if it returns, at any VM.
    lacking : float
        The tokens that it lacks now beside those that the member has for it.
    most_s : float
        The longest time after which its caller would return.
    """

    number: int
    digest: str
    cost: float
    lacking: float
    most_s: float


class Bucket(NamedTuple):
    """A customer's bucket as the schedule sees it.

    Attributes
    ----------
    level : float
        The tokens in it now.
    rate_per_s, burst : float
        The customer's limits.
    refills_from_s : float
        When it begins to fill, if that is in the future.
    """

    level: float
    rate_per_s: float
    burst: float
    refills_from_s: float


class WaitingReply(NamedTuple):
    """The leader's reply on one member's waiting requests of a customer.

    Attributes
    ----------
    granted : dict of int to float
        The tokens of those that get them now.
    waits_s : dict of int to float
        For the others, how long until they should return. Returns are not listed, since
        their callers don't return again.
    """

    granted: dict[int, float]
    waits_s: dict[int, float]


class _ExpectedReturn(NamedTuple):
    """When a refused caller returns, and what the refill until then is to cover.

    `cost` is 0 if no room is expected in its time, so that others are not told to wait
    behind it.
    """

    due_s: float
    cost: float
    digest: str


class _Asked(NamedTuple):
    """A request that has asked; `expected` is None for a return."""

    at_s: float
    expected: _ExpectedReturn | None
    is_granted: bool = False


@final
class ReturnSchedule:
    """The expected returns of one customer, in the order of their times."""

    def __init__(self, counts: Counter[str]) -> None:
        """Start without expected returns.

        Parameters
        ----------
        counts : Counter of str
            Counts callers that were ``expected`` to return, and those of them that were
            ``served``, when they did or before, or that have ``lapsed``.
        """
        self._counts = counts
        self._expected: list[_ExpectedReturn] = []
        self._asked: dict[tuple[str, int], _Asked] = {}
        self._spread = 0.0

    def serve(
        self,
        member: str,
        waiting: Sequence[WaitingRequest],
        bucket: Bucket,
        now_s: float,
    ) -> WaitingReply:
        """Grant tokens to waiting requests, and tell the others when to return.

        Parameters
        ----------
        member : str
            The member whose requests these are.
        waiting : sequence of WaitingRequest
            In the order of their arrival.
        bucket : Bucket
            The customer's bucket.
        now_s : float
            The time in seconds.
        """
        self.forget_old(now_s)
        granted: dict[int, float] = {}
        waits_s: dict[int, float] = {}
        returns, others = [], []
        for request in waiting:
            asked = self._asked.get((member, request.number))
            is_legible = 0.0 <= request.lacking <= request.cost < math.inf
            if not is_legible or (asked is not None and asked.is_granted):
                continue
            if asked is None and self._take_return(request, now_s):
                asked = self._asked[member, request.number] = _Asked(now_s, None)
            is_return = asked is not None and asked.expected is None
            (returns if is_return else others).append(request)
        for request in returns + others:
            key = member, request.number
            asked = self._asked.get(key)
            if request.lacking <= bucket.level + TOLERANCE_TOKENS:
                self._grant(key, now_s)
                granted[request.number] = request.lacking
                bucket = bucket._replace(level=bucket.level - request.lacking)
            elif asked is None:
                wait_s = self._expect(key, request, bucket, now_s)
                waits_s[request.number] = wait_s
            elif asked.expected is not None:
                wait_s = max(MIN_WAIT_S, asked.expected.due_s - now_s)
                waits_s[request.number] = wait_s
        return WaitingReply(granted, waits_s)

    def expected_wait_s(self, bucket: Bucket, cost: float, now_s: float) -> float:
        """Return how long until there is room behind all expected returns."""
        before = sum(item.cost for item in self._expected)
        missing = max(0.0, before + cost - bucket.level)
        idle_s = max(0.0, bucket.refills_from_s - now_s)
        return idle_s + missing / bucket.rate_per_s + RETURN_MARGIN_S

    def forget_old(self, now_s: float) -> None:
        """Forget callers that have not returned in time."""
        known = len(self._expected)
        while self._expected and now_s > self._expected[0].due_s + RETURN_GRACE_S:
            self._expected.pop(0)
        self._counts["lapsed"] += known - len(self._expected)
        for key, asked in list(self._asked.items()):
            if now_s - asked.at_s <= ASK_MEMORY_S:
                break
            del self._asked[key]

    def expects_returns(self) -> bool:
        """Return whether any caller is expected to return."""
        return bool(self._expected)

    def is_idle(self) -> bool:
        """Return whether there is nothing to remember."""
        return not (self._expected or self._asked)

    def _grant(self, key: tuple[str, int], now_s: float) -> None:
        asked = self._asked.pop(key, None)
        if asked is not None:
            self._counts["served"] += 1
            if asked.expected in self._expected:
                self._expected.remove(asked.expected)
        self._asked[key] = _Asked(now_s, None, is_granted=True)

    def _take_return(self, request: WaitingRequest, now_s: float) -> bool:
        """Return whether a request is an expected return, which is here then."""
        for index, item in enumerate(self._expected):
            if item.due_s - EARLY_RETURN_S > now_s:
                return False
            if item.digest == request.digest:
                del self._expected[index]
                return True
        return False

    def _expect(
        self,
        key: tuple[str, int],
        request: WaitingRequest,
        bucket: Bucket,
        now_s: float,
    ) -> float:
        """Expect a refused request's return; return the time told."""
        has_room = bucket.rate_per_s > 0 and request.cost <= bucket.burst
        wait_s = MAX_WAIT_S
        if has_room:
            wait_s = self.expected_wait_s(bucket, request.cost, now_s)
            has_room = wait_s <= min(request.most_s, MAX_WAIT_S)
            if not has_room:
                # Evenly distributed, whatever the number of requests.
                self._spread = (self._spread + GOLDEN_RATIO) % 1.0
                wait_s *= 1.0 + LATE_SPREAD * self._spread
                wait_s = min(wait_s, MAX_WAIT_S)
        due_s = now_s + min(wait_s, max(0.0, request.most_s))
        expected = _ExpectedReturn(
            due_s, request.cost if has_room else 0.0, request.digest
        )
        self._asked[key] = _Asked(now_s, expected)
        if len(self._expected) < MAX_EXPECTED:
            insort(self._expected, expected)
            self._counts["expected"] += 1
        return wait_s
