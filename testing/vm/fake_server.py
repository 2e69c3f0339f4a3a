"""A fake backend server that answers each request by the next step of a script."""

import asyncio
import json
import re
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import final

from _pistachiopond.http1.messages import HttpAddress, RawHeaders, Request
from _pistachiopond.http1.server import Responder
from testing.response_endings import Ending

Step = Callable[[Request, Responder], Awaitable[None]]


def attempt_of(request: Request) -> bytes:
    """Return the attempt id of a request."""
    return request.head.values(b"x-attempt-id")[0]


async def respond_ok(request: Request, responder: Responder) -> None:
    """Answer with a complete success."""
    headers = [(b"X-Attempt-Id", attempt_of(request)), (b"X-Server-Seal", b"seal")]
    await responder.respond(200, headers, b"done")


async def respond_error(request: Request, responder: Responder) -> None:
    """Answer with the server's own error."""
    headers = [(b"X-Attempt-Id", attempt_of(request)), (b"X-Server-Seal", b"seal")]
    await responder.respond(500, headers, b"failed")


async def respond_not_run(request: Request, responder: Responder) -> None:
    """Refuse without running the request."""
    headers = [(b"X-Attempt-Id", attempt_of(request)), (b"X-Not-Executed", b"1")]
    await responder.respond(503, headers, b"")


async def respond_unmarked_503(request: Request, responder: Responder) -> None:
    """Answer 503 without saying that the request has not run."""
    headers = [(b"X-Attempt-Id", attempt_of(request))]
    await responder.respond(503, headers, b"")


async def break_connection(request: Request, responder: Responder) -> None:
    """Close the connection without a response, as if the request had run."""
    responder.abort()


async def hang(request: Request, responder: Responder) -> None:
    """Never answer."""
    await asyncio.sleep(3600)


def stream(first: int, last: int, breaks: asyncio.Event | None = None) -> Step:
    """Return a step that sends a stream of events.

    With `breaks`, the step sends a part of one more event and closes the connection
    once `breaks` is set.
    """

    async def step(request: Request, responder: Responder) -> None:
        headers = [
            (b"X-Attempt-Id", attempt_of(request)),
            (b"X-Server-Seal", b"seal"),
            (b"Content-Type", b"text/event-stream"),
        ]
        await responder.start_response(200, headers, None)
        for number in range(first, last + 1):
            await responder.send(b"id: %d\ndata: x\n\n" % number)
        if breaks is not None:
            await responder.send(b"id: %d\nda" % (last + 1))
            await breaks.wait()
            responder.abort()
            return
        await responder.end()

    return step


def continue_or(first: Step) -> Step:
    """Return a step that runs `first`, or resumes a stream up to event 3."""

    async def step(request: Request, responder: Responder) -> None:
        last_ids = request.head.values(b"last-event-id")
        if not last_ids:
            await first(request, responder)
        else:
            await stream(int(last_ids[0]) + 1, 3)(request, responder)

    return step


@final
class FakeServer:
    """Records the requests and orders that it receives, and answers them."""

    def __init__(self, server_id: str) -> None:
        self.server_id = server_id
        self.steps: list[Step] = []
        self.requests: list[Request] = []
        self.orders: list[dict[str, object]] = []
        self.models: list[dict[str, object]] = []
        self.order_count = 0
        self.order_status = 202
        self.order_headers: RawHeaders = []
        self.reports = 0
        self.cancelled = 0

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer a request by the next step, or with a success if none is left."""
        if request.head.target == b"/report":
            await self._report(responder)
            return
        if request.head.target == b"/order":
            self.orders.append(json.loads(request.body))
            self.order_count += 1
            await responder.respond(self.order_status, self.order_headers, b"")
            return
        self.requests.append(request)
        step = self.steps.pop(0) if self.steps else respond_ok
        try:
            await step(request, responder)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise

    async def _report(self, responder: Responder) -> None:
        self.reports += 1
        plain = {
            "models": self.models,
            "busy": False,
            "sequence": self.order_count,
        }
        await responder.respond(200, [], json.dumps(plain).encode())


RawAnswer = tuple[bytes, bytes, bytes]
EndingAnswer = Callable[[bytes], tuple[bytes, Ending]]


@final
class RepeatingServer:
    """Repeats its first answer late, before the next one on the same connection.

    An answer is a status line, lines of headers and a body. The attempt id of the
    request is echoed.
    """

    def __init__(self, first: RawAnswer, others: RawAnswer) -> None:
        self.requests = 0
        self._first = first
        self._others = others

    async def listen(self) -> HttpAddress:
        """Listen on a free port until the event loop ends, and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return HttpAddress(*self._server.sockets[0].getsockname())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        late = b""
        try:
            while True:
                head = await read_request(reader)
                self.requests += 1
                answer = self._encode(head)
                if self.requests == 1:
                    late = answer
                else:
                    writer.write(late)
                    late = b""
                    # Another read at the client than that of the answer.
                    await asyncio.sleep(0.02)
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()

    def _encode(self, head: bytes) -> bytes:
        status, headers, body = self._first if self.requests == 1 else self._others
        return b"HTTP/1.1 %b\r\n%b%bContent-Length: %d\r\n\r\n%b" % (
            status,
            headers,
            echoed_id(head),
            len(body),
            body,
        )


