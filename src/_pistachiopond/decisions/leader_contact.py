"""Decides what the replies of the VM that is taken for the leader prove.

A VM that has given up the lead goes on replying. While the store answers nobody, no
other VM can claim the lead, and the members share limits and records through the one
that had it. But a member that has left it may follow another leader, whose servers and
records the remaining members do not hear of. So a reply proves contact with all VMs
only if its sender leads, or still has all of its members and they are as many as any
leader has lately had.

The load is one reply of a few hundred bytes in each report period.
"""

from typing import Final, final

# The most VMs that a leader has had within this time are all that there are.
MEMBER_COUNT_MEMORY_S: Final = 60.0


@final
class LeaderContact:
    """When replies last came, and when they last proved contact with all VMs.

    Attributes
    ----------
    replied_s : float
        When the last reply came, of any sender.
    reached_all_s : float
        When the last reply came that proved contact with all VMs.
    reaches_all : bool
        Whether the last reply did.
    """

    def __init__(self) -> None:
        self.replied_s = float("-inf")
        self.reached_all_s = float("-inf")
        self.reaches_all = False
        self._peak_members = 0
        self._peak_members_s = float("-inf")

    def record_reply(
        self, now_s: float, *, is_leading: bool, has_lost_none: bool, members: int
    ) -> bool:
        """Apply a reply.

        Parameters
        ----------
        now_s : float
            The present time.
        is_leading : bool
            Whether the sender leads.
        has_lost_none : bool
            Whether all VMs that have reported to the sender still do. Others may have
            been behind an earlier leader, and never have.
        members : int
            The number of VMs that report to the sender.

        Returns
        -------
        bool
            Whether contact with all VMs has been lost or regained.
        """
        was_reaching = self.reaches_all
        self.replied_s = now_s
        has_all_members = has_lost_none and members >= self._peak_members
        self.reaches_all = is_leading or has_all_members
        if self.reaches_all:
            self.reached_all_s = now_s
            self._count(members, now_s)
        return self.reaches_all != was_reaching

    def _count(self, members: int, now_s: float) -> None:
        is_old = now_s - self._peak_members_s > MEMBER_COUNT_MEMORY_S
        if members >= self._peak_members or is_old:
            self._peak_members, self._peak_members_s = members, now_s

    def disconnected(self) -> None:
        """Record that the connection to the sender has ended."""
        self.reaches_all = False
