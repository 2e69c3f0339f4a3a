"""The second attempts of one VM: their share, delays and metrics."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import final

from prometheus_client import Counter

from _pistachiopond.decisions.hedging import (
    HeadEstimate,
    HeadTimes,
    HedgeShares,
    RequestClass,
    WithheldReason,
    length_class,
)
from _pistachiopond.observe.containment import record_unexpected
from _pistachiopond.observe.metrics import Metrics
from _pistachiopond.schema.caller_request import ResponseKind
from _pistachiopond.schema.deployment import BackendServer
from _pistachiopond.vm.admission import Admitted
from _pistachiopond.vm.attempt import LOST, Outcome
from _pistachiopond.vm.clock import boot_s
from _pistachiopond.vm.configuration_state import ConfigurationState


@final
class Hedging:
    """Which requests may get a second attempt, and when."""

    def __init__(
        self, state: ConfigurationState, default_share: float, metrics: Metrics
    ) -> None:
        self._state = state
        self._default_share = default_share
        self._times = HeadTimes()
        self.shares = HedgeShares()
        self._hedges: Counter = metrics.counter(
            "pond_hedges",
            "Second attempts by the reason for them and their outcome.",
            ("reason", "outcome"),
        )
        self._withheld: Counter = metrics.counter(
            "pond_hedges_withheld",
            "Requests that waited long and got no second attempt.",
            ("reason",),
        )
        self._saved_s: Counter = metrics.counter(
            "pond_hedge_saved_s",
            "Estimated seconds that second attempts which won have saved.",
        )

    def share(self, service: str) -> float:
        """Return the share of the service's requests that may be hedged."""
        deployment = self._state.deployment()
        spec = None if deployment is None else deployment.services.get(service)
        if spec is None or spec.hedge_share is None:
            return self._default_share
        return spec.hedge_share

    def record_request(self, service: str) -> None:
        """Count a request of a caller."""
        share = self.share(service)
        if share > 0.0:
            self.shares.record_request(service, share)

    def record_head(self, admitted: Admitted, seconds: float) -> None:
        """Record the time to a response head, or to the end of an attempt without."""
        if admitted.route.kind == "safe" and self.share(admitted.service) > 0.0:
            self._times.record(_class_of(admitted), seconds, boot_s())

    def estimate(self, admitted: Admitted) -> HeadEstimate | None:
        """Return the delay of a second attempt; None if the request gets none."""
        route = admitted.route
        if route.kind != "safe" or route.max_servers < 2:
            return None
        if self.share(admitted.service) <= 0.0:
            return None
        return self._times.estimate(_class_of(admitted), boot_s())

    def expected_rest_s(self, admitted: Admitted, waited_s: float) -> float:
        """Return how much longer the first attempt was expected to take."""
        return self._times.expected_rest_s(_class_of(admitted), waited_s)

    def withheld(self, reason: WithheldReason) -> None:
        """Count a request that waited long and got no second attempt."""
        self._withheld.labels(reason).inc()

    def ended(self, outcome: str, saved_s: float) -> None:
        """Count a second attempt: ``won``, ``lost`` or ``failed`` with the first."""
        # The only reason so far; streams are not hedged.
        self._hedges.labels("head_late", outcome).inc()
        self._saved_s.inc(saved_s)


def _class_of(admitted: Admitted) -> RequestClass:
    caller = admitted.caller
    return RequestClass(
        admitted.service,
        admitted.route.kind,
        caller.model,
        length_class(caller.prompt_tokens),
    )


RunAttempt = Callable[[BackendServer], Awaitable[Outcome]]


@final
class AttemptRace:
    """Up to two attempts of one request, of which one relays its response.

    Attributes
    ----------
    servers : list of BackendServer
        Those that attempts were started at, in order.
    winner : str or None
        The server whose response is relayed, once its head has come.
    sent_s, won_s : float or None
        When the first attempt was sent, and when the winner's head came, on the event
        loop's clock.
    """

    def __init__(self, run_attempt: RunAttempt) -> None:
        self._run_attempt = run_attempt
        self._tasks: dict[str, asyncio.Task[Outcome]] = {}
        self._sent = asyncio.get_running_loop().create_future()
        self.servers: list[BackendServer] = []
        self.winner: str | None = None
        self.sent_s: float | None = None
        self.won_s: float | None = None

    def start(self, server: BackendServer) -> None:
        """Start an attempt at a server."""
        self.servers.append(server)
        work = self._run_attempt(server)
        self._tasks[server.server_id] = asyncio.ensure_future(work)

    def record_sent(self) -> None:
        """Record that an attempt has been sent."""
        if self.sent_s is None:
            self.sent_s = asyncio.get_running_loop().time()
            if not self._sent.done():
                self._sent.set_result(None)

    def claim(self, server_id: str, kind: ResponseKind) -> bool:
        """Return whether an attempt whose response head has come may relay it.

        The first one with a success may, and the other attempt is ended. An error is
        relayed only if no other attempt runs that may succeed.
        """
        if self.winner is not None:
            return self.winner == server_id
        others = self._others(server_id)
        if kind == "failure" and others:
            return False
        self.winner = server_id
        self.won_s = asyncio.get_running_loop().time()
        for task in others:
            task.cancel()
        return True

    def has_other(self, server_id: str) -> bool:
        """Return whether an attempt at another server runs."""
        return bool(self._others(server_id))

    def _others(self, server_id: str) -> list[asyncio.Task[Outcome]]:
        return [
            task
            for name, task in self._tasks.items()
            if name != server_id and not task.done()
        ]

    async def wait_for_first(self, delay_s: float) -> float | None:
        """Wait until the first attempt has ended, or for a time after it was sent.

        Returns how late the timer ran, or None if the attempt has a response head or
        has ended.
        """
        loop = asyncio.get_running_loop()
        (task,) = self._tasks.values()
        await asyncio.wait({task, self._sent}, return_when=asyncio.FIRST_COMPLETED)
        if task.done() or self.sent_s is None:
            return None
        due_s = self.sent_s + delay_s
        await asyncio.wait({task}, timeout=max(0.0, due_s - loop.time()))
        if task.done() or self.winner is not None:
            return None
        return max(0.0, loop.time() - due_s)

    async def wait(
        self, on_failure: Callable[[BackendServer, Outcome], None]
    ) -> tuple[BackendServer, Outcome]:
        """Wait for the outcome of the request and return it with its server.

        It is that of the attempt that relays its response, or else of the last one.

        Parameters
        ----------
        on_failure : callable
            Called for an attempt that has failed while another one goes on.
        """
        servers = {server.server_id: server for server in self.servers}
        pending = dict(self._tasks)
        while True:
            await asyncio.wait(pending.values(), return_when=asyncio.FIRST_COMPLETED)
            for name in [name for name, task in pending.items() if task.done()]:
                task = pending.pop(name)
                if name == self.winner or (self.winner is None and not pending):
                    return servers[name], task.result()
                if task.cancelled() or task.exception() is not None:
                    continue
                outcome = task.result()
                if outcome is not LOST:
                    on_failure(servers[name], outcome)

    async def close(self) -> None:
        """End the attempts that still run."""
        self._sent.cancel()
        for task in self._tasks.values():
            task.cancel()
        results = await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        for name, result in zip(self._tasks, results, strict=True):
            # Where only one attempt ran, its exception ends the request.
            if len(self._tasks) > 1 and name != self.winner:
                if isinstance(result, Exception):
                    record_unexpected("request", result, server=name)
