"""Identity of a control daemon, and what other daemons know about it."""

from typing import NamedTuple

from _pistachiopond.decisions.flapping import Damping
from _pistachiopond.schema.heartbeat import Liveness


class Identity(NamedTuple):
    """Identifies one control daemon process."""

    address: str
    data_centre: str
    incarnation: str


class ListedDaemon(NamedTuple):
    """A control daemon in the platform's list."""

    address: str
    data_centre: str
    is_leaving: bool


class MemberRecord(NamedTuple):
    """What this daemon knows about one other daemon.

    Attributes
    ----------
    identity : Identity
        The incarnation is empty until a heartbeat or rumour has named it.
    beat : int
        The highest beat received, directly or by rumour.
    beat_s : float
        When the beat last increased, by this daemon's clock.
    direct_s : float
        When the beat last increased in a message from the daemon itself.
    since_s : float
        When this incarnation was first seen.
    standing : {"alive", "suspected", "dead"}
        This daemon's own judgement.
    is_listed, is_leaving : bool
        The entry in the platform's list.
    probed_since_s : float or None
        Since when heartbeats have been sent to it without its beat increasing.
    damping : Damping
        Penalty for recent changes of standing.
    """

    identity: Identity
    beat: int = 0
    beat_s: float = 0.0
    direct_s: float = float("-inf")
    since_s: float = 0.0
    standing: Liveness = "alive"
    is_listed: bool = False
    is_leaving: bool = False
    probed_since_s: float | None = None
    damping: Damping = Damping()
