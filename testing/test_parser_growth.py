"""Tests that each parser of bytes from outside takes a time in proportion to them.

A search that took the square of a chunk once stopped the event loop for seconds.
"""

import asyncio
import unittest
from collections.abc import Callable
from contextlib import suppress
from typing import Any, Final
from unittest import mock

from _pistachiopond.decisions.event_splitter import BrokenStreamError, EventSplitter
from _pistachiopond.http1.client import ClientConnection
from _pistachiopond.http1.messages import RequestHead
from _pistachiopond.http1.second_responses import make_second_response_scan
from _pistachiopond.http1.server import ServerConnection, ServerContext, ServerLimits
from _pistachiopond.platform.configuration import decode_deployment
from _pistachiopond.platform.requests import decode_request
from _pistachiopond.platform.servers import decode_report, decode_server
from _pistachiopond.platform.store import decode_tail
from _pistachiopond.schema.peer_messages import decode_line
from _pistachiopond.schema.store_position import StorePosition
from testing.growth import check_growth

BLOCK_BYTES: Final = 16 * 1024
LIMITS: Final = ServerLimits(10**9, 10**9, 1e9, 1e9)

Feed = Callable[[bytes], object]


def event_splitter() -> Feed:
    """Return a parser of streams."""
    return EventSplitter(is_resumable=True).feed


def second_responses() -> Feed:
    """Return a search for second responses."""
    return make_second_response_scan(b"x-attempt-id")


class Refused(Exception):
    """The connection has been closed, so that no more bytes come."""


class Transport(asyncio.Transport):
    """Counts as open until the protocol closes it, or sends an error response."""

    def write(self, data: bytes) -> None:
        """Take a response; the connections here send no other than an error."""
        if data:
            raise Refused

    def abort(self) -> None:
        """Refuse further bytes."""
        raise Refused

    def is_closing(self) -> bool:
        """Return that it is open."""
        return False

    def pause_reading(self) -> None:
        """Ignore that the protocol's buffer is full."""

    def resume_reading(self) -> None:
        """Ignore that the protocol's buffer has room again."""


def client() -> Feed:
    """Return a connection to a server that waits for a response."""
    connection = ClientConnection()
    connection._transport = Transport()
    connection.send(b"")

    def feed(data: bytes) -> None:
        connection.data_received(data)
        connection._chunks.clear()

    return feed


def server() -> Feed:
    """Return a connection of a caller."""
    context = ServerContext(
        mock.Mock(), lambda: LIMITS, lambda: 0.0, lambda: False, set()
    )
    connection = ServerConnection(context)
    connection._transport = Transport()
    return connection.data_received


HEAD: Final = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n"
CHUNKED: Final = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
POST: Final = b"POST / HTTP/1.1\r\n"
# Makes a parser; then bytes sent once, and bytes repeated.
STREAMS: Final = (
    (event_splitter, b"id: 0\ndata: x\n\n", b"data: x\n"),
    (event_splitter, b"id: 0\ndata: x\n\n", b"data: x\n\n"),
    (event_splitter, b"", b"\n"),
    (event_splitter, b"\r\n", b"\r\n"),
    (event_splitter, b"a: b\r\n", b"\r"),
    (event_splitter, b"a: b\r\n", b"data: x\r\r\n"),
    (event_splitter, b"a\n", b":"),
    (second_responses, b"", b"HTTP/1.1 500 "),
    (second_responses, b"", b"a: HTTP/1.1 200 OK\r\n"),
    (second_responses, b"HTTP/1.1 200 OK\r\n", b"a: b\r\n"),
    (client, CHUNKED, b"1\r\nx\r\n"),
    (client, CHUNKED + b"1;", b"e"),
    (client, CHUNKED + b"0\r\n", b"X-A: b\r\n"),
    (client, HEAD, b"X-A: b\r\n"),
    (client, HEAD + b"X-A: ", b"v"),
    (client, b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    (client, b"", b"\r\n"),
    (client, HEAD + b"\r\n", b"x"),
    (server, POST, b"X-A: b\r\n"),
    (server, POST + b"X-A: ", b"v"),
    (server, POST + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n"),
    (server, b"", b"\r\n"),
    (server, b"POST /", b"a"),
)
# Decoders of whole messages, with what stands before and behind the repeated bytes.
MESSAGES: Final[tuple[tuple[Callable[[bytes], Any], bytes, bytes, bytes], ...]] = (
    (lambda data: decode_server("s", data), b'{"a": [', b"1,", b"1]}"),
    (lambda data: decode_server("s", data), b'{"service": "', b"x", b'"}'),
    (lambda data: decode_server("s", data), b"", b"[", b""),
    (decode_report, b'{"models": [', b'{"name": "m"},', b'{"name": "m"}]}'),
    (decode_deployment, b'{"routes": [', b"1,", b"1]}"),
    (decode_line, b'{"a": [', b'"b",', b'"b"]}'),
    (decode_line, b'{"a": "', b"\\u0000", b'"}'),
    (
        lambda data: decode_tail(data, StorePosition(0, 0)),
        bytes(16),
        b"\0\0\0\4\1kvv",
        b"",
    ),
    (
        lambda data: decode_request(RequestHead(b"GET", b"/", _headers(data))),
        b"",
        b"5c:8,",
        b"5c:8",
    ),
)


def _headers(prompt: bytes) -> list[tuple[bytes, bytes]]:
    return [(b"X-Attempt-Id", b"r1"), (b"X-Prompt-Prefix", prompt)]


def feed_all(make: Callable[[], Feed], blocks: list[bytes]) -> None:
    """Feed blocks to a new parser until it refuses one."""
    feed = make()
    with suppress(BrokenStreamError, Refused):
        for block in blocks:
            feed(block)


class ParserGrowthTests(unittest.TestCase):
    def check_blocks(self, block_bytes: int, size: int) -> None:
        for make, first, repeated in STREAMS:

            def blocks(
                size: int, first: bytes = first, repeated: bytes = repeated
            ) -> list[bytes]:
                data = first + repeated * (size // len(repeated))
                return [
                    data[start : start + block_bytes]
                    for start in range(0, len(data), block_bytes)
                ]

            name = (make.__name__, first[-30:], repeated)
            with self.subTest(name):
                check_growth(lambda data, make=make: feed_all(make, data), blocks, size)

    def test_bytes_that_come_in_blocks(self) -> None:
        self.check_blocks(BLOCK_BYTES, 64 * 1024)

    def test_bytes_that_come_one_by_one(self) -> None:
        # Beyond the part of a head that the search for second responses keeps.
        self.check_blocks(1, 8 * 1024)

    def test_whole_messages(self) -> None:
        for decode, before, repeated, after in MESSAGES:

            def message(
                size: int,
                before: bytes = before,
                repeated: bytes = repeated,
                after: bytes = after,
            ) -> bytes:
                return before + repeated * (size // len(repeated)) + after

            with self.subTest((before, repeated)):
                check_growth(decode, message, 64 * 1024)


if __name__ == "__main__":
    unittest.main()
