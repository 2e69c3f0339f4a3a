"""Code shared by attempts to call model engines and plain HTTP services.

Each attempt opens a new connection: a kept-alive one may have died unnoticed, and a
successful connect shows that the server is reachable.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

import anyio
import httpx
from opentelemetry.trace import Span

from _pistachiopond.decisions.dispatch_types import (
    AttemptFailed,
    AttemptFinished,
    Event,
    StartAttempt,
)
from _pistachiopond.decisions.failure_kinds import FailureKind
from _pistachiopond.entry.connections import excess_of
from _pistachiopond.entry.exchange import Exchange
from _pistachiopond.http1.message_bounds import Excess
from _pistachiopond.kernel.timer import Timer
from _pistachiopond.observe.tracing import headers_for
from _pistachiopond.schema.verdict import Verdict
from _pistachiopond.transport.excess_records import RecordExcess

CONNECT_TIMEOUT_S: Final = 1.0
WRITE_TIMEOUT_S: Final = 5.0
REQUEST_ID_HEADER: Final = "X-Request-Id"
VERDICT_HEADER: Final = "X-Verdict"
LEAVING_HEADER: Final = "X-Leaving"
NOT_RUN_VALUE: Final = "not_run"

AttemptResult = AttemptFinished | AttemptFailed


class Attempt(NamedTuple):
    """One attempt to run a request on a backend server, and its dependencies.

    Attributes
    ----------
    http : httpx.AsyncClient
        Opens a new connection for each request.
    timer : Timer
        The clock for deadlines.
    action : StartAttempt
        The dispatcher's decision that started this attempt.
    exchange : Exchange
        The request and its response.
    notify : callable
        Sends an event to the dispatcher.
    record_leaving : callable
        Called with the server's name if its response says that it is shutting down.
    record_excess : callable
        Called with the server's name and the bound that its response has exceeded.
    span : Span
        The trace span of the attempt.
    """

    http: httpx.AsyncClient
    timer: Timer
    action: StartAttempt
    exchange: Exchange
    notify: Callable[[Event], None]
    record_leaving: Callable[[str], None]
    record_excess: RecordExcess
    span: Span

    @property
    def backend_request_id(self) -> str:
        """The request id that the backend server must echo in its response."""
        return f"{self.action.request_id}-{self.action.attempt}"


class AttemptError(Exception):
    """An attempt that did not produce a usable response.

    Attributes
    ----------
    verdict : Verdict
        Whether the server may have run the request.
    kind : str
        The kind of failure.
    retry_after_s : float or None
        The delay that the server requested.
    can_resume : bool
        Whether a new connection to the same server may resume the response.
    is_model_missing : bool
        Whether the server does not have the model, as after a restart.
    excess : Excess or None
        The bound that the response has exceeded.
    """

    def __init__(
        self,
        verdict: Verdict,
        kind: FailureKind,
        retry_after_s: float | None = None,
        *,
        can_resume: bool = False,
        is_model_missing: bool = False,
        excess: Excess | None = None,
    ) -> None:
        super().__init__(f"{kind}, {verdict.value}")
        self.verdict = verdict
        self.kind: FailureKind = kind
        self.retry_after_s = retry_after_s
        self.can_resume = can_resume
        self.is_model_missing = is_model_missing
        self.excess = excess


def attempt_headers(attempt: Attempt) -> dict[str, str]:
    """Return the headers that every attempt adds to its request."""
    return {REQUEST_ID_HEADER: attempt.backend_request_id, **headers_for(attempt.span)}


def check_response(attempt: Attempt, response: httpx.Response) -> None:
    """Check that a response belongs to this attempt; note a server shutting down.

    Raises
    ------
    AttemptError
        When the response carries another request's id; it must not be forwarded.
    """
    if response.headers.get(REQUEST_ID_HEADER) != attempt.backend_request_id:
        raise AttemptError(Verdict.MAY_HAVE_RUN, "mismatch")
    if LEAVING_HEADER in response.headers:
        attempt.record_leaving(attempt.action.server)


def declares_not_run(response: httpx.Response) -> bool:
    """Return whether the server states that it did not run the request."""
    return response.headers.get(VERDICT_HEADER, "").strip() == NOT_RUN_VALUE


def parse_retry_after(response: httpx.Response) -> float | None:
    """Return the server's ``Retry-After`` in seconds, if it is a number."""
    try:
        return max(0.0, float(response.headers.get("Retry-After", "")))
    except ValueError:
        return None


def classify_http_error(error: httpx.HTTPError) -> AttemptError:
    """Translate a connection error into the outcome of the attempt."""
    excess = excess_of(error)
    if excess is not None:
        return excessive_response(excess)
    if isinstance(error, (httpx.ConnectError, httpx.ConnectTimeout)):
        return AttemptError(Verdict.NOT_RUN, "connect")
    if isinstance(error, httpx.TimeoutException):
        return AttemptError(Verdict.MAY_HAVE_RUN, "silent", can_resume=True)
    return AttemptError(Verdict.MAY_HAVE_RUN, "reset", can_resume=True)


def excessive_response(excess: Excess) -> AttemptError:
    """Return the outcome of an attempt whose response has exceeded a bound."""
    return AttemptError(Verdict.MAY_HAVE_RUN, "server_error", excess=excess)


async def accepts_connections(url: str) -> bool:
    """Return whether the server at that base URL accepts TCP connections."""
    address = httpx.URL(url)
    port = address.port or (443 if address.scheme == "https" else 80)
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(address.host, port)
            await stream.aclose()
    except (OSError, TimeoutError):
        return False
    return True


def failed_event(attempt: Attempt, error: AttemptError) -> AttemptFailed:
    """Record and return the failure of an attempt, for the dispatcher."""
    if error.excess is not None:
        attempt.record_excess(attempt.action.server, error.excess)
    return AttemptFailed(
        request_id=attempt.action.request_id,
        attempt=attempt.action.attempt,
        verdict=error.verdict,
        kind=error.kind,
        server_retry_after_s=error.retry_after_s,
        output_began=attempt.exchange.output_began,
    )


def finished_event(attempt: Attempt) -> AttemptFinished:
    """Return the dispatcher event for a complete response."""
    return AttemptFinished(attempt.action.request_id, attempt.action.attempt)
