"""An HTTP server on hypercorn whose connections can be made to fail.

hypercorn implements the protocol; this module owns each connection's socket, so that
a fault can close a connection without a response or make it unresponsive for good.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any, Final, final

import anyio
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.utils import wrap_app

AsgiApp = Callable[..., Awaitable[None]]
PeerAddress = tuple[str, int]

LISTEN_BACKLOG: Final = 512
KEEP_ALIVE_TIMEOUT_S: Final = 30.0


@final
class Connection:
    """One accepted connection, which hypercorn reads and writes.

    It is passed to hypercorn both as the stream reader and as the stream writer.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._silent = False

    def silence(self) -> None:
        """Stop reading, writing and closing, like a host that lost its network."""
        self._silent = True

    def abort(self) -> None:
        """Close at once and discard the data that is still buffered."""
        self._writer.transport.abort()

    def at_eof(self) -> bool:
        """Return whether the peer has closed its side."""
        return not self._silent and self._reader.at_eof()

    async def read(self, size: int) -> bytes:
        """Return up to `size` bytes; blocks for good on a silent connection."""
        data = await self._reader.read(size)
        if self._silent:
            await asyncio.Event().wait()
        return data

    def get_extra_info(self, name: str) -> Any:
        """Return information about the transport, such as the peer's address."""
        return self._writer.get_extra_info(name)

    def write(self, data: bytes) -> None:
        """Send bytes; on a silent connection, discard them."""
        if not self._silent:
            self._writer.write(data)

    async def drain(self) -> None:
        """Wait until the send buffer has drained enough to go on writing."""
        if not self._silent:
            await self._writer.drain()

    def write_eof(self) -> None:
        """Close the sending side."""
        if not self._silent:
            self._writer.write_eof()

    def close(self) -> None:
        """Close after the buffered data has been sent."""
        if not self._silent:
            self._writer.close()

    async def wait_closed(self) -> None:
        """Wait until the connection has been closed."""
        if not self._silent:
            await self._writer.wait_closed()


@final
class FaultyServer:
    """A listening socket and its connections, on which faults can be injected."""

    def __init__(self, listen_address: str) -> None:
        host, port = listen_address.rsplit(":", 1)
        self._host = host.strip("[]")
        self._port = int(port)
        self._app: Any = None
        self._config = _make_config()
        self._context = WorkerContext(None)
        self._listener: asyncio.AbstractServer | None = None
        self._connections: dict[PeerAddress, Connection] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._closing = False

    @property
    def address(self) -> str:
        """The bound address, ``IP:port``."""
        return f"{self._host}:{self._port}"

    async def listen(self, app: AsgiApp) -> None:
        """Accept connections and pass their requests to `app`."""
        self._app = wrap_app(app, 0, "asgi")
        await self._open_listener()

    def find_connection(self, peer: PeerAddress) -> Connection | None:
        """Return the open connection of a peer, or None if there is none."""
        return self._connections.get(peer)

    def silence_others(self, kept_peer: PeerAddress) -> None:
        """Make all connections that are open now silent, except that of one peer."""
        for peer, connection in self._connections.items():
            if peer != kept_peer:
                connection.silence()

    async def restart(self, downtime_s: float) -> None:
        """Abort all connections and refuse new ones for `downtime_s`, as in a restart.

        Does nothing if such a restart is already under way.
        """
        if self._listener is None:
            return
        await self._close_listener()
        for connection in list(self._connections.values()):
            connection.abort()
        await anyio.sleep(downtime_s)
        await self._open_listener()

    async def close(self) -> None:
        """Stop accepting connections and end all that are open."""
        await self._close_listener()
        self._closing = True
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _open_listener(self) -> None:
        listening_socket = _bind_socket(self._host, self._port)
        self._port = listening_socket.getsockname()[1]
        self._listener = await asyncio.start_server(
            self._serve, sock=listening_socket, backlog=LISTEN_BACKLOG
        )

    async def _close_listener(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        peer = writer.get_extra_info("peername")[:2]
        connection = Connection(reader, writer)
        self._tasks.add(task)
        self._connections[peer] = connection
        try:
            await self._run_protocol(connection)
        except asyncio.CancelledError:
            if not self._closing:
                raise
        finally:
            self._connections.pop(peer, None)
            self._tasks.discard(task)
            writer.close()

    async def _run_protocol(self, connection: Connection) -> None:
        loop = asyncio.get_running_loop()
        stream: Any = connection
        await TCPServer(
            self._app, loop, self._config, self._context, {}, stream, stream
        )


def _make_config() -> Config:
    config = Config()
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.errorlog = None
    return config


def _bind_socket(host: str, port: int) -> socket.socket:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening_socket = socket.socket(family, socket.SOCK_STREAM)
    listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listening_socket.bind((host, port))
    listening_socket.setblocking(False)
    return listening_socket
