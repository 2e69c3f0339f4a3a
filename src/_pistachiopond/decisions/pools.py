"""The holder's side of a pool of tokens: who holds how many grants.

For each customer ``level + outstanding <= burst`` always holds, where
outstanding tokens are those that entry daemons hold unspent or have reserved for
requests that are still running. So what is admitted in any window of t seconds
is at most ``burst + rate * t``, with the usage that is settled later.
"""

from typing import Final, NamedTuple, final

from _pistachiopond.decisions.limits import (
    GRANT_LIFETIME_S,
    OUTSTANDING_SHARE,
    PoolLimit,
    PoolLimits,
    lapse_delay_s,
)

NO_LIMIT: Final = PoolLimit(0.0, 0.0)
LONGEST_RETRY_S: Final = 60.0


class DrawWant(NamedTuple):
    """What an entry daemon says about its grant of one customer.

    Attributes
    ----------
    customer : str
        Whose tokens.
    grant_id : int
        Named by the entry daemon and never used again by it.
    hold_tokens : float
        What it wishes to hold in all, unspent and reserved.
    spent_tokens, returned_tokens : float
        Totals since the start of the grant.
    """

    customer: str
    grant_id: int
    hold_tokens: float
    spent_tokens: float
    returned_tokens: float


class Draw(NamedTuple):
    """One message of an entry daemon to the holder of a pool.

    Attributes
    ----------
    entry_id : str
        Unique for each start of an entry daemon.
    sequence : int
        Grows; the wishes of an older message than the newest are ignored.
    epoch : int
        Of the holder that gave these grants; 0 where none is known yet.
    wants : tuple of DrawWant
        One for each grant.
    """

    entry_id: str
    sequence: int
    epoch: int
    wants: tuple[DrawWant, ...]


class GrantedTotal(NamedTuple):
    """The state of one grant.

    Attributes
    ----------
    granted_tokens : float
        Total that was ever added to it.
    retry_after_s : float
        When the rest of the wish can be had; 0 when all was granted.
    """

    customer: str
    grant_id: int
    granted_tokens: float
    retry_after_s: float


class DrawAnswer(NamedTuple):
    """The holder's answer.

    Attributes
    ----------
    lifetime_s : float
        Of the grants, counted by the entry daemon from before it sent its draw.
    """

    epoch: int
    lifetime_s: float
    grants: tuple[GrantedTotal, ...]


class _Grant(NamedTuple):
    sequence: int
    granted_tokens: float
    spent_tokens: float
    returned_tokens: float
    lapses_s: float

    def outstanding_tokens(self) -> float:
        return self.granted_tokens - self.spent_tokens - self.returned_tokens


_GrantKey = tuple[str, int]


@final
class _Bucket:
    def __init__(self, limit: PoolLimit, now_s: float) -> None:
        self.limit = limit
        self.level_tokens = 0.0
        self.outstanding_tokens = 0.0
        self.updated_s = now_s
        self.grants: dict[_GrantKey, _Grant] = {}

    def advance(self, now_s: float, cap_share: float) -> None:
        """Count lapsed grants as spent and refill, in the order of time."""
        lapsed = [(g.lapses_s, key) for key, g in self.grants.items()]
        for lapses_s, key in sorted(item for item in lapsed if item[0] <= now_s):
            self._refill(lapses_s, cap_share)
            self.outstanding_tokens -= self.grants.pop(key).outstanding_tokens()
        self._refill(now_s, cap_share)

    def _refill(self, now_s: float, cap_share: float) -> None:
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = max(self.updated_s, now_s)
        room = self.limit.burst_tokens * cap_share - self.outstanding_tokens
        level = self.level_tokens + elapsed_s * self.limit.rate_tokens_per_s
        self.level_tokens = max(0.0, min(level, room))


