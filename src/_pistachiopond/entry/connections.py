"""A network backend that makes httpx use asyncio streams to backend servers.

anyio's streams pause and resume reading around every read, which costs two system
calls per token; asyncio's streams pause only when their buffer is full.
"""

import asyncio
import contextlib
import ssl
from collections.abc import Iterable, Iterator
from typing import Any, Final, final

import httpcore
import httpx

BUFFER_BYTES: Final = 64 * 1024


@final
class StreamConnection(httpcore.AsyncNetworkStream):
    """One open TCP or TLS connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return up to `max_bytes` received bytes; none at the end of the stream."""
        with _translate_errors(httpcore.ReadTimeout, httpcore.ReadError):
            async with asyncio.timeout(timeout):
                return await self._reader.read(max_bytes)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send all bytes; waits while the peer does not read."""
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


def make_http_client() -> httpx.AsyncClient:
    """Return the HTTP client for backend servers; it keeps no idle connections."""
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=0)
    context = httpx.create_ssl_context(trust_env=False)
    transport = httpx.AsyncHTTPTransport(verify=context, limits=limits, trust_env=False)
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
