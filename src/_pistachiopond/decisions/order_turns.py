"""Keeps VMs that lead by turns from sending orders to servers by turns.

Load that this answers: the lead changes several times within seconds, for example
while the store turns single VMs away, and comes back to a VM whose last orders are
recent. Operators count orders from A, B and again A within the lease time as two
holders at once. So a VM that gets the lead back after another VM's claim sends no order
until the lease time has passed since its last one.

Each VM decides by its own clock and by what it has read of the claims. A process that
starts does not know when the VM's earlier process sent orders. So each claim names the
VMs that may have sent some shortly before it. A VM that is not named sends orders as
soon as it leads; one that is named counts its start as the time of its last order.

Each claim is appended only where the log ends at the position that its writer has read,
so a VM that claims has read all earlier claims of the store's era. Claims of an earlier
era may be lost with the orders that followed from them, so the first claim of an era
counts as one that follows another VM's.
"""

from typing import Final, final

from _pistachiopond.decisions.claims import Claim

# An order may arrive this long after its call has ended without an answer, which also
# allows for clock rate errors.
ORDER_MARGIN_S: Final = 0.3
# What may pass from a VM's last order to the time that another VM knows as that of its
# successor's claim: 1.0 s of authority, 0.3 s of the call and 1.0 s of the read.
CLAIM_LAG_S: Final = 2.5
# A claim names at most so many earlier holders; with more, it says that they are
# unknown.
MAX_EARLIER_HOLDERS: Final = 16


@final
class OrderTurns:
    """Decides when this VM may send orders, given the claims and its own orders."""

    def __init__(self, name: str, lease_s: float, started_s: float) -> None:
        """Start without a known claim.

        Parameters
        ----------
        name : str
            The name of this VM.
        lease_s : float
            The time within which holders must not take turns.
        started_s : float
            When this process started.
        """
        self._name = name
        self._lease_s = lease_s
        self._claim: Claim | None = None
        self._claim_seen_s = float("-inf")
        self._has_read = False
        # When this VM may have sent its last order; None if that was not lately.
        self._ordered_s: float | None = started_s
        self._has_lost_turn = False

    def set_lease_s(self, lease_s: float) -> None:
        """Set the time within which holders must not take turns."""
        self._lease_s = lease_s

    def claim_read(self, claim: Claim | None, era: int, seen_s: float) -> None:
        """Process the newest claim.

        Parameters
        ----------
        claim : Claim or None
            The newest claim; None if there is none.
        era : int
            The store's era.
        seen_s : float
            When the read or the append was sent.
        """
        is_first_read, self._has_read = not self._has_read, True
        if is_first_read:
            self._process_first_read(claim, era)
        if claim is None or claim == self._claim:
            return
        known, self._claim = self._claim, claim
        self._claim_seen_s = seen_s
        if is_first_read:
            return
        is_of_other = claim.leader != self._name
        is_of_other_era = known is not None and claim.position.era != known.position.era
        if (is_of_other or is_of_other_era) and self._ordered_s is not None:
            self._has_lost_turn = True

    def _process_first_read(self, claim: Claim | None, era: int) -> None:
        if claim is None or claim.position.era != era:
            # An older copy of the store may lack claims.
            is_unknown = claim is not None or era > 0
        else:
            holders = claim.earlier_holders
            is_unknown = holders is None or self._name in holders
        self._has_lost_turn = is_unknown
        # An earlier process of this VM may have led by the newest claim until it ended.
        is_own = claim is not None and claim.leader == self._name
        if not is_unknown and not is_own:
            self._ordered_s = None

    def order_sent(self, now_s: float) -> None:
        """Record that this VM begins to send an order."""
        self._ordered_s = now_s
        self._has_lost_turn = False

    def order_ended(self, now_s: float) -> None:
        """Record that an order has been answered, or was given up."""
        self._ordered_s = now_s

    def pause_s(self, now_s: float) -> float:
        """Return for how long this VM must not send orders; 0 if it may."""
        if not self._has_lost_turn or self._ordered_s is None:
            return 0.0
        until_s = self._ordered_s + self._lease_s + ORDER_MARGIN_S
        return max(0.0, until_s - now_s)

    def earlier_holders(self, era: int, now_s: float) -> tuple[str, ...] | None:
        """Return what a claim that this VM makes now says of earlier holders.

        Parameters
        ----------
        era : int
            The store's era.
        now_s : float
            The present time.
        """
        claim = self._claim
        if claim is None:
            return () if era == 0 else None
        if claim.position.era != era:
            return None
        names: set[str] = set()
        if now_s - self._claim_seen_s < self._lease_s + CLAIM_LAG_S:
            if claim.earlier_holders is None:
                return None
            names.update(claim.earlier_holders)
        if claim.leader != self._name:
            names.add(claim.leader)
        if self.pause_s(now_s) > 0.0:
            names.add(self._name)
        return tuple(sorted(names)) if len(names) <= MAX_EARLIER_HOLDERS else None
