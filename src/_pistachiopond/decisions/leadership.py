"""Decides which VM is the leader, which sends orders to servers and divides limits.

A claim is a record in a log in the platform's store. The store appends it only if the
log still ends where the claimant read its end, so all VMs agree on the newest claim.
Leases are not renewed: a leader keeps reading the log and stops acting as soon as its
last read is too old. If that lasts longer, it gives up and acts again only after a new
claim. A new leader waits until its predecessor must have stopped, unless the
predecessor has resigned. The position of the claim is the fencing token.

When the store comes back from an older copy, claims may be lost and their offsets are
given out again. So a claim holds only in the store's era in which it was made; the
leader stops acting and claims again. Another VM may have claimed in the lost records,
so the first claim of an era waits like that of any successor.
"""

from typing import Final, final

from _pistachiopond.decisions.claims import Claim
from _pistachiopond.decisions.order_turns import OrderTurns
from _pistachiopond.schema.store_position import StorePosition
from _pistachiopond.schema.vm_settings import LEASE_S

# A leader acts only while its last read of the claims is younger than this.
AUTHORITY_S: Final = 1.0
# How long a new leader waits; longer than AUTHORITY_S to allow for clock rate errors.
HANDOVER_S: Final = 1.1
# A leader gives up when its last read is older than this.
GIVE_UP_S: Final = 1.3
# A leader that has not replied for this long is replaced.
SILENCE_S: Final = 0.5
# Claims of several VMs are spread over this time by their preference. With many VMs the
# time is longer, so that most of them read another VM's claim before they would claim.
CLAIM_SPREAD_S: Final = 0.3
CLAIM_SPREAD_PER_VM_S: Final = 0.01
# A VM that has claimed waits this long before it claims again, doubled each time, so
# that two VMs that cannot reach each other do not keep replacing one another.
CLAIM_PAUSE_S: Final = 2.0
# Delay before retrying a claim that the store did not append.
TRY_PAUSE_S: Final = 0.3
MAX_CLAIM_PAUSE_S: Final = 16.0


