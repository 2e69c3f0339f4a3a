"""The service ``limits`` of an entry daemon: reserves tokens for requests.

Tokens come from pools held by control daemons. A draw requests grants from a pool;
requests are served from the grants that this daemon holds.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Final, final

import anyio
from anyio.abc import TaskGroup, TaskStatus
from prometheus_client import Counter
from result import Err, Ok, Result

from _pistachiopond.decisions.grants import GrantClient, PlannedDraw, Shortage
from _pistachiopond.decisions.limits import largest_request_tokens
from _pistachiopond.entry.service_interfaces import LimitsApi, Reservation
from _pistachiopond.kernel.service import Kernel, Service
from _pistachiopond.kernel.timer import Timer, every
from _pistachiopond.schema.limits import LimitsView
from _pistachiopond.schema.verdict import Failure, Verdict
from _pistachiopond.transport.draws import draw_to_message, reply_from_message
from _pistachiopond.transport.generated import pond_pb2

SHORTAGE_WAIT_S: Final = 0.25
NO_REPLY_WAIT_S: Final = 2.0
# A pool's report of a shortage still counts for a request that arrives this much later.
SHORTAGE_VALID_S: Final = 0.5
TICK_PERIOD_S: Final = 0.05
UNREACHABLE_RETRY_S: Final = 1.0
RETURN_TIMEOUT_S: Final = 1.0

SendDraw = Callable[
    [str, pond_pb2.DrawRequest], Awaitable[Result[pond_pb2.DrawReply, str]]
]
BurstOf = Callable[[str], float | None]

REFUSALS: Final = Counter(
    "pond_entry_limit_refusals", "Requests refused by limits.", ["code"]
)
SENT_DRAWS: Final = Counter(
    "pond_entry_draws", "Draws of tokens by how they ended.", ["outcome"]
)


@final
class _TokenReserver:
    """Reserves tokens from this process's grants; requests may wait for draws."""

    def __init__(
        self,
        timer: Timer,
        grant_client: GrantClient,
        send: SendDraw,
        view: Callable[[], LimitsView],
        burst_of: BurstOf,
    ) -> None:
        self._timer = timer
        self._grant_client = grant_client
        self._send = send
        self._view = view
        self._applied_view: LimitsView | None = None
        self._burst_of = burst_of
        self._waiting: dict[str, float] = {}
        self._changed = anyio.Event()
        self._group: TaskGroup | None = None

    def start(self, group: TaskGroup) -> None:
        """Run draws as tasks of this group from now on."""
        self._group = group

    async def reserve(
        self, customer: str, tokens: float
    ) -> Result[Reservation, Failure]:
        """Reserve tokens; waits for draws to complete before refusing."""
        burst_tokens = self._burst_of(customer)
        if burst_tokens is None or tokens > largest_request_tokens(burst_tokens):
            return Err(_count_refusal(_too_large_failure(tokens, burst_tokens or 0.0)))
        started_s = self._timer.now_s()
        result = self._grant_client.reserve(customer, tokens, started_s)
        if isinstance(result, Shortage):
            result = await self._wait_for_tokens(customer, tokens, started_s)
        if isinstance(result, Shortage):
            is_short = result.oldest_short_reply_s >= started_s - SHORTAGE_VALID_S
            return Err(_count_refusal(_refusal_failure(result, is_short=is_short)))
        return Ok(Reservation(result, customer, tokens))

    def settle(self, reservation: Reservation, used_tokens: float) -> None:
        """Record what a request used and release the rest of its reservation."""
        now_s = self._timer.now_s()
        self._grant_client.settle(reservation.reservation_id, used_tokens, now_s)

    def record_usage(self, reservation: Reservation, used_tokens: float) -> None:
        """Record what a running request has used so far."""
        self._grant_client.note_used(reservation.reservation_id, used_tokens)

    async def on_tick(self, now_s: float) -> None:
        """Send the draws that are due, and let waiting requests check again."""
        self._start_due_draws()
        self._wake_waiting()

    async def give_back(self) -> None:
        """Return unspent tokens to their pools, within `RETURN_TIMEOUT_S`."""
        self._grant_client.return_unspent()
        with anyio.move_on_after(RETURN_TIMEOUT_S):
            for planned in self._grant_client.plan_draws(self._timer.now_s()):
                await self._draw(planned)

    async def _wait_for_tokens(
        self, customer: str, tokens: float, started_s: float
    ) -> int | Shortage:
        """Wait until draws have brought enough tokens; return the shortage on timeout.

        The wait is short (`SHORTAGE_WAIT_S`) if all pools reported a shortage. While
        a pool has not replied, the customer may still be within its rate, so the
        request waits for up to `NO_REPLY_WAIT_S`.
        """
        self._add_waiting(customer, tokens)
        try:
            while True:
                result = self._grant_client.reserve(
                    customer, tokens, self._timer.now_s()
                )
                if not isinstance(result, Shortage):
                    return result
                is_short = result.oldest_short_reply_s >= started_s - SHORTAGE_VALID_S
                limit_s = SHORTAGE_WAIT_S if is_short else NO_REPLY_WAIT_S
                if self._timer.now_s() >= started_s + limit_s:
                    return result
                self._start_due_draws()
                await self._changed.wait()
        finally:
            self._add_waiting(customer, -tokens)

    def _add_waiting(self, customer: str, tokens: float) -> None:
        waiting = self._waiting.get(customer, 0.0) + tokens
        self._waiting[customer] = waiting
        self._grant_client.set_waiting(customer, waiting)

    def _start_due_draws(self) -> None:
        view = self._view()
        if view is not self._applied_view:
            self._applied_view = view
            self._grant_client.set_sources(view)
        if self._group is None:
            return
        for planned in self._grant_client.plan_draws(self._timer.now_s()):
            self._group.start_soon(self._draw, planned)

    async def _draw(self, planned: PlannedDraw) -> None:
        message = draw_to_message(planned.pool, planned.draw)
        reply = await self._send(planned.address, message)
        now_s = self._timer.now_s()
        if isinstance(reply, Ok) and not reply.ok_value.not_owner:
            draw_reply = reply_from_message(reply.ok_value)
            self._grant_client.on_reply(planned, draw_reply, now_s)
            SENT_DRAWS.labels("answered").inc()
        else:
            self._grant_client.on_failure(planned, now_s)
            SENT_DRAWS.labels("failed").inc()
        self._wake_waiting()

    def _wake_waiting(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


def make_limits_service(
    timer: Timer,
    entry_id: str,
    view: Callable[[], LimitsView],
    send: SendDraw,
    burst_of: BurstOf,
) -> Service:
    """Return the service ``limits`` of an entry daemon.

    Parameters
    ----------
    timer : Timer
        The timer service.
    entry_id : str
        Unique for each start of the process.
    view : callable
        Returns the latest view of pools; the same object until it changes.
    send : callable
        ``send(address, request)`` calls a control daemon, with a timeout of about
        `decisions.grants.DRAW_TIMEOUT_S`; returns an error text if there is no
        reply.
    burst_of : callable
        Returns a customer's burst in tokens, as currently configured, or None.
    """

    async def run(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
        reserver = _TokenReserver(timer, GrantClient(entry_id), send, view, burst_of)
        async with anyio.create_task_group() as group:
            reserver.start(group)
            group.start_soon(every, timer, TICK_PERIOD_S, reserver.on_tick)
            task_status.started(
                LimitsApi(reserver.reserve, reserver.settle, reserver.record_usage)
            )
            await kernel.stop_event("limits").wait()
            await reserver.give_back()
            group.cancel_scope.cancel()

    return Service("limits", run)


def _count_refusal(failure: Failure) -> Failure:
    REFUSALS.labels(failure.code).inc()
    return failure


def _too_large_failure(tokens: float, burst_tokens: float) -> Failure:
    max_tokens = int(largest_request_tokens(burst_tokens))
    return Failure(
        Verdict.NOT_RUN,
        "request_too_large",
        f"The request may use {tokens:.0f} tokens and your limit for one request is "
        f"{max_tokens}; lower max_tokens or shorten the prompt.",
        429,
    )


def _refusal_failure(shortage: Shortage, *, is_short: bool) -> Failure:
    if not is_short:
        return Failure(
            Verdict.NOT_RUN,
            "limits_unreachable",
            "Your token limits cannot be checked at the moment; send it again.",
            503,
            UNREACHABLE_RETRY_S,
        )
    return Failure(
        Verdict.NOT_RUN,
        "rate_exceeded",
        "Your token rate is used up for now; send it again after the time given.",
        429,
        shortage.retry_after_s,
    )
