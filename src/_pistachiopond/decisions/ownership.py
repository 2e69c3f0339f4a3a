"""Decides when to claim, renew and release a shard, and whether it is held now.

Shards are held by leases recorded in the log. The holder counts its lease from before
it sent the claim or renewal; all others count it from when they read the record. Each
allows for the rate error of its own clock, so another daemon claims only after the
holder has stopped. The log decides between concurrent claims: the first one that names
the last claim or renewal in force wins.
"""

import zlib
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.shard_fold import SHARD_FOLD
from _pistachiopond.decisions.stream_reader import Page, StreamReader
from _pistachiopond.schema.records import (
    ClaimRecord,
    ReleaseRecord,
    RenewalRecord,
    ShardState,
)

CLOCK_RATE_ERROR: Final = 0.01
# Only the daemons of this many lowest ranks claim a shard.
MAX_CANDIDATES: Final = 3
CLAIM_STAGGER_S: Final = 2.0
CLAIM_RETRY_S: Final = 3.0
RENEWALS_PER_LEASE: Final = 3.0
SHORTEST_RETRY_S: Final = 0.5
# No claim is sent unless the stream's tail was read more recently than this.
TAIL_AGE_LIMIT_S: Final = 6.0

SERVER_SHARDS: Final = 1


class ClaimantIdentity(NamedTuple):
    """The identity under which a daemon claims shards.

    Attributes
    ----------
    incarnation : str
        Unique for each process start.
    address : str
        Its gRPC address.
    """

    incarnation: str
    address: str


class ShardTerms(NamedTuple):
    """The name and lease of one shard.

    Attributes
    ----------
    shard : str
        The shard's name; its stream is ``shard-{name}``.
    lease_s : float
        How long a claim or renewal is valid.
    """

    shard: str
    lease_s: float


class ShardLease(NamedTuple):
    """A valid lease on a shard, by the holder's own clock.

    Attributes
    ----------
    epoch : int
        The claim's offset; the fencing number.
    acquired_s : float
        When the claim was read back.
    valid_until_s : float
        When the lease ends by this daemon's clock.
    predecessor_acquired_s : float or None
        Latest time at which the previous holder may have acquired the shard: when
        its first renewal was read. -inf if there was no previous holder, None if
        the time is unknown.
    """

    epoch: int
    acquired_s: float
    valid_until_s: float
    predecessor_acquired_s: float | None = None


def server_shard(server: str) -> str:
    """Return the shard that a backend server belongs to.

    All servers belong to one shard: a plan that unloads one replica because another
    one exists must be made by a single daemon.
    """
    return f"servers-{shard_number(server, SERVER_SHARDS)}"


def shard_number(name: str, count: int) -> int:
    """Return the number of the shard, below `count`, that `name` belongs to."""
    return zlib.crc32(name.encode()) % count


def stream_of(shard: str) -> str:
    """Return the name of a shard's stream."""
    return f"shard-{shard}"


