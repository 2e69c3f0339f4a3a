"""Forwards the requests that other VMs pass on to this one."""

import asyncio
from typing import final

from prometheus_client import Counter
from result import Err, Ok, Result

from _pistachiopond.http1.messages import Request
from _pistachiopond.http1.server import Responder
from _pistachiopond.platform.requests import decode_request
from _pistachiopond.schema.caller_request import CallerRequest, ResumedStream
from _pistachiopond.schema.relayed_request import RelayedRequest
from _pistachiopond.vm.admission import Admitted
from _pistachiopond.vm.configuration_state import ConfigurationState
from _pistachiopond.vm.forward import RelayOrigin, forward
from _pistachiopond.vm.forward_dependencies import ForwardDependencies
from _pistachiopond.vm.refusals import RETRY_SOON_S, Refusal, send_refusal
from _pistachiopond.vm.relay_messages import decode_relay


@final
class RelayHandler:
    """Handles requests whose route, customer and deadline another VM has decided."""

    def __init__(
        self, state: ConfigurationState, deps: ForwardDependencies, received: Counter
    ) -> None:
        self._state = state
        self._deps = deps
        self._received = received

    async def handle(self, request: Request, responder: Responder) -> None:
        """Forward one request, without passing it on again."""
        arrival_s = asyncio.get_running_loop().time() - responder.waited_s
        self._received.inc()
        caller = decode_request(request.head)
        decoded = decode_relay(request)
        if caller.is_err() or decoded.is_err():
            reason = caller.err() if caller.is_err() else decoded.err()
            refusal = Refusal(400, "bad_relayed_request", None, {"reason": reason})
            attempt_id = "" if caller.is_err() else caller.ok().attempt_id
            await send_refusal(responder, attempt_id, refusal)
            return
        plain, relayed = decoded.ok()
        resumed = caller.ok().resumed
        if resumed is not None and relayed.first_attempt_id is not None:
            # The first VM goes on with a stream that the caller has not taken up again.
            resumed = ResumedStream(relayed.first_attempt_id, "", resumed.last_event_id)
        caller_request = caller.ok()._replace(resumed=resumed)
        admitted = self._admit(caller_request, relayed, arrival_s)
        if admitted.is_err():
            await send_refusal(responder, caller.ok().attempt_id, admitted.err())
            return
        origin = RelayOrigin(relayed.fingerprint, relayed.is_trial)
        await forward(self._deps, plain, admitted.ok(), responder, origin)

    def _admit(
        self, caller: CallerRequest, relayed: RelayedRequest, arrival_s: float
    ) -> Result[Admitted, Refusal]:
        table = self._state.table
        route = None if table is None else table.match(caller.host, caller.path)
        if table is None or route is None or route.name != relayed.route:
            # The two VMs have different versions of the configuration.
            fields = {"route": relayed.route}
            return Err(Refusal(503, "unknown_route", RETRY_SOON_S, fields))
        if self._deps.shutdown.refuses(route):
            return Err(Refusal(503, "stopping", RETRY_SOON_S))
        if self._deps.reach.is_unreachable(relayed.service):
            fields = {"service": relayed.service}
            return Err(Refusal(503, "unreachable", RETRY_SOON_S, fields))
        customer = None
        if relayed.customer is not None:
            customer = table.deployment.customers.get(relayed.customer)
            if customer is None:
                fields = {"customer": relayed.customer}
                return Err(Refusal(503, "unknown_customer", RETRY_SOON_S, fields))
        return Ok(
            Admitted(
                caller=caller,
                route=route._replace(max_servers=relayed.max_servers),
                service=relayed.service,
                customer=customer,
                cost=0.0,
                rank=relayed.rank,
                end_s=arrival_s + relayed.left_s,
            )
        )
