"""What the attempts at engines and plain services have in common.

Each attempt has a connection of its own, opened for it: a connection that was kept
open may have gone silent, and opening one shows that the server is reachable.
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
    FailureKind,
    StartAttempt,
)
from _pistachiopond.entry.exchange import Exchange
from _pistachiopond.kernel.timer import Timer
from _pistachiopond.observe.tracing import headers_for
from _pistachiopond.schema.verdict import Verdict

CONNECT_TIMEOUT_S: Final = 1.0
WRITE_TIMEOUT_S: Final = 5.0
REQUEST_ID_HEADER: Final = "X-Request-Id"
VERDICT_HEADER: Final = "X-Verdict"
LEAVING_HEADER: Final = "X-Leaving"
NOT_RUN_SIGN: Final = "not_run"

AttemptResult = AttemptFinished | AttemptFailed


class Attempt(NamedTuple):
    """One attempt and what it needs.

    Attributes
    ----------
    http : httpx.AsyncClient
        Opens a new connection for each request.
    timer : Timer
        For deadlines.
    start : StartAttempt
        The dispatcher's order.
    exchange : Exchange
        The request.
    notify : callable
        Tells the dispatcher of progress.
    note_leaving : callable
        Called with the server's name when it says that it is leaving.
    span : Span
        The attempt's.
    """

    http: httpx.AsyncClient
    timer: Timer
    start: StartAttempt
    exchange: Exchange
    notify: Callable[[Event], None]
    note_leaving: Callable[[str], None]
    span: Span

    @property
    def backend_id(self) -> str:
        """The request id that the backend server must repeat in its answer."""
        return f"{self.start.request_id}-{self.start.attempt}"


class AnswerFault(Exception):
    """An answer that can't be used.

    Attributes
    ----------
    verdict : Verdict
        Whether this attempt may have run.
    kind : str
        How it failed.
    retry_after_s : float or None
        What the server asked for.
    can_resume : bool
        Whether a new connection to the same server may go on from here.
    has_lost_model : bool
        Whether the server does not serve the model, as after a restart.
    """

    def __init__(
        self,
        verdict: Verdict,
        kind: FailureKind,
        retry_after_s: float | None = None,
        *,
        can_resume: bool = False,
        has_lost_model: bool = False,
    ) -> None:
        super().__init__(f"{kind}, {verdict.value}")
        self.verdict = verdict
        self.kind: FailureKind = kind
        self.retry_after_s = retry_after_s
        self.can_resume = can_resume
        self.has_lost_model = has_lost_model


def own_headers(attempt: Attempt) -> dict[str, str]:
    """Return the headers that every attempt sends."""
    return {REQUEST_ID_HEADER: attempt.backend_id, **headers_for(attempt.span)}


def check_answer(attempt: Attempt, response: httpx.Response) -> None:
    """Refuse an answer that belongs to another request or says it did not run.

    Raises
    ------
    AnswerFault
        When nothing of it may be forwarded.
    """
    if response.headers.get(REQUEST_ID_HEADER) != attempt.backend_id:
        raise AnswerFault(Verdict.MAY_HAVE_RUN, "mismatch")
    if LEAVING_HEADER in response.headers:
        attempt.note_leaving(attempt.start.server)


def says_not_run(response: httpx.Response) -> bool:
    """Return whether the server vouches that nothing ran."""
    return response.headers.get(VERDICT_HEADER, "").strip() == NOT_RUN_SIGN


def retry_after_of(response: httpx.Response) -> float | None:
    """Return the server's ``Retry-After`` in seconds, if it is a number."""
    try:
        return max(0.0, float(response.headers.get("Retry-After", "")))
    except ValueError:
        return None


def fault_of(error: httpx.HTTPError) -> AnswerFault:
    """Return what an error of the connection says about the request."""
    if isinstance(error, (httpx.ConnectError, httpx.ConnectTimeout)):
        return AnswerFault(Verdict.NOT_RUN, "connect")
    if isinstance(error, httpx.TimeoutException):
        return AnswerFault(Verdict.MAY_HAVE_RUN, "silent", can_resume=True)
    return AnswerFault(Verdict.MAY_HAVE_RUN, "reset", can_resume=True)


async def still_accepts(url: str) -> bool:
    """Return whether the server at that base address accepts connections."""
    address = httpx.URL(url)
    port = address.port or (443 if address.scheme == "https" else 80)
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(address.host, port)
            await stream.aclose()
    except (OSError, TimeoutError):
        return False
    return True


def failed(attempt: Attempt, fault: AnswerFault) -> AttemptFailed:
    """Return the event that tells the dispatcher of a fault."""
    return AttemptFailed(
        request_id=attempt.start.request_id,
        attempt=attempt.start.attempt,
        verdict=fault.verdict,
        kind=fault.kind,
        server_retry_after_s=fault.retry_after_s,
        output_began=attempt.exchange.output_began,
    )


def finished(attempt: Attempt) -> AttemptFinished:
    """Return the event that tells the dispatcher of a whole answer."""
    return AttemptFinished(attempt.start.request_id, attempt.start.attempt)
