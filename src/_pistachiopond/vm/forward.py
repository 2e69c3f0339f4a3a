"""Forwards admitted requests to backend servers and their answers to callers."""

import asyncio
from collections.abc import Callable
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.attempt_policy import (
    AttemptKind,
    AttemptState,
    final_step,
    is_repeatable,
    may_try_again,
)
from _pistachiopond.decisions.dispatch_types import FailureKind
from _pistachiopond.decisions.event_stream import BrokenStreamError, EventCutter
from _pistachiopond.decisions.retry_share import RetryShare
from _pistachiopond.http1.client import ClientConnection, ExchangeError
from _pistachiopond.http1.messages import Request, ResponseHead, encode_request
from _pistachiopond.http1.server import Responder
from _pistachiopond.observe.logs import log_change
from _pistachiopond.platform.requests import (
    answer_headers,
    classify_answer,
    encode_forwarded,
    is_answer_to,
)
from _pistachiopond.schema.caller_request import ForwardTerms
from _pistachiopond.schema.deployment import BackendServer
from _pistachiopond.vm.admission import Admitted
from _pistachiopond.vm.clock import boot_s
from _pistachiopond.vm.fleet import Fleet, WantedModel
from _pistachiopond.vm.pools import ServerPools
from _pistachiopond.vm.refusals import RETRY_SOON_S, Refusal, answer_refusal
from _pistachiopond.vm.stop import Stopping
from _pistachiopond.vm.wants import Wants

# Answers up to this size are taken whole before the caller gets a byte, so that one
# that breaks off can be tried again or told apart.
WHOLE_ANSWER_BYTES: Final = 512 * 1024
# A server that is silent on a request that may run twice is given up for another
# after this many times the route's aim.
SILENCE_AIMS: Final = 2.0
MIN_SILENCE_S: Final = 0.25
# A request whose model nobody holds waits for it up to this part of its time, and no
# longer than its caller waits for a first event; then the caller is told to come back.
MODEL_WAIT_SHARE: Final = 0.6
CALLER_PATIENCE_S: Final = 2.0
CALLER_PATIENCE_AIMS: Final = 4.0
PATIENCE_SHARE: Final = 0.6
# Callers do not come back later than a third of the time they have left.
MAX_RETURN_S: Final = 3.0
# An order for a model that is loaded or unloaded takes some hundred milliseconds.
ORDER_PAUSE_S: Final = 0.12
# Waits that are longer have a log line.
LONG_WAIT_S: Final = 0.25


class WholeAnswer(NamedTuple):
    """An answer that has been received to its end."""

    head: ResponseHead
    body: bytes


class Outcome(NamedTuple):
    """How an attempt ended.

    Attributes
    ----------
    kind : str or None
        None when the caller has the whole answer.
    detail : str
        For the log.
    answer : WholeAnswer or None
        The server's, where it is a failure.
    """

    kind: AttemptKind | None
    detail: str = ""
    answer: WholeAnswer | None = None


DELIVERED: Final = Outcome(None)


class ForwardParts(NamedTuple):
    """What all requests share.

    Attributes
    ----------
    fleet : Fleet
        The servers.
    pools : ServerPools
        Connections to them.
    wants : Wants
        Requests that wait for a model.
    retries : RetryShare
        This VM's part of the retry budget.
    refund : callable
        Gives back the tokens of a request that has not run.
    stopping : Stopping
        Ends requests when the process stops.
    load_s : callable
        Returns how long the load of a model takes.
    """

    fleet: Fleet
    pools: ServerPools
    wants: Wants
    retries: RetryShare
    refund: Callable[[Admitted], None]
    stopping: Stopping
    load_s: Callable[[WantedModel], float]


async def forward(
    parts: ForwardParts, request: Request, admitted: Admitted, responder: Responder
) -> None:
    """Bring a request to a server and its answer to the caller, by its end."""
    run = _Run(parts, request, admitted, responder)
    try:
        async with asyncio.timeout_at(admitted.end_s) as limit:
            parts.stopping.running.add(limit)
            try:
                await run.go()
            finally:
                parts.stopping.running.discard(limit)
    except TimeoutError:
        await run.time_is_up()
    finally:
        run.settle()


