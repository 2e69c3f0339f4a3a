"""Forwards admitted requests to backend servers and their answers to callers."""

import asyncio
from collections.abc import Callable
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.attempt_policy import (
    AttemptState,
    final_step,
    may_try_again,
)
from _pistachiopond.decisions.dispatch_types import FailureKind
from _pistachiopond.decisions.event_stream import EventCutter
from _pistachiopond.decisions.retry_share import RetryShare
from _pistachiopond.http1.messages import Request
from _pistachiopond.http1.server import Responder
from _pistachiopond.observe.logs import log_change
from _pistachiopond.schema.deployment import BackendServer
from _pistachiopond.vm.admission import Admitted
from _pistachiopond.vm.attempt import Attempt, Exchange, Outcome, give_answer
from _pistachiopond.vm.clock import boot_s
from _pistachiopond.vm.fleet import Fleet, RankedServer, WantedModel
from _pistachiopond.vm.pacing import PromptPacing
from _pistachiopond.vm.pools import ServerPools
from _pistachiopond.vm.refusals import RETRY_SOON_S, Refusal, answer_refusal
from _pistachiopond.vm.stop import Stopping
from _pistachiopond.vm.suspects import Suspects, make_fingerprint
from _pistachiopond.vm.wants import Wants

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
    suspects : Suspects
        Requests that may have crashed their servers.
    pacing : PromptPacing
        Spreads prompts over time.
    """

    fleet: Fleet
    pools: ServerPools
    wants: Wants
    retries: RetryShare
    refund: Callable[[Admitted], None]
    stopping: Stopping
    load_s: Callable[[WantedModel], float]
    suspects: Suspects
    pacing: PromptPacing


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
        self._admitted = admitted
        self._responder = responder
        self._tried: set[str] = set()
        self._servers_before = 0
        self._not_run_count = 0
        caller = admitted.caller
        self._wanted = WantedModel(admitted.service, caller.model, caller.adapter)
        is_resumed = admitted.route.kind == "stream" and admitted.route.is_resumable
        self._cutter = EventCutter(_last_event(request)) if is_resumed else None
        self._attempt: Attempt | None = None
        self._arrival_s = asyncio.get_running_loop().time()
        self._exchange = Exchange(
            request, admitted, responder, self._cutter, self._arrival_s
        )

    async def go(self) -> None:
        """Try servers until the request has its answer or no try is left."""
        parts = self._parts
        refused_for_s = self._refused_for_s()
        if refused_for_s > 0.0:
            facts = {"service": self._admitted.service}
            await self._refuse(Refusal(503, "crashes_servers", refused_for_s, facts))
            return
        parts.retries.request(self._admitted.service)
        has_arrived = False
        while True:
            server = await self._find_server()
            if server is None:
                await self._end(Outcome("not_run", "no server can take it"))
                return
            outcome = await self._try(server)
            if outcome.kind is None:
                parts.fleet.ejector.succeeded(server.server_id)
                if not parts.suspects.is_empty():
                    parts.suspects.succeeded(self._fingerprint())
                return
            state = self._note(server, outcome)
            if not may_try_again(self._admitted.route, state):
                await self._end(outcome)
                return
            # The operators' bound is on requests that reach servers again.
            has_arrived = has_arrived or outcome.kind != "connect"
            if has_arrived and not parts.retries.spend(self._admitted.service):
                await self._end(outcome._replace(detail="no retries are left"))
                return

    def _refused_for_s(self) -> float:
        suspects = self._parts.suspects
        if not suspects.has_refused():
            return 0.0
        return suspects.refused_for_s(self._fingerprint())

    def _fingerprint(self) -> str:
        return make_fingerprint(self._exchange.request, self._admitted.caller)

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
        elif self._servers_run():
            await self._refuse(Refusal(504, "time_is_up", None, facts))
        else:
            await self._refuse(Refusal(503, "time_is_up", RETRY_SOON_S, facts))

    def settle(self) -> None:
        """Give tokens back if the request certainly has not run."""
        if not self._servers_run():
            self._parts.refund(self._admitted)

    def _servers_run(self) -> int:
        """Return how many servers may have run the request."""
        is_open = self._attempt is not None and self._attempt.may_have_run
        return self._servers_before + int(is_open)

    async def _find_server(self) -> BackendServer | None:
        fleet = self._parts.fleet
        prompt = self._admitted.caller.prompt
        prompt_id = prompt[0].part_id if prompt else None
        tried = frozenset(self._tried)
        ranked = fleet.rank(self._wanted, tried, prompt_id)
        if not self._wanted.model:
            return ranked[0].server if ranked else None
        if not ranked:
            ranked = await self._wait_for_model(prompt_id)
        if not ranked:
            return None
        admitted = self._admitted
        return await self._parts.pacing.place(
            ranked, admitted.caller, admitted.route, self._arrival_s
        )

    async def _wait_for_model(self, prompt_id: str | None) -> list[RankedServer]:
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
                ranked = fleet.rank(self._wanted, frozenset(), prompt_id)
                if ranked:
                    self._log_wait(loop.time() - began_s)
                    self._tried.clear()
                    return ranked
                try:
                    async with asyncio.timeout_at(until_s):
                        await changed.wait()
                except TimeoutError:
                    if loop.time() < until_s:
                        raise
        return []

    def _log_wait(self, waited_s: float) -> None:
        if waited_s > LONG_WAIT_S:
            log_change(
                "request waited for its model",
                request=self._admitted.caller.attempt_id,
                model=self._wanted.model,
                adapter=self._wanted.adapter,
                seconds=round(waited_s, 3),
            )

    async def _try(self, server: BackendServer) -> Outcome:
        parts = self._parts
        name = server.server_id
        self._tried.add(name)
        self._servers_before = self._servers_run()
        is_last = self._servers_before + 1 >= self._admitted.route.max_servers
        load = parts.fleet.load(name)
        self._attempt = Attempt(
            self._exchange,
            parts.pools,
            server,
            on_read=parts.pacing.was_read,
            load=load,
            is_last=is_last,
        )
        parts.fleet.began(name)
        parts.wants.began(self._wanted, name)
        try:
            return await self._attempt.run()
        finally:
            parts.fleet.ended(name)
            parts.wants.ended(self._wanted, name)

    def _note(self, server: BackendServer, outcome: Outcome) -> AttemptState:
        kind = outcome.kind
        assert kind is not None
        if kind in ("connect", "not_run", "not_here"):
            self._not_run_count += 1
        if kind == "broken" and self._cutter is not None:
            # The caller has whole events only, so another server may go on.
            kind = "unclear"
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
        if outcome.is_cut_off:
            self._parts.suspects.cut_off(self._fingerprint(), server)
        points: FailureKind = _FAILURE_KINDS[outcome.kind or "unclear"]
        if self._parts.fleet.ejector.failed(server.server_id, points, boot_s()):
            log_change("server ejected", server=server.server_id, last=points)
        return AttemptState(kind, self._servers_run(), self._not_run_count, left_s)

    async def _end(self, outcome: Outcome) -> None:
        kind = outcome.kind or "unclear"
        if self._responder.has_begun:
            kind = "broken"
        state = AttemptState(kind, self._servers_run(), self._not_run_count, 0.0)
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
            await give_answer(self._responder, outcome.answer)
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


def _last_event(request: Request) -> int | None:
    values = request.head.values(b"last-event-id")
    return int(values[0]) if values and values[0].isdigit() else None
