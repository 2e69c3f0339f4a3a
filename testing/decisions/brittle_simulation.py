"""A simulation of VMs that send requests to brittle servers, on the virtual clock."""

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.brittle_servers import (
    ServerState,
    ServiceShare,
)

# As the leader sets it.
MIN_REPORT_PERIOD_S: Final = 0.2
MAX_REPORTS_PER_S: Final = 250.0
# A fallen server is back after this time. Its entry remains meanwhile.
DOWN_S: Final = 4.0
# From then on, servers announce that they are brittle; `WARNING_S` later fewer requests
# may wait there. They may crash at once. The load is calm until `LOAD_FROM_S`.
BRITTLE_FROM_S: Final = 5.0
LOAD_FROM_S: Final = 6.0
CALM_LOAD: Final = 0.5
WARNING_S: Final = 3.0
# The longest wait at a VM, and the number of servers that one request may be sent to.
MAX_WAIT_S: Final = 1.2
MAX_TRIES: Final = 4
LINK_S: Final = 0.001


class Scenario(NamedTuple):
    """A deployment and the load on it.

    Attributes
    ----------
    vm_count, server_count, slots : int
        The numbers of VMs and servers, and of requests that a server runs concurrently.
    queue, brittle_queue : int
        How many requests may wait at a server, before and while it is brittle.
    limit : int
        A server that turns more requests away within a second crashes.
    duration_s : float
        The mean time that a request runs.
    load : float
        The offered load as a multiple of what the slots can run.
    length_s : float
        When the scenario ends.
    burst_load : float
        The offered load in every fifth second.
    skew : float
        The most loaded VM gets this many times the requests of the least loaded one.
    """

    vm_count: int
    server_count: int
    slots: int
    queue: int
    brittle_queue: int
    limit: int
    duration_s: float
    load: float
    length_s: float = 25.0
    burst_load: float = 0.0
    skew: float = 1.0

    def capacity_per_s(self) -> float:
        """Return how many requests a second the servers' slots can run."""
        return self.server_count * self.slots / self.duration_s


class Counts(NamedTuple):
    """What a simulation has counted."""

    offered: int
    served: int
    refusals: int
    crashes: int


@final
class _Server:
    def __init__(self, number: int) -> None:
        self.number = number
        self.generation = 0
        self.entry_generation = 0
        self.is_down = False
        self.running: set[int] = set()
        self.queue: deque[int] = deque()
        self.refused_s: deque[float] = deque()


@final
class _Vm:
    def __init__(self, server_count: int) -> None:
        self.own = [0] * server_count
        self.peers = [0] * server_count
        self.reported = [0] * server_count
        self.share: ServiceShare | None = None
        self.waiting: dict[int, Callable[[], None]] = {}


