"""Admission control: route, API key and rate limit of a caller's request."""

import asyncio
from collections.abc import Callable
from typing import Final, NamedTuple, final

from result import Err, Ok, Result

from _pistachiopond.decisions.route_table import (
    RouteTable,
    choose_service,
    request_cost,
    urgency_rank,
)
from _pistachiopond.decisions.shared_limits import (
    MAX_WAIT_S,
    MIN_WAIT_S,
    CustomerBalances,
    retry_delay_s,
)
from _pistachiopond.http1.messages import RequestHead
from _pistachiopond.platform.requests import decode_request
from _pistachiopond.schema.caller_request import CallerRequest
from _pistachiopond.schema.deployment import CustomerSpec, Route
from _pistachiopond.vm.clock import boot_s
from _pistachiopond.vm.configuration_state import ConfigurationState
from _pistachiopond.vm.leader_client import LeaderClient
from _pistachiopond.vm.refusals import RETRY_SOON_S, Refusal
from _pistachiopond.vm.shutdown import Shutdown

# The longest wait for rate limit tokens requested from the leader: a few round trips
# between VMs. It is counted in polls, so that time for which the process stands still
# and reads no reply does not end it.
MAX_TOKEN_POLLS: Final = 6
TOKEN_POLL_PERIOD_S: Final = 0.02
# Retry-After while this VM stops; another VM can serve the request immediately.
STOPPING_RETRY_AFTER_S: Final = 0.02


