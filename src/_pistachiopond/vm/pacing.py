"""Asks the leader where and when to send a prompt."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Final, final

from _pistachiopond.decisions.prompt_pacing import PromptPlace, ReadRate
from _pistachiopond.schema.caller_request import CallerRequest
from _pistachiopond.schema.deployment import BackendServer, Route
from _pistachiopond.schema.peer_messages import PaceAnswer, PaceQuestion
from _pistachiopond.vm.fleet import Fleet, RankedServer

# The leader answers within some milliseconds; without it the prompt goes out at once.
ANSWER_LIMIT_S: Final = 0.04
# Of the time in which a first event is due; a prompt is held back for no longer.
HOLD_SHARE: Final = 0.4
# One that is late already, after a wait for its model, is held back for this long; its
# caller waits for at least 2 s, of which the wait for a model takes 1.2.
LATE_HOLD_S: Final = 0.3


@final
class PromptPacing:
    """One VM's questions to the leader, and what it has learned of servers."""

    def __init__(self, fleet: Fleet, send: Callable[[PaceQuestion], bool]) -> None:
        """Start without knowledge.

        Parameters
        ----------
        fleet : Fleet
            The servers.
        send : callable
            Sends a question to the leader, and returns whether there is one.
        """
        self._fleet = fleet
        self._send = send
        self._rates: dict[tuple[str, int], ReadRate] = {}
        self._service_rates: dict[str, ReadRate] = {}
        self._asked: dict[int, asyncio.Future[PaceAnswer]] = {}
        self._number = 0

    async def place(
        self,
        ranked: Sequence[RankedServer],
        caller: CallerRequest,
        route: Route,
        arrival_s: float,
    ) -> BackendServer:
        """Return the server for a prompt once it may be sent there.

        Parameters
        ----------
        ranked : sequence of RankedServer
            Those that may get it, the preferred first; at least one.
        caller : CallerRequest
            The request.
        route : Route
            Its route.
        arrival_s : float
            On the event loop's clock.
        """
        tokens = caller.prompt_tokens
        loop = asyncio.get_running_loop()
        elapsed_s = loop.time() - arrival_s
        most_s = route.aim_s * HOLD_SHARE - elapsed_s
        if elapsed_s > route.aim_s:
            most_s = LATE_HOLD_S
        if not tokens or route.gap_aim_s <= 0.0 or most_s <= 0.0:
            return ranked[0].server
        places = [
            PromptPlace(
                server_id=server.server_id,
                read_s=round(self._read_s(server, tokens), 4),
                slots=server.slots,
                bias=round(bias, 2),
            )
            for server, bias in ranked
        ]
        self._number += 1
        number = self._number
        question: PaceQuestion = {
            "number": number,
            "places": places,
            "gap_aim_s": route.gap_aim_s,
            "most_s": round(most_s, 3),
        }
        if not self._send(question):
            return ranked[0].server
        answered = loop.create_future()
        self._asked[number] = answered
        try:
            async with asyncio.timeout(ANSWER_LIMIT_S):
                answer = await answered
        except TimeoutError:
            return ranked[0].server
        finally:
            del self._asked[number]
        if answer["wait_s"] > 0.0:
            await asyncio.sleep(answer["wait_s"])
        return ranked[answer["place"]].server

    def answered(self, answer: PaceAnswer) -> None:
        """Take the leader's answer."""
        asked = self._asked.get(answer["number"])
        if asked is not None and not asked.done():
            asked.set_result(answer)

    def was_read(self, server: BackendServer, tokens: int, seconds: float) -> None:
        """Note how long a server took for a prompt."""
        key = server.incarnation()
        rate = self._rates.get(key)
        if rate is None:
            live = {known.incarnation() for known in self._fleet.servers.values()}
            self._rates = {k: r for k, r in self._rates.items() if k in live}
            rate = self._rates[key] = ReadRate()
        rate.took(tokens, seconds)
        self._service_rates.setdefault(server.service, ReadRate()).took(tokens, seconds)

    def _read_s(self, server: BackendServer, tokens: int) -> float:
        rate = self._rates.get(server.incarnation())
        read_s = 0.0 if rate is None else rate.duration_s(tokens)
        if read_s:
            return read_s
        # Until the server is known, it counts as the others of its service do.
        of_service = self._service_rates.get(server.service)
        return 0.0 if of_service is None else of_service.duration_s(tokens)
