"""Server connections, which buffer each request and stream the response.

The handler of a request runs in its own task, which is cancelled when the client
disconnects.
"""

import asyncio
import math
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple, final

import httptools

from _pistachiopond.decisions.memory_budget import (
    BODY_COPIES,
    CONNECTION_BYTES,
    HEADER_COPIES,
    MIN_RESERVED_BYTES,
    PROGRESS_BYTES,
    REQUEST_BYTES,
    UNRELAYED_BYTES,
    Holding,
    MemoryAccount,
    Phase,
)
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
from _pistachiopond.http1.sockets import (
    CALLER_UNACKNOWLEDGED_LIMIT_MS,
    enable_dead_peer_detection,
)
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
# At most this much is read at once, since a connection that is then not read for a
# while holds it.
MAX_READ_BYTES: Final = 32 * 1024
# Shared by all connections, since what was read is copied before the next read.
_READ_BUFFER: Final = memoryview(bytearray(MAX_READ_BYTES))


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


class ConnectionMemory(NamedTuple):
    """How the connections of a listener share the memory of the process.

    Attributes
    ----------
    account : MemoryAccount
        Counts what is held.
    may_open : callable
        Called for each new connection; returns whether it may stay.
    on_wait : callable
        Called when the body of a request finds no room.
    on_release : callable
        Called when room has been given back.
    refusal_headers : callable
        Returns the headers of the refusal of a request that found no room.
    customer_of : callable
        Returns the customer of a request, by its head; empty if it is not known.
    """

    account: MemoryAccount
    may_open: Callable[[], bool]
    on_wait: Callable[[], None]
    on_release: Callable[[], None]
    refusal_headers: Callable[[RequestHead], RawHeaders]
    customer_of: Callable[[RequestHead], str]


