"""A stand-in of a requester: sends a request on a new channel, reads the answer."""

import asyncio
import time
from typing import NamedTuple

from review.standins.wire import read_chunk, read_head

CONNECT_S = 1.0


class Answer(NamedTuple):
    """What a requester got.

    Attributes
    ----------
    status : int
        0 if there was no head.
    headers : dict of str to str
        By names in lower case.
    body : bytes
        As far as it came.
    is_whole : bool
        Whether the answer was complete.
    problem : str
        Why it was not.
    sent_s, ended_s : float
        When the request had been sent and when the answer ended, by the monotonic
        clock.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool
    problem: str
    sent_s: float
    ended_s: float


def encode_call(
    method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return an encoded request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def call(address: str, encoded: bytes, wait_s: float) -> Answer:
    """Send an encoded request on a new channel; return the answer within `wait_s`."""
    host, _, port = address.rpartition(":")
    received = _Received()
    sent_s = time.monotonic()
    problem = ""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(CONNECT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
        sent_s = time.monotonic()
        async with asyncio.timeout_at(asyncio.get_running_loop().time() + wait_s):
            writer.write(encoded)
            await writer.drain()
            await received.read(reader)
    except TimeoutError:
        problem = "gave up waiting" if writer else "no channel within a second"
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        problem = f"{type(error).__name__}"
    finally:
        if writer is not None:
            writer.transport.abort()
    return Answer(
        received.status,
        received.headers,
        bytes(received.body),
        received.is_whole,
        problem or ("" if received.is_whole else "the channel ended"),
        sent_s,
        time.monotonic(),
    )


class _Received:
    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.is_whole = False

    async def read(self, reader: asyncio.StreamReader) -> None:
        head = await read_head(reader)
        if head is None:
            return
        self.status, self.headers = int(head.start[1]), head.headers
        if "chunked" in head.headers.get("transfer-encoding", ""):
            while chunk := await read_chunk(reader):
                self.body += chunk
        else:
            left = int(head.headers.get("content-length", "0"))
            while left:
                data = await reader.read(min(left, 64 * 1024))
                if not data:
                    return
                self.body += data
                left -= len(data)
        self.is_whole = True
