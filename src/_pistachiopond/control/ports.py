"""The interfaces between the services of a control daemon."""

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
    """A lease that this daemon holds on a shard.

    Attributes
    ----------
    shard : str
        ``servers-3``, ``customers-0`` or ``floor-akl-a-0``.
    epoch : int
        The offset of the claim in the log; also the fencing number.
    acquired_s : float
        When this daemon read its claim back from the log, on its own clock.
    valid_until_s : float
        When the lease ends on this daemon's clock unless it is renewed; the bound on
        clock-rate error is already subtracted.
    predecessor_acquired_s : float or None
        The latest time, on this daemon's clock, at which the previous holder may have
        acquired the shard; -inf if there was none, None if unknown.
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
        ``holding(shard)`` returns this daemon's lease if it is valid now.
    holder_address : callable
        ``holder_address(shard)`` returns the last known holder's address.
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
        The daemons that may be assigned work, including this one.
    ended_since_s : callable
        ``ended_since_s(address, incarnation)`` returns the time since which that
        process is known to have ended for good, or None.
    """

    members: Callable[[], tuple[Member, ...]]
    ended_since_s: Callable[[str, str], float | None]


def _never_down() -> float:
    return 0.0


class LogAccess(NamedTuple):
    """The service ``log``: the platform's log with counters and back-off.

    Attributes
    ----------
    append, read : callable
        As in `clients.log.LogClient`.
    down_for_s : callable
        How long the log has failed to answer; 0 while it answers.
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
        Time since this daemon last knew that no newer record exists.
    keys_closed : callable
        Whether routes that need a key must refuse requests because the configuration,
        and with it the list of withdrawn keys, may be out of date.
    """

    revision: Callable[[], Revision | None]
    fresh_age_s: Callable[[], float]
    keys_closed: Callable[[], bool]


class DrawHandler(NamedTuple):
    """The service ``limits``: grants rate-limit tokens and lists the token pools."""

    handle_draw: Callable[[DrawRequest], Awaitable[DrawReply]]
    view: Callable[[], LimitsView]


class CallHandler(NamedTuple):
    """The service ``calls``: runs each call with an idempotency key at most once."""

    handle_claim: Callable[[ClaimCallRequest], Awaitable[ClaimCallReply]]
    handle_finish: Callable[[FinishCallRequest], Awaitable[FinishCallReply]]


class CrashHandler(NamedTuple):
    """The service ``crashes``: collects crash reports and lists suspected requests."""

    handle_probation: Callable[[ProbationRequest], Awaitable[ProbationReply]]
    handle_crashes: Callable[[tuple[CrashReport, ...]], Awaitable[None]]
    view: Callable[[], SuspectView]