@final
class ShardClaimant:
    """One daemon's view of one shard's stream, and its own lease if it has one."""

    def __init__(self, terms: ShardTerms, me: ClaimantIdentity) -> None:
        self._terms = terms
        self._me = me
        self._reader = StreamReader(SHARD_FOLD)
        self._sent_s: dict[int, float] = {}
        self._next_sequence = 0
        self._lease: ShardLease | None = None
        self._authority_read_s = 0.0
        self._tail_read_s = float("-inf")
        self._last_sent_s = float("-inf")
        self._released_epoch = -1
        self._holder_acquired_s: float | None = float("-inf")
        self._predecessor_acquired_s: float | None = None

    @property
    def state(self) -> ShardState | None:
        """Return the state read from the stream; None until it is complete."""
        return self._reader.state

    def next_offset(self) -> int:
        """Return the offset to read from."""
        return self._reader.next_offset()

    def take_page(self, page: Page, asked_s: float, now_s: float) -> bool:
        """Process a page read from the log.

        Parameters
        ----------
        page : Page
            The answer to a read from `next_offset`.
        asked_s : float
            When the read was sent.
        now_s : float
            When the answer arrived.

        Returns
        -------
        bool
            Whether the state changed.
        """
        before = self._reader.state
        advance = self._reader.take_page(page)
        for step in advance.steps:
            self._note_authority(step.state, step.outcome, now_s)
        after = self._reader.state
        if advance.from_snapshot or (before is None and after is not None):
            self._authority_read_s = now_s
        if advance.from_snapshot:
            self._holder_acquired_s = None
        self._drop_lost_lease()
        if self._reader.is_at_tail(page):
            self._tail_read_s = asked_s
        return after is not before

    def _note_authority(self, state: ShardState, outcome: object, now_s: float) -> None:
        if not isinstance(outcome, (ClaimRecord, RenewalRecord)):
            return
        self._authority_read_s = now_s
        if isinstance(outcome, ClaimRecord):
            self._predecessor_acquired_s = self._holder_acquired_s
            self._holder_acquired_s = None
        elif self._holder_acquired_s is None:
            # Only a holder sends renewals, so it had acquired the shard before.
            self._holder_acquired_s = now_s
        if outcome.holder != self._me.incarnation:
            return
        sent_s = self._sent_s.get(outcome.sequence)
        if sent_s is None or state.epoch <= self._released_epoch:
            return
        lease_s = state.lease_s * (1 - CLOCK_RATE_ERROR)
        is_new = self._lease is None or self._lease.epoch != state.epoch
        until_s = sent_s + lease_s
        if is_new or self._lease is None:
            self._lease = ShardLease(
                state.epoch, now_s, until_s, self._predecessor_acquired_s
            )
        else:
            self._lease = self._lease._replace(valid_until_s=until_s)
        self._sent_s = {
            key: value for key, value in self._sent_s.items() if key > outcome.sequence
        }

    def _drop_lost_lease(self) -> None:
        state = self._reader.state
        if self._lease is None or state is None:
            return
        if state.epoch != self._lease.epoch or state.is_released:
            self._lease = None

    def held(self, now_s: float) -> ShardLease | None:
        """Return this daemon's lease if it is valid now.

        The result is valid at this moment only; call again after every wait.
        """
        if self._lease is None or now_s >= self._lease.valid_until_s:
            return None
        return self._lease

    def holder_address(self) -> str | None:
        """Return the holder's address according to the log; None if there is none."""
        state = self._reader.state
        if state is None or state.epoch < 0 or state.is_released:
            return None
        return state.address

    def claim_wait_s(self, now_s: float, rank: int) -> float:
        """Return the time until this daemon may claim; 0 if it may now.

        Parameters
        ----------
        now_s : float
            The time by this daemon's clock.
        rank : int
            Its rank among the candidates; each claims `CLAIM_STAGGER_S` after the
            one before, which avoids concurrent claims.
        """
        state = self._reader.state
        if state is None or not self._reader.is_complete:
            return CLAIM_RETRY_S
        stagger_s = rank * CLAIM_STAGGER_S
        if state.epoch < 0 or state.is_released:
            return max(0.0, self._authority_read_s + stagger_s - now_s)
        expiry_s = self._authority_read_s + state.lease_s * (1 + CLOCK_RATE_ERROR)
        return max(0.0, expiry_s + stagger_s - now_s)

    def next_append(
        self, now_s: float, rank: int
    ) -> ClaimRecord | RenewalRecord | None:
        """Return the record to append now, if any, and record that it is being sent.

        Parameters
        ----------
        now_s : float
            The time by this daemon's clock; the append must be sent after this call,
            because the lease counts from this time.
        rank : int
            Its rank among the candidates.
        """
        if self.held(now_s) is not None:
            return self._renewal(now_s)
        if rank >= MAX_CANDIDATES or now_s - self._tail_read_s > TAIL_AGE_LIMIT_S:
            return None
        if now_s - self._last_sent_s < CLAIM_RETRY_S:
            return None
        if self.claim_wait_s(now_s, rank) > 0:
            return None
        return self._claim(now_s)

    def _claim(self, now_s: float) -> ClaimRecord | None:
        state = self._reader.state
        if state is None:
            return None
        return ClaimRecord(
            self._me.incarnation,
            self._me.address,
            self._terms.lease_s,
            self._note_sent(now_s),
            state,
        )

    def _renewal(self, now_s: float) -> RenewalRecord | None:
        state = self._reader.state
        if state is None or self._lease is None:
            return None
        if now_s < self._renew_at_s(state):
            return None
        return RenewalRecord(
            self._me.incarnation, self._lease.epoch, self._note_sent(now_s), state
        )

    def _renew_at_s(self, state: ShardState) -> float:
        assert self._lease is not None
        start_s = self._lease.valid_until_s - state.lease_s * (1 - CLOCK_RATE_ERROR)
        regular_renewal_s = start_s + state.lease_s / RENEWALS_PER_LEASE
        retry_renewal_s = self._last_sent_s + max(
            SHORTEST_RETRY_S, state.lease_s / (RENEWALS_PER_LEASE * 4)
        )
        return max(regular_renewal_s, retry_renewal_s)

    def _note_sent(self, now_s: float) -> int:
        sequence = self._next_sequence
        self._next_sequence += 1
        self._sent_s[sequence] = now_s
        self._last_sent_s = now_s
        return sequence

    def release(self, now_s: float) -> ReleaseRecord | None:
        """Drop the lease immediately, and return the release to append, if any."""
        lease = self.held(now_s)
        self._lease = None
        if lease is None:
            return None
        self._released_epoch = lease.epoch
        return ReleaseRecord(self._me.incarnation, lease.epoch)
