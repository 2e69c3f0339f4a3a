"""A network backend that makes httpx use asyncio streams to backend servers.

anyio's streams pause and resume reading around every read, which costs two system
calls per token; asyncio's streams pause only when their buffer is full. Each connection
ends a response that exceeds a bound outside its body.
"""

import asyncio
import contextlib
import ssl
from collections.abc import AsyncIterator, Callable, Iterable, Iterator
from typing import Any, Final, final

import httpcore
import httpx

from _pistachiopond.entry.response_bounds import ResponseBounds
from _pistachiopond.http1.message_bounds import MAX_PIECE_BYTES, Excess
from _pistachiopond.http1.response_checks import StatusLineScan, is_merged_head

BUFFER_BYTES: Final = 64 * 1024


class ExcessiveResponseError(httpcore.RemoteProtocolError):
    """A response has exceeded a bound outside its body.

    Attributes
    ----------
    excess : Excess
        The bound.
    """

    def __init__(self, excess: Excess) -> None:
        super().__init__(f"received {excess.detail}")
        self.excess = excess


@final
class StreamConnection(httpcore.AsyncNetworkStream):
    """One open TCP or TLS connection.

    Attributes
    ----------
    bounds : ResponseBounds
        Counts the bytes of the response; its reader reports the head and the body.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self.bounds = ResponseBounds()
        self._status_lines = StatusLineScan()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return up to `max_bytes` received bytes; none at the end of the stream.

        Raises
        ------
        ExcessiveResponseError
            When the response has exceeded a bound.
        httpcore.RemoteProtocolError
            When its status line can't be that of an answer.
        """
        excess = self.bounds.excess()
        if excess is not None:
            raise ExcessiveResponseError(excess)
        if self.bounds.is_in_head:
            max_bytes = min(max_bytes, MAX_PIECE_BYTES)
        with _translate_errors(httpcore.ReadTimeout, httpcore.ReadError):
            async with asyncio.timeout(timeout):
                data = await self._reader.read(max_bytes)
        self.bounds.bytes_read(len(data))
        problem = self._status_lines.feed(data)
        if problem is not None:
            raise httpcore.RemoteProtocolError(f"received {problem}")
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send all bytes; waits while the peer does not read."""
        self.bounds.request_sent()
        self._status_lines = StatusLineScan()
        with _translate_errors(httpcore.WriteTimeout, httpcore.WriteError):
            async with asyncio.timeout(timeout):
                self._writer.write(buffer)
                await self._writer.drain()

    async def aclose(self) -> None:
        """Close immediately; unsent bytes are dropped."""
        self._writer.transport.abort()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> "StreamConnection":
        """Upgrade the connection to TLS and return it."""
        with _translate_errors(httpcore.ConnectTimeout, httpcore.ConnectError):
            async with asyncio.timeout(timeout):
                await self._writer.start_tls(
                    ssl_context, server_hostname=server_hostname
                )
        return self

    def get_extra_info(self, info: str) -> Any:
        """Return a property of the connection by httpcore's name for it."""
        if info == "is_readable":
            return self._reader.at_eof()
        if info == "server_addr":
            return self._writer.get_extra_info("peername")
        if info == "client_addr":
            return self._writer.get_extra_info("sockname")
        return self._writer.get_extra_info(info)


@final
class StreamBackend(httpcore.AsyncNetworkBackend):
    """Opens TCP connections."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> StreamConnection:
        """Open a connection to an IP address."""
        with _translate_errors(httpcore.ConnectTimeout, httpcore.ConnectError):
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(
                    host, port, limit=BUFFER_BYTES
                )
        return StreamConnection(reader, writer)

    async def sleep(self, seconds: float) -> None:
        """Wait between connection attempts."""
        await asyncio.sleep(seconds)


@final
class _CountedBody(httpx.AsyncByteStream):
    """The body of a response, counted for the bounds of its connection."""

    def __init__(
        self, body: httpx.AsyncByteStream, count: Callable[[int], None]
    ) -> None:
        self._body = body
        self._count = count

    async def __aiter__(self) -> AsyncIterator[bytes]:
        async for chunk in self._body:
            self._count(len(chunk))
            yield chunk

    async def aclose(self) -> None:
        """Close the connection unless the body was read to its end."""
        await self._body.aclose()


@final
class _BoundedTransport(httpx.AsyncHTTPTransport):
    """Reports the heads and bodies of responses to the bounds of their connections."""

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request and return the response with its body unread.

        Raises
        ------
        httpx.RemoteProtocolError
            When the head goes on with that of another response.
        """
        response = await super().handle_async_request(request)
        reason = response.extensions.get("reason_phrase", b"")
        if is_merged_head(reason, response.headers.raw):
            await response.aclose()
            detail = "received a head that goes on with that of another response"
            raise httpx.RemoteProtocolError(detail, request=request)
        connection = response.extensions["network_stream"]
        # Another stream is the rest of a connection that has changed its protocol.
        if isinstance(connection, StreamConnection):
            assert isinstance(response.stream, httpx.AsyncByteStream)
            connection.bounds.head_parsed()
            response.stream = _CountedBody(
                response.stream, connection.bounds.body_parsed
            )
        return response


def excess_of(error: httpx.HTTPError) -> Excess | None:
    """Return the bound that a response has exceeded, if that caused the error."""
    cause = error.__cause__
    return cause.excess if isinstance(cause, ExcessiveResponseError) else None


def make_http_client() -> httpx.AsyncClient:
    """Return the HTTP client for backend servers; it keeps no idle connections."""
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=0)
    context = httpx.create_ssl_context(trust_env=False)
    transport = _BoundedTransport(verify=context, limits=limits, trust_env=False)
    # httpx has no parameter for the network backend, so its pool is replaced.
    transport._pool = httpcore.AsyncConnectionPool(
        ssl_context=context,
        max_connections=None,
        max_keepalive_connections=0,
        network_backend=StreamBackend(),
    )
    return httpx.AsyncClient(
        transport=transport, trust_env=False, follow_redirects=False, timeout=None
    )


@contextlib.contextmanager
def _translate_errors(
    timeout: type[httpcore.TimeoutException], network_error: type[httpcore.NetworkError]
) -> Iterator[None]:
    try:
        yield
    except TimeoutError as error:
        raise timeout(str(error)) from error
    except (OSError, ssl.SSLError) as error:
        raise network_error(str(error)) from error
