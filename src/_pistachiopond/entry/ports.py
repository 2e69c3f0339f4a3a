"""What the services of an entry daemon offer each other, as plain callables."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from result import Result

from _pistachiopond.schema.verdict import Failure


class Reservation(NamedTuple):
    """Tokens set aside for one admitted request.

    Attributes
    ----------
    reservation_id : int
        Unique in the process.
    customer : str
        Whose tokens they are.
    tokens : float
        The most that the request may use.
    """

    reservation_id: int
    customer: str
    tokens: float


class CallClaim(NamedTuple):
    """The right to run one keyed call once."""

    claim_id: str
    customer: str
    route: str
    key_digest: str


class KeptAnswer(NamedTuple):
    """The answer of a keyed call that finished before."""

    status: int
    body: bytes
    content_type: str


class CallOutcome(NamedTuple):
    """How a keyed call ended.

    Attributes
    ----------
    ran : bool
        False only when it certainly did not run: the key may then be used again.
    """

    ran: bool
    status: int
    body: bytes
    content_type: str


Reserve = Callable[[str, float], Awaitable[Result[Reservation, Failure]]]
Settle = Callable[[Reservation, float], None]
NoteUsed = Callable[[Reservation, float], None]
ClaimCall = Callable[
    [str, str, str, str], Awaitable[Result[CallClaim | KeptAnswer, Failure]]
]
FinishCall = Callable[[CallClaim, CallOutcome], Awaitable[None]]


def _note_nothing(reservation: Reservation, used_tokens: float) -> None:
    """Leave all usage to the settlement."""


class Limits(NamedTuple):
    """The service ``limits`` of an entry daemon.

    Attributes
    ----------
    reserve : callable
        ``reserve(customer, tokens)``; a failure is always ``NOT_RUN``.
    settle : callable
        ``settle(reservation, used_tokens)``; exactly once for each reservation.
    note_used : callable
        ``note_used(reservation, used_tokens)`` while the request runs, with the total
        that it has certainly used so far; frees what is kept for a refund.
    """

    reserve: Reserve
    settle: Settle
    note_used: NoteUsed = _note_nothing


class Calls(NamedTuple):
    """The service ``calls`` of an entry daemon.

    Attributes
    ----------
    claim : callable
        ``claim(customer, route, idempotency_key_digest, request_digest)``.
    finish : callable
        ``finish(claim, outcome)``; retries in the background until recorded.
    """

    claim: ClaimCall
    finish: FinishCall


class Crashes(NamedTuple):
    """The service ``crashes`` of an entry daemon.

    Attributes
    ----------
    admit : callable
        ``admit(fingerprint)`` before a request is handed to the dispatcher; passes
        at once unless it is a suspect. A failure is always ``NOT_RUN``.
    finished : callable
        ``finished(fingerprint)`` once a request was answered whole.
    """

    admit: Callable[[str], Awaitable[Result[None, Failure]]]
    finished: Callable[[str], None]
