"""HTTP/1.1 messages for the stand-ins, with the standard library only."""

import asyncio
from typing import NamedTuple

MAX_LINE_BYTES = 64 * 1024


class Message(NamedTuple):
    """A request, or the head of a response.

    Attributes
    ----------
    start : list of str
        The three parts of the start line.
    headers : dict of str to str
        By names in lower case.
    body : bytes
        The body of a request.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the head of the next message; None at the end of the channel.

    Raises
    ------
    ValueError
        When the bytes are no head.
    """
    try:
        block = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ValueError("the channel ended within a head") from None
        return None
    except asyncio.LimitOverrunError:
        raise ValueError("a head without end") from None
    first, *lines = block.decode("latin-1").split("\r\n")[:-2]
    start = first.split(" ", 2)
    if len(start) < 2:
        raise ValueError(f"no start line: {first!r}")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if not colon:
            raise ValueError(f"no header: {line!r}")
        headers[name.lower()] = value.strip()
    return Message([*start, ""][:3], headers)


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Return the next request with its body; None at the end of the channel."""
    head = await read_head(reader)
    if head is None:
        return None
    size = int(head.headers.get("content-length", "0"))
    body = await reader.readexactly(size) if size else b""
    return head._replace(body=body)


def encode_response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a whole response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Return the next chunk of a chunked body; empty for the last one."""
    line = await reader.readuntil(b"\r\n")
    size = int(line.split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]
