"""The services that a request must pass before it is dispatched.

In this version the limits are kept by each process for itself, keyed calls are
refused as not run, and suspects are left to the dispatcher's standings.
"""

import itertools
from typing import Any, Final, final

from anyio.abc import TaskStatus
from result import Err, Ok, Result

from _pistachiopond.entry.fleet import Fleet
from _pistachiopond.entry.ports import (
    CallClaim,
    CallOutcome,
    Calls,
    Crashes,
    KeptAnswer,
    Limits,
    Reservation,
)
from _pistachiopond.entry.problems import not_now
from _pistachiopond.entry.process import EntryProcess
from _pistachiopond.kernel.service import Kernel, Service
from _pistachiopond.kernel.timer import Timer
from _pistachiopond.schema.manifest import Customer
from _pistachiopond.schema.verdict import Failure, Verdict

CALLS_RETRY_S: Final = 5.0


def make_guards(process: EntryProcess) -> list[Service]:
    """Return the services ``limits``, ``calls`` and ``crashes``."""
    return [
        _make_limits_service(process.timer),
        _make_service("calls", Calls(_refuse_claim, _finish)),
        _make_service("crashes", Crashes(_admit, lambda fingerprint: None)),
    ]


@final
class _Buckets:
    """A token bucket for each customer, in this process only."""

    def __init__(self, timer: Timer, fleet: Fleet) -> None:
        self._timer = timer
        self._fleet = fleet
        self._levels: dict[str, tuple[float, float]] = {}
        self._ids = itertools.count(1)

    async def reserve(
        self, customer: str, tokens: float
    ) -> Result[Reservation, Failure]:
        """Take tokens, or say when they will be there."""
        found = self._find(customer)
        if found is None:
            return Err(not_now("unknown_customer", "Try again soon.", CALLS_RETRY_S))
        level = self._level(found)
        if level < tokens:
            wait_s = (tokens - level) / found.rate_tokens_per_s
            detail = "The token rate is used up; come back after the time given."
            return Err(Failure(Verdict.NOT_RUN, "rate_exceeded", detail, 429, wait_s))
        self._levels[customer] = (level - tokens, self._timer.now_s())
        return Ok(Reservation(next(self._ids), customer, tokens))

    def settle(self, reservation: Reservation, used_tokens: float) -> None:
        """Give back what was not used."""
        found = self._find(reservation.customer)
        if found is not None:
            level = self._level(found) + reservation.tokens - used_tokens
            now_s = self._timer.now_s()
            self._levels[found.name] = (min(level, found.burst_tokens), now_s)

    def _level(self, customer: Customer) -> float:
        now_s = self._timer.now_s()
        level, since_s = self._levels.get(customer.name, (customer.burst_tokens, now_s))
        added = (now_s - since_s) * customer.rate_tokens_per_s
        return min(customer.burst_tokens, level + added)

    def _find(self, name: str) -> Customer | None:
        revision = self._fleet.state.revision
        if revision is None:
            return None
        listed = (c for c in revision.manifest.customers if c.name == name)
        return next(listed, None)


def _make_limits_service(timer: Timer) -> Service:
    async def run(kernel: Kernel, task_status: TaskStatus[Limits]) -> None:
        buckets = _Buckets(timer, kernel.find("fleet", Fleet))
        task_status.started(Limits(buckets.reserve, buckets.settle))
        await kernel.stop_event("limits").wait()

    return Service("limits", run)


async def _refuse_claim(
    customer: str, route: str, key_digest: str, request_digest: str
) -> Result[CallClaim | KeptAnswer, Failure]:
    detail = "Keyed calls can't be recorded at the moment; it has not run."
    return Err(not_now("calls_unavailable", detail, CALLS_RETRY_S))


async def _finish(claim: CallClaim, outcome: CallOutcome) -> None:
    raise LookupError("no claim was given; see _refuse_claim")


async def _admit(fingerprint: str) -> Result[None, Failure]:
    return Ok(None)


def _make_service(name: str, api: Any) -> Service:
    async def run(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
        task_status.started(api)
        await kernel.stop_event(name).wait()

    return Service(name, run)