@final
class _Run:
    """One request on its way."""

    def __init__(
        self,
        parts: ForwardParts,
        request: Request,
        admitted: Admitted,
        responder: Responder,
    ) -> None:
        self._parts = parts
        self._request = request
        self._admitted = admitted
        self._responder = responder
        self._tried: set[str] = set()
        self._servers_run = 0
        self._not_run_count = 0
        caller = admitted.caller
        self._wanted = WantedModel(admitted.service, caller.model, caller.adapter)
        is_resumed = admitted.route.kind == "stream" and admitted.route.is_resumable
        self._cutter = EventCutter(_last_event(request)) if is_resumed else None
        self._is_settled = False
        self._arrival_s = asyncio.get_running_loop().time()
        self._first_event_s = 0.0
        self._sent_s = 0.0
        self._server = ""
        self._load_when_sent = 0

    async def go(self) -> None:
        """Try servers until the request has its answer or no try is left."""
        parts = self._parts
        parts.retries.request(self._admitted.service)
        while True:
            server = await self._find_server()
            if server is None:
                await self._end(Outcome("not_run", "no server can take it"))
                return
            outcome = await self._attempt(server)
            if outcome.kind is None:
                parts.fleet.ejector.succeeded(server.server_id)
                return
            state = self._note(server, outcome)
            if not may_try_again(self._admitted.route, state):
                await self._end(outcome)
                return
            if not parts.retries.spend(self._admitted.service):
                await self._end(outcome._replace(detail="no retries are left"))
                return

    async def time_is_up(self) -> None:
        """Answer a request whose time has passed."""
        facts = {"server_tries": len(self._tried), "service": self._admitted.service}
        if self._responder.has_begun:
            log_change(
                "answer broken off",
                request=self._admitted.caller.attempt_id,
                reason="time is up",
                **facts,
            )
            self._responder.abort()
        elif self._servers_run:
            await self._refuse(Refusal(504, "time_is_up", None, facts))
        else:
            await self._refuse(Refusal(503, "time_is_up", RETRY_SOON_S, facts))

    def settle(self) -> None:
        """Give tokens back if the request certainly has not run."""
        if not self._is_settled and not self._servers_run:
            self._parts.refund(self._admitted)
        self._is_settled = True

    async def _find_server(self) -> BackendServer | None:
        fleet = self._parts.fleet
        prompt = self._admitted.caller.prompt
        prompt_id = prompt[0].part_id if prompt else None
        tried = frozenset(self._tried)
        server = fleet.choose(self._wanted, tried, prompt_id)
        if server is not None or not self._wanted.model:
            return server
        return await self._wait_for_model(prompt_id)

    async def _wait_for_model(self, prompt_id: str | None) -> BackendServer | None:
        loop = asyncio.get_running_loop()
        left_s = self._admitted.end_s - loop.time()
        aim_s = self._admitted.route.aim_s
        patience_s = max(CALLER_PATIENCE_S, CALLER_PATIENCE_AIMS * aim_s)
        until_s = loop.time() + min(
            MODEL_WAIT_SHARE * left_s, PATIENCE_SHARE * patience_s
        )
        fleet = self._parts.fleet
        began_s = loop.time()
        if self._not_run_count:
            # Its only servers are busy with an order for the model.
            await asyncio.sleep(min(ORDER_PAUSE_S, until_s - began_s))
        with self._parts.wants.waiting(self._wanted):
            while loop.time() < until_s:
                changed = fleet.changed
                server = fleet.choose(self._wanted, frozenset(), prompt_id)
                if server is not None:
                    self._log_wait(loop.time() - began_s)
                    self._tried.clear()
                    return server
                try:
                    async with asyncio.timeout_at(until_s):
                        await changed.wait()
                except TimeoutError:
                    if loop.time() < until_s:
                        raise
        return None

    def _log_wait(self, waited_s: float) -> None:
        if waited_s > LONG_WAIT_S:
            log_change(
                "request waited for its model",
                request=self._admitted.caller.attempt_id,
                model=self._wanted.model,
                adapter=self._wanted.adapter,
                seconds=round(waited_s, 3),
            )

    async def _attempt(self, server: BackendServer) -> Outcome:
        parts = self._parts
        self._tried.add(server.server_id)
        parts.fleet.began(server.server_id)
        parts.wants.began(self._wanted, server.server_id)
        try:
            return await self._exchange(server)
        finally:
            parts.fleet.ended(server.server_id)
            parts.wants.ended(self._wanted, server.server_id)

    async def _exchange(self, server: BackendServer) -> Outcome:
        pool = self._parts.pools.of(server)
        max_idle_s = self._parts.pools.max_idle_s(self._admitted.route)
        try:
            connection = await pool.acquire(max_idle_s)
        except ExchangeError as error:
            return Outcome("connect", str(error))
        try:
            return await self._talk(server, connection)
        except ExchangeError as error:
            if error.kind == "connect":
                return Outcome("connect", str(error))
            kind: AttemptKind = "broken" if self._responder.has_begun else "unclear"
            return Outcome(kind, str(error))
        except BrokenStreamError as error:
            connection.close()
            kind = "broken" if self._responder.has_begun else "unclear"
            return Outcome(kind, str(error))
        finally:
            # An exchange that has not ended whole closes its connection here, which
            # makes the server drop the request.
            pool.release(connection)

    async def _talk(
        self, server: BackendServer, connection: ClientConnection
    ) -> Outcome:
        admitted = self._admitted
        loop = asyncio.get_running_loop()
        terms = ForwardTerms(
            server_id=server.server_id,
            customer=admitted.customer.name if admitted.customer else None,
            deadline_s=admitted.end_s - loop.time(),
            urgency_rank=admitted.rank,
            resume_after=self._resume_after(),
        )
        self._sent_s = loop.time()
        self._server = server.server_id
        self._load_when_sent = self._parts.fleet.load(server.server_id)
        encoded = encode_forwarded(self._request, terms)
        attempt_id = admitted.caller.attempt_id
        connection.send(
            encode_request(encoded.head, encoded.body),
            encoded.head.method,
            lambda head: is_answer_to(attempt_id, head),
        )
        self._servers_run += 1
        head = await self._read_head(connection)
        if head is None:
            return Outcome("unclear", "the server is silent")
        answer_kind = classify_answer(head)
        if answer_kind in ("not_run", "not_here"):
            self._servers_run -= 1
            await _read_whole(connection)
            is_here = answer_kind == "not_run"
            return Outcome("not_run" if is_here else "not_here", f"{head.status}")
        is_continued = answer_kind == "failure" and self._responder.has_begun
        if answer_kind == "unclear" or is_continued:
            # Nor can a failure follow the events that the caller has.
            await _read_whole(connection)
            return Outcome("unclear", f"the server answered {head.status}")
        if answer_kind == "success" and admitted.route.kind == "stream":
            return await self._pass_stream(head, connection)
        return await self._pass_whole(head, connection)

    async def _read_head(self, connection: ClientConnection) -> ResponseHead | None:
        route = self._admitted.route
        is_last = self._servers_run >= route.max_servers
        if route.kind != "safe" or is_last:
            return await connection.read_head()
        try:
            async with asyncio.timeout(max(MIN_SILENCE_S, SILENCE_AIMS * route.aim_s)):
                return await connection.read_head()
        except TimeoutError:
            return None

    async def _pass_whole(
        self, head: ResponseHead, connection: ClientConnection
    ) -> Outcome:
        chunks: list[bytes] = []
        size = 0
        while chunk := await connection.read_chunk():
            chunks.append(chunk)
            size += len(chunk)
            if size > WHOLE_ANSWER_BYTES and not self._responder.has_begun:
                length = head.value(b"content-length")
                await self._responder.begin(
                    head.status, answer_headers(head), int(length) if length else None
                )
            if self._responder.has_begun:
                await self._responder.send(b"".join(chunks))
                chunks.clear()
        if self._responder.has_begun:
            await self._responder.end()
            return DELIVERED
        answer = WholeAnswer(head, b"".join(chunks))
        if not 200 <= head.status < 300:
            return Outcome("failure", f"the server answered {head.status}", answer)
        await self._give(answer)
        return DELIVERED

    async def _pass_stream(
        self, head: ResponseHead, connection: ClientConnection
    ) -> Outcome:
        responder = self._responder
        loop = asyncio.get_running_loop()
        sent_s = last_s = loop.time()
        longest_s = 0.0
        while chunk := await connection.read_chunk():
            now_s = loop.time()
            if responder.has_begun:
                longest_s = max(longest_s, now_s - last_s)
            last_s = now_s
            if self._cutter is not None:
                chunk = self._cutter.feed(chunk)
                if not chunk:
                    continue
            if not responder.has_begun:
                self._first_event_s = now_s - self._arrival_s
                await responder.begin(head.status, answer_headers(head), None)
            await responder.send(chunk)
        if self._cutter is not None and self._cutter.has_rest():
            raise BrokenStreamError("the stream ended within an event")
        if not responder.has_begun:
            await responder.begin(head.status, answer_headers(head), None)
        await responder.end()
        self._log_if_late(longest_s, sent_s)
        return DELIVERED

    def _log_if_late(self, longest_pause_s: float, head_s: float) -> None:
        route = self._admitted.route
        is_late = self._first_event_s > route.aim_s
        if not is_late and longest_pause_s <= route.gap_aim_s:
            return
        log_change(
            "answer late",
            request=self._admitted.caller.attempt_id,
            server=self._server,
            model=self._wanted.model,
            adapter=self._wanted.adapter,
            first_event_s=round(self._first_event_s, 3),
            head_s=round(head_s - self._arrival_s, 3),
            sent_s=round(self._sent_s - self._arrival_s, 3),
            longest_pause_s=round(longest_pause_s, 3),
            load_when_sent=self._load_when_sent,
        )

    def _resume_after(self) -> str | None:
        if self._cutter is None or self._cutter.last_id is None:
            return None
        self._cutter.restart()
        return str(self._cutter.last_id)

    def _note(self, server: BackendServer, outcome: Outcome) -> AttemptState:
        kind = outcome.kind
        assert kind is not None
        if kind in ("connect", "not_run", "not_here"):
            self._not_run_count += 1
        if is_repeatable(self._admitted.route) and kind == "broken":
            # The caller has whole events only, so another server may go on.
            kind = "unclear" if self._cutter is not None else "broken"
        loop = asyncio.get_running_loop()
        left_s = self._admitted.end_s - loop.time()
        log_change(
            "attempt failed",
            request=self._admitted.caller.attempt_id,
            server=server.server_id,
            kind=outcome.kind,
            detail=outcome.detail,
            load=self._parts.fleet.load(server.server_id),
            left_s=round(left_s, 3),
        )
        points: FailureKind = _FAILURE_KINDS[outcome.kind or "unclear"]
        if self._parts.fleet.ejector.failed(server.server_id, points, boot_s()):
            log_change("server ejected", server=server.server_id, last=points)
        return AttemptState(kind, self._servers_run, self._not_run_count, left_s)

    async def _end(self, outcome: Outcome) -> None:
        kind = outcome.kind or "unclear"
        if self._responder.has_begun:
            kind = "broken"
        state = AttemptState(kind, self._servers_run, self._not_run_count, 0.0)
        step = final_step(state)
        facts: dict[str, object] = {
            "reason": outcome.detail,
            "service": self._admitted.service,
            "model": self._wanted.model,
            "adapter": self._wanted.adapter,
        }
        if step == "break_off":
            log_change(
                "answer broken off",
                request=self._admitted.caller.attempt_id,
                **facts,
            )
            self._responder.abort()
        elif step == "give_answer" and outcome.answer is not None:
            await self._give(outcome.answer)
        elif step == "refuse":
            await self._refuse(Refusal(503, kind, self._return_s(), facts))
        else:
            await self._refuse(Refusal(502, kind, None, facts))

    def _return_s(self) -> float:
        """Return when a server is likely to have the model that was waited for."""
        if not self._wanted.model or self._parts.fleet.has_holder(self._wanted):
            return RETRY_SOON_S
        loop = asyncio.get_running_loop()
        waited_s = loop.time() - self._arrival_s
        load_s = self._parts.load_s(self._wanted)
        return min(MAX_RETURN_S, max(RETRY_SOON_S, load_s + RETRY_SOON_S - waited_s))

    async def _give(self, answer: WholeAnswer) -> None:
        await self._responder.answer(
            answer.head.status, answer_headers(answer.head), answer.body
        )

    async def _refuse(self, refusal: Refusal) -> None:
        attempt_id = self._admitted.caller.attempt_id
        await answer_refusal(self._responder, attempt_id, refusal)


_FAILURE_KINDS: Final[dict[str, FailureKind]] = {
    "connect": "connect",
    "not_run": "refused",
    "not_here": "refused",
    "failure": "server_error",
    "unclear": "reset",
    "broken": "reset",
}


async def _read_whole(connection: ClientConnection) -> None:
    while await connection.read_chunk():
        pass


def _last_event(request: Request) -> int | None:
    values = request.head.values(b"last-event-id")
    return int(values[0]) if values and values[0].isdigit() else None
