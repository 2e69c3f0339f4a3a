"""One attempt to have a request answered by a backend server or through another VM."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.attempt_policy import AttemptKind
from _pistachiopond.decisions.event_splitter import BrokenStreamError, EventSplitter
from _pistachiopond.http1.client import ClientConnection, ExchangeError
from _pistachiopond.http1.messages import (
    CompleteResponse,
    Request,
    ResponseHead,
    encode_request,
    framing_of,
)
from _pistachiopond.http1.second_responses import make_second_response_scan
from _pistachiopond.http1.server import Responder
from _pistachiopond.observe.logs import log_change
from _pistachiopond.platform.requests import (
    ATTEMPT_ID,
    is_response_to,
    response_headers,
)
from _pistachiopond.schema.caller_request import ResponseKind
from _pistachiopond.vm.admission import Admitted
from _pistachiopond.vm.attempt_target import Target

# Responses up to this size are buffered whole before the first byte goes to the caller.
# A response that is cut off within that size can then be retried or reported as failed.
MAX_BUFFERED_RESPONSE_BYTES: Final = 512 * 1024
# Time after which a request that may run twice goes to another server if no response
# head has come and another can take it, as a multiple of the route's latency objective.
HEAD_TIMEOUT_OBJECTIVES: Final = 2.0
MIN_HEAD_TIMEOUT_S: Final = 0.25
# A stream that has sent events for this long has not crashed its server. Of a pause
# between events, only so much counts, since this process may have stood still.
SOUND_STREAM_S: Final = 1.0
MAX_COUNTED_PAUSE_S: Final = 0.25
# Streams with fewer events don't count for their server's time per event, since their
# first and last ones take other times.
MIN_TIMED_EVENTS: Final = 8


class UnrecordedError(Exception):
    """The store does not have the record of the version that sent a stream's events."""


class Outcome(NamedTuple):
    """How an attempt ended.

    Attributes
    ----------
    kind : str or None
        The kind of failure; None when the caller has received the whole response.
    detail : str
        Description for the log.
    response : CompleteResponse or None
        The server's response, where its status is an error.
    is_cut_off : bool
        Whether the connection or the stream ended before the response was complete.
    waited_s : float or None
        How long this VM waited for the response head, if it gave up; otherwise None.
    """

    kind: AttemptKind | None
    detail: str = ""
    response: CompleteResponse | None = None
    is_cut_off: bool = False
    waited_s: float | None = None


DELIVERED: Final = Outcome(None)
UNRECORDED: Final = Outcome(
    "unrecorded", "the store has not taken the record of the stream's version"
)
# Of an attempt whose response is not used, since another one was answered before.
LOST: Final = Outcome("unclear", "another attempt was answered first")


class StreamPart(NamedTuple):
    """What one attempt contributed to a stream.

    Attributes
    ----------
    receiver : str
        The server's id or the other VM's address.
    framing : str
        How the receiver delimited its response: ``chunked``, ``length`` or
        ``connection``.
    after_id : int or None
        The id of the last event that the caller had before; None if it had none.
    last_id : int or None
        The id of the last event that the caller has had since.
    dropped_bytes : int
        The size of the incomplete or invalid event at the end and of what followed it,
        which the caller did not get.
    """

    receiver: str
    framing: str
    after_id: int | None
    last_id: int | None
    dropped_bytes: int


class Exchange(NamedTuple):
    """A caller's request and the writer of its response.

    Attributes
    ----------
    request : Request
        The request as the caller sent it.
    admitted : Admitted
        Its route, customer and deadline.
    responder : Responder
        Writes the response to the caller.
    splitter : EventSplitter or None
        Splits a stream into events; None for all other responses.
    arrival_s : float
        When the request arrived, on the event loop's clock.
    used_connections : set of ClientConnection
        Connections on which the request was sent. A late second response to an attempt
        carries the same id as the response to the next one, so no two attempts share a
        connection.
    parts : list of StreamPart
        One for each attempt that began to send a stream, in order.
    """

    request: Request
    admitted: Admitted
    responder: Responder
    splitter: EventSplitter | None
    arrival_s: float
    used_connections: set[ClientConnection]
    parts: list[StreamPart]


