"""Decides when a member takes its leader for lost.

Load that this answers: VMs with a fraction of a core. A leader whose event loop stalls
replies late, though it leads and sends other lines, and a member that itself stood
still finds that the time for a reply has passed before it has read the reply.
"""

from typing import Final, final

# A leader from which nothing came for this long while a reply is due is lost.
REPLY_TIMEOUT_S: Final = 0.6
# A leader that sends other lines must still reply within this time: two of the above.
# It is shorter than the authority and the reply timeout together, after which members
# could not tell a late leader from one that can't lead.
MAX_REPLY_WAIT_S: Final = 1.2
# How often a member that waits looks at the time.
STEP_S: Final = 0.1
# More time than this between two looks counts as no more: the process stood still, and
# what the leader has sent meanwhile is still to be read.
MAX_COUNTED_STEP_S: Final = 0.15


@final
class LeaderSilence:
    """The time that a member has waited for one reply, without its own standstills."""

    def __init__(self, sent_s: float) -> None:
        """Start when the report is sent."""
        self._looked_s = sent_s
        self._silent_s = 0.0
        self._waited_s = 0.0

    def line_received(self) -> None:
        """Record that the leader has sent a line of any kind."""
        self._silent_s = 0.0

    def is_lost(self, now_s: float) -> bool:
        """Return whether the leader counts as lost; to be called each `STEP_S`."""
        passed_s = min(now_s - self._looked_s, MAX_COUNTED_STEP_S)
        self._looked_s = now_s
        self._silent_s += passed_s
        self._waited_s += passed_s
        return self._silent_s >= REPLY_TIMEOUT_S or self._waited_s >= MAX_REPLY_WAIT_S
