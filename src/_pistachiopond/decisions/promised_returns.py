"""Keeps a schedule of when refused requests of one customer are to return.

Load that this answers: a customer whose callers together ask for several times its
rate. Its bucket is empty for all VMs, and one request's cost does not tell when there
is room again, since the refused callers return into the same queue. A caller returns
at most once, so a return that is refused again is a request lost.

So the leader books a part of the future refill for each refused request that can wait
long enough, behind those booked before, and tells the time. Tokens that are booked are
given to no other request until shortly after that time. Everything is taken from the
bucket that enforces the limit, so the schedule only changes who gets its tokens.
"""

import math
from collections import Counter
from collections.abc import Sequence
from typing import Final, NamedTuple, final

# Added to the time at which the tokens are expected, since a refusal whose time is too
# early costs its caller more than one that is somewhat late.
RETURN_MARGIN_S: Final = 0.05
# Tokens are kept for this long after the time told: callers return some tenths of a
# second late, and some don't return at all.
RETURN_GRACE_S: Final = 0.6
# A request is taken for a return from this long before its time. Earlier ones with the
# same digest are other requests with the same content.
EARLY_RETURN_S: Final = 0.1
# A member asks again for some tenths of a second. A grant that is on its way is not
# repeated then.
ASK_MEMORY_S: Final = 1.0
# Bounds the work for each of a member's messages on customers with small requests.
MAX_PROMISES: Final = 1_000
MAX_REMEMBERED: Final = 5_000
# Least time told.
MIN_WAIT_S: Final = 0.05
MAX_WAIT_S: Final = 3.0
# Requests for which nothing can be booked return spread over this share of their wait.
UNPROMISED_SPREAD: Final = 0.25
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
        For the others, how long until they should return.
    """

    granted: dict[int, float]
    waits_s: dict[int, float]


class _Promise(NamedTuple):
    due_s: float
    cost: float
    digest: str
    member: str
    number: int


@final
class ReturnSchedule:
    """The promised returns of one customer, in the order of their times."""

    def __init__(self, counts: Counter[str]) -> None:
        """Start without promises.

        Parameters
        ----------
        counts : Counter of str
            Counts refusals, by whether a return was ``promised`` or ``not_promised``,
            and promises that were ``kept`` or ``lapsed``.
        """
        self._counts = counts
        self._promises: list[_Promise] = []
        # When requests were last granted tokens or, without a promise, a wait.
        self._granted_s: dict[tuple[str, int], float] = {}
        self._told_s: dict[tuple[str, int], float] = {}
        # When refused requests without a promise are to return, by digest.
        self._unpromised_s: dict[str, list[float]] = {}
        self._spread = 0.0

    def serve(
        self,
        member: str,
        waiting: Sequence[WaitingRequest],
        bucket: Bucket,
        now_s: float,
    ) -> WaitingReply:
        """Grant tokens to waiting requests, and promise returns to the others.

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
        newcomers = []
        level = bucket.level
        own = {p.number: p for p in self._promises if p.member == member}
        for request in waiting:
            is_legible = 0.0 <= request.lacking <= request.cost < math.inf
            if (member, request.number) in self._granted_s or not is_legible:
                continue
            promise = own.get(request.number) or self._promise_of(request, now_s)
            if promise is None:
                newcomers.append(request)
                continue
            now = bucket._replace(level=level)
            if self._may_keep(promise, request.lacking, now, now_s):
                self._promises.remove(promise)
                self._counts["kept"] += 1
                granted[request.number] = request.lacking
                level -= request.lacking
            else:
                waits_s[request.number] = max(MIN_WAIT_S, promise.due_s - now_s)
        free = self.free(bucket._replace(level=level), now_s)
        for request in newcomers:
            if request.lacking <= free + TOLERANCE_TOKENS:
                granted[request.number] = request.lacking
                level -= request.lacking
                free -= request.lacking
                continue
            wait_s, is_promised = self._wait_s(
                request, bucket._replace(level=level), now_s
            )
            waits_s[request.number] = wait_s
            if self._is_last_try(member, request, now_s):
                continue
            if is_promised:
                self._promise(member, request, now_s + wait_s)
                # All that fills in until then is booked, but for the margin.
                free = min(free, RETURN_MARGIN_S * bucket.rate_per_s)
            else:
                self._expect_return(member, request, now_s + wait_s, now_s)
        for number in granted:
            self._granted_s[member, number] = now_s
        return WaitingReply(granted, waits_s)

    def _may_keep(
        self, promise: _Promise, lacking: float, bucket: Bucket, now_s: float
    ) -> bool:
        """Return whether a promise's request may have its tokens now."""
        if promise.due_s - EARLY_RETURN_S <= now_s:
            return lacking <= bucket.level
        others = [item for item in self._promises if item is not promise]
        return lacking <= _free(others, bucket, now_s) + TOLERANCE_TOKENS

    def free(self, bucket: Bucket, now_s: float) -> float:
        """Return the tokens that can be given away with all promises still kept."""
        return max(0.0, _free(self._promises, bucket, now_s))

    def expected_wait_s(self, bucket: Bucket, cost: float, now_s: float) -> float:
        """Return how long until a request's tokens are there, behind all promises."""
        booked = sum(promise.cost for promise in self._promises)
        missing = max(0.0, booked + cost - bucket.level)
        idle_s = max(0.0, bucket.refills_from_s - now_s)
        return idle_s + missing / bucket.rate_per_s + RETURN_MARGIN_S

    def forget_old(self, now_s: float) -> None:
        """Give up promises whose callers have not returned in time."""
        known = len(self._promises)
        self._promises = [
            promise
            for promise in self._promises
            if now_s <= promise.due_s + RETURN_GRACE_S
        ]
        self._counts["lapsed"] += known - len(self._promises)
        for known_s in (self._granted_s, self._told_s):
            for key, at_s in list(known_s.items()):
                if now_s - at_s <= ASK_MEMORY_S:
                    break
                del known_s[key]
        for digest, times_s in list(self._unpromised_s.items()):
            if now_s <= times_s[-1] + RETURN_GRACE_S if times_s else False:
                break
            del self._unpromised_s[digest]

    def has_promises(self) -> bool:
        """Return whether any return is promised."""
        return bool(self._promises)

    def is_idle(self) -> bool:
        """Return whether there is nothing to remember."""
        return not (self._promises or self._granted_s or self._unpromised_s)

    def _promise_of(self, request: WaitingRequest, now_s: float) -> _Promise | None:
        """Return the promise whose caller this request may be, if it is due."""
        for promise in self._promises:
            if promise.due_s - EARLY_RETURN_S > now_s:
                return None
            if promise.digest == request.digest and promise.cost >= request.lacking:
                return promise
        return None

    def _expect_return(
        self, member: str, request: WaitingRequest, due_s: float, now_s: float
    ) -> None:
        """Remember a refused request without a promise."""
        self._told_s[member, request.number] = now_s
        self._counts["not_promised"] += 1
        if len(self._unpromised_s) < MAX_REMEMBERED:
            latest_s = now_s + max(0.0, request.most_s)
            times_s = self._unpromised_s.setdefault(request.digest, [])
            if len(times_s) < MAX_REMEMBERED:
                times_s.append(min(due_s, latest_s))

    def _is_last_try(self, member: str, request: WaitingRequest, now_s: float) -> bool:
        """Return whether the caller doesn't return if the request is refused.

        Nothing is booked for it then.
        """
        if (member, request.number) in self._told_s:
            return True
        times_s = self._unpromised_s.get(request.digest)
        if not times_s or times_s[0] - EARLY_RETURN_S > now_s:
            return False
        times_s.pop(0)
        self._told_s[member, request.number] = now_s
        return True

    def _wait_s(
        self, request: WaitingRequest, bucket: Bucket, now_s: float
    ) -> tuple[float, bool]:
        """Return when a request should return, and whether that can be promised."""
        if bucket.rate_per_s <= 0 or request.cost > bucket.burst:
            return MAX_WAIT_S, False
        wait_s = self.expected_wait_s(bucket, request.cost, now_s)
        if wait_s > min(request.most_s, MAX_WAIT_S):
            # Evenly distributed, whatever the number of requests.
            self._spread = (self._spread + GOLDEN_RATIO) % 1.0
            wait_s *= 1.0 + UNPROMISED_SPREAD * self._spread
            return min(wait_s, MAX_WAIT_S), False
        if self._promises:
            # Never before an earlier one, whose tokens come first.
            wait_s = max(wait_s, self._promises[-1].due_s - now_s)
        is_promised = wait_s <= request.most_s and len(self._promises) < MAX_PROMISES
        return wait_s, is_promised

    def _promise(self, member: str, request: WaitingRequest, due_s: float) -> None:
        self._counts["promised"] += 1
        self._promises.append(
            _Promise(due_s, request.cost, request.digest, member, request.number)
        )


def _free(promises: Sequence[_Promise], bucket: Bucket, now_s: float) -> float:
    free = bucket.level
    booked = 0.0
    begin_s = max(now_s, bucket.refills_from_s)
    for promise in promises:
        booked += promise.cost
        refill = bucket.rate_per_s * max(0.0, promise.due_s - begin_s)
        free = min(free, bucket.level + refill - booked)
    return free
