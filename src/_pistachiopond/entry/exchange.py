"""One admitted request on its way: what its caller's task and its attempts share.

Attempts put the answer's parts into a bounded stream, so that a slow caller slows
its own attempt down and holds no more than a few parts in memory.
"""

from collections import deque
from collections.abc import Callable
from typing import Final, NamedTuple, final

import anyio
from opentelemetry.trace import Span

from _pistachiopond.decisions.dispatch_types import RequestFacts
from _pistachiopond.entry.answers import EngineAnswer, Usage
from _pistachiopond.entry.completions import CompletionRequest
from _pistachiopond.entry.headers import RawHeaders
from _pistachiopond.schema.verdict import Failure

PARTS_IN_FLIGHT: Final = 16


class EngineCall(NamedTuple):
    """A call to a model engine."""

    path: str
    request: CompletionRequest


class ServiceCall(NamedTuple):
    """A call to a plain service, without the caller's key.

    Attributes
    ----------
    method, raw_path, query : str
        The request line.
    headers : list of tuple
        To be sent on.
    body : bytes
        The whole body.
    idempotent : bool
        Whether it may be sent again although it may have run.
    """

    method: str
    raw_path: str
    query: str
    headers: RawHeaders
    body: bytes
    idempotent: bool


class Head(NamedTuple):
    """The status and headers of the answer."""

    status: int
    headers: RawHeaders


class Piece(NamedTuple):
    """A part of the answer's body."""

    data: bytes


Part = Head | Piece


class CallerGone(Exception):
    """Nobody reads the answer any more."""


@final
class PartStream:
    """The parts of one answer on their way to the caller's task, a few at most.

    Like a memory stream of one sender and one receiver, but without giving up the
    turn at each part: there is one part for each token.
    """

    def __init__(self) -> None:
        self._parts: deque[Part] = deque()
        self._changed = anyio.Event()
        self._is_ended = False
        self._is_closed = False

    async def send(self, part: Part) -> None:
        """Add a part; waits while the receiver has not taken the earlier ones.

        Raises
        ------
        CallerGone
            When the receiver has closed the stream.
        """
        while len(self._parts) >= PARTS_IN_FLIGHT and not self._is_closed:
            await self._wait()
        if self._is_closed:
            raise CallerGone
        self._parts.append(part)
        self._tell()

    def end(self) -> None:
        """Say that no more parts will come."""
        self._is_ended = True
        self._tell()

    def close(self) -> None:
        """Say that nobody takes the parts any more."""
        self._is_closed = True
        self._parts.clear()
        self._tell()

    def __aiter__(self) -> "PartStream":
        return self

    async def __anext__(self) -> Part:
        while not self._parts:
            if self._is_ended:
                raise StopAsyncIteration
            await self._wait()
        part = self._parts.popleft()
        if len(self._parts) == PARTS_IN_FLIGHT - 1:
            self._tell()
        return part

    async def _wait(self) -> None:
        changed = self._changed
        await changed.wait()

    def _tell(self) -> None:
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()


@final
class Exchange:
    """The state of one request between its admission and its end.

    Attributes
    ----------
    facts : RequestFacts
        What the dispatcher decides by.
    call : EngineCall or ServiceCall
        What is sent to a backend server.
    parts : PartStream
        The answer; it ends when the answer is whole or has failed.
    failure : Failure or None
        Why the answer ended early.
    is_whole : bool
        Whether the whole answer has come.
    output_began : bool
        Whether a part has been handed to the caller's task.
    was_dispatched : bool
        Whether an attempt has begun.
    generated_tokens : int
        Tokens that engines sent, over all attempts.
    usage : Usage or None
        As the engine counted it.
    answer : EngineAnswer or None
        What has come of an engine's answer, over all attempts.
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
        self.is_whole = False
        self.output_began = False
        self.was_dispatched = False
        self.generated_tokens = 0
        self.usage: Usage | None = None
        self.answer = _new_answer(call)
        self.attempt_scopes: dict[int, anyio.CancelScope] = {}
        self.parts = PartStream()

    @property
    def is_over(self) -> bool:
        """Whether nothing more will come."""
        return self.is_whole or self.failure is not None

    async def put(self, part: Part) -> None:
        """Hand a part to the caller's task; waits while the caller is slow."""
        self.output_began = True
        await self.parts.send(part)

    def finish(self) -> None:
        """Say that the whole answer has been put."""
        if not self.is_over:
            self.is_whole = True
            self.parts.end()

    def fail(self, failure: Failure) -> None:
        """Say that no more of the answer will come, and why."""
        if not self.is_over:
            self.failure = failure
            self.parts.end()

    def cancel_attempts(self) -> None:
        """Close the connections of all attempts."""
        for scope in self.attempt_scopes.values():
            scope.cancel()


def _new_answer(call: EngineCall | ServiceCall) -> EngineAnswer | None:
    if isinstance(call, ServiceCall):
        return None
    request = call.request
    return EngineAnswer(
        choices=request.choices,
        is_chat=request.is_chat,
        forwards_usage=request.wants_usage,
    )


class DispatchPort(NamedTuple):
    """The service ``dispatch``.

    Attributes
    ----------
    submit : callable
        ``submit(exchange)`` queues it; the answer comes through the exchange.
    leave : callable
        ``leave(exchange)`` says that the caller's task has done with it, in any
        case and exactly once.
    waiting : callable
        How many requests wait for a server, by model or adapter.
    """

    submit: Callable[[Exchange], None]
    leave: Callable[[Exchange], None]
    waiting: Callable[[], dict[str, int]]
