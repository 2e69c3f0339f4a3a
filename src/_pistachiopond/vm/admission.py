"""Checks a caller's request before it goes anywhere."""

import asyncio
from typing import Final, NamedTuple, final

from result import Err, Ok, Result

from _pistachiopond.decisions.route_table import (
    RouteTable,
    choose_service,
    request_cost,
    urgency_rank,
)
from _pistachiopond.decisions.usage import UsageTaker, wait_for_tokens_s
from _pistachiopond.schema.caller_request import CallerRequest
from _pistachiopond.schema.deployment import CustomerSpec, Route
from _pistachiopond.vm.link import LeaderLink
from _pistachiopond.vm.refusals import RETRY_SOON_S, Refusal
from _pistachiopond.vm.state import ConfigurationState
from _pistachiopond.vm.stop import Stopping

# How long a request may wait for tokens that the leader gives on demand; a few round
# trips between VMs.
TOKEN_WAIT_S: Final = 0.12
TOKEN_POLL_S: Final = 0.02
# Another VM can take the request at once.
RETRY_ELSEWHERE_S: Final = 0.02


class Admitted(NamedTuple):
    """A request that may go to a server.

    Attributes
    ----------
    caller : CallerRequest
        The request.
    route : Route
        Its route.
    service : str
        Where it goes.
    customer : CustomerSpec or None
        Whose key came with it; None on open routes.
    cost : float
        What it took from the customer's limit.
    rank : int
        Its urgency.
    end_s : float
        On the event loop's clock, when it must have its answer.
    """

    caller: CallerRequest
    route: Route
    service: str
    customer: CustomerSpec | None
    cost: float
    rank: int
    end_s: float


@final
class Admission:
    """The checks of one VM."""

    def __init__(
        self,
        state: ConfigurationState,
        usage: UsageTaker,
        link: LeaderLink,
        stopping: Stopping,
    ) -> None:
        self._stopping = stopping
        self._state = state
        self._usage = usage
        self._link = link

    async def admit(
        self, caller: CallerRequest, arrival_s: float
    ) -> Result[Admitted, Refusal]:
        """Return the request with its route and customer, or why it is refused.

        Parameters
        ----------
        caller : CallerRequest
            The request.
        arrival_s : float
            On the event loop's clock.
        """
        table = self._state.table
        if table is None:
            return Err(Refusal(503, "no_configuration", RETRY_SOON_S))
        route = table.match(caller.host, caller.path)
        if route is None:
            return Err(self._unknown("unknown_route", 404, table))
        if self._stopping.refuses(route):
            return Err(Refusal(503, "stopping", RETRY_ELSEWHERE_S))
        customer: CustomerSpec | None = None
        if table.deployment.customers and not route.is_open:
            found = self._customer(table, caller)
            if found.is_err():
                return Err(found.err())
            customer = found.ok()
        wait_s = route.timeout_s
        if caller.deadline_s is not None:
            wait_s = min(wait_s, caller.deadline_s)
        admitted = Admitted(
            caller=caller,
            route=route,
            service=choose_service(route, caller.attempt_id),
            customer=customer,
            cost=0.0,
            rank=urgency_rank(route, customer),
            end_s=arrival_s + wait_s,
        )
        if customer is None or customer.rate_per_s <= 0:
            return Ok(admitted)
        return await self._charge(admitted, customer)

    def refund(self, admitted: Admitted) -> None:
        """Give back what a request took that has not run."""
        if admitted.customer is not None:
            self._usage.refund(admitted.customer, admitted.cost)

    def _customer(
        self, table: RouteTable, caller: CallerRequest
    ) -> Result[CustomerSpec, Refusal]:
        if not self._state.may_use_keys():
            facts: dict[str, object] = {"age_s": round(self._state.age_s(), 2)}
            return Err(Refusal(503, "keys_unproved", RETRY_SOON_S, facts))
        customer = None if caller.key is None else table.customer_of(caller.key)
        if customer is None:
            return Err(self._unknown("unknown_key", 401, table))
        return Ok(customer)

    def _unknown(self, code: str, status: int, table: RouteTable) -> Refusal:
        facts: dict[str, object] = {
            "version": table.deployment.version,
            "age_s": round(self._state.age_s(), 2),
        }
        if self._state.is_fresh():
            return Refusal(status, code, None, facts)
        # A newer configuration may know it.
        return Refusal(503, code, RETRY_SOON_S, facts)

    async def _charge(
        self, admitted: Admitted, customer: CustomerSpec
    ) -> Result[Admitted, Refusal]:
        caller = admitted.caller
        tokens = None
        if caller.prompt_tokens is not None and caller.max_output_tokens is not None:
            tokens = caller.prompt_tokens + caller.max_output_tokens
        cost = request_cost(customer, tokens)
        loop = asyncio.get_running_loop()
        charged = admitted._replace(cost=cost)
        self._usage.ask(customer.name, cost, loop.time())
        if self._usage.take(customer, cost, loop.time()):
            return Ok(charged)
        until_s = min(loop.time() + TOKEN_WAIT_S, admitted.end_s)
        self._usage.lack(customer.name, cost, loop.time())
        try:
            while loop.time() < until_s:
                self._link.ask_tokens(customer.name)
                await asyncio.sleep(TOKEN_POLL_S)
                if self._usage.take(customer, cost, loop.time()):
                    return Ok(charged)
        finally:
            self._usage.lack_no_more(customer.name, cost)
        facts: dict[str, object] = {
            "customer": customer.name,
            "cost": cost,
            "rate_per_s": customer.rate_per_s,
            "burst": customer.burst,
            "balance": round(self._usage.balance(customer.name), 1),
            "leader_age_s": round(self._link.answer_age_s(), 2),
        }
        wait_s = wait_for_tokens_s(customer, cost)
        return Err(Refusal(429, "rate_exceeded", wait_s, facts))
