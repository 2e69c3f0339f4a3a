"""An HTTP server on hypercorn whose connections can be made to fail.

hypercorn owns the protocol; this module owns each connection's socket, so that a
fault can close one without an answer or let it go silent for good.
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
Peer = tuple[str, int]

BACKLOG: Final = 512
KEEP_ALIVE_S: Final = 30.0


@final
class Connection:
    """One accepted connection; hypercorn reads and writes through it.

    It stands in for both the stream reader and the stream writer.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._silent = False

    def silence(self) -> None:
        """Neither read, write nor close from now on, as a lost peer would."""
        self._silent = True

    def abort(self) -> None:
        """Close at once, without sending what is still buffered."""
        self._writer.transport.abort()

    def at_eof(self) -> bool:
        """Return whether the other side has closed."""
        return not self._silent and self._reader.at_eof()

    async def read(self, size: int) -> bytes:
        """Return up to `size` bytes; never returns once silent."""
        data = await self._reader.read(size)
        if self._silent:
            await asyncio.Event().wait()
        return data

    def get_extra_info(self, name: str) -> Any:
        """Return what the transport knows, such as the peer's address."""
        return self._writer.get_extra_info(name)

    def write(self, data: bytes) -> None:
        """Send bytes, or lose them once silent."""
        if not self._silent:
            self._writer.write(data)

    async def drain(self) -> None:
        """Wait until the other side has taken enough."""
        if not self._silent:
            await self._writer.drain()

    def write_eof(self) -> None:
        """Say that nothing more will be sent."""
        if not self._silent:
            self._writer.write_eof()

    def close(self) -> None:
        """Close after sending what is buffered."""
        if not self._silent:
            self._writer.close()

    async def wait_closed(self) -> None:
        """Wait until the connection has been closed."""
        if not self._silent:
            await self._writer.wait_closed()


@final
class FaultyServer:
    """A listening socket and its connections."""

    def __init__(self, listen_address: str) -> None:
        host, port = listen_address.rsplit(":", 1)
        self._host = host.strip("[]")
        self._port = int(port)
        self._app: Any = None
        self._config = _make_config()
        self._context = WorkerContext(None)
        self._listener: asyncio.AbstractServer | None = None
        self._connections: dict[Peer, Connection] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._closing = False

    @property
    def address(self) -> str:
        """The address that is bound, ``IP:port``."""
        return f"{self._host}:{self._port}"

    async def listen(self, app: AsgiApp) -> None:
        """Accept connections and hand their requests to `app`."""
        self._app = wrap_app(app, 0, "asgi")
        await self._open()

    def find(self, peer: Peer) -> Connection | None:
        """Return the open connection from that address."""
        return self._connections.get(peer)

    def silence_all(self, but: Peer) -> None:
        """Let every connection that is open now go silent, except one."""
        for peer, connection in self._connections.items():
            if peer != but:
                connection.silence()

    async def go_away(self, duration_s: float) -> None:
        """Abort every connection and accept none for a time, like a restart."""
        if self._listener is None:
            return
        await self._close_listener()
        for connection in list(self._connections.values()):
            connection.abort()
        await anyio.sleep(duration_s)
        await self._open()

    async def close(self) -> None:
        """Stop accepting and end every connection."""
        await self._close_listener()
        self._closing = True
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _open(self) -> None:
        bound = _bind(self._host, self._port)
        self._port = bound.getsockname()[1]
        self._listener = await asyncio.start_server(
            self._serve, sock=bound, backlog=BACKLOG
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
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.errorlog = None
    return config


def _bind(host: str, port: int) -> socket.socket:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    bound.bind((host, port))
    bound.setblocking(False)
    return bound