def make_unbounded_memory() -> ConnectionMemory:
    """Return an account without a bound."""
    return ConnectionMemory(
        MemoryAccount(math.inf),
        may_open=lambda: True,
        on_wait=lambda: None,
        on_release=lambda: None,
        refusal_headers=lambda head: [],
        customer_of=lambda head: "",
    )


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
    memory : ConnectionMemory
        The account that the connections share.
    """

    handler: Handler
    limits: Callable[[], ServerLimits]
    now_s: Callable[[], float]
    is_stopping: Callable[[], bool]
    connections: "set[ServerConnection]"
    on_excess: ReportExcess = ignore_excess
    body_limit_s: Callable[[RequestHead], float | None] = no_body_limit
    memory: ConnectionMemory = make_unbounded_memory()


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
    """A complete request.

    Attributes
    ----------
    request : Request
        The request.
    is_last : bool
        Whether it is the last one of its connection.
    began_s : float
        When its first byte came.
    kept_bytes : int
        What is held for it beside its body until its response is complete.
    """

    request: Request
    is_last: bool
    began_s: float
    kept_bytes: int


@final
class ServerConnection(asyncio.BufferedProtocol):
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
        self._offers_upgrade = False
        self._peer_ip = ""
        self._customer: str | None = None
        self._running: _Received | None = None
        # Bytes of the body that is being received for which room is reserved, and for
        # which it waits.
        self._body_room = 0
        self._wanted_bytes = 0
        self._wait_started_s = 0.0
        self._progress_s = 0.0
        self._progress_bytes = 0
        # What the account has for this connection: reserved for bodies, and besides.
        self._reserved_bytes = 0
        self._counted_bytes = 0
        self._kept_bytes = 0
        self._unread_bytes = 0
        self._is_counted = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._phase_started_s = self._context.now_s()
        if not self._context.memory.may_open():
            self.abort()
            return
        enable_dead_peer_detection(transport, CALLER_UNACKNOWLEDGED_LIMIT_MS)
        peer = transport.get_extra_info("peername")
        self._peer_ip = str(peer[0]) if peer else ""
        self._context.connections.add(self)
        self._count_held()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the next read is stored."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Take a read."""
        self.data_received(bytes(_READ_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse bytes from the client."""
        if self._is_closing or self._refusal_status is not None:
            return
        self._received_s = self._context.now_s()
        self._progress_bytes += len(data)
        if self._progress_bytes >= PROGRESS_BYTES:
            self._progress_bytes = 0
            self._progress_s = self._received_s
        self._unparsed += data
        self._parse_received()
        self._count_held()

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
        self._body = bytearray()
        self._uncount()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Make the handler wait in `drain`."""
        self._can_write.clear()
        if self._transport is not None:
            self._unread_bytes = self._transport.get_write_buffer_size()
            self._unread_bytes += UNRELAYED_BYTES
            self._count_held()

    def resume_writing(self) -> None:
        """Let the handler continue."""
        self._can_write.set()
        self._unread_bytes = 0
        self._count_held()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._bounds.message_begun()
        self._phase_started_s = self._request_began_s = self._context.now_s()
        self._progress_s, self._progress_bytes = self._phase_started_s, 0
        self._target, self._headers, self._body = b"", [], bytearray()
        self._customer = None
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
        """Reserve room for the body, and send ``100 Continue`` if it is expected.

        It is held back while an earlier request is being answered, and while there is
        no room. A body whose announced size is over the limit is refused, and so is
        each request while more is held than the budget allows. A head that offers an
        upgrade is parsed again without the offer.
        """
        self._bounds.head_parsed()
        self._is_in_head, self._is_in_body = False, True
        if self._parser.should_upgrade():
            if self._parser.get_method() == b"CONNECT":
                self._abort_parsing(501)
            self._offers_upgrade = True
            return
        self._body_started_s = self._context.now_s()
        announced_bytes = 0
        for name, value in self._headers:
            lower_name = name.lower()
            if lower_name == b"expect" and value.lower() == b"100-continue":
                self._owes_continue = True
            elif lower_name == b"content-length":
                announced_bytes = int(value)
        if announced_bytes > self._context.limits().body_bytes:
            self._abort_parsing(413)
        if self._context.memory.account.is_exceeded():
            # What can give way does so after this; until then, no more is taken.
            self._context.memory.on_wait()
            self._abort_parsing(503)
        if announced_bytes:
            self._reserve(announced_bytes)
        self._send_continue_if_owed()

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        self._bounds.body_parsed(len(body))
        self._body_bytes += len(body)
        if self._body_bytes > self._body_room:
            limit_bytes = self._context.limits().body_bytes
            if self._body_bytes > limit_bytes:
                self._abort_parsing(413)
            if not self._wanted_bytes:
                doubled = max(MIN_RESERVED_BYTES, 2 * self._body_bytes)
                self._reserve(min(doubled, limit_bytes) - self._body_room)
        self._body += body

    def on_chunk_header(self) -> None:
        """Count the line before a chunk."""
        self._bounds.chunk_line_parsed()

    def on_chunk_complete(self) -> None:
        """Count the end of a chunk."""
        self._bounds.chunk_parsed()

    def on_message_complete(self) -> None:
        """Queue the request, and start it if no other is in progress."""
        if self._offers_upgrade:
            # The parser takes the rest of the connection for another protocol.
            return
        self._bounds.message_parsed()
        self._is_in_head = self._is_in_body = self._owes_continue = False
        head = self._head()
        close = not self._parser.should_keep_alive()
        request = Request(head, bytes(self._body))
        kept_bytes = REQUEST_BYTES + HEADER_COPIES * self._header_bytes
        received = _Received(request, close, self._request_began_s, kept_bytes)
        self._queue.append(received)
        self._kept_bytes += kept_bytes
        self._header_bytes = 0
        self._fit_reserved()
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

    def holding(self) -> Holding:
        """Return what is held for the connection."""
        phase: Phase = "idle"
        since_s = self._phase_started_s
        if self._task is not None or self._queue:
            phase = "running"
        elif self._wanted_bytes:
            phase, since_s = "waiting", self._wait_started_s
        elif self._is_in_head or self._is_in_body:
            phase, since_s = "receiving", self._progress_s
        elif self._unread_bytes:
            phase = "unread"
        elif self._is_closing:
            # To close it at once would reset it before the client reads its refusal.
            phase = "running"
        if self._is_in_body and self._customer is None:
            self._customer = self._context.memory.customer_of(self._head())
        return Holding(
            self._customer or self._peer_ip,
            phase,
            self._counted_bytes + self._reserved_bytes,
            self._wanted_bytes * BODY_COPIES,
            since_s,
        )

    def awaits_room(self) -> bool:
        """Return whether a body waits for room."""
        return self._wanted_bytes > 0

    def take_room(self) -> None:
        """Go on with a body that waits for room, if there is room now."""
        if not self._wanted_bytes or self._transport is None:
            return
        wanted_bytes = max(self._wanted_bytes, self._body_bytes - self._body_room)
        if not self._try_reserve(wanted_bytes):
            return
        self._wanted_bytes = 0
        # It was not read meanwhile, so it may have sent more than is known.
        self._progress_s = self._context.now_s()
        self._send_continue_if_owed()
        self._parse_received()
        self._count_held()

    def give_way(self) -> None:
        """Close the connection, and give back at once what is held for it."""
        self.abort()
        self._uncount()

    def refuse_for_memory(self) -> None:
        """Refuse a request whose body waits for room; it has not run."""
        self._refuse(503)
        if self._is_paused and self._transport is not None:
            self._is_paused = False
            self._transport.resume_reading()
        self._count_held()

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
        limit_s = self._context.body_limit_s(self._head())
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
            parsed_bytes = self._parse_piece(view[start:end])
            excess = self._bounds.piece_parsed(parsed_bytes)
            start += parsed_bytes
            if excess is not None:
                self._context.on_excess(excess)
                self._refuse(431 if excess.kind == "head" else 400)
                return
        self._unparsed = data[start:]

    def _parse_piece(self, piece: memoryview) -> int:
        """Parse a piece, or a part of it; return how many bytes were parsed."""
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade as error:
            self._decline_upgrade()
            return error.args[0]
        return len(piece)

    def _decline_upgrade(self) -> None:
        """Parse the head again without its offer, so that the body follows.

        A server may ignore an offer (RFC 9110, section 7.8), but the parser can't.
        """
        began_s, headers = self._request_began_s, self._headers
        lines = [
            b"%b %b HTTP/%b"
            % (
                self._parser.get_method(),
                self._target,
                self._parser.get_http_version().encode(),
            )
        ]
        lines += [b"%b: %b" % item for item in headers if item[0].lower() != b"upgrade"]
        self._offers_upgrade = False
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(b"\r\n".join(lines) + b"\r\n\r\n")
        self._request_began_s = began_s

    def _head(self) -> RequestHead:
        return RequestHead(self._parser.get_method(), self._target, self._headers)

    def _room(self) -> int:
        """Return how many more requests may be received."""
        if self._wanted_bytes:
            return 0
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
        self._body = bytearray()
        self._body_bytes = 0
        self._fit_reserved()
        self._is_in_head = self._is_in_body = False
        if self._task is None and not self._queue:
            self._send_refusal()

    def _send_refusal(self) -> None:
        if self._refusal_status is None or self._transport is None:
            return
        headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
        if self._refusal_status == 503:
            headers += self._context.memory.refusal_headers(self._head())
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
        if self._wanted_bytes:
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
        self._running = self._queue.popleft()
        request, close, began_s, _ = self._running
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
        if self._running is not None:
            self._kept_bytes -= self._running.kept_bytes
            self._release(len(self._running.request.body) * BODY_COPIES)
            self._running = None
            self._count_held()
        if not task.cancelled() and task.exception() is not None:
            self.abort()
            record_unexpected("request", task.exception())
            return
        if self._transport is None:
            return
        self._start_next()
        if self._is_paused:
            self._parse_received()
            self._count_held()

    # The account of what is held.

    def _reserve(self, size: int) -> None:
        """Reserve room for more bytes of a body, or let it wait."""
        if not self._try_reserve(size):
            self._wanted_bytes = size
            self._wait_started_s = self._context.now_s()
            self._context.memory.on_wait()

    def _try_reserve(self, size: int) -> bool:
        account = self._context.memory.account
        if not account.try_reserve(size, self._reserved_bytes):
            return False
        self._body_room += size
        self._reserved_bytes += size * BODY_COPIES
        return True

    def _fit_reserved(self) -> None:
        """Reserve as much as a body has that comes no further."""
        more_bytes = self._body_bytes - self._body_room
        self._body_room = self._wanted_bytes = 0
        if more_bytes > 0:
            self._context.memory.account.force_reserve(more_bytes)
            self._reserved_bytes += more_bytes * BODY_COPIES
        elif more_bytes < 0:
            self._release(-more_bytes * BODY_COPIES)

    def _release(self, reserved_bytes: int) -> None:
        if reserved_bytes and self._is_counted:
            self._reserved_bytes -= reserved_bytes
            self._context.memory.account.release(reserved_bytes)
            self._context.memory.on_release()

    def _count_held(self) -> None:
        """Count what is held beside bodies."""
        held_bytes = (
            CONNECTION_BYTES
            + HEADER_COPIES * self._header_bytes
            + self._kept_bytes
            + len(self._unparsed)
            + self._unread_bytes
        )
        if held_bytes != self._counted_bytes and self._is_counted:
            self._context.memory.account.count(held_bytes - self._counted_bytes)
            self._counted_bytes = held_bytes

    def _uncount(self) -> None:
        """Give back all that is held; nothing is counted from then on."""
        self._release(self._reserved_bytes)
        self._context.memory.account.count(-self._counted_bytes)
        self._counted_bytes = 0
        self._is_counted = False