@final
class Attempt:
    """Sends a request to one target and relays the response to the caller.

    Attributes
    ----------
    may_have_run : bool
        Whether the request was sent and the target has not confirmed that it did not
        run it.
    has_answered : bool
        Whether the head of a response to the request has come.
    head_after_s : float or None
        The time from sending the request to that head.
    """

    def __init__(
        self,
        exchange: Exchange,
        target: Target,
        *,
        load: int,
        is_last: bool,
        should_give_up: Callable[[float], bool],
        on_sent: Callable[[], None],
        before_events: Callable[[], Awaitable[bool]],
        on_sound: Callable[[], None],
        claim: Callable[[ResponseKind], bool] = lambda kind: True,
    ) -> None:
        """Prepare an attempt.

        Parameters
        ----------
        exchange : Exchange
            The request and the writer of its response.
        target : Target
            The server or VM to send the request to.
        load : int
            Requests in progress at the server, for the log.
        is_last : bool
            Whether the request may go to no other server after this one.
        should_give_up : callable
            Called with the time since the request was sent when no response head has
            come for a while; returns whether to end the attempt.
        on_sent : callable
            Called when the request has been sent.
        before_events : callable
            Awaited before the caller is sent the first events of a stream; returns
            whether it may be sent them.
        on_sound : callable
            Called when the target has sent events for `SOUND_STREAM_S`.
        claim : callable
            Called with what a response head says of the request, a success or a
            failure; returns whether the response may be relayed. Otherwise another
            attempt of the request may be.
        """
        self._admitted = exchange.admitted
        self._responder = exchange.responder
        self._splitter = exchange.splitter
        self._arrival_s = exchange.arrival_s
        self._used_connections = exchange.used_connections
        self._parts = exchange.parts
        self._target = target
        self._load_when_sent = load
        self._is_last = is_last
        self._should_give_up = should_give_up
        self._on_sent = on_sent
        self._before_events = before_events
        self._on_sound = on_sound
        self._claim = claim
        self._event_s: float | None = None
        self._streamed_s = 0.0
        self._sent_s = 0.0
        self._first_event_s = 0.0
        self.may_have_run = False
        self.has_answered = False
        self.head_after_s: float | None = None

    async def run(self) -> Outcome:
        """Send the request, relay the response, and return the outcome."""
        target = self._target
        pool = target.pool
        try:
            connection = await pool.acquire(target.max_idle_s, self._used_connections)
        except ExchangeError as error:
            return Outcome("connect", str(error))
        try:
            if not target.is_open():
                # While the connection was opened, another answer of the server said
                # that it leaves or wants a pause.
                return Outcome("withdrawn", "the server takes no requests now")
            return await self._send_and_relay(connection)
        except ExchangeError as error:
            if error.kind == "connect":
                return Outcome("connect", str(error))
            if connection.has_timed_out:
                target.record_timeout()
            kind: AttemptKind = "broken" if self._responder.has_started else "unclear"
            if error.kind in ("closed", "reset") and connection.idle_duration_s:
                after_s = asyncio.get_running_loop().time() - self._sent_s
                target.record_reset(connection.idle_duration_s, after_s)
            is_cut_off = error.kind in ("closed", "reset", "truncated")
            return Outcome(kind, str(error), is_cut_off=is_cut_off)
        except UnrecordedError:
            return UNRECORDED
        except BrokenStreamError as error:
            connection.close()
            kind = "broken" if self._responder.has_started else "unclear"
            return Outcome(kind, str(error), is_cut_off=True)
        finally:
            if connection.skipped_responses:
                log_change(
                    "response of another request skipped",
                    request=self._admitted.caller.attempt_id,
                    server=target.name,
                    count=connection.skipped_responses,
                )
            # Releasing a connection whose exchange is incomplete closes it, which
            # makes the server cancel the request.
            pool.release(connection)

    async def _send_and_relay(self, connection: ClientConnection) -> Outcome:
        admitted = self._admitted
        target = self._target
        loop = asyncio.get_running_loop()
        resume_after = self._resume_after()
        self._sent_s = loop.time()
        encoded = target.encode(admitted.end_s - self._sent_s, resume_after)
        attempt_id = admitted.caller.attempt_id
        connection.send(
            encode_request(encoded.head, encoded.body),
            lambda head: is_response_to(attempt_id, head),
        )
        # Before anything that may raise, since a refusal would promise the contrary.
        self.may_have_run = True
        target.record_sent()
        self._used_connections.add(connection)
        self._on_sent()
        head = await self._read_head(connection)
        if head is None:
            detail = "the server sent no response head in time"
            waited_s = loop.time() - self._sent_s
            return Outcome("unclear", detail, waited_s=waited_s)
        self.has_answered = True
        self.head_after_s = loop.time() - self._sent_s
        target.take_notice(head)
        response_kind = target.classify(head)
        if response_kind in ("not_run", "not_here"):
            self.may_have_run = False
            try:
                await connection.read_body(MAX_BUFFERED_RESPONSE_BYTES)
            except ExchangeError as error:
                # The head is enough; a body that breaks off takes nothing back.
                log_change(
                    "body of a refusal broke off",
                    request=attempt_id,
                    server=target.name,
                    reason=str(error),
                )
            is_not_run = response_kind == "not_run"
            return Outcome("not_run" if is_not_run else "not_here", f"{head.status}")
        is_continued = response_kind == "failure" and self._responder.has_started
        if response_kind == "unclear" or is_continued:
            # An error status cannot be relayed either once the caller has received
            # events of the stream.
            await connection.read_body(MAX_BUFFERED_RESPONSE_BYTES)
            return Outcome("unclear", f"the server answered {head.status}")
        if not self._claim(response_kind):
            if response_kind == "success":
                return LOST
            # Kept in case that the other attempt fails as well.
            body = await connection.read_body(MAX_BUFFERED_RESPONSE_BYTES)
            response = CompleteResponse(head, body)
            return Outcome("failure", f"the server answered {head.status}", response)
        if response_kind == "success" and admitted.route.kind == "stream":
            after_id = None if self._splitter is None else self._splitter.last_id
            try:
                return await self._relay_stream(head, connection)
            finally:
                self._record_part(head, after_id)
        return await self._relay_whole(head, connection)

    async def _read_head(self, connection: ClientConnection) -> ResponseHead | None:
        route = self._admitted.route
        if route.kind != "safe" or self._is_last:
            return await connection.read_head()
        timeout_s = max(
            MIN_HEAD_TIMEOUT_S, HEAD_TIMEOUT_OBJECTIVES * route.latency_objective_s
        )
        loop = asyncio.get_running_loop()
        while True:
            try:
                async with asyncio.timeout(timeout_s):
                    return await connection.read_head()
            except TimeoutError:
                # After a standstill of this process the head may have come in time.
                head = connection.received_head()
                if head is not None:
                    return head
                if self._should_give_up(loop.time() - self._sent_s):
                    return None

    async def _relay_whole(
        self, head: ResponseHead, connection: ClientConnection
    ) -> Outcome:
        chunks: list[bytes] = []
        size = 0
        has_second_response = make_second_response_scan(ATTEMPT_ID)
        ends_with_connection = framing_of(head) == "connection"
        while chunk := await connection.read_chunk():
            if ends_with_connection and has_second_response(chunk):
                raise ExchangeError("garbled", "a second response within the body")
            chunks.append(chunk)
            size += len(chunk)
            if size > MAX_BUFFERED_RESPONSE_BYTES and not self._responder.has_started:
                length = head.value(b"content-length")
                await self._responder.start_response(
                    head.status, response_headers(head), int(length) if length else None
                )
            if self._responder.has_started:
                await self._responder.send(b"".join(chunks))
                chunks.clear()
        if self._responder.has_started:
            await self._responder.end()
            return DELIVERED
        response = CompleteResponse(head, b"".join(chunks))
        if not 200 <= head.status < 300:
            return Outcome("failure", f"the server answered {head.status}", response)
        now_s = asyncio.get_running_loop().time()
        self._target.record_time(now_s - self._sent_s)
        await write_response(self._responder, response)
        return DELIVERED

    async def _relay_stream(
        self, head: ResponseHead, connection: ClientConnection
    ) -> Outcome:
        responder = self._responder
        loop = asyncio.get_running_loop()
        head_s = last_s = loop.time()
        longest_pause_s = 0.0
        prompt_tokens = self._admitted.caller.prompt_tokens
        splitter = self._splitter_for(head)
        first_s, events = 0.0, 0
        while chunk := await connection.read_chunk():
            now_s = loop.time()
            if prompt_tokens:
                self._target.record_prefill(prompt_tokens, now_s - self._sent_s)
                prompt_tokens = None
            if responder.has_started:
                longest_pause_s = max(longest_pause_s, now_s - last_s)
            last_s = now_s
            if splitter is not None:
                chunk = splitter.feed(chunk)
            if chunk:
                first_s, events = first_s or now_s, events + chunk.count(b"\n\n")
                self._count_streaming(now_s)
                if not responder.has_started:
                    last_s = await self._begin_stream(head)
                await responder.send(chunk)
            # Raised after the events before the invalid one have been sent, since the
            # stream is resumed after them.
            if splitter is not None and splitter.problem is not None:
                raise BrokenStreamError(splitter.problem)
        self._check_stream_end(head, splitter)
        if not responder.has_started:
            await responder.start_response(head.status, response_headers(head), None)
        await responder.end()
        if events >= MIN_TIMED_EVENTS:
            self._target.record_time((last_s - first_s) / (events - 1))
        self._log_if_late(longest_pause_s, head_s)
        return DELIVERED

    async def _begin_stream(self, head: ResponseHead) -> float:
        """Start the response to the caller; return when its first events are sent.

        Raises
        ------
        UnrecordedError
            When the caller may not be sent them.
        """
        if not await self._before_events():
            raise UnrecordedError
        began_s = asyncio.get_running_loop().time()
        self._first_event_s = began_s - self._arrival_s
        await self._responder.start_response(head.status, response_headers(head), None)
        return began_s

    def _count_streaming(self, now_s: float) -> None:
        if self._event_s is not None and self._streamed_s <= SOUND_STREAM_S:
            self._streamed_s += min(MAX_COUNTED_PAUSE_S, now_s - self._event_s)
            if self._streamed_s > SOUND_STREAM_S:
                self._on_sound()
        self._event_s = now_s

    def _check_stream_end(
        self, head: ResponseHead, splitter: EventSplitter | None
    ) -> None:
        """Check that a stream which has ended was not cut off.

        Raises
        ------
        BrokenStreamError
            When it ended within an event, or with its connection before the first one.
        """
        if splitter is None:
            return
        if splitter.has_incomplete_event():
            raise BrokenStreamError("the stream ended in the middle of an event")
        # A stream that goes on after its last event has no event, but is whole.
        is_new_stream = splitter.last_id is None and not self._responder.has_started
        if is_new_stream and framing_of(head) == "connection":
            raise BrokenStreamError("the stream ended before its first event")

    def _record_part(self, head: ResponseHead, after_id: int | None) -> None:
        splitter = self._splitter
        if splitter is None:
            return
        self._parts.append(
            StreamPart(
                self._target.name,
                framing_of(head),
                after_id,
                splitter.last_id,
                splitter.incomplete_bytes(),
            )
        )

    def _splitter_for(self, head: ResponseHead) -> EventSplitter | None:
        """Return the splitter, unless the response is not one of events."""
        content_type = (head.value(b"content-type") or b"").lower()
        is_event_stream = content_type.startswith(b"text/event-stream")
        if is_event_stream or self._admitted.route.is_resumable:
            return self._splitter
        return None

    def _log_if_late(self, longest_pause_s: float, head_s: float) -> None:
        route = self._admitted.route
        is_late = self._first_event_s > route.latency_objective_s
        if not is_late and longest_pause_s <= route.gap_objective_s:
            return
        log_change(
            "answer late",
            request=self._admitted.caller.attempt_id,
            server=self._target.name,
            model=self._admitted.caller.model,
            adapter=self._admitted.caller.adapter,
            first_event_s=round(self._first_event_s, 3),
            head_s=round(head_s - self._arrival_s, 3),
            sent_s=round(self._sent_s - self._arrival_s, 3),
            longest_pause_s=round(longest_pause_s, 3),
            load_when_sent=self._load_when_sent,
        )

    def _resume_after(self) -> str | None:
        splitter = self._splitter
        if splitter is None:
            return None
        if splitter.has_incomplete_event():
            log_change(
                "incomplete event left by an earlier attempt",
                request=self._admitted.caller.attempt_id,
                server=self._target.name,
                last_event_id=splitter.last_id,
            )
        splitter.restart()
        return None if splitter.last_id is None else str(splitter.last_id)


async def write_response(responder: Responder, response: CompleteResponse) -> None:
    """Write a server's complete response to the caller."""
    headers = response_headers(response.head)
    await responder.respond(response.head.status, headers, response.body)