@final
class Leadership:
    """One VM's view of the present leader, and whether it is the leader itself."""

    def __init__(
        self,
        incarnation: str,
        preference: float,
        turns: OrderTurns | None = None,
    ) -> None:
        """Start without a known claim.

        Parameters
        ----------
        incarnation : str
            The incarnation of this process.
        preference : float
            0 for the VM that should claim first, up to 1 for the last.
        turns : OrderTurns or None
            Decides when this VM may send orders; None for a VM without earlier orders.
        """
        self.incarnation = incarnation
        self.turns = turns or OrderTurns(incarnation, LEASE_S, float("-inf"))
        self._preference = preference
        self.claim: Claim | None = None
        self.end: StorePosition | None = None
        self._read_s = float("-inf")
        self._authority_start_s = float("inf")
        self._leader_lost_s: float | None = None
        self._claimed_s = float("-inf")
        self._claim_sent_s = float("-inf")
        self._claim_pause_s = CLAIM_PAUSE_S
        self._has_given_up = False
        # Whether this VM has given up since the store did not answer it.
        self._has_lost_store = False
        self._denied_fence = -1
        self._renewed_fence = -1
        self._spread_s = CLAIM_SPREAD_S
        self._handicap_s = 0.0

    def set_members(self, members: int) -> None:
        """Set the number of VMs, which determines how far claims are spread."""
        self._spread_s = max(CLAIM_SPREAD_S, CLAIM_SPREAD_PER_VM_S * members)

    def set_handicap_s(self, handicap_s: float) -> None:
        """Set how much later than the others this VM claims a free lead."""
        self._handicap_s = handicap_s

    def read(self, claim: Claim | None, end: StorePosition, sent_s: float) -> None:
        """Process a read of the claims.

        Parameters
        ----------
        claim : Claim or None
            The newest claim; None if there is none.
        end : StorePosition
            The log's end at that read.
        sent_s : float
            When the read was sent.
        """
        if self.end is not None and end < self.end:
            return
        self.end = end
        self._read_s = max(self._read_s, sent_s)
        if claim is None or (
            self.claim is not None and claim.position <= self.claim.position
        ):
            self.turns.claim_read(self.claim, end.era, sent_s)
            return
        self.turns.claim_read(claim, end.era, sent_s)
        was_mine = self.is_mine()
        self.claim = claim
        if self.is_mine() and not was_mine:
            self._authority_start_s = sent_s + HANDOVER_S
            self._has_given_up = claim.fence <= self._denied_fence
            self._has_lost_store = False
        self._leader_lost_s = None

    def claimed(self, claim: Claim, sent_s: float, *, has_resigned: bool) -> None:
        """Record that the store has appended this VM's claim.

        Parameters
        ----------
        claim : Claim
            This VM's claim.
        sent_s : float
            When the claim was sent.
        has_resigned : bool
            Whether the previous leader has confirmed that it no longer acts.
        """
        if sent_s - self._claimed_s < 2 * MAX_CLAIM_PAUSE_S:
            self._claim_pause_s = min(MAX_CLAIM_PAUSE_S, 2 * self._claim_pause_s)
        self._claimed_s = sent_s
        era, offset = claim.position
        if self.claim is None:
            # An older copy of the store may lack the claim of a VM that still acts.
            needs_no_handover = era == 0
        else:
            needs_no_handover = has_resigned and self.claim.position.era == era
        self.turns.claim_read(claim, era, sent_s)
        is_renewal = self.claim is not None and self.is_mine()
        self._renewed_fence = self.claim.fence if is_renewal else -1
        self.claim = claim
        self._has_given_up = claim.fence <= self._denied_fence
        self._has_lost_store = False
        self.end = StorePosition(era, offset + 1)
        self._read_s = sent_s
        self._authority_start_s = sent_s if needs_no_handover else sent_s + HANDOVER_S

    def is_mine(self) -> bool:
        """Return whether the newest known claim is this process's."""
        return self.claim is not None and self.claim.incarnation == self.incarnation

    def is_void(self) -> bool:
        """Return whether the newest known claim is of an earlier era of the store."""
        return (
            self.claim is not None
            and self.end is not None
            and self.claim.position.era < self.end.era
        )

    def may_act(self, now_s: float) -> bool:
        """Return whether this VM may send orders and divide limits now."""
        return (
            self.has_taken_over(now_s)
            and not self._has_given_up
            and not self.is_void()
            and self.has_store(now_s)
        )

    def has_store(self, now_s: float) -> bool:
        """Return whether the store answers this VM, or did while this VM led."""
        if self._has_given_up or not self.is_mine():
            return not self._has_lost_store
        return now_s - self._read_s < AUTHORITY_S

    def may_order(self, now_s: float) -> bool:
        """Return whether this VM may send orders to servers now."""
        return self.may_act(now_s) and self.turns.pause_s(now_s) <= 0.0

    def leader_replied(self, now_s: float) -> None:
        """Record that the leader has replied and still leads."""
        self._leader_lost_s = None
        if now_s - self._claimed_s > MAX_CLAIM_PAUSE_S:
            self._claim_pause_s = CLAIM_PAUSE_S

    def leader_lost(self, now_s: float) -> None:
        """Record that the leader is unreachable or has replied that it resigned."""
        if self._leader_lost_s is None:
            self._leader_lost_s = now_s

    def is_leader_lost(self) -> bool:
        """Return whether no leader is known or the known one does not reply."""
        return self.claim is None or self._leader_lost_s is not None

    def may_claim(self, now_s: float, *, has_resigned: bool) -> bool:
        """Return whether this VM should claim now.

        Parameters
        ----------
        now_s : float
            The present time.
        has_resigned : bool
            Whether the known leader itself has confirmed that it resigned.
        """
        if self.end is None or now_s - self._claim_sent_s < TRY_PAUSE_S:
            return False
        if self.is_mine() and not self._has_given_up:
            # Members still follow this VM, so it renews a void claim at once.
            return self.is_void()
        if now_s - self._claimed_s < self._claim_pause_s:
            return False
        spread_s = self._preference * self._spread_s + self._handicap_s
        if self.claim is None or has_resigned:
            since_s = self._leader_lost_s if self._leader_lost_s is not None else now_s
            return now_s - since_s >= spread_s
        if self._leader_lost_s is None:
            return False
        return now_s - self._leader_lost_s >= SILENCE_S + spread_s

    def claim_sent(self, now_s: float) -> None:
        """Record that a claim has been sent."""
        self._claim_sent_s = now_s

    def has_taken_over(self, now_s: float) -> bool:
        """Return whether this VM's claim is newest and the predecessor cannot act."""
        return self.is_mine() and now_s >= self._authority_start_s

    def is_leading(self, now_s: float) -> bool:
        """Return whether other VMs should treat this one as the leader."""
        if self.is_mine() and now_s - self._read_s > GIVE_UP_S:
            self._has_lost_store |= not self._has_given_up
            self._has_given_up = True
        return self.is_mine() and not self._has_given_up

    def is_renewal_of(self, fence: int) -> bool:
        """Return whether this VM's claim directly followed its own with that token."""
        return self.is_mine() and fence >= 0 and fence == self._renewed_fence

    def deny(self, fence: int) -> None:
        """Record that another VM was told that this one does not lead by a claim.

        That VM may claim and act at once, so this one must not act on the denied claim
        if it learns only later that the store has appended it.
        """
        self._denied_fence = max(self._denied_fence, fence)

    def resign(self) -> None:
        """Stop acting on the present claim, regardless of later reads."""
        self._has_given_up = True
