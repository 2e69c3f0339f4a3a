"""Who a control daemon is, and what another one knows of it."""

from typing import NamedTuple

from _pistachiopond.decisions.flapping import Damping
from _pistachiopond.schema.heartbeat import Standing


class Identity(NamedTuple):
    """One control daemon process."""

    address: str
    data_centre: str
    incarnation: str


class ListedDaemon(NamedTuple):
    """A control daemon as the platform lists it."""

    address: str
    data_centre: str
    is_leaving: bool


class Known(NamedTuple):
    """What is known of one other daemon.

    Attributes
    ----------
    identity : Identity
        The incarnation is empty until it was heard of.
    beat : int
        The highest that was heard.
    beat_s : float
        When it last rose, by this daemon's clock.
    direct_s : float
        When it last rose in an answer or heartbeat of its own.
    since_s : float
        When this incarnation was first heard of.
    standing : {"alive", "suspected", "dead"}
        As judged here.
    is_listed, is_leaving : bool
        What the platform's list says.
    probed_since_s : float or None
        Since when this daemon sends it heartbeats without a rise of its beat.
    damping : Damping
        How often it came and went of late.
    """

    identity: Identity
    beat: int = 0
    beat_s: float = 0.0
    direct_s: float = float("-inf")
    since_s: float = 0.0
    standing: Standing = "alive"
    is_listed: bool = False
    is_leaving: bool = False
    probed_since_s: float | None = None
    damping: Damping = Damping()
