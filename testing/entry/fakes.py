"""Fakes of the control daemon, the admission services and backend servers."""

import itertools
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any, Final, Self, final

import anyio
import grpc.aio
from anyio.abc import SocketStream, TaskStatus
from result import Err, Ok, Result

from _pistachiopond.entry.process import EntryProcess
from _pistachiopond.entry.service_interfaces import (
    CallClaim,
    CallOutcome,
    CallsApi,
    CrashesApi,
    LimitsApi,
    Reservation,
    StoredResponse,
)
from _pistachiopond.kernel.service import Kernel, Service
from _pistachiopond.schema.codec import to_json
from _pistachiopond.schema.revision import Revision
from _pistachiopond.schema.routing import RoutingView
from _pistachiopond.schema.verdict import Failure, Verdict
from _pistachiopond.transport.generated import pond_pb2, pond_pb2_grpc
from _pistachiopond.transport.server import bind_server, make_server

VIEW_PERIOD_S: Final = 0.2


@final
class FakeControl(pond_pb2_grpc.ControlServicer):
    """A control daemon that sends views to entry daemons, and can stop sending."""

    def __init__(self, revision: Revision, routing: RoutingView) -> None:
        self.revision = revision
        self.routing = routing
        self.keys_closed = False
        self.is_silent = False
        self.watches = 0
        self.views_sent = 0
        self.reports: list[bytes] = []
        self._server: grpc.aio.Server | None = None
        self.address = ""

    async def start(self, address: str = "127.0.0.1:0") -> None:
        """Start to listen, on a free port by default."""
        self._server = make_server()
        pond_pb2_grpc.add_ControlServicer_to_server(self, self._server)
        port = bind_server(self._server, address, None)
        await self._server.start()
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Close all connections."""
        if self._server is not None:
            await self._server.stop(0)

    @asynccontextmanager
    async def listening(self) -> AsyncIterator[Self]:
        """Listen for the duration of the block.

        A server that is still running when it is collected can block the process.
        """
        await self.start()
        try:
            yield self
        finally:
            with anyio.CancelScope(shield=True):
                await self.stop()

    async def Watch(self, request: Any, context: Any) -> AsyncIterator[pond_pb2.View]:
        self.watches += 1
        while True:
            self.views_sent += 1
            if not self.is_silent:
                yield pond_pb2.View(
                    revision_json=to_json(self.revision).encode(),
                    routing_json=to_json(self.routing).encode(),
                    keys_closed=self.keys_closed,
                )
            await anyio.sleep(VIEW_PERIOD_S)

    async def Report(self, request: Any, context: Any) -> pond_pb2.ReportReply:
        self.reports.append(request.report_json)
        return pond_pb2.ReportReply()


@final
class FakeAdmissionServices:
    """The services ``limits``, ``calls`` and ``crashes``, recording their calls."""

    def __init__(self) -> None:
        self.refuses = False
        self.reserved: list[Reservation] = []
        self.settled: list[tuple[Reservation, float]] = []
        self.claims: dict[tuple[str, str, str], StoredResponse | None] = {}
        self.outcomes: list[CallOutcome] = []
        self._ids = itertools.count(1)

    def services(self, process: EntryProcess) -> list[Service]:
        """Return the three services."""
        return [
            _service("limits", LimitsApi(self._reserve, self._settle)),
            _service("calls", CallsApi(self._claim, self._finish)),
            _service("crashes", CrashesApi(self._admit, lambda fingerprint: None)),
        ]

    def outstanding(self) -> int:
        """Return the number of reservations that are not settled."""
        return len(self.reserved) - len(self.settled)

    async def _reserve(
        self, customer: str, tokens: float
    ) -> Result[Reservation, Failure]:
        if self.refuses:
            return Err(Failure(Verdict.NOT_RUN, "rate_exceeded", "Wait.", 429, 3.0))
        reservation = Reservation(next(self._ids), customer, tokens)
        self.reserved.append(reservation)
        return Ok(reservation)

    def _settle(self, reservation: Reservation, used_tokens: float) -> None:
        self.settled.append((reservation, used_tokens))

    async def _claim(
        self, customer: str, route: str, key_digest: str, request_digest: str
    ) -> Result[CallClaim | StoredResponse, Failure]:
        name = (customer, route, key_digest)
        if name not in self.claims:
            self.claims[name] = None
            return Ok(CallClaim(str(next(self._ids)), customer, route, key_digest))
        kept = self.claims[name]
        if kept is None:
            return Err(
                Failure(Verdict.MAY_HAVE_RUN, "in_progress", "Runs already.", 409)
            )
        return Ok(kept)

    async def _finish(self, claim: CallClaim, outcome: CallOutcome) -> None:
        self.outcomes.append(outcome)
        name = (claim.customer, claim.route, claim.key_digest)
        if outcome.ran:
            self.claims[name] = StoredResponse(
                outcome.status, outcome.body, outcome.content_type
            )
        else:
            del self.claims[name]

    async def _admit(self, fingerprint: str) -> Result[None, Failure]:
        return Ok(None)


def _service(name: str, api: Any) -> Service:
    async def run(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
        task_status.started(api)
        await kernel.stop_event(name).wait()

    return Service(name, run)


@final
class BackendRequest:
    """One request that reached a fake backend server."""

    def __init__(self, stream: SocketStream, head: bytes, body: bytes) -> None:
        self.stream = stream
        lines = head.decode("latin-1").split("\r\n")
        self.line = lines[0]
        self.raw_head = head
        pairs = (line.partition(": ") for line in lines[1:] if line)
        self.headers = {name.lower(): value for name, _, value in pairs}
        self.body = body

    @property
    def request_id(self) -> str:
        """The id that the response must echo."""
        return self.headers.get("x-request-id", "")

    async def answer(
        self, status: str, body: bytes, *headers: str, request_id: str | None = None
    ) -> None:
        """Send a complete response and close the connection."""
        given = self.request_id if request_id is None else request_id
        lines = [
            f"HTTP/1.1 {status}",
            f"X-Request-Id: {given}",
            f"Content-Length: {len(body)}",
            "Connection: close",
            *headers,
        ]
        await self.stream.send("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await self.stream.aclose()

    async def begin_stream(self) -> None:
        """Send the headers of an event stream that ends with the connection."""
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"X-Request-Id: {self.request_id}\r\n"
            "Content-Type: text/event-stream\r\n"
            "Connection: close\r\n\r\n"
        )
        await self.stream.send(head.encode())


Answer = Callable[[BackendRequest], Awaitable[None]]


async def confirm_cancel(request: BackendRequest) -> None:
    """Answer a cancel call as a healthy engine does."""
    await request.answer("200 OK", b"{}")


@final
class FakeBackend:
    """A backend server that passes each request to a function of the test."""

    def __init__(self, answer: Answer) -> None:
        self.answer = answer
        self.answer_cancel: Answer = confirm_cancel
        self.requests: list[BackendRequest] = []
        self.cancels: list[BackendRequest] = []
        self.open_streams = 0
        self.url = ""

    async def _serve(self, stream: SocketStream) -> None:
        self.open_streams += 1
        try:
            async with stream:
                await self._serve_one(stream)
        except (anyio.BrokenResourceError, anyio.EndOfStream):
            pass
        except anyio.ClosedResourceError:
            pass
        finally:
            self.open_streams -= 1

    async def _serve_one(self, stream: SocketStream) -> None:
        data = b""
        while b"\r\n\r\n" not in data:
            data += await stream.receive()
        head, _, body = data.partition(b"\r\n\r\n")
        request = BackendRequest(stream, head, body)
        length = int(request.headers.get("content-length", "0"))
        while len(request.body) < length:
            request.body += await stream.receive()
        if request.line.startswith("POST /v1/cancel"):
            self.cancels.append(request)
            await self.answer_cancel(request)
            return
        self.requests.append(request)
        await self.answer(request)


@asynccontextmanager
async def run_backend(answer: Answer) -> AsyncIterator[FakeBackend]:
    """Run a fake backend server on a free port."""
    backend = FakeBackend(answer)
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    backend.url = f"http://127.0.0.1:{port}"
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, backend._serve)
        try:
            yield backend
        finally:
            group.cancel_scope.cancel()
    await listener.aclose()


async def wait_until(condition: Callable[[], bool], limit_s: float = 30.0) -> None:
    """Wait until the condition holds; fail after `limit_s`."""
    with anyio.fail_after(limit_s):
        while not condition():
            await anyio.sleep(0.01)
