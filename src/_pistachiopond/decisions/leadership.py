"""Decides which VM leads: it gives orders to servers and shares out the limits.

A claim is a record in the platform's store that is added only where the log ends as
the claimer saw it, so the newest claim is the same for all. There are no renewals: a
leader keeps reading the log and stops as soon as its last read is too old; a leader
that had to stop for longer gives up and acts again only on a new claim. A new leader
waits until the one before must have stopped, unless that one has said so. The offset
of the claim is the fencing token.
"""

from typing import Final, NamedTuple, final

# A leader acts only on a read of the claims that is younger than this.
AUTHORITY_S: Final = 1.0
# What a new leader waits for, longer than AUTHORITY_S by the error of clock rates.
HANDOVER_S: Final = 1.1
# A leader without such a read for this long gives up.
GIVE_UP_S: Final = 1.3
# A leader that does not answer for this long is replaced.
SILENCE_S: Final = 0.5
# Claims of several VMs are spread over this time, by their preference; with many, over
# more, so that most of them see another's claim before their turn.
CLAIM_SPREAD_S: Final = 0.3
CLAIM_SPREAD_PER_VM_S: Final = 0.01
# A VM that has led waits this long before it claims again, doubled each time: two VMs
# that cannot reach each other must not take turns.
CLAIM_PAUSE_S: Final = 2.0
# Between tries of a claim that the store has not added.
TRY_PAUSE_S: Final = 0.3
MAX_CLAIM_PAUSE_S: Final = 16.0


class Claim(NamedTuple):
    """The newest claim.

    Attributes
    ----------
    fence : int
        The offset of its record; the fencing token.
    leader : str
        The name of the VM.
    incarnation : str
        Of the process that claimed.
    address : str
        Where other VMs reach it.
    """

    fence: int
    leader: str
    incarnation: str
    address: str


@final
class Leadership:
    """One VM's view of who leads."""

    def __init__(self, incarnation: str, preference: float) -> None:
        """Start without any knowledge.

        Parameters
        ----------
        incarnation : str
            Of this process.
        preference : float
            0 for the VM that should claim first, up to 1.
        """
        self._incarnation = incarnation
        self._preference = preference
        self.claim: Claim | None = None
        self.end_offset: int | None = None
        self._read_s = float("-inf")
        self._acts_from_s = float("inf")
        self._lost_s: float | None = None
        self._claimed_s = float("-inf")
        self._tried_s = float("-inf")
        self._pause_s = CLAIM_PAUSE_S
        self._is_given_up = False
        self._spread_s = CLAIM_SPREAD_S

    def set_members(self, members: int) -> None:
        """Note how many VMs there are."""
        self._spread_s = max(CLAIM_SPREAD_S, CLAIM_SPREAD_PER_VM_S * members)

    def read(self, claim: Claim | None, end_offset: int, sent_s: float) -> None:
        """Take a read of the claims into account.

        Parameters
        ----------
        claim : Claim or None
            The newest; None where there is none.
        end_offset : int
            Where the log ended.
        sent_s : float
            When the read was sent.
        """
        if self.end_offset is not None and end_offset < self.end_offset:
            return
        self.end_offset = end_offset
        self._read_s = max(self._read_s, sent_s)
        if claim is None or (
            self.claim is not None and claim.fence <= self.claim.fence
        ):
            return
        was_mine = self.is_mine()
        self.claim = claim
        if self.is_mine() and not was_mine:
            self._acts_from_s = sent_s + HANDOVER_S
        self._lost_s = None

    def claimed(self, claim: Claim, sent_s: float, *, has_resigned: bool) -> None:
        """Note that the store has added this VM's claim.

        Parameters
        ----------
        claim : Claim
            This VM's.
        sent_s : float
            When it was sent.
        has_resigned : bool
            Whether the leader before has said that it acts no more.
        """
        if sent_s - self._claimed_s < 2 * MAX_CLAIM_PAUSE_S:
            self._pause_s = min(MAX_CLAIM_PAUSE_S, 2 * self._pause_s)
        self._claimed_s = sent_s
        is_first = self.claim is None or has_resigned
        self.claim = claim
        self._is_given_up = False
        self.end_offset = claim.fence + 1
        self._read_s = sent_s
        self._acts_from_s = sent_s if is_first else sent_s + HANDOVER_S

    def is_mine(self) -> bool:
        """Return whether the newest known claim is this process's."""
        return self.claim is not None and self.claim.incarnation == self._incarnation

    def may_act(self, now_s: float) -> bool:
        """Return whether this VM may give orders and share out limits now."""
        return (
            self.has_taken_over(now_s)
            and not self._is_given_up
            and now_s - self._read_s < AUTHORITY_S
        )

    def leader_answered(self, now_s: float) -> None:
        """Note that the leader is alive and still leads."""
        self._lost_s = None
        if now_s - self._claimed_s > MAX_CLAIM_PAUSE_S:
            self._pause_s = CLAIM_PAUSE_S

    def leader_lost(self, now_s: float) -> None:
        """Note that the leader cannot be reached, or says that it leads no more."""
        if self._lost_s is None:
            self._lost_s = now_s

    def is_leader_lost(self) -> bool:
        """Return whether no leader is known or the known one does not answer."""
        return self.claim is None or self._lost_s is not None

    def may_claim(self, now_s: float, *, has_resigned: bool) -> bool:
        """Return whether this VM should claim now.

        Parameters
        ----------
        now_s : float
            The time.
        has_resigned : bool
            Whether the known leader itself has said that it leads no more.
        """
        if self.end_offset is None or (self.is_mine() and not self._is_given_up):
            return False
        if now_s - self._claimed_s < self._pause_s:
            return False
        if now_s - self._tried_s < TRY_PAUSE_S:
            return False
        spread_s = self._preference * self._spread_s
        if self.claim is None or has_resigned:
            since_s = self._lost_s if self._lost_s is not None else now_s
            return now_s - since_s >= spread_s
        if self._lost_s is None:
            return False
        return now_s - self._lost_s >= SILENCE_S + spread_s

    def claim_sent(self, now_s: float) -> None:
        """Note that a claim is on its way."""
        self._tried_s = now_s

    def has_taken_over(self, now_s: float) -> bool:
        """Return whether the leader before cannot act any more."""
        return self.is_mine() and now_s >= self._acts_from_s

    def leads(self, now_s: float) -> bool:
        """Return whether other VMs should take this one for the leader."""
        if self.is_mine() and now_s - self._read_s > GIVE_UP_S:
            self._is_given_up = True
        return self.is_mine() and not self._is_given_up

    def resign(self) -> None:
        """Stop acting on the present claim, whatever later reads show."""
        self._is_given_up = True
