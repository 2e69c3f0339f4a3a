"""Reads a caller's request body and writes the response, over ASGI."""

from collections.abc import Awaitable, Callable
from typing import Any, Final, final

import anyio
from result import Err, Ok, Result

from _pistachiopond.entry.headers import RawHeaders
from _pistachiopond.entry.problems import (
    bad_request,
    problem_body,
    problem_event,
    problem_headers,
)
from _pistachiopond.entry.sse import is_encoded, is_event_stream
from _pistachiopond.kernel.timer import Timer
from _pistachiopond.schema.verdict import Failure

BODY_TIMEOUT_S: Final = 20.0
DISCARD_TIMEOUT_S: Final = 5.0

Receive = Callable[[], Awaitable[Any]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class CallerDisconnectedError(Exception):
    """The caller closed its connection."""


@final
class CallerConnection:
    """One HTTP request of a caller and the response to it.

    Attributes
    ----------
    has_started : bool
        Whether the status line and headers have been written.
    has_ended : bool
        Whether the response has been completed.
    accepts_events : bool
        Whether the response is a stream of server-sent events that is not encoded, so
        that an event can be added.
    write_started_s : float or None
        When the write in progress began; None while there is none.
    last_write_s : float or None
        When the last write ended.
    """

    def __init__(
        self,
        receive: Receive,
        send: Send,
        timer: Timer,
        request_id: str,
        is_closing: Callable[[], bool],
    ) -> None:
        self._receive = receive
        self._send = send
        self._timer = timer
        self._request_id = request_id
        self._is_closing = is_closing
        self.has_started = False
        self.has_ended = False
        self.accepts_events = False
        self.write_started_s: float | None = None
        self.last_write_s: float | None = None

    async def read_body(
        self, limit_bytes: int, declared_bytes: int | None
    ) -> Result[bytes, Failure]:
        """Read the complete body, unless it is too large or too slow.

        Raises
        ------
        CallerDisconnectedError
            When the caller closes the connection first.
        """
        if declared_bytes is not None and declared_bytes > limit_bytes:
            return Err(_too_large_failure(limit_bytes))
        parts: list[bytes] = []
        size = 0
        with anyio.move_on_after(BODY_TIMEOUT_S):
            while True:
                message = await self._receive()
                if message["type"] == "http.disconnect":
                    raise CallerDisconnectedError
                part = message.get("body", b"")
                size += len(part)
                if size > limit_bytes:
                    return Err(_too_large_failure(limit_bytes))
                parts.append(part)
                if not message.get("more_body", False):
                    return Ok(b"".join(parts))
        return Err(
            bad_request(
                "body_too_slow",
                f"The body did not come within {BODY_TIMEOUT_S:g} s; send it faster.",
                408,
            )
        )

    async def wait_for_disconnect(self) -> None:
        """Return when the caller has closed its connection."""
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                return

    async def start(self, status: int, headers: RawHeaders) -> None:
        """Write the status line and headers of the response."""
        headers = [*headers, (b"x-request-id", self._request_id.encode())]
        if self._is_closing() and (b"connection", b"close") not in headers:
            headers.append((b"connection", b"close"))
        self.has_started = True
        self.accepts_events = is_event_stream(headers) and not is_encoded(headers)
        await self._write(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def write(self, data: bytes) -> None:
        """Write a part of the response body; waits while the caller is slow."""
        await self._write(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def end(self) -> None:
        """Complete the response."""
        self.has_ended = True
        await self._write(
            {"type": "http.response.body", "body": b"", "more_body": False}
        )

    async def respond(self, status: int, headers: RawHeaders, body: bytes) -> None:
        """Write a complete response."""
        length = (b"content-length", str(len(body)).encode())
        await self.start(status, [*headers, length])
        if body:
            await self.write(body)
        await self.end()

    async def send_failure(self, failure: Failure) -> None:
        """Report a failure to the caller, however much has been written.

        If nothing has been written, the failure is the response. In an event stream
        that is not encoded, it is the last event. In any other response, the body is
        left incomplete, which makes the server abort the connection.
        """
        if not self.has_started:
            body = problem_body(failure)
            await self.respond(failure.http_status, problem_headers(failure), body)
        elif self.accepts_events and not self.has_ended:
            await self.write(problem_event(failure))
            await self.end()

    async def send_failure_during_upload(self, failure: Failure) -> None:
        """Report a failure to a caller that is still sending its body.

        The rest of the body is read and discarded for up to `DISCARD_TIMEOUT_S`;
        closing at once would reset the connection before the caller has read the
        response.
        """
        body = problem_body(failure)
        length = (b"content-length", str(len(body)).encode())
        headers = [*problem_headers(failure), length, (b"connection", b"close")]
        await self.start(failure.http_status, headers)
        await self.write(body)
        with anyio.move_on_after(DISCARD_TIMEOUT_S):
            while True:
                message = await self._receive()
                if not message.get("more_body", False):
                    break
        await self.end()

    async def _write(self, message: dict[str, Any]) -> None:
        self.write_started_s = self._timer.now_s()
        try:
            await self._send(message)
        finally:
            self.write_started_s = None
        self.last_write_s = self._timer.now_s()


def _too_large_failure(limit_bytes: int) -> Failure:
    return bad_request(
        "body_too_large", f"The body is over {limit_bytes} bytes; send less.", 413
    )