@final
class BrittleSimulation:
    """Plays one scenario, with the shares or without."""

    def __init__(self, scenario: Scenario, seed: int, *, has_shares: bool) -> None:
        self._scenario = scenario
        self._has_shares = has_shares
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._now_s = 0.0
        self._servers = [_Server(number) for number in range(scenario.server_count)]
        self._vms = [_Vm(scenario.server_count) for _ in range(scenario.vm_count)]
        self._totals = [0] * scenario.server_count
        self._period_s = max(MIN_REPORT_PERIOD_S, scenario.vm_count / MAX_REPORTS_PER_S)
        self._request_numbers = itertools.count()
        self._on_end: dict[int, Callable[[str], None]] = {}
        self.offered = self.served = self.refusals = self.crashes = 0

    def run(self) -> Counts:
        """Play the scenario and return the counts of its brittle period."""
        scenario = self._scenario
        weights = [
            scenario.skew ** (number / max(1, scenario.vm_count - 1))
            for number in range(scenario.vm_count)
        ]
        rate = scenario.load * scenario.capacity_per_s() / sum(weights)
        for vm, weight in zip(self._vms, weights, strict=True):
            self._after(
                self._rng.random() * self._period_s, lambda v=vm: self._report(v)
            )
            self._arrive_next(vm, rate * weight)
        while self._events and self._events[0][0] <= scenario.length_s:
            self._now_s, _, action = heapq.heappop(self._events)
            action()
        return Counts(self.offered, self.served, self.refusals, self.crashes)

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        entry = (self._now_s + delay_s, next(self._sequence), action)
        heapq.heappush(self._events, entry)

    def _states(self, vm: _Vm) -> list[ServerState]:
        return [self._state(vm, server) for server in self._servers]

    def _state(self, vm: _Vm, server: _Server) -> ServerState:
        number = server.number
        return ServerState(
            (f"s{number}", server.entry_generation),
            self._scenario.slots,
            vm.own[number],
            vm.peers[number],
        )

    # Arrivals and reports.

    def _arrive_next(self, vm: _Vm, rate: float) -> None:
        scenario = self._scenario
        factor = 1.0
        if self._now_s < LOAD_FROM_S:
            factor = min(1.0, CALM_LOAD / scenario.load)
        elif scenario.burst_load and int(self._now_s) % 5 == 4:
            factor = scenario.burst_load / scenario.load
        self._after(
            self._rng.expovariate(rate * factor), lambda: self._arrive(vm, rate)
        )

    def _arrive(self, vm: _Vm, rate: float) -> None:
        self._arrive_next(vm, rate)
        self.offered += self._is_brittle()
        self._try_send(vm, frozenset(), self._now_s + MAX_WAIT_S, is_waiting=False)

    def _report(self, vm: _Vm) -> None:
        for number, own in enumerate(vm.own):
            self._totals[number] += own - vm.reported[number]
        vm.reported = list(vm.own)
        vm.peers = [
            total - own for total, own in zip(self._totals, vm.own, strict=True)
        ]
        if vm.share is not None:
            vm.share.set_load(
                self._states(vm), len(self._vms), self._period_s, self._now_s
            )
        self._after(self._period_s, lambda: self._report(vm))

    # The VM's side.

    def _try_send(
        self, vm: _Vm, tried: frozenset[int], until_s: float, *, is_waiting: bool
    ) -> None:
        server = self._choose(vm, tried)
        if server is not None:
            self._send(vm, server, tried, until_s)
            return
        if vm.share is None or self._now_s >= until_s:
            return
        left_s = until_s - self._now_s
        if (
            not is_waiting
            and vm.share.expected_wait_s(len(vm.waiting), self._now_s) > left_s
        ):
            return
        number = next(self._request_numbers)

        def look_again() -> None:
            if vm.waiting.pop(number, None) is not None:
                self._try_send(vm, tried, until_s, is_waiting=True)

        vm.waiting[number] = look_again
        check_s = vm.share.check_again_s(self._now_s) - self._now_s
        self._after(min(left_s, check_s), look_again)

    def _wake_first(self, vm: _Vm) -> None:
        if vm.waiting:
            vm.waiting[next(iter(vm.waiting))]()

    def _choose(self, vm: _Vm, tried: frozenset[int]) -> _Server | None:
        open_servers = [item for item in self._servers if item.number not in tried]
        if not open_servers:
            return None
        if vm.share is None:
            slots = self._scenario.slots

            def cost(server: _Server) -> tuple[float, float]:
                load = vm.own[server.number] + vm.peers[server.number]
                return load / slots, self._rng.random()

            return min(open_servers, key=cost)
        if not vm.share.may_send(self._now_s):
            return None
        ranked = vm.share.rank(
            [self._state(vm, server) for server in open_servers], self._now_s
        )
        return self._servers[int(ranked[0][0][1:])] if ranked else None

    def _send(
        self, vm: _Vm, server: _Server, tried: frozenset[int], until_s: float
    ) -> None:
        request = next(self._request_numbers)
        state = self._state(vm, server)
        vm.own[server.number] += 1
        if vm.share is not None:
            vm.share.request_started(self._now_s)

        def ended(outcome: str) -> None:
            vm.own[server.number] -= 1
            if self._has_shares and vm.share is None and self._is_brittle():
                self._begin_share(vm)
            elif vm.share is not None:
                self._count_end(vm.share, state.incarnation, outcome)
            if outcome == "served":
                self.served += self._is_brittle()
            elif len(tried) + 1 < MAX_TRIES:
                now_tried = tried | {server.number}
                self._try_send(vm, now_tried, until_s, is_waiting=False)
            self._wake_first(vm)

        self._on_end[request] = lambda outcome: self._after(
            LINK_S, lambda: ended(outcome)
        )
        self._after(LINK_S, lambda: self._receive(server, request))

    def _is_brittle(self) -> bool:
        return self._now_s >= BRITTLE_FROM_S

    def _begin_share(self, vm: _Vm) -> None:
        vm.share = ServiceShare(sum(vm.own), self._now_s, self._rng)
        vm.share.set_limit(self._scenario.limit)
        vm.share.set_load(self._states(vm), len(self._vms), self._period_s, self._now_s)

    def _count_end(
        self, share: ServiceShare, incarnation: tuple[str, int], outcome: str
    ) -> None:
        if outcome == "served":
            share.request_ended(incarnation, self._now_s)
        elif outcome == "refused":
            share.request_refused(incarnation, self._scenario.limit, self._now_s)
        else:
            share.request_failed(incarnation, self._now_s)

    # The server's side.

    def _receive(self, server: _Server, request: int) -> None:
        scenario = self._scenario
        is_warned = self._now_s >= BRITTLE_FROM_S + WARNING_S
        queue = scenario.brittle_queue if is_warned else scenario.queue
        if server.is_down:
            self._on_end.pop(request)("connect")
        elif len(server.running) < scenario.slots:
            self._start(server, request)
        elif len(server.queue) < queue:
            server.queue.append(request)
        else:
            self._on_end.pop(request)("refused")
            self.refusals += self._is_brittle()
            refused_s = server.refused_s
            refused_s.append(self._now_s)
            while refused_s[0] <= self._now_s - 1.0:
                refused_s.popleft()
            if self._is_brittle() and len(refused_s) > scenario.limit:
                self._crash(server)

    def _start(self, server: _Server, request: int) -> None:
        server.running.add(request)
        mean_s = self._scenario.duration_s
        # Log-normal with a spread of 0.5, as request durations mostly are.
        duration_s = mean_s * self._rng.lognormvariate(-0.125, 0.5)
        generation = server.generation
        self._after(duration_s, lambda: self._end(server, generation, request))

    def _end(self, server: _Server, generation: int, request: int) -> None:
        if server.generation != generation:
            return
        server.running.discard(request)
        self._on_end.pop(request)("served")
        if server.queue:
            self._start(server, server.queue.popleft())

    def _crash(self, server: _Server) -> None:
        self.crashes += 1
        server.is_down = True
        server.generation += 1
        for request in [*server.running, *server.queue]:
            self._on_end.pop(request)("crashed")
        server.running.clear()
        server.queue.clear()
        server.refused_s.clear()
        self._after(DOWN_S, lambda: self._restart(server))

    def _restart(self, server: _Server) -> None:
        server.is_down = False
        server.entry_generation = server.generation


def allowed_crashes(server_count: int) -> float:
    """Return how often the servers may crash in one brittle period."""
    return 2.0 + math.floor(server_count / 10)
