"""Decides in which order VMs claim a free lead: those with room first.

Load that this answers: a leader with a fraction of a core, or a slow link, answers its
members late. They take it for lost, and the lead changes again and again.
"""

import math
from typing import Final

# VMs with no more than the lower values claim last. Beyond the upper ones more room
# changes nothing for a leader of some hundred VMs.
MIN_CORES: Final = 0.25
AMPLE_CORES: Final = 2.0
MIN_LINK_MBPS: Final = 5.0
AMPLE_LINK_MBPS: Final = 200.0
# The rest of the time over which claims are spread keeps equal VMs apart. VMs with 1.0
# and with 0.4 of a core are still apart whatever is drawn.
ROOM_SHARE: Final = 0.7


def claim_preference(cores: float, link_mbps: float, drawn: float) -> float:
    """Return 0 for the VM that should claim first, up to 1 for the last.

    Parameters
    ----------
    cores, link_mbps : float
        The VM's processor share and network bandwidth.
    drawn : float
        From 0 to 1, different for each VM.
    """
    room = min(
        _graded(cores, MIN_CORES, AMPLE_CORES),
        _graded(link_mbps, MIN_LINK_MBPS, AMPLE_LINK_MBPS),
    )
    return ROOM_SHARE * (1.0 - room) + (1.0 - ROOM_SHARE) * drawn


def _graded(value: float, least: float, ample: float) -> float:
    """Return 0 at `least` or below and 1 at `ample` or above, by doublings between."""
    bounded = min(max(value, least), ample)
    return math.log(bounded / least) / math.log(ample / least)
