"""Client connections, with one request at a time on each.

A response that does not belong to the request in progress is skipped, since a
server may send the response to an earlier request late. A connection is reused only
if its last exchange was complete and unambiguous; bytes received while no request is
in progress close it.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final, Literal, final

import httptools

from _pistachiopond.http1.message_bounds import (
    MAX_PIECE_BYTES,
    RESPONSE_HEAD,
    Excess,
    HeadLimits,
    MessageBounds,
    ReportExcess,
    ignore_excess,
)
from _pistachiopond.http1.messages import (
    BODYLESS_STATUSES,
    HttpAddress,
    RawHeaders,
    ResponseHead,
    framing_of,
)
from _pistachiopond.http1.response_checks import (
    INTERIM_STATUSES,
    find_head_problem,
    is_merged_head,
)
from _pistachiopond.http1.sockets import enable_dead_peer_detection

# The socket is not read while more than this has been received and not yet been taken
# by `read_chunk`.
MAX_BUFFERED_BYTES: Final = 256 * 1024
# Parsing small chunks takes long for their bytes, and other connections wait meanwhile.
MAX_READ_BYTES: Final = 16 * 1024
# Shared by all connections, since what was read is copied before the next read.
_READ_BUFFER: Final = memoryview(bytearray(MAX_READ_BYTES))

FailureKind = Literal["connect", "closed", "reset", "truncated", "garbled", "timeout"]
IsExpected = Callable[[ResponseHead], bool]
ReportBytes = Callable[[], None]


class ExchangeError(Exception):
    """A request did not get a complete response.

    Attributes
    ----------
    kind : str
        The kind of failure. Only ``connect`` guarantees that nothing was sent.
    is_refused : bool
        Whether the machine answered that nothing listens at the address.
    """

    def __init__(
        self, kind: FailureKind, detail: str, *, is_refused: bool = False
    ) -> None:
        super().__init__(f"{kind}: {detail}")
        self.kind: FailureKind = kind
        self.is_refused = is_refused


def accept_any_response(head: ResponseHead) -> bool:
    """Accept every response; for servers that send no unsolicited ones."""
    return True


def ignore_bytes() -> None:
    """Ignore when bytes arrive."""


@final
class ClientConnection(asyncio.BufferedProtocol):
    """One connection to a server."""

    def __init__(
        self,
        on_excess: ReportExcess = ignore_excess,
        head_limits: HeadLimits = RESPONSE_HEAD,
        on_bytes: ReportBytes = ignore_bytes,
    ) -> None:
        self._on_excess = on_excess
        self._on_bytes = on_bytes
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._is_expected: IsExpected | None = None
        self._bounds = MessageBounds(head_limits)
        self._reason = b""
        self._headers: RawHeaders = []
        self._is_in_head = True
        self._head: ResponseHead | None = None
        self._is_skipping = False
        self._has_declared_body = False
        self._ends_with_connection = False
        self._has_response_bytes = False
        self._chunks: deque[bytes] = deque()
        self._chunk_bytes = 0
        self._is_paused = False
        self._is_done = False
        self._error: ExchangeError | None = None
        self._waiter: asyncio.Future[None] | None = None
        self.is_usable = True
        self.idle_since_s = 0.0
        self.idle_duration_s = 0.0
        self.idle_limit_s: float | None = None
        self.skipped_responses = 0
        self.has_timed_out = False

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        enable_dead_peer_detection(transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the next read is stored."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Take a read."""
        self.data_received(bytes(_READ_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse bytes from the server."""
        self._on_bytes()
        if self._is_expected is None:
            self.close()
            return
        self._has_response_bytes = True
        try:
            self._parse(data)
        except httptools.HttpParserError as error:
            if not self._is_done:
                self._fail("garbled", str(error))
            self.close()
        self._pause_if_buffer_full()
        self._wake()

    def eof_received(self) -> bool:
        """Complete a response whose body is delimited by the end of the connection."""
        if self._head is not None and self._ends_with_connection:
            self._is_done = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in progress, unless its response is complete."""
        self.is_usable = False
        self._transport = None
        self.has_timed_out = isinstance(exc, TimeoutError)
        if self._is_expected is not None and not self._is_done:
            if self._head is not None or self._has_response_bytes:
                self._fail(
                    "truncated",
                    "the connection was closed before the response was complete",
                )
            elif exc is None:
                self._fail("closed", "the connection was closed without a response")
            else:
                self._fail("reset", f"the connection was lost: {exc}")
        self._wake()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a response; the connection is closed if one is complete already."""
        self._bounds.message_begun()
        self._reason, self._headers = b"", []
        self._is_in_head = True
        self._is_skipping = self._is_done
        if self._is_done:
            self.close()

    def on_status(self, reason: bytes) -> None:
        """Store a part of the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers, which come after the body, are ignored."""
        self._bounds.header_parsed()
        if self._is_in_head:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Accept the head if it belongs to the request in progress.

        Interim (1xx) responses and responses to other requests are skipped; after one
        of the latter, the connection is not reused. A head that can't be that of an
        answer fails the request.
        """
        self._bounds.head_parsed()
        self._is_in_head = False
        head = ResponseHead(self._parser.get_status_code(), self._headers)
        if self._is_skipping or self._is_expected is None:
            return
        problem = find_head_problem(self._parser.get_http_version(), head)
        if is_merged_head(self._reason, self._headers):
            problem = "a head that goes on with that of another response"
        if problem is not None:
            self._fail("garbled", problem)
            # What follows in this read must not be taken for a response.
            raise httptools.HttpParserCallbackError(problem)
        if head.status in INTERIM_STATUSES:
            self._is_skipping = True
            self._bounds.interim_parsed()
        elif not self._is_expected(head):
            self._skip_response(head)
        else:
            self._head = head
            self._apply_connection_headers(head)

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        self._bounds.body_parsed(len(body))
        if self._is_skipping and not self._has_declared_body:
            self._bounds.skipped_body_parsed(len(body))
        if self._is_skipping or self._is_done:
            return
        self._chunks.append(body)
        self._chunk_bytes += len(body)

    def on_chunk_header(self) -> None:
        """Count the line before a chunk."""
        self._bounds.chunk_line_parsed()

    def on_chunk_complete(self) -> None:
        """Count the end of a chunk."""
        self._bounds.chunk_parsed()

    def on_message_complete(self) -> None:
        """Complete the response, unless it belongs to another request."""
        self._bounds.message_parsed()
        if self._is_skipping:
            self._is_skipping = self._is_done
            return
        self._is_done = True

    # Methods for users of the connection.

    def send(self, data: bytes, is_expected: IsExpected = accept_any_response) -> None:
        """Send a request; no other may be in progress.

        Parameters
        ----------
        data : bytes
            The encoded request.
        is_expected : callable
            Whether a response with a given head belongs to this request.

        Raises
        ------
        ExchangeError
            When the connection is already closed; nothing was sent.
        """
        if self._transport is None or self._transport.is_closing():
            raise ExchangeError("connect", "the connection was already closed")
        self._is_expected = is_expected
        self._head = None
        self._is_done = False
        self._has_response_bytes = False
        self._ends_with_connection = False
        self._bounds.exchange_begun()
        self._transport.write(data)

    async def read_head(self) -> ResponseHead:
        """Wait for the head of the response and return it.

        Raises
        ------
        ExchangeError
            When there is no response or it is malformed.
        """
        while self._head is None:
            if self._error is not None:
                raise self._error
            await self._wait()
        return self._head

    def received_head(self) -> ResponseHead | None:
        """Return the head of the response if it has come."""
        return self._head

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the body; empty at its end.

        Raises
        ------
        ExchangeError
            When the body is truncated or malformed.
        """
        while not self._chunks:
            if self._is_done:
                return b""
            if self._error is not None:
                raise self._error
            await self._wait()
        chunk = b"".join(self._chunks) if len(self._chunks) > 1 else self._chunks[0]
        self._chunks.clear()
        self._chunk_bytes = 0
        if self._is_paused and self._transport is not None:
            self._is_paused = False
            self._transport.resume_reading()
        return chunk

    async def read_body(self, max_bytes: int) -> bytes:
        """Return the rest of the body.

        A body longer than `max_bytes` exceeds a bound, and closes the connection.

        Raises
        ------
        ExchangeError
            When the body is truncated, malformed or longer than `max_bytes`.
        """
        chunks: list[bytes] = []
        size = 0
        while chunk := await self.read_chunk():
            chunks.append(chunk)
            size += len(chunk)
            if size > max_bytes:
                excess = Excess("body", f"a body of more than {max_bytes} bytes")
                self._end_excessive(excess)
                raise ExchangeError("garbled", f"received {excess.detail}")
        return b"".join(chunks)

    def finish(self, now_s: float) -> bool:
        """End the exchange; return whether the connection can be reused.

        A connection that cannot be reused is closed.
        """
        is_whole = self._is_done and not self._chunks
        self._is_expected = None
        if not is_whole or not self.is_usable or self._transport is None:
            self.close()
            return False
        if self._transport.is_closing() or self._transport.get_write_buffer_size():
            self.close()
            return False
        self.idle_since_s = now_s
        return True

    def close(self) -> None:
        """Close the connection, aborting any request in progress."""
        self.is_usable = False
        if self._transport is not None:
            self._transport.abort()

    def is_open(self) -> bool:
        """Return whether a request can be sent."""
        return (
            self.is_usable
            and self._transport is not None
            and not self._transport.is_closing()
        )

    def _parse(self, data: bytes) -> None:
        view = memoryview(data)
        for start in range(0, len(data), MAX_PIECE_BYTES):
            piece = view[start : start + MAX_PIECE_BYTES]
            self._parser.feed_data(piece)
            if self._transport is None or self._transport.is_closing():
                return
            excess = self._bounds.piece_parsed(len(piece))
            if excess is not None:
                self._end_excessive(excess)
                return

    def _end_excessive(self, excess: Excess) -> None:
        if not self._is_done:
            self._fail("garbled", f"received {excess.detail}")
        self._on_excess(excess)
        self.close()

    def _skip_response(self, head: ResponseHead) -> None:
        self._is_skipping = True
        self.is_usable = False
        self.skipped_responses += 1
        length = head.value(b"content-length")
        self._has_declared_body = length is not None
        self._bounds.skipped_head_parsed(int(length) if length else 0)
        if _is_delimited_by_connection(head):
            detail = "a response to another request that ends with the connection"
            self._end_excessive(Excess("skipped_responses", detail))

    def _apply_connection_headers(self, head: ResponseHead) -> None:
        self._ends_with_connection = _is_delimited_by_connection(head)
        if self._ends_with_connection or not self._parser.should_keep_alive():
            self.is_usable = False
        for part in (head.value(b"keep-alive") or b"").split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                self.idle_limit_s = float(value)

    def _fail(self, kind: FailureKind, detail: str) -> None:
        if self._error is None:
            self._error = ExchangeError(kind, detail)
        self.is_usable = False

    def _pause_if_buffer_full(self) -> None:
        if self._chunk_bytes > MAX_BUFFERED_BYTES and self._transport is not None:
            self._is_paused = True
            self._transport.pause_reading()

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _is_delimited_by_connection(head: ResponseHead) -> bool:
    """Return whether a body lasts until the server closes the connection."""
    return framing_of(head) == "connection" and head.status not in BODYLESS_STATUSES


async def connect(
    address: HttpAddress,
    timeout_s: float,
    on_excess: ReportExcess = ignore_excess,
    head_limits: HeadLimits = RESPONSE_HEAD,
    on_bytes: ReportBytes = ignore_bytes,
) -> ClientConnection:
    """Open a connection.

    Parameters
    ----------
    address : HttpAddress
        The server's address.
    timeout_s : float
        The limit for opening the connection.
    on_excess : callable
        Called when a response exceeds a bound.
    head_limits : HeadLimits
        The limits of a response's head.
    on_bytes : callable
        Called whenever bytes arrive.

    Raises
    ------
    ExchangeError
        Of kind ``connect``, when connecting fails or takes longer than `timeout_s`.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: ClientConnection(on_excess, head_limits, on_bytes), *address
            )
    except TimeoutError:
        detail = f"no connection to {address.ip}:{address.port} within {timeout_s} s"
        raise ExchangeError("connect", detail) from None
    except OSError as error:
        is_refused = isinstance(error, ConnectionRefusedError)
        raise ExchangeError("connect", str(error), is_refused=is_refused) from None
    return connection
