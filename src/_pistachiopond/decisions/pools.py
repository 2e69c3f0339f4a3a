"""The holder's side of a token pool: grants tokens to entry daemons.

The holder is the control daemon that currently owns the pool. For each customer
``level + outstanding <= burst`` always holds, where outstanding tokens are those that
entry daemons have not spent yet or have reserved for running requests. So the tokens
admitted in any window of t seconds, counted as finally settled, are at most
``burst + rate * t``.
"""

from typing import Final, NamedTuple, final

from _pistachiopond.decisions.limits import (
    GRANT_LIFETIME_S,
    MAX_OUTSTANDING_SHARE,
    PoolLimit,
    PoolLimits,
    holder_lifetime_s,
)

ZERO_LIMIT: Final = PoolLimit(0.0, 0.0)
MAX_RETRY_AFTER_S: Final = 60.0


class DrawItem(NamedTuple):
    """An entry daemon's request and report for its grant of one customer's tokens.

    Attributes
    ----------
    customer : str
        The customer whose tokens are drawn.
    grant_id : int
        Assigned by the entry daemon, which never reuses it.
    hold_tokens : float
        The requested total of unspent and reserved tokens.
    spent_tokens, returned_tokens : float
        Cumulative totals since the start of the grant.
    """

    customer: str
    grant_id: int
    hold_tokens: float
    spent_tokens: float
    returned_tokens: float


class Draw(NamedTuple):
    """A request from an entry daemon to the holder of a pool.

    Attributes
    ----------
    entry_id : str
        Unique for each start of an entry daemon.
    sequence : int
        Increases with each message; a message older than the newest grants nothing.
    epoch : int
        The epoch of the holder that made these grants; 0 if it is not known yet.
    items : tuple of DrawItem
        One item for each grant.
    """

    entry_id: str
    sequence: int
    epoch: int
    items: tuple[DrawItem, ...]


class GrantedTotal(NamedTuple):
    """The state of one grant.

    Attributes
    ----------
    granted_tokens : float
        Cumulative total since the start of the grant.
    retry_after_s : float
        The time until the rest can be granted; 0 if the request was met in full.
    """

    customer: str
    grant_id: int
    granted_tokens: float
    retry_after_s: float


class DrawReply(NamedTuple):
    """The holder's reply to a draw.

    Attributes
    ----------
    lifetime_s : float
        The lifetime of the grants, from the time when the entry daemon sent its draw.
    """

    epoch: int
    lifetime_s: float
    grants: tuple[GrantedTotal, ...]


class _Grant(NamedTuple):
    sequence: int
    granted_tokens: float
    spent_tokens: float
    returned_tokens: float
    expires_s: float

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

    def advance(self, now_s: float, burst_share: float) -> None:
        """Refill the bucket and count expired grants as spent, in order of time."""
        expired = [(g.expires_s, key) for key, g in self.grants.items()]
        for expires_s, key in sorted(item for item in expired if item[0] <= now_s):
            self._refill(expires_s, burst_share)
            self.outstanding_tokens -= self.grants.pop(key).outstanding_tokens()
        self._refill(now_s, burst_share)

    def _refill(self, now_s: float, burst_share: float) -> None:
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = max(self.updated_s, now_s)
        room = self.limit.burst_tokens * burst_share - self.outstanding_tokens
        level = self.level_tokens + elapsed_s * self.limit.rate_tokens_per_s
        self.level_tokens = max(0.0, min(level, room))


