"""Decides when a member takes its leader for lost.

Load that this answers: VMs with a fraction of a core. A member that itself stood still
finds that the time for a reply has passed before it has read the reply.
"""

from typing import Final, final

# A leader that has not replied for this long is lost, whatever other lines it sends: a
# leader that sends single bytes without end must not be kept.
REPLY_TIMEOUT_S: Final = 0.6
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
        self._waited_s = 0.0

    def is_lost(self, now_s: float) -> bool:
        """Return whether the leader counts as lost; to be called each `STEP_S`."""
        passed_s = min(now_s - self._looked_s, MAX_COUNTED_STEP_S)
        self._looked_s = now_s
        self._waited_s += passed_s
        return self._waited_s >= REPLY_TIMEOUT_S
