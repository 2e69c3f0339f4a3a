"""Callers with patience before servers with slots and queues, on a virtual clock.

``python -m testing.decisions.queue_callers`` prints what callers get with and without
refusals at once.
"""

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.prompt_pacing import (
    PacingLimits,
    PromptCandidate,
    PromptPacer,
)
from _pistachiopond.decisions.start_estimate import (
    Patience,
    QueueView,
    StartEstimates,
)

SLOTS: Final = 4
REPORT_S: Final = 0.2
DEADLINE_S: Final = 9.0
RETRY_SHARE: Final = 1.0 / 3.0
MAX_RETRY_S: Final = 3.0
SOON_S: Final = 0.2
LATE_S: Final = 0.15


class Route(NamedTuple):
    """A route of streams: its urgency, objective, and requests a second."""

    rank: int
    objective_s: float
    rate_per_s: float

    def patience_s(self) -> float:
        """Return how long its callers wait for a first event."""
        return max(2.0, 4.0 * self.objective_s)


URGENT: Final = Route(0, 0.5, 6.0)
PATIENT: Final = Route(2, 1.5, 6.0)


class _Prompt(NamedTuple):
    route: Route
    sent_s: float
    deadline_s: float
    # Relative to the mean time that a server takes.
    length: float
    is_return: bool


class _Server:
    def __init__(self, speed: float) -> None:
        self.speed = speed
        self.running = 0
        self.queue: deque[_Prompt] = deque()
        self.ended = 0


@final
class QueueRun:
    """A run of some servers, with one leader that chooses servers.

    Attributes
    ----------
    ends : Counter of (Route, str)
        What became of the requests: ``in_time`` if the first event came by the
        objective, ``late``, ``left`` if the caller left, ``refused`` if it was refused
        twice.
    refused : Counter of Route
        Refusals.
    durations_s : list of float
        The times from sending a request to a server until the end of its answer.
    """

    def __init__(
        self,
        seed: int,
        speeds: list[float],
        *,
        refuses: bool,
        routes: tuple[Route, ...] = (URGENT, PATIENT),
        overload: tuple[float, float] = (4.0, 12.0),
        factor: float = 3.0,
    ) -> None:
        # Apart, so that the arrivals are the same with every rule.
        self._rng = random.Random(seed)
        self._late_rng = random.Random(seed)
        self._servers = {f"s{n}": _Server(speed) for n, speed in enumerate(speeds)}
        self._estimates = StartEstimates() if refuses else None
        self._pacer = PromptPacer()
        self._reported: dict[str, float] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._overload, self._factor = overload, factor
        self._routes = routes
        self.service_s = 0.8
        # The servers' speeds as far as the leader knows them.
        self.speeds: dict[str, float] = {}
        self.now_s = 0.0
        self.ends: Counter[tuple[Route, str]] = Counter()
        self.refused: Counter[Route] = Counter()
        self.durations_s: list[float] = []

    def run(self, end_s: float = 20.0) -> None:
        """Run the load."""
        self._at(0.0, self._report)
        for route in self._routes:
            self._at(0.0, lambda route=route: self._arrive(route))
        while self._events and self._events[0][0] < end_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (at_s, self._count, action))

    def _arrive(self, route: Route) -> None:
        start_s, end_s = self._overload
        factor = self._factor if start_s <= self.now_s < end_s else 1.0
        # Thinned arrivals, so that the overload begins at once.
        if self._rng.random() < factor / self._factor:
            length = self._rng.uniform(0.5, 1.5)
            deadline_s = self.now_s + DEADLINE_S
            self._send(_Prompt(route, self.now_s, deadline_s, length, False))
        gap_s = self._rng.expovariate(route.rate_per_s * self._factor)
        self._at(self.now_s + gap_s, lambda: self._arrive(route))

    def _send(self, prompt: _Prompt) -> None:
        give_up_s = min(prompt.route.patience_s(), prompt.deadline_s - self.now_s)
        if self._estimates is not None:
            views = [
                QueueView(
                    name,
                    self._pacer.expected_load(
                        name, self._reported, REPORT_S, self.now_s
                    ),
                    SLOTS,
                    0.0,
                )
                for name in self._servers
            ]
            route = prompt.route
            patience = Patience(
                give_up_s, route.objective_s, route.rank, str(route.rank)
            )
            retry_s = self._estimates.refuse(views, patience, {}, self.now_s)
            if retry_s is not None:
                self._refuse(prompt, retry_s)
                return
        candidates = [PromptCandidate(name, 0.0, SLOTS, 0.0) for name in self._servers]
        choice = self._pacer.schedule(
            candidates,
            PacingLimits(0.2, 0.1),
            self._reported,
            REPORT_S,
            self.now_s,
            self.speeds,
        )
        server = self._servers[candidates[choice.candidate_index].server_id]
        prompt = prompt._replace(sent_s=self.now_s)
        server.queue.append(prompt)
        self._start(server)
        self._at(self.now_s + give_up_s, lambda: self._leave(server, prompt))

    def _leave(self, server: _Server, prompt: _Prompt) -> None:
        if any(item is prompt for item in server.queue):
            server.queue.remove(prompt)
            self.ends[prompt.route, "left"] += 1

    def _start(self, server: _Server) -> None:
        while server.queue and server.running < SLOTS:
            prompt = server.queue.popleft()
            server.running += 1
            wait_s = self.now_s - prompt.sent_s
            in_time = wait_s <= prompt.route.objective_s and not prompt.is_return
            self.ends[prompt.route, "in_time" if in_time else "late"] += 1
            run_s = prompt.length * self.service_s / server.speed
            self._at(
                self.now_s + run_s, lambda prompt=prompt: self._end(server, prompt)
            )

    def _end(self, server: _Server, prompt: _Prompt) -> None:
        self.durations_s.append(self.now_s - prompt.sent_s)
        server.running -= 1
        server.ended += 1
        self._start(server)

    def _refuse(self, prompt: _Prompt, retry_s: float) -> None:
        self.refused[prompt.route] += 1
        if prompt.is_return:
            self.ends[prompt.route, "refused"] += 1
            return
        most_s = (prompt.deadline_s - self.now_s) * RETRY_SHARE
        wait_s = min(max(SOON_S, retry_s), MAX_RETRY_S, most_s)
        at_s = self.now_s + wait_s + self._late_rng.uniform(0.0, LATE_S)
        self._at(at_s, lambda: self._send(prompt._replace(is_return=True)))

    def _report(self) -> None:
        for name, server in self._servers.items():
            self._reported[name] = float(server.running + len(server.queue))
            if self._estimates is not None:
                self._estimates.record_ended({name: server.ended})
            server.ended = 0
        self._at(self.now_s + REPORT_S, self._report)


def main() -> None:
    """Print the outcomes, summed over some seeds."""
    for refuses in (False, True):
        ends: Counter[tuple[int, str]] = Counter()
        for seed in range(1, 11):
            run = QueueRun(seed, [1.0] * 4, refuses=refuses)
            run.run()
            for (route, end), count in run.ends.items():
                ends[route.rank, end] += count
        print("refuses" if refuses else "queues", sorted(ends.items()))


if __name__ == "__main__":
    main()
