"""The parts of HTTP/1.1 that the stand-ins need."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple


class Message(NamedTuple):
    """A request.

    Attributes
    ----------
    method, target : str
        Of the request line.
    headers : dict of str to str
        By their names in lower case.
    body : bytes
        The whole body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


Serve = Callable[[Message, asyncio.StreamWriter], Awaitable[None]]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a request; raise `asyncio.IncompleteReadError` at the channel's end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    return Message(method, target, headers, await reader.readexactly(size))


def answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return a complete answer."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    head = f"HTTP/1.1 {status} Status\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
    return head.encode("latin-1") + body


async def listen(serve: Serve, ip: str, port: int = 0) -> asyncio.Server:
    """Serve one request at a time on each channel."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while not writer.is_closing():
                await serve(await read_message(reader), writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(handle, ip, port)


def port_of(server: asyncio.Server) -> int:
    """Return the port that a server listens on."""
    return server.sockets[0].getsockname()[1]
