"""Server connections, which buffer each request and stream the response.

The handler of a request runs in its own task, which is cancelled when the client
disconnects.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple, final

import httptools

from _pistachiopond.http1.message_bounds import (
    MAX_HEADER_COUNT,
    MAX_PIECE_BYTES,
    Excess,
    HeadLimits,
    MessageBounds,
    ReportExcess,
    ignore_excess,
)
from _pistachiopond.http1.messages import (
    BODYLESS_STATUSES,
    RawHeaders,
    Request,
    RequestHead,
    encode_response_head,
)
from _pistachiopond.http1.sockets import enable_dead_peer_detection
from _pistachiopond.observe.containment import record_unexpected

# Reading is paused while this many requests wait for the one in progress, or while the
# bodies of those that wait have as many bytes as one may have.
MAX_PIPELINED: Final = 8
# No request is shorter: ``GET / HTTP/1.1`` and two line ends have 18 bytes, or 16 with
# line ends of one byte.
MIN_REQUEST_BYTES: Final = 16
# Of a head beyond the limit of its target and headers: blank lines before it, the
# method, the version and white space.
MAX_OTHER_HEAD_BYTES: Final = 4 * 1024
# How long a connection stays open after an error response to an incomplete request.
LINGER_S: Final = 0.5


class ServerLimits(NamedTuple):
    """Size and time limits for requests.

    Attributes
    ----------
    header_bytes, body_bytes : int
        The maximum size of a request's head and body.
    header_s : float
        The maximum time from a request's first byte to the end of its head.
    idle_s : float
        The maximum time without a request in progress, or without a byte of a body.
    """

    header_bytes: int
    body_bytes: int
    header_s: float
    idle_s: float


class ClientGoneError(Exception):
    """The client has closed its connection."""


Handler = Callable[[Request, "Responder"], Awaitable[None]]


def no_body_limit(head: RequestHead) -> float | None:
    """Return None, so that all bodies have the limit of idle connections."""
    return None


class ServerContext(NamedTuple):
    """Objects shared by the connections of one listener.

    Attributes
    ----------
    handler : callable
        Responds to each request.
    limits : callable
        Returns the current limits.
    now_s : callable
        Returns the monotonic time.
    is_stopping : callable
        Whether to close each connection after its response.
    connections : set of ServerConnection
        The open connections.
    on_excess : callable
        Called when a request exceeds a bound outside its target, headers and body, or
        the time for its body.
    body_limit_s : callable
        Returns the maximum time from the end of a request's head to the end of its
        body, or None for that of idle connections.
    """

    handler: Handler
    limits: Callable[[], ServerLimits]
    now_s: Callable[[], float]
    is_stopping: Callable[[], bool]
    connections: "set[ServerConnection]"
    on_excess: ReportExcess = ignore_excess
    body_limit_s: Callable[[RequestHead], float | None] = no_body_limit


@final
class Responder:
    """Writes the response to one request.

    Attributes
    ----------
    waited_s : float
        The time from the request's first byte to the call of its handler.
    has_started : bool
        Whether the head of the response has been written.
    is_finished : bool
        Whether the response is complete or aborted.
    """

    def __init__(
        self, connection: "ServerConnection", *, close: bool, waited_s: float
    ) -> None:
        self._connection = connection
        self.waited_s = waited_s
        self._close_after_response = close
        self._is_chunked = False
        self._is_bodyless = False
        self.has_started = False
        self.is_finished = False

    async def respond(self, status: int, headers: RawHeaders, body: bytes) -> None:
        """Write a complete response; its body is left out if it cannot have one."""
        if status in BODYLESS_STATUSES:
            self._write_head(status, headers, b"")
        else:
            sized = [*headers, (b"Content-Length", b"%d" % len(body))]
            self._write_head(status, sized, body)
        self._finish()

    async def start_response(
        self, status: int, headers: RawHeaders, size: int | None
    ) -> None:
        """Write the head of a response whose body follows.

        Parameters
        ----------
        status : int
            The status code.
        headers : list of (bytes, bytes)
            The headers, without ``Content-Length`` and ``Transfer-Encoding``.
        size : int or None
            The size of the body in bytes; None if it is not known, for a chunked
            response.
        """
        self._is_bodyless = status in BODYLESS_STATUSES
        if self._is_bodyless:
            self._write_head(status, headers, b"")
            return
        self._is_chunked = size is None
        framing = (
            (b"Transfer-Encoding", b"chunked")
            if size is None
            else (b"Content-Length", b"%d" % size)
        )
        self._write_head(status, [*headers, framing], b"")

    async def send(self, chunk: bytes) -> None:
        """Write a part of the body; waits while the client does not read."""
        if self._is_bodyless:
            return
        if self._is_chunked:
            chunk = b"%x\r\n%b\r\n" % (len(chunk), chunk)
        self._connection.write(chunk)
        await self._connection.drain()

    async def end(self) -> None:
        """Complete the response."""
        if self._is_chunked:
            self._connection.write(b"0\r\n\r\n")
        self._finish()

    def abort(self) -> None:
        """Abort the connection, so that a truncated response cannot look complete."""
        self.is_finished = True
        self._connection.abort()

    def _write_head(self, status: int, headers: RawHeaders, body: bytes) -> None:
        if self._close_after_response or self._connection.is_stopping():
            self._close_after_response = True
            headers = [*headers, (b"Connection", b"close")]
        self.has_started = True
        self._connection.write(encode_response_head(status, headers) + body)

    def _finish(self) -> None:
        self.is_finished = True
        if self._close_after_response:
            self._connection.close_after_response()


class _Received(NamedTuple):
    """A complete request, whether it is the last one, and when its first byte came."""

    request: Request
    is_last: bool
    began_s: float


@final
class ServerConnection(asyncio.Protocol):
    """One connection from a client."""

    def __init__(self, context: ServerContext) -> None:
        self._context = context
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._bounds = MessageBounds()
        self._target = b""
        self._headers: RawHeaders = []
        self._header_bytes = 0
        self._body = bytearray()
        self._body_bytes = 0
        self._is_in_head = False
        self._is_in_body = False
        self._refusal_status: int | None = None
        self._queue: deque[_Received] = deque()
        self._queued_bytes = 0
        self._unparsed = b""
        self._is_paused = False
        self._task: asyncio.Task[None] | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._is_closing = False
        self._phase_started_s = 0.0
        self._request_began_s = 0.0
        self._body_started_s = 0.0
        self._received_s = 0.0
        self._owes_continue = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        enable_dead_peer_detection(transport)
        self._phase_started_s = self._context.now_s()
        self._context.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse bytes from the client."""
        if self._is_closing or self._refusal_status is not None:
            return
        self._received_s = self._context.now_s()
        self._unparsed += data
        self._parse_received()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as a disconnect."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress."""
        self._transport = None
        self._context.connections.discard(self)
        self._can_write.set()
        self._queue.clear()
        self._unparsed = b""
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Make the handler wait in `drain`."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Let the handler continue."""
        self._can_write.set()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._bounds.message_begun()
        self._phase_started_s = self._request_began_s = self._context.now_s()
        self._target, self._headers, self._body = b"", [], bytearray()
        self._header_bytes = self._body_bytes = 0
        self._is_in_head, self._is_in_body = True, False

    def on_url(self, url: bytes) -> None:
        """Store a part of the target."""
        self._target += url
        self._add_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers, which come after the body, are ignored."""
        if not self._is_in_body:
            self._headers.append((name, value))
        self._add_header_bytes(len(name) + len(value) + 4)
        if len(self._headers) > MAX_HEADER_COUNT:
            self._abort_parsing(431)

    def on_headers_complete(self) -> None:
        """Send ``100 Continue`` if the client expects it.

        It is held back while an earlier request is being answered.
        """
        self._bounds.head_parsed()
        self._is_in_head, self._is_in_body = False, True
        self._body_started_s = self._context.now_s()
        for name, value in self._headers:
            if name.lower() == b"expect" and value.lower() == b"100-continue":
                self._owes_continue = True
        self._send_continue_if_owed()

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        self._bounds.body_parsed(len(body))
        self._body_bytes += len(body)
        if self._body_bytes > self._context.limits().body_bytes:
            self._abort_parsing(413)
        self._body += body

    def on_chunk_header(self) -> None:
        """Count the line before a chunk."""
        self._bounds.chunk_line_parsed()

    def on_chunk_complete(self) -> None:
        """Count the end of a chunk."""
        self._bounds.chunk_parsed()

    def on_message_complete(self) -> None:
        """Queue the request, and start it if no other is in progress."""
        self._bounds.message_parsed()
        self._is_in_head = self._is_in_body = self._owes_continue = False
        head = RequestHead(self._parser.get_method(), self._target, self._headers)
        close = not self._parser.should_keep_alive()
        request = Request(head, bytes(self._body))
        self._queue.append(_Received(request, close, self._request_began_s))
        self._queued_bytes += self._body_bytes
        self._body = bytearray()
        self._start_next()

    # Methods for the responder and the listener.

    def write(self, data: bytes) -> None:
        """Send bytes.

        Raises
        ------
        ClientGoneError
            When the connection is closed.
        """
        if self._transport is None or self._transport.is_closing():
            raise ClientGoneError
        self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the client reads again."""
        await self._can_write.wait()

    def abort(self) -> None:
        """Close the connection immediately."""
        self._is_closing = True
        if self._transport is not None:
            self._transport.abort()

    def close_after_response(self) -> None:
        """Close the connection once all written bytes are sent."""
        self._is_closing = True
        if self._transport is not None:
            self._transport.close()

    def is_stopping(self) -> bool:
        """Return whether the connection must be closed after the response."""
        return self._context.is_stopping()

    def is_idle(self) -> bool:
        """Return whether no request is in progress, queued or partly received."""
        is_reading = self._is_in_head or self._is_in_body
        return self._task is None and not self._queue and not is_reading

    def enforce_timeouts(self, now_s: float) -> None:
        """Close the connection if it is idle, or its request incomplete, for too long.

        No time counts while the connection is not read, or while a caller waits for the
        ``100 Continue`` that it is owed.
        """
        if self._is_paused:
            return
        limits = self._context.limits()
        if self.is_idle() and now_s - self._phase_started_s > limits.idle_s:
            self.close_after_response()
        elif self._is_in_head and now_s - self._phase_started_s > limits.header_s:
            self._refuse(408)
        elif self._is_in_body and not self._owes_continue:
            self._enforce_body_limit(now_s)

    def _enforce_body_limit(self, now_s: float) -> None:
        idle_s = self._context.limits().idle_s
        head = RequestHead(self._parser.get_method(), self._target, self._headers)
        limit_s = self._context.body_limit_s(head)
        if limit_s is None:
            limit_s = idle_s
        if now_s - self._body_started_s > limit_s:
            detail = f"a body that is not complete after {limit_s} s"
        elif now_s - self._received_s > idle_s:
            detail = f"a body without a byte for {idle_s} s"
        else:
            return
        self._context.on_excess(Excess("slow_body", detail))
        self._refuse(408)

    def _parse_received(self) -> None:
        if self._is_closing:
            return
        try:
            self._parse()
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError:
            self._refuse(400 if self._refusal_status is None else self._refusal_status)
        is_full = self._room() == 0
        if self._transport is None or is_full == self._is_paused:
            return
        self._is_paused = is_full
        if is_full:
            self._transport.pause_reading()
        else:
            self._body_started_s = self._received_s = self._context.now_s()
            self._transport.resume_reading()

    def _parse(self) -> None:
        data = self._unparsed
        view = memoryview(data)
        limits = self._context.limits()
        self._bounds.head_limits = HeadLimits(
            limits.header_bytes + MAX_OTHER_HEAD_BYTES, MAX_HEADER_COUNT
        )
        start = 0
        while start < len(data) and (room := self._room()):
            end = min(len(data), start + MAX_PIECE_BYTES)
            # Each request but the first ends behind the end of its head in the piece.
            if data.count(b"\r\n\r\n", start, end) >= room:
                end = min(end, start + room * MIN_REQUEST_BYTES)
            self._parser.feed_data(view[start:end])
            excess = self._bounds.piece_parsed(end - start)
            start = end
            if excess is not None:
                self._context.on_excess(excess)
                self._refuse(431 if excess.kind == "head" else 400)
                return
        self._unparsed = data[start:]

    def _room(self) -> int:
        """Return how many more requests may be received."""
        if self._queue and self._queued_bytes >= self._context.limits().body_bytes:
            return 0
        return MAX_PIPELINED - len(self._queue) + (self._task is None)

    def _add_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._context.limits().header_bytes:
            self._abort_parsing(431)

    def _abort_parsing(self, status: int) -> None:
        if self._refusal_status is None:
            self._refusal_status = status
        raise httptools.HttpParserCallbackError(status)

    def _refuse(self, status: int) -> None:
        # Earlier requests that were received in the same data are answered first.
        self._refusal_status = status
        self._unparsed = b""
        self._is_in_head = self._is_in_body = False
        if self._task is None and not self._queue:
            self._send_refusal()

    def _send_refusal(self) -> None:
        if self._refusal_status is None or self._transport is None:
            return
        headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
        self._transport.write(encode_response_head(self._refusal_status, headers))
        self._is_closing = True
        # Closing a socket with unread bytes resets the connection, and the client
        # might lose the response; so what it still sends is discarded for a while.
        self._transport.write_eof()
        loop = asyncio.get_running_loop()
        loop.call_later(LINGER_S, self._transport.close)

    def _send_continue_if_owed(self) -> None:
        is_answering = self._task is not None or bool(self._queue)
        if not self._owes_continue or is_answering or self._is_closing:
            return
        self._owes_continue = False
        self._body_started_s = self._received_s = self._context.now_s()
        if self._transport is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _start_next(self) -> None:
        if self._task is not None or self._is_closing:
            return
        if not self._queue:
            self._send_refusal()
            self._send_continue_if_owed()
            return
        request, close, began_s = self._queue.popleft()
        self._queued_bytes -= len(request.body)
        waited_s = self._context.now_s() - began_s
        responder = Responder(self, close=close, waited_s=waited_s)
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._run_handler(request, responder))
        self._task.add_done_callback(self._on_handler_done)

    async def _run_handler(self, request: Request, responder: Responder) -> None:
        try:
            await self._context.handler(request, responder)
        except ClientGoneError:
            return
        if not responder.is_finished:
            responder.abort()

    def _on_handler_done(self, task: asyncio.Task[None]) -> None:
        self._task = None
        self._phase_started_s = self._context.now_s()
        if not task.cancelled() and task.exception() is not None:
            self.abort()
            record_unexpected("request", task.exception())
            return
        if self._transport is None:
            return
        self._start_next()
        if self._is_paused:
            self._parse_received()