@final
class RawServer:
    """Answers each request with a 200, its attempt id and then the given bytes."""

    def __init__(self, rest: bytes, *, ends_connection: bool = False) -> None:
        self._rest = rest
        self._ends_connection = ends_connection

    async def listen(self) -> HttpAddress:
        """Listen on a free port until the event loop ends, and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return HttpAddress(*self._server.sockets[0].getsockname())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await read_request(reader)
                writer.write(b"HTTP/1.1 200 OK\r\n" + echoed_id(head) + self._rest)
                await writer.drain()
                if self._ends_connection:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        writer.close()


@final
class BrokenOffServer:
    """Answers its first request with the given bytes, and others with whole streams.

    Each answer is the head of an event stream without framing, and what follows it. The
    whole streams end with event 3.
    """

    def __init__(self, rest: bytes) -> None:
        self.requests = 0
        self._rest = rest

    async def listen(self) -> HttpAddress:
        """Listen on a free port until the event loop ends, and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return HttpAddress(*self._server.sockets[0].getsockname())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = await read_request(reader)
            self.requests += 1
            rest = self._rest
            if self.requests > 1:
                last_id = re.search(rb"Last-Event-Id: (\d+)", head)
                events = encode_events(int(last_id[1]) + 1 if last_id else 0, 3)
                rest = b"Content-Length: %d\r\n\r\n" % len(events) + events
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n")
            writer.write(echoed_id(head) + rest)
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        writer.close()


@final
class EndingServer:
    """Ends its connections, to mark the end of a body or too early.

    Each answer is a function from the head of a request to the bytes to send, in which
    ``%id`` stands for the line with the attempt id, and how the connection is closed;
    one that stays open ends when the caller closes it. The last answer is also that to
    all further requests.
    """

    def __init__(self, *answers: EndingAnswer) -> None:
        self.requests: list[bytes] = []
        self._answers = answers

    async def listen(self) -> HttpAddress:
        """Listen on a free port until the event loop ends, and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return HttpAddress(*self._server.sockets[0].getsockname())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = await read_request(reader)
            self.requests.append(head)
            number = min(len(self.requests), len(self._answers)) - 1
            data, ending = self._answers[number](head)
            writer.write(data.replace(b"%id", echoed_id(head)))
            await writer.drain()
            if ending == "open":
                await reader.read()
            elif ending == "reset":
                # Behind the read of the bytes before it.
                await asyncio.sleep(0.02)
                reset_when_closed = struct.pack("ii", 1, 0)
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, reset_when_closed
                )
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        writer.close()


def encode_events(first: int, last: int) -> bytes:
    """Return stream events with these ids, the last one included."""
    numbers = range(first, last + 1)
    return b"".join(b"id: %d\ndata: x\n\n" % number for number in numbers)


async def read_request(reader: asyncio.StreamReader) -> bytes:
    """Read a request and return its head."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = re.search(rb"Content-Length: (\d+)", head)
    await reader.readexactly(int(length[1]) if length else 0)
    return head


def echoed_id(head: bytes) -> bytes:
    """Return the header line with the attempt id of a request, if it has one."""
    found = re.search(rb"X-Attempt-Id: [^\r]*\r\n", head)
    return found[0] if found else b""