class Admitted(NamedTuple):
    """A request that has passed admission and may be sent to a backend server.

    Attributes
    ----------
    caller : CallerRequest
        The decoded request.
    route : Route
        The route that it matches.
    service : str
        The service chosen from the route's traffic split.
    customer : CustomerSpec or None
        The customer whose key the request carries; None on open routes.
    cost : float
        Tokens charged to the customer's rate limit.
    rank : int
        The urgency; 0 is the most urgent.
    end_s : float
        Deadline of the response, on the event loop's clock.
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
    """Admits or refuses the requests that reach this VM."""

    def __init__(
        self,
        state: ConfigurationState,
        usage: CustomerBalances,
        leader_client: LeaderClient,
        shutdown: Shutdown,
    ) -> None:
        self._shutdown = shutdown
        self._state = state
        self._usage = usage
        self._leader_client = leader_client

    async def admit(
        self,
        caller: CallerRequest,
        arrival_s: float,
        digest: Callable[[str], str] = lambda _: "",
    ) -> Result[Admitted, Refusal]:
        """Return the admitted request, or the refusal to answer with.

        Parameters
        ----------
        caller : CallerRequest
            The decoded request.
        arrival_s : float
            When the request's first byte arrived, on the event loop's clock.
        digest : callable
            Returns, for the customer's name, a digest that the request's retries share.
        """
        table = self._state.table
        if table is None:
            return Err(Refusal(503, "no_configuration", RETRY_SOON_S))
        route = table.match(caller.host, caller.path)
        if route is None:
            return Err(self._refuse_unknown("unknown_route", 404, table))
        if self._shutdown.refuses(route):
            return Err(Refusal(503, "stopping", STOPPING_RETRY_AFTER_S))
        customer: CustomerSpec | None = None
        if table.deployment.customers and not route.is_open:
            found = self._authenticate(table, caller)
            if found.is_err():
                return Err(found.err())
            customer = found.ok()
        wait_s = _waiting_time_s(route, caller)
        admitted = Admitted(
            caller=caller,
            route=route,
            service=choose_service(route, caller.stream_id()),
            customer=customer,
            cost=0.0,
            rank=urgency_rank(route, customer),
            end_s=arrival_s + wait_s,
        )
        if customer is None or customer.rate_per_s <= 0:
            return Ok(admitted)
        return await self._charge(admitted, customer, digest)

    def refund(self, admitted: Admitted) -> None:
        """Return the rate limit tokens of a request that no server has run."""
        if admitted.customer is not None:
            self._usage.refund(admitted.customer, admitted.cost)

    def _authenticate(
        self, table: RouteTable, caller: CallerRequest
    ) -> Result[CustomerSpec, Refusal]:
        if not self._state.may_use_keys():
            log_fields: dict[str, object] = {"age_s": round(self._state.age_s(), 2)}
            return Err(Refusal(503, "keys_unproved", RETRY_SOON_S, log_fields))
        customer = None if caller.key is None else table.customer_of(caller.key)
        if customer is None:
            return Err(self._refuse_unknown("unknown_key", 401, table))
        return Ok(customer)

    def _refuse_unknown(self, code: str, status: int, table: RouteTable) -> Refusal:
        log_fields: dict[str, object] = {
            "version": table.deployment.version,
            "age_s": round(self._state.age_s(), 2),
        }
        if self._state.is_fresh():
            return Refusal(status, code, None, log_fields)
        # The configuration may be outdated and a newer one may contain the route or
        # key, so the caller is told to retry.
        return Refusal(503, code, RETRY_SOON_S, log_fields)

    async def _charge(
        self,
        admitted: Admitted,
        customer: CustomerSpec,
        digest: Callable[[str], str],
    ) -> Result[Admitted, Refusal]:
        caller = admitted.caller
        tokens = None
        if caller.prompt_tokens is not None and caller.max_output_tokens is not None:
            tokens = caller.prompt_tokens + caller.max_output_tokens
        cost = request_cost(customer, tokens)
        loop = asyncio.get_running_loop()
        charged = admitted._replace(cost=cost)
        self._usage.record_demand(customer.name, cost, loop.time())
        if self._usage.try_spend(customer, cost, loop.time()):
            return Ok(charged)
        started_s = boot_s()
        if self._leader_client.is_allocation_paused() and self._spend_reserve(
            customer, cost
        ):
            return Ok(charged)
        number = self._usage.begin_wait(
            customer.name,
            digest(customer.name),
            cost,
            started_s + _caller_end_s(admitted) - loop.time(),
            started_s,
        )
        try:
            has_tokens = await self._wait_for_tokens(charged, customer, number)
            return_s = self._usage.return_s(customer.name, number)
        finally:
            self._usage.end_wait(customer.name, number)
        if has_tokens:
            return Ok(charged)
        if (
            self._leader_client.is_allocation_paused()
            or not self._leader_client.has_replied_since(started_s)
        ) and self._spend_reserve(customer, cost):
            return Ok(charged)
        log_fields: dict[str, object] = {
            "customer": customer.name,
            "cost": cost,
            "rate_per_s": customer.rate_per_s,
            "burst": customer.burst,
            "balance": round(self._usage.balance(customer.name), 1),
            "leader_age_s": round(self._leader_client.reply_age_s(), 2),
            "is_paused": self._leader_client.is_allocation_paused(),
            "is_wait_told": return_s is not None,
        }
        wait_s = self._retry_after_s(customer, cost, return_s)
        return Err(Refusal(429, "rate_exceeded", wait_s, log_fields))

    async def _wait_for_tokens(
        self, charged: Admitted, customer: CustomerSpec, number: int
    ) -> bool:
        """Request tokens from the leader; return whether they came in time."""
        usage, name = self._usage, customer.name
        loop = asyncio.get_running_loop()
        for _ in range(MAX_TOKEN_POLLS):
            if loop.time() >= charged.end_s:
                break
            self._leader_client.request_tokens(name)
            await asyncio.sleep(TOKEN_POLL_PERIOD_S)
            if usage.try_spend_waiting(name, number):
                return True
        return False

    def _retry_after_s(
        self, customer: CustomerSpec, cost: float, return_s: float | None
    ) -> float:
        """Return when a refused request should return.

        Parameters
        ----------
        customer : CustomerSpec
            Whose request it is.
        cost : float
            The tokens that it needs.
        return_s : float or None
            When the leader expects its tokens; None if it has not said so.
        """
        now_s = boot_s()
        if return_s is not None:
            return max(MIN_WAIT_S, return_s - now_s)
        refill_s = cost / customer.rate_per_s
        room_s = self._usage.expected_return_s(customer.name) - now_s + refill_s
        local_s = self._leader_client.allocation_wait_s()
        local_s += retry_delay_s(customer, cost)
        return max(local_s, min(room_s, MAX_WAIT_S))

    def _spend_reserve(self, customer: CustomerSpec, cost: float) -> bool:
        members = self._leader_client.reserve_member_count()
        return self._usage.try_spend_reserve(customer, cost, members, boot_s())


def body_limit_s(state: ConfigurationState, head: RequestHead) -> float | None:
    """Return the time for which a request may be kept waiting, before it is complete.

    Returns None for a request that is refused when it is complete: one of no route, or
    with invalid headers.
    """
    decoded = decode_request(head)
    if decoded.is_err() or state.table is None:
        return None
    caller = decoded.ok()
    route = state.table.match(caller.host, caller.path)
    return None if route is None else _waiting_time_s(route, caller)


def _caller_end_s(admitted: Admitted) -> float:
    """Return until when the caller waits, beyond the limit of the route."""
    route, caller = admitted.route, admitted.caller
    patience_s = route.timeout_s if caller.deadline_s is None else caller.deadline_s
    return admitted.end_s - _waiting_time_s(route, caller) + patience_s


def _waiting_time_s(route: Route, caller: CallerRequest) -> float:
    if caller.deadline_s is None:
        return route.timeout_s
    return min(route.timeout_s, caller.deadline_s)
