"""What the services of a control daemon offer each other."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from result import Result

from _pistachiopond.clients.log import LogFailure, LogPage
from _pistachiopond.schema.limits import LimitsView
from _pistachiopond.schema.revision import Revision
from _pistachiopond.schema.suspects import CrashReport, SuspectView
from _pistachiopond.transport.generated.pond_pb2 import (
    ClaimCallReply,
    ClaimCallRequest,
    DrawReply,
    DrawRequest,
    FinishCallReply,
    FinishCallRequest,
    ProbationReply,
    ProbationRequest,
)


class Holding(NamedTuple):
    """A shard that this daemon owns.

    Attributes
    ----------
    shard : str
        ``servers-3``, ``customers-0`` or ``floor-akl-a-0``.
    epoch : int
        The offset of the claim in the log; also the fencing number.
    acquired_s : float
        When the claim was read back, on this daemon's clock.
    valid_until_s : float
        When authority ends on this daemon's clock unless renewed; already
        shortened by the bound on clock-rate error.
    predecessor_acquired_s : float or None
        The latest time, on this daemon's clock, at which the holder before may have
        acquired it; None where that is not known.
    """

    shard: str
    epoch: int
    acquired_s: float
    valid_until_s: float
    predecessor_acquired_s: float | None = None


class Ownership(NamedTuple):
    """The service ``ownership``.

    Attributes
    ----------
    holding : callable
        ``holding(shard)`` gives this daemon's holding if it is valid now.
    holder_address : callable
        ``holder_address(shard)`` gives who owns it as far as the log tells.
    """

    holding: Callable[[str], Holding | None]
    holder_address: Callable[[str], str | None]


class Member(NamedTuple):
    """A control daemon that is believed to be alive."""

    address: str
    data_centre: str
    incarnation: str


class Membership(NamedTuple):
    """The service ``membership``.

    Attributes
    ----------
    members : callable
        Those that may be given work, this one included.
    gone_since_s : callable
        ``gone_since_s(address, incarnation)`` gives since when that process is
        known to be gone for good, or None.
    """

    members: Callable[[], tuple[Member, ...]]
    gone_since_s: Callable[[str, str], float | None]


def _never_down() -> float:
    return 0.0


class LogAccess(NamedTuple):
    """The service ``log``: the platform's log with counters and back-off.

    Attributes
    ----------
    append, read : callable
        As in `platform.log.LogClient`.
    down_for_s : callable
        How long the log has not answered; 0 while it does.
    """

    append: Callable[[str, str], Awaitable[Result[int, LogFailure]]]
    read: Callable[[str, int, int, float], Awaitable[Result[LogPage, LogFailure]]]
    down_for_s: Callable[[], float] = _never_down


class Configuration(NamedTuple):
    """The service ``configuration``.

    Attributes
    ----------
    revision : callable
        The revision in force, or None before the first.
    fresh_age_s : callable
        Age of the proof that no newer record exists.
    keys_closed : callable
        Whether keyed routes must refuse because freshness is not proved.
    """

    revision: Callable[[], Revision | None]
    fresh_age_s: Callable[[], float]
    keys_closed: Callable[[], bool]


class DrawHandler(NamedTuple):
    """The service ``limits``: grants tokens, and says where to draw them."""

    handle_draw: Callable[[DrawRequest], Awaitable[DrawReply]]
    view: Callable[[], LimitsView]


class CallHandler(NamedTuple):
    """The service ``calls``: decides on keyed calls."""

    handle_claim: Callable[[ClaimCallRequest], Awaitable[ClaimCallReply]]
    handle_finish: Callable[[FinishCallRequest], Awaitable[FinishCallReply]]


class CrashHandler(NamedTuple):
    """The service ``crashes``: takes crash reports, and says who is a suspect."""

    handle_probation: Callable[[ProbationRequest], Awaitable[ProbationReply]]
    handle_crashes: Callable[[tuple[CrashReport, ...]], Awaitable[None]]
    view: Callable[[], SuspectView]