@final
class TokenPool:
    """One pool in the hands of one holder, from the moment it was acquired.

    A new holder knows nothing of the grants of the one before it, which may hold
    up to `OUTSTANDING_SHARE` of the burst. Until they have all lapsed it works
    within the rest, and gives nothing where grants of two earlier holders may
    still be out.

    Parameters
    ----------
    epoch : int
        The holder's epoch.
    acquired_s : float
        When the pool was acquired; every earlier holder's authority has ended.
    predecessor_acquired_s : float or None
        The latest time at which the holder before acquired it; None for unknown.
    """

    def __init__(
        self,
        epoch: int,
        acquired_s: float,
        predecessor_acquired_s: float | None = None,
    ) -> None:
        self.epoch = epoch
        self._older_lapsed_s = acquired_s + lapse_delay_s(GRANT_LIFETIME_S)
        self._only_one_older = (
            predecessor_acquired_s is not None
            and predecessor_acquired_s + lapse_delay_s(GRANT_LIFETIME_S) <= acquired_s
        )
        self._buckets: dict[str, _Bucket] = {}

    def configure(self, limits: PoolLimits, now_s: float) -> None:
        """Put other limits in force; what is outstanding stays counted.

        Parameters
        ----------
        limits : mapping
            By customer; one that is missing gets nothing more.
        now_s : float
            The present time.
        """
        for customer, bucket in self._buckets.items():
            bucket.advance(now_s, self._cap_share(now_s))
            bucket.limit = limits.get(customer, NO_LIMIT)
            bucket.advance(now_s, self._cap_share(now_s))
        for customer, limit in limits.items():
            if customer not in self._buckets:
                self._buckets[customer] = _Bucket(limit, now_s)
        self._buckets = {
            customer: bucket
            for customer, bucket in self._buckets.items()
            if customer in limits or bucket.grants
        }

    def draw(self, draw: Draw, now_s: float) -> DrawAnswer:
        """Take in what was spent and returned, and grant what there is.

        Parameters
        ----------
        draw : Draw
            May be lost, repeated or overtaken by a later one.
        now_s : float
            The present time; the holder's authority was checked at this time.
        """
        grants: tuple[GrantedTotal, ...] = ()
        if draw.epoch in (0, self.epoch):
            states = (self._draw_one(draw, want, now_s) for want in draw.wants)
            grants = tuple(state for state in states if state is not None)
        return DrawAnswer(self.epoch, GRANT_LIFETIME_S, grants)

    def tokens(self, customer: str, now_s: float) -> tuple[float, float]:
        """Return a customer's level and outstanding tokens."""
        bucket = self._buckets.get(customer)
        if bucket is None:
            return (0.0, 0.0)
        bucket.advance(now_s, self._cap_share(now_s))
        return (bucket.level_tokens, bucket.outstanding_tokens)

    def _cap_share(self, now_s: float) -> float:
        if now_s < self._older_lapsed_s:
            return 1.0 - OUTSTANDING_SHARE
        return 1.0

    def _may_grant(self, now_s: float) -> bool:
        return self._only_one_older or now_s >= self._older_lapsed_s

    def _draw_one(
        self, draw: Draw, want: DrawWant, now_s: float
    ) -> GrantedTotal | None:
        bucket = self._buckets.get(want.customer)
        if bucket is None:
            return None
        bucket.advance(now_s, self._cap_share(now_s))
        key = (draw.entry_id, want.grant_id)
        known = bucket.grants.get(key)
        if known is None and (want.spent_tokens or want.returned_tokens):
            return None
        grant = known or _Grant(draw.sequence, 0.0, 0.0, 0.0, now_s)
        grant = _take_in(bucket, grant, want)
        if bucket.outstanding_tokens > bucket.limit.burst_tokens:
            # The limit was lowered: without an answer the grants lapse in time.
            _keep(bucket, key, grant, want)
            return None
        if draw.sequence >= grant.sequence:
            grant = self._add(bucket, grant, want, draw.sequence, now_s)
        _keep(bucket, key, grant, want)
        missing = want.hold_tokens - grant.outstanding_tokens()
        retry_after_s = _retry_after_s(missing, bucket.limit)
        if missing > 0.0 and not self._may_grant(now_s):
            retry_after_s = max(retry_after_s, self._older_lapsed_s - now_s)
        return GrantedTotal(
            want.customer, want.grant_id, grant.granted_tokens, retry_after_s
        )

    def _add(
        self,
        bucket: _Bucket,
        grant: _Grant,
        want: DrawWant,
        sequence: int,
        now_s: float,
    ) -> _Grant:
        if not self._may_grant(now_s):
            return grant._replace(sequence=sequence)
        most = bucket.limit.burst_tokens * OUTSTANDING_SHARE
        added = max(
            0.0,
            min(
                bucket.level_tokens,
                want.hold_tokens - grant.outstanding_tokens(),
                most - bucket.outstanding_tokens,
            ),
        )
        bucket.level_tokens -= added
        bucket.outstanding_tokens += added
        return grant._replace(
            sequence=sequence,
            granted_tokens=grant.granted_tokens + added,
            lapses_s=max(grant.lapses_s, now_s + lapse_delay_s(GRANT_LIFETIME_S)),
        )


def _take_in(bucket: _Bucket, grant: _Grant, want: DrawWant) -> _Grant:
    # Totals only grow, so a message that was overtaken changes nothing.
    spent = max(grant.spent_tokens, want.spent_tokens)
    returned = max(grant.returned_tokens, want.returned_tokens)
    if spent + returned > grant.granted_tokens:
        return grant
    came_back = returned - grant.returned_tokens
    bucket.outstanding_tokens -= spent - grant.spent_tokens + came_back
    bucket.level_tokens += came_back
    return grant._replace(spent_tokens=spent, returned_tokens=returned)


def _keep(bucket: _Bucket, key: _GrantKey, grant: _Grant, want: DrawWant) -> None:
    if grant.outstanding_tokens() <= 0.0 and want.hold_tokens <= 0.0:
        bucket.outstanding_tokens -= grant.outstanding_tokens()
        bucket.grants.pop(key, None)
    else:
        bucket.grants[key] = grant


def _retry_after_s(missing_tokens: float, limit: PoolLimit) -> float:
    if missing_tokens <= 0.0:
        return 0.0
    if limit.rate_tokens_per_s <= 0.0:
        return LONGEST_RETRY_S
    return min(LONGEST_RETRY_S, missing_tokens / limit.rate_tokens_per_s)
