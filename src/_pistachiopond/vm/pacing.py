"""Requests the server and the sending time of a prompt from the leader."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.prompt_pacing import PrefillRate, PromptCandidate
from _pistachiopond.decisions.start_estimate import Patience
from _pistachiopond.schema.caller_request import CallerRequest
from _pistachiopond.schema.deployment import BackendServer, Route
from _pistachiopond.schema.peer_messages import PacingReply, PacingRequest
from _pistachiopond.vm.fleet import Fleet, RankedServer

# The leader replies within some milliseconds; without a reply in this time the
# prompt is sent at once.
REPLY_TIMEOUT_S: Final = 0.04
# The longest time that a prompt is delayed, as a share of the route's objective for
# the first event.
MAX_DELAY_SHARE: Final = 0.4
# The longest delay of a prompt that has already missed the objective while it waited
# for its model. Callers wait for at least 2 s, of which the wait for a model takes up
# to 1.2 s.
LATE_MAX_DELAY_S: Final = 0.3


class NoRoom(NamedTuple):
    """Says that a prompt can't start before its caller leaves, and when to return."""

    return_s: float


@final
class PromptPacing:
    """Sends pacing requests to the leader and estimates servers' prefill rates."""

    def __init__(self, fleet: Fleet, send: Callable[[PacingRequest], bool]) -> None:
        """Start without any estimates.

        Parameters
        ----------
        fleet : Fleet
            The backend servers.
        send : callable
            Sends a request to the leader; returns False if no leader is connected.
        """
        self._fleet = fleet
        self._send = send
        self._rates: dict[tuple[str, int], PrefillRate] = {}
        self._service_rates: dict[str, PrefillRate] = {}
        self._pending: dict[int, asyncio.Future[PacingReply]] = {}
        self._number = 0

    async def choose_server(
        self,
        ranked: Sequence[RankedServer],
        caller: CallerRequest,
        route: Route,
        arrival_s: float,
        patience: Patience | None = None,
    ) -> BackendServer | NoRoom:
        """Wait until a prompt may be sent, and return the server to send it to.

        Parameters
        ----------
        ranked : sequence of RankedServer
            The candidates, best first; at least one.
        caller : CallerRequest
            The request with the prompt.
        route : Route
            The request's route.
        arrival_s : float
            When the request arrived, on the event loop's clock.
        patience : Patience or None
            How long its caller waits; None if it must not be refused.
        """
        tokens = caller.prompt_tokens
        loop = asyncio.get_running_loop()
        elapsed_s = loop.time() - arrival_s
        max_delay_s = route.latency_objective_s * MAX_DELAY_SHARE - elapsed_s
        if elapsed_s > route.latency_objective_s:
            max_delay_s = LATE_MAX_DELAY_S
        if not tokens or route.gap_objective_s <= 0.0 or max_delay_s <= 0.0:
            return ranked[0].server
        candidates = [
            PromptCandidate(
                server_id=server.server_id,
                prefill_s=round(self._prefill_s(server, tokens), 4),
                slots=server.slots,
                bias=round(bias, 2),
            )
            for server, bias in ranked
        ]
        self._number += 1
        number = self._number
        request: PacingRequest = {
            "number": number,
            "places": candidates,
            "gap_aim_s": route.gap_objective_s,
            "most_s": round(max_delay_s, 3),
        }
        if patience is not None:
            request["patience"] = tuple(patience)
        if not self._send(request):
            return ranked[0].server
        reply_received = loop.create_future()
        self._pending[number] = reply_received
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                reply = await reply_received
        except TimeoutError:
            return ranked[0].server
        finally:
            del self._pending[number]
        if patience is not None and "return_s" in reply:
            return NoRoom(reply["return_s"])
        if reply["wait_s"] > 0.0:
            await asyncio.sleep(reply["wait_s"])
        return ranked[reply["place"]].server

    def take_reply(self, reply: PacingReply) -> None:
        """Pass the leader's reply to the prompt that waits for it."""
        pending = self._pending.get(reply["number"])
        if pending is not None and not pending.done():
            pending.set_result(reply)

    def record_prefill(
        self, server: BackendServer, tokens: int, seconds: float
    ) -> None:
        """Record how long a server took to prefill a prompt."""
        key = server.incarnation()
        rate = self._rates.get(key)
        if rate is None:
            live = {known.incarnation() for known in self._fleet.servers.values()}
            self._rates = {k: r for k, r in self._rates.items() if k in live}
            rate = self._rates[key] = PrefillRate()
        rate.add_sample(tokens, seconds)
        self._service_rates.setdefault(server.service, PrefillRate()).add_sample(
            tokens, seconds
        )

    def _prefill_s(self, server: BackendServer, tokens: int) -> float:
        rate = self._rates.get(server.incarnation())
        prefill_s = 0.0 if rate is None else rate.duration_s(tokens)
        if prefill_s:
            return prefill_s
        # Until there is an estimate for this server, use that of its service.
        of_service = self._service_rates.get(server.service)
        return 0.0 if of_service is None else of_service.duration_s(tokens)