@final
class TokenPool:
    """One pool during the ownership of one holder.

    A new holder does not know the grants of its predecessor, which may amount to
    `MAX_OUTSTANDING_SHARE` of the burst. Until these have all expired it uses only the
    rest, and it grants nothing while grants of two earlier holders may be
    outstanding.

    Parameters
    ----------
    epoch : int
        The holder's epoch.
    acquired_s : float
        When the pool was acquired; every earlier holder's authority had ended then.
    predecessor_acquired_s : float or None
        The latest time at which the predecessor acquired the pool; None if it is
        unknown.
    """

    def __init__(
        self,
        epoch: int,
        acquired_s: float,
        predecessor_acquired_s: float | None = None,
    ) -> None:
        self.epoch = epoch
        self._older_grants_expire_s = acquired_s + holder_lifetime_s(GRANT_LIFETIME_S)
        self._only_predecessor_granted = (
            predecessor_acquired_s is not None
            and predecessor_acquired_s + holder_lifetime_s(GRANT_LIFETIME_S)
            <= acquired_s
        )
        self._buckets: dict[str, _Bucket] = {}

    def configure(self, limits: PoolLimits, now_s: float) -> None:
        """Replace the limits; outstanding tokens stay counted.

        Parameters
        ----------
        limits : mapping
            By customer; a customer without an entry is granted nothing more.
        now_s : float
            The current time.
        """
        for customer, bucket in self._buckets.items():
            bucket.advance(now_s, self._usable_burst_share(now_s))
            bucket.limit = limits.get(customer, ZERO_LIMIT)
            bucket.advance(now_s, self._usable_burst_share(now_s))
        for customer, limit in limits.items():
            if customer not in self._buckets:
                self._buckets[customer] = _Bucket(limit, now_s)
        self._buckets = {
            customer: bucket
            for customer, bucket in self._buckets.items()
            if customer in limits or bucket.grants
        }

    def draw(self, draw: Draw, now_s: float) -> DrawReply:
        """Record what was spent and returned, and grant what is available.

        Parameters
        ----------
        draw : Draw
            The request; draws may be lost, repeated or reordered.
        now_s : float
            The current time, at which the holder's authority was checked.
        """
        grants: tuple[GrantedTotal, ...] = ()
        if draw.epoch in (0, self.epoch):
            states = (self._apply_item(draw, item, now_s) for item in draw.items)
            grants = tuple(state for state in states if state is not None)
        return DrawReply(self.epoch, GRANT_LIFETIME_S, grants)

    def tokens(self, customer: str, now_s: float) -> tuple[float, float]:
        """Return a customer's level and outstanding tokens."""
        bucket = self._buckets.get(customer)
        if bucket is None:
            return (0.0, 0.0)
        bucket.advance(now_s, self._usable_burst_share(now_s))
        return (bucket.level_tokens, bucket.outstanding_tokens)

    def _usable_burst_share(self, now_s: float) -> float:
        if now_s < self._older_grants_expire_s:
            return 1.0 - MAX_OUTSTANDING_SHARE
        return 1.0

    def _may_grant(self, now_s: float) -> bool:
        return self._only_predecessor_granted or now_s >= self._older_grants_expire_s

    def _apply_item(
        self, draw: Draw, item: DrawItem, now_s: float
    ) -> GrantedTotal | None:
        bucket = self._buckets.get(item.customer)
        if bucket is None:
            return None
        bucket.advance(now_s, self._usable_burst_share(now_s))
        key = (draw.entry_id, item.grant_id)
        known = bucket.grants.get(key)
        if known is None and (item.spent_tokens or item.returned_tokens):
            return None
        grant = known or _Grant(draw.sequence, 0.0, 0.0, 0.0, now_s)
        grant = _apply_totals(bucket, grant, item)
        if bucket.outstanding_tokens > bucket.limit.burst_tokens:
            # The limit was lowered: without a reply the grants expire.
            _store_or_drop_grant(bucket, key, grant, item)
            return None
        if draw.sequence >= grant.sequence:
            grant = self._grant_more(bucket, grant, item, draw.sequence, now_s)
        _store_or_drop_grant(bucket, key, grant, item)
        missing = item.hold_tokens - grant.outstanding_tokens()
        retry_after_s = _retry_after_s(missing, bucket.limit)
        if missing > 0.0 and not self._may_grant(now_s):
            retry_after_s = max(retry_after_s, self._older_grants_expire_s - now_s)
        return GrantedTotal(
            item.customer, item.grant_id, grant.granted_tokens, retry_after_s
        )

    def _grant_more(
        self,
        bucket: _Bucket,
        grant: _Grant,
        item: DrawItem,
        sequence: int,
        now_s: float,
    ) -> _Grant:
        if not self._may_grant(now_s):
            return grant._replace(sequence=sequence)
        max_outstanding = bucket.limit.burst_tokens * MAX_OUTSTANDING_SHARE
        added = max(
            0.0,
            min(
                bucket.level_tokens,
                item.hold_tokens - grant.outstanding_tokens(),
                max_outstanding - bucket.outstanding_tokens,
            ),
        )
        bucket.level_tokens -= added
        bucket.outstanding_tokens += added
        return grant._replace(
            sequence=sequence,
            granted_tokens=grant.granted_tokens + added,
            expires_s=max(grant.expires_s, now_s + holder_lifetime_s(GRANT_LIFETIME_S)),
        )


def _apply_totals(bucket: _Bucket, grant: _Grant, item: DrawItem) -> _Grant:
    # Totals only grow, so a reordered message changes nothing.
    spent = max(grant.spent_tokens, item.spent_tokens)
    returned = max(grant.returned_tokens, item.returned_tokens)
    if spent + returned > grant.granted_tokens:
        return grant
    newly_returned = returned - grant.returned_tokens
    bucket.outstanding_tokens -= spent - grant.spent_tokens + newly_returned
    bucket.level_tokens += newly_returned
    return grant._replace(spent_tokens=spent, returned_tokens=returned)


def _store_or_drop_grant(
    bucket: _Bucket, key: _GrantKey, grant: _Grant, item: DrawItem
) -> None:
    if grant.outstanding_tokens() <= 0.0 and item.hold_tokens <= 0.0:
        bucket.outstanding_tokens -= grant.outstanding_tokens()
        bucket.grants.pop(key, None)
    else:
        bucket.grants[key] = grant


def _retry_after_s(missing_tokens: float, limit: PoolLimit) -> float:
    if missing_tokens <= 0.0:
        return 0.0
    if limit.rate_tokens_per_s <= 0.0:
        return MAX_RETRY_AFTER_S
    return min(MAX_RETRY_AFTER_S, missing_tokens / limit.rate_tokens_per_s)
