"""The state that an admitted request's task shares with its attempts.

Attempts put the parts of the response into a bounded queue, so that a slow caller
slows down its own attempt and occupies memory for a few parts only.
"""

from collections import deque
from collections.abc import Callable
from typing import Final, NamedTuple, final

import anyio
from opentelemetry.trace import Span

from _pistachiopond.decisions.dispatch_types import RequestFacts
from _pistachiopond.entry.completions import CompletionRequest
from _pistachiopond.entry.engine_stream import EngineResponse, Usage
from _pistachiopond.entry.headers import RawHeaders
from _pistachiopond.schema.verdict import Failure

MAX_QUEUED_PARTS: Final = 16


class EngineCall(NamedTuple):
    """A call to a model engine."""

    path: str
    request: CompletionRequest


class ServiceCall(NamedTuple):
    """A call to a plain HTTP service, without the caller's API key.

    Attributes
    ----------
    method, raw_path, query : str
        The parts of the request line.
    headers : list of tuple
        The headers to forward.
    body : bytes
        The complete body.
    idempotent : bool
        Whether it may be sent again even though it may already have run.
    """

    method: str
    raw_path: str
    query: str
    headers: RawHeaders
    body: bytes
    idempotent: bool


class ResponseStart(NamedTuple):
    """The status and headers of a response."""

    status: int
    headers: RawHeaders


class BodyChunk(NamedTuple):
    """A part of a response body."""

    data: bytes


ResponsePart = ResponseStart | BodyChunk


class ResponseAbandonedError(Exception):
    """The reader of the response has stopped reading it."""


@final
class ResponseQueue:
    """A bounded queue of response parts, from an attempt to the caller's task.

    It works like anyio's memory object stream with one sender and one receiver, but
    does not yield to the event loop on every part, since each token is a part.
    """

    def __init__(self) -> None:
        self._parts: deque[ResponsePart] = deque()
        self._changed = anyio.Event()
        self._is_ended = False
        self._is_closed = False

    async def send(self, part: ResponsePart) -> None:
        """Add a part; waits while the queue is full.

        Raises
        ------
        ResponseAbandonedError
            When the receiver has closed the queue.
        """
        while len(self._parts) >= MAX_QUEUED_PARTS and not self._is_closed:
            await self._wait()
        if self._is_closed:
            raise ResponseAbandonedError
        self._parts.append(part)
        self._notify_changed()

    def end(self) -> None:
        """Mark the end of the response; called by the sender."""
        self._is_ended = True
        self._notify_changed()

    def close(self) -> None:
        """Discard the parts and refuse new ones; called by the receiver."""
        self._is_closed = True
        self._parts.clear()
        self._notify_changed()

    def __aiter__(self) -> "ResponseQueue":
        return self

    async def __anext__(self) -> ResponsePart:
        while not self._parts:
            if self._is_ended:
                raise StopAsyncIteration
            await self._wait()
        part = self._parts.popleft()
        if len(self._parts) == MAX_QUEUED_PARTS - 1:
            self._notify_changed()
        return part

    async def _wait(self) -> None:
        changed = self._changed
        await changed.wait()

    def _notify_changed(self) -> None:
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()


@final
class Exchange:
    """The state of one request between its admission and its end.

    Attributes
    ----------
    facts : RequestFacts
        What the dispatcher needs to know.
    call : EngineCall or ServiceCall
        What is sent to a backend server.
    response_parts : ResponseQueue
        The response; it ends when the response is complete or has failed.
    failure : Failure or None
        Why the response ended early.
    is_complete : bool
        Whether the complete response has been received.
    output_began : bool
        Whether a part has been queued for the caller's task.
    was_dispatched : bool
        Whether an attempt has started.
    generated_tokens : int
        The number of tokens that engines sent, over all attempts.
    usage : Usage or None
        The engine's token counts.
    engine_response : EngineResponse or None
        What has been received of an engine's response, over all attempts; None for
        a plain service.
    """

    def __init__(
        self, facts: RequestFacts, call: EngineCall | ServiceCall, span: Span
    ) -> None:
        self.facts = facts
        self.call = call
        self.span = span
        self.dispatch_span: Span | None = None
        self.queue_span: Span | None = None
        self.failure: Failure | None = None
        self.is_complete = False
        self.output_began = False
        self.was_dispatched = False
        self.generated_tokens = 0
        self.usage: Usage | None = None
        self.engine_response = _new_engine_response(call)
        self.attempt_scopes: dict[int, anyio.CancelScope] = {}
        self.response_parts = ResponseQueue()

    @property
    def is_over(self) -> bool:
        """Whether the response is complete or has failed."""
        return self.is_complete or self.failure is not None

    async def put(self, part: ResponsePart) -> None:
        """Queue a part for the caller's task; waits while the caller is slow."""
        self.output_began = True
        await self.response_parts.send(part)

    def finish(self) -> None:
        """Mark the response as complete."""
        if not self.is_over:
            self.is_complete = True
            self.response_parts.end()

    def fail(self, failure: Failure) -> None:
        """End the response early with a failure."""
        if not self.is_over:
            self.failure = failure
            self.response_parts.end()

    def cancel_attempts(self) -> None:
        """Cancel all attempts, which closes their connections."""
        for scope in self.attempt_scopes.values():
            scope.cancel()


def _new_engine_response(call: EngineCall | ServiceCall) -> EngineResponse | None:
    if isinstance(call, ServiceCall):
        return None
    request = call.request
    return EngineResponse(
        choices=request.choices,
        is_chat=request.is_chat,
        forwards_usage=request.wants_usage,
    )


class DispatchApi(NamedTuple):
    """The service ``dispatch``.

    Attributes
    ----------
    submit : callable
        ``submit(exchange)`` queues a request; the response is written to the
        exchange.
    release : callable
        ``release(exchange)`` must be called exactly once when the caller's task is
        done with the request, whatever its outcome.
    waiting : callable
        Returns the number of requests waiting for a server, by model or adapter.
    """

    submit: Callable[[Exchange], None]
    release: Callable[[Exchange], None]
    waiting: Callable[[], dict[str, int]]
