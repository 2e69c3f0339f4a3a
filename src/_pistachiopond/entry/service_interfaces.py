"""The interfaces between services of an entry daemon, as tuples of callables."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from result import Result

from _pistachiopond.schema.verdict import Failure


class Reservation(NamedTuple):
    """Tokens reserved for one admitted request.

    Attributes
    ----------
    reservation_id : int
        Unique in the process.
    customer : str
        The customer whose tokens are reserved.
    tokens : float
        The maximum that the request may use.
    """

    reservation_id: int
    customer: str
    tokens: float


class CallClaim(NamedTuple):
    """The right to run one call with an ``Idempotency-Key`` once."""

    claim_id: str
    customer: str
    route: str
    key_digest: str


class StoredResponse(NamedTuple):
    """The stored response of an earlier call with the same ``Idempotency-Key``."""

    status: int
    body: bytes
    content_type: str


class CallOutcome(NamedTuple):
    """How a call with an ``Idempotency-Key`` ended.

    Attributes
    ----------
    ran : bool
        False only if it certainly did not run; the key may then be used again.
    """

    ran: bool
    status: int
    body: bytes
    content_type: str


Reserve = Callable[[str, float], Awaitable[Result[Reservation, Failure]]]
Settle = Callable[[Reservation, float], None]
RecordUsage = Callable[[Reservation, float], None]
ClaimCall = Callable[
    [str, str, str, str], Awaitable[Result[CallClaim | StoredResponse, Failure]]
]
FinishCall = Callable[[CallClaim, CallOutcome], Awaitable[None]]


def _ignore_usage(reservation: Reservation, used_tokens: float) -> None:
    """Ignore interim usage; all usage is recorded at settlement."""


class LimitsApi(NamedTuple):
    """The service ``limits`` of an entry daemon.

    Attributes
    ----------
    reserve : callable
        ``reserve(customer, tokens)``; a failure's verdict is always ``NOT_RUN``.
    settle : callable
        ``settle(reservation, used_tokens)``; must be called exactly once for each
        reservation.
    record_usage : callable
        ``record_usage(reservation, used_tokens)``, called while the request runs with
        the total that it has certainly used so far; releases the part kept for a
        refund.
    """

    reserve: Reserve
    settle: Settle
    record_usage: RecordUsage = _ignore_usage


class CallsApi(NamedTuple):
    """The service ``calls`` of an entry daemon.

    Attributes
    ----------
    claim : callable
        ``claim(customer, route, idempotency_key_digest, request_digest)``.
    finish : callable
        ``finish(claim, outcome)`` records the outcome, retrying in the background.
    """

    claim: ClaimCall
    finish: FinishCall


class CrashesApi(NamedTuple):
    """The service ``crashes`` of an entry daemon.

    Attributes
    ----------
    admit : callable
        ``admit(fingerprint)`` must be called before a request is dispatched; it
        returns at once unless the request is suspected of crashing servers. A
        failure's verdict is always ``NOT_RUN``.
    finished : callable
        ``finished(fingerprint)``, called once a request got a complete response.
    """

    admit: Callable[[str], Awaitable[Result[None, Failure]]]
    finished: Callable[[str], None]
