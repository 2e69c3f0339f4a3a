"""Servers that answer with bytes that never end."""

import asyncio
import itertools
import re
import socket
import threading
from collections.abc import Callable
from typing import Final, NamedTuple, final

from _pistachiopond.http1.messages import HttpAddress

WRITE_BYTES: Final = 64 * 1024
SINGLE_BYTE_PAUSE_S: Final = 0.005
# On a virtual clock.
VIRTUAL_BYTE_PAUSE_S: Final = 0.04


class Endless(NamedTuple):
    """A response: bytes sent once, and bytes repeated until the caller closes.

    In both, ``{id}`` stands for the header line with the request's id.
    """

    first: bytes
    repeated: bytes


ID: Final = b"{id}"
OK: Final = b"HTTP/1.1 200 OK\r\n" + ID
OTHER: Final = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: another\r\n"
CHUNKED: Final = (
    OK
    + b"X-Server-Seal: seal\r\nContent-Type: text/event-stream\r\n"
    + b"Transfer-Encoding: chunked\r\n\r\n10\r\nid: 0\ndata: xx\n\n\r\n"
)
# Legitimate, however long.
BODY_KINDS: Final = {
    "chunked-body": Endless(CHUNKED, b"10\r\nid: 0\ndata: xx\n\n\r\n"),
    "unsized-body": Endless(OK + b"X-Server-Seal: seal\r\n\r\n", b"x"),
}
KINDS: Final = {
    "blank-lines": Endless(b"", b"\r\n"),
    "status-line": Endless(b"HTTP/1.1 200 ", b"a"),
    "header-name": Endless(OK, b"n"),
    "header-value": Endless(OK + b"X-A: ", b"v"),
    "headers": Endless(OK, b"X-A: bcdefgh\r\n"),
    "interim-responses": Endless(b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "responses-to-others": Endless(b"", OTHER + b"Content-Length: 3\r\n\r\nabc"),
    "large-response-to-another": Endless(
        OTHER + b"Content-Length: 1000000000\r\n\r\n", b"x"
    ),
    "chunked-response-to-another": Endless(
        OTHER + b"Transfer-Encoding: chunked\r\n\r\n", b"4\r\nabcd\r\n"
    ),
    "unsized-response-to-another": Endless(OTHER + b"\r\n", b"x"),
    "chunk-extension": Endless(CHUNKED + b"1;", b"e"),
    "trailer-value": Endless(CHUNKED + b"0\r\nX-A: ", b"v"),
    "trailers": Endless(CHUNKED + b"0\r\n", b"X-A: bcdefgh\r\n"),
}


@final
class EndlessServer:
    """Answers the first attempt of each request without end, later ones soundly.

    The kind of answer is the last segment of the request's path. Each connection has a
    thread of its own.
    """

    def __init__(self) -> None:
        self._seen: set[bytes] = set()
        self._listening: list[socket.socket] = []

    def listen(self) -> HttpAddress:
        """Listen on a further free port, and return the address."""
        listening = socket.create_server(("127.0.0.1", 0))
        self._listening.append(listening)
        _start_thread(lambda: self._accept(listening))
        return HttpAddress(*listening.getsockname())

    def close(self) -> None:
        """Stop accepting connections."""
        for listening in self._listening:
            stop_listening(listening)

    def _accept(self, listening: socket.socket) -> None:
        while True:
            try:
                connection, _ = listening.accept()
            except OSError:
                return
            _start_thread(lambda opened=connection: self._serve(opened))

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            try:
                while self._answer(connection):
                    pass
            except OSError:
                # The VM has closed the connection.
                return

    def _answer(self, connection: socket.socket) -> bool:
        request = b""
        while not request.endswith(b"\r\n\r\nbody"):
            received = connection.recv(65536)
            if not received:
                return False
            request += received
        endless, answer = _choose_answer(request, self._seen)
        connection.sendall(answer)
        if endless is None:
            return True
        _send_fast(connection, endless)


def listen_for_calls(endless: Endless, request_end: bytes) -> socket.socket:
    """Listen on a free port, and answer without end as fast as the caller reads.

    Parameters
    ----------
    endless : Endless
        The answer; it has no id.
    request_end : bytes
        What a request ends with; empty to send at once.
    """
    listening = socket.create_server(("127.0.0.1", 0))

    def answer(connection: socket.socket) -> None:
        with connection:
            try:
                received = b""
                while not received.endswith(request_end):
                    received += connection.recv(65536)
                connection.sendall(endless.first.replace(ID, b""))
                _send_fast(connection, endless)
            except OSError:
                # The VM has closed the connection.
                return

    def accept() -> None:
        while True:
            try:
                connection, _ = listening.accept()
            except OSError:
                return
            _start_thread(lambda opened=connection: answer(opened))

    _start_thread(accept)
    return listening


def stop_listening(listening: socket.socket) -> None:
    """Close a listening socket in which a thread waits."""
    listening.shutdown(socket.SHUT_RDWR)
    listening.close()


async def trickle(endless: Endless, writer: asyncio.StreamWriter) -> None:
    """Send an answer a byte at a time until the caller closes the connection."""
    writer.write(endless.first.replace(ID, b""))
    for byte in itertools.cycle(endless.repeated):
        if writer.transport.is_closing():
            return
        writer.write(bytes((byte,)))
        await asyncio.sleep(VIRTUAL_BYTE_PAUSE_S)


def _send_fast(connection: socket.socket, endless: Endless) -> None:
    block = endless.repeated * max(1, WRITE_BYTES // len(endless.repeated))
    while True:
        connection.sendall(block)


@final
class SingleByteServer:
    """Answers as `EndlessServer` does, in single bytes by the event loop's clock."""

    def __init__(self) -> None:
        self._seen: set[bytes] = set()
        self._listening: list[asyncio.Server] = []

    async def listen(self) -> HttpAddress:
        """Listen on a further free port, and return the address."""
        listening = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._listening.append(listening)
        return HttpAddress(*listening.sockets[0].getsockname())

    def close(self) -> None:
        """Stop accepting connections."""
        for listening in self._listening:
            listening.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await reader.readuntil(b"\r\n\r\nbody")
                endless, answer = _choose_answer(request, self._seen)
                writer.write(answer)
                while endless is not None:
                    for byte in endless.repeated:
                        writer.write(bytes((byte,)))
                        await writer.drain()
                        await asyncio.sleep(SINGLE_BYTE_PAUSE_S)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # The VM has closed the connection.
            return
        finally:
            writer.close()


def _choose_answer(request: bytes, seen: set[bytes]) -> tuple[Endless | None, bytes]:
    """Return the answer without end, if any, and the bytes to send first."""
    id_line = re.search(rb"(?i)x-attempt-id: [^\r]*\r\n", request)[0]
    path = request.split(b" ", 2)[1].decode()
    if id_line in seen:
        return None, _sound_answer(path, request, id_line)
    seen.add(id_line)
    endless = (KINDS | BODY_KINDS)[path.rpartition("/")[2]]
    return endless, endless.first.replace(ID, id_line)


def _sound_answer(path: str, request: bytes, id_line: bytes) -> bytes:
    """Return a success; of a stream, the events after the last one received."""
    body = b"done"
    if path.startswith("/resume/"):
        last = re.search(rb"(?i)last-event-id: (\d+)", request)
        first = int(last[1]) + 1 if last else 0
        body = b"".join(b"id: %d\ndata: xx\n\n" % number for number in range(first, 3))
    return (
        b"HTTP/1.1 200 OK\r\n%bX-Server-Seal: seal\r\n"
        b"Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%b"
    ) % (id_line, len(body), body)


def _start_thread(run: Callable[[], None]) -> None:
    threading.Thread(target=run, daemon=True).start()
