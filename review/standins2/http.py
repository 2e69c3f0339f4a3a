"""A small HTTP/1.1 server and client on asyncio streams, for the stand-ins."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

MAX_LINE_BYTES = 8 * 1024 * 1024


class Call(NamedTuple):
    """A request as a stand-in has received it.

    Attributes
    ----------
    method, target : str
        As received; the target includes the query.
    headers : dict of str to str
        By their names in lower case.
    body : bytes
        The whole body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Answer(NamedTuple):
    """A complete answer.

    Attributes
    ----------
    status : int
        The status code.
    headers : dict of str to str
        Without those of the framing.
    body : bytes
        The body.
    """

    status: int
    headers: dict[str, str]
    body: bytes = b""


# Returns the answer, or None to close the connection without one.
Handler = Callable[[Call], Awaitable[Answer | None]]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the start line and the headers of a message.

    Raises
    ------
    asyncio.IncompleteReadError
        When the connection ends before.
    """
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of a message whose head has been read."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def encode_answer(answer: Answer) -> bytes:
    """Return the bytes of an answer with its length."""
    lines = [f"HTTP/1.1 {answer.status} Stand-in"]
    lines += [f"{name}: {value}" for name, value in answer.headers.items()]
    lines.append(f"Content-Length: {len(answer.body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + answer.body


async def serve(handler: Handler, port: int = 0) -> tuple[asyncio.Server, int]:
    """Listen on a loopback port; return the listener and the port."""

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                answer = await handler(Call(method, target, headers, body))
                if answer is None:
                    return
                writer.write(encode_answer(answer))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            writer.transport.abort()

    server = await asyncio.start_server(run, "127.0.0.1", port, limit=MAX_LINE_BYTES)
    return server, int(server.sockets[0].getsockname()[1])


async def call(
    address: tuple[str, int], target: str, headers: dict[str, str], body: bytes = b""
) -> tuple[int, dict[str, str], bytes]:
    """Send a request on a new connection; return status, headers and body.

    Raises
    ------
    OSError, asyncio.IncompleteReadError
        When there is no complete answer.
    """
    reader, writer = await asyncio.open_connection(*address, limit=MAX_LINE_BYTES)
    try:
        lines = [f"POST {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        first, found = await read_head(reader)
        return int(first.split(" ")[1]), found, await read_body(reader, found)
    finally:
        writer.transport.abort()
