"""Injects the faults of a scenario into a running simulation."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Final, final

from _pistachiopond.decisions.dispatch_types import (
    ManifestChanged,
    ViewReceived,
)
from _pistachiopond.decisions.failure_kinds import FailureKind
from _pistachiopond.replay.engine import FakeEngine
from _pistachiopond.replay.fake_control import FakeServer
from _pistachiopond.replay.faults import Fault, Scenario
from _pistachiopond.schema.verdict import Verdict

if TYPE_CHECKING:
    from _pistachiopond.replay.simulator import Simulation

# Time until a connection whose other side has gone silent is given up.
SILENCE_TIMEOUT_S: Final = 3.0
# Time until the load balancer stops sending requests to a stopped daemon.
BALANCER_DETECTION_S: Final = 1.0
SLOWDOWN_FACTOR: Final = 8.0


def schedule_faults(simulation: "Simulation", scenario: Scenario) -> None:
    """Schedule the start and the end of each fault of the scenario."""
    injector = _FaultInjector(simulation)
    for fault in scenario:
        simulation.loop.call_at(fault.at_s, injector.make_start(fault))


@final
class _FaultInjector:
    """Starts faults and returns the functions that end them."""

    def __init__(self, simulation: "Simulation") -> None:
        self._simulation = simulation

    def make_start(self, fault: Fault) -> Callable[[], None]:
        """Return a function that starts the fault and schedules its end."""

        def start() -> None:
            end = self._apply(fault)
            self._simulation.loop.call_after(fault.duration_s, end)

        return start

    def _apply(self, fault: Fault) -> Callable[[], None]:
        """Start the fault and return a function that ends it."""
        control = self._simulation.control
        if fault.kind == "log_outage":
            control.is_log_out = True
            return lambda: setattr(control, "is_log_out", False)
        if fault.kind == "stale_reports":
            control.are_reports_stale = True
            return lambda: setattr(control, "are_reports_stale", False)
        if fault.kind == "region_cut":
            return self._cut_regions()
        if fault.kind == "vm_loss":
            return self._lose_daemons(
                self._sample_size(len(self._simulation.daemons), fault.share)
            )
        if fault.kind == "server_loss":
            names = sorted(
                n for n, s in self._simulation.servers.items() if s.spec.accelerators
            )
            lost = self._simulation.rng.sample(
                names, self._sample_size(len(names), fault.share)
            )
            return self._lose_servers(lost, "reset", 0.01)
        if fault.kind == "failing_server":
            return self._fail_servers(fault.share)
        if fault.kind == "slow_server":
            return self._slow_servers(fault.share)
        return self._lose_data_centre()

    def _sample_engines(self, share: float) -> list[str]:
        servers = self._simulation.servers.items()
        names = sorted(name for name, s in servers if s.spec.accelerators)
        return self._simulation.rng.sample(names, self._sample_size(len(names), share))

    def _fail_servers(self, share: float) -> Callable[[], None]:
        """Make some engines answer each request with an error immediately."""
        failing = [
            self._simulation.servers[name] for name in self._sample_engines(share)
        ]

        def set_failing(is_failing: bool) -> None:
            for server in failing:
                server.is_failing = is_failing

        set_failing(True)
        return lambda: set_failing(False)

    def _slow_servers(self, share: float) -> Callable[[], None]:
        """Slow some engines down; they still answer."""
        slowed = self._sample_engines(share)

        def set_slowdown(factor: float) -> None:
            for name in slowed:
                self._simulation.advance_engine(name)
                self._simulation.servers[name].engine.slowdown_factor = factor
                self._simulation.schedule_next_change(name)

        set_slowdown(SLOWDOWN_FACTOR)
        return lambda: set_slowdown(1.0)

    def _sample_size(self, count: int, share: float) -> int:
        return max(1, int(count * share))

    def _cut_regions(self) -> Callable[[], None]:
        """Cut the regions off from each other; attempts across the cut fail."""
        self._simulation.control.cut_regions = True
        for key, attempt in list(self._simulation.attempts.items()):
            if self._simulation.is_unreachable(
                attempt.daemon_index, self._simulation.servers[attempt.server]
            ):
                self._simulation.fail_attempt(
                    key, "silent", Verdict.MAY_HAVE_RUN, SILENCE_TIMEOUT_S
                )
        return lambda: setattr(self._simulation.control, "cut_regions", False)

    def _lose_data_centre(self) -> Callable[[], None]:
        """Take down the daemons and servers of the first daemon's data centre."""
        daemons, servers = self._simulation.daemons, self._simulation.servers
        lost = daemons[0].place.data_centre
        indexes = [n for n, d in enumerate(daemons) if d.place.data_centre == lost]
        names = [n for n, s in servers.items() if s.spec.data_centre == lost]
        restore_daemons = self._stop_daemons(indexes)
        restore_servers = self._lose_servers(names, "silent", SILENCE_TIMEOUT_S)

        def restore() -> None:
            restore_daemons()
            restore_servers()

        return restore

    def _lose_daemons(self, count: int) -> Callable[[], None]:
        return self._stop_daemons(
            self._simulation.rng.sample(range(len(self._simulation.daemons)), count)
        )

    def _stop_daemons(self, indexes: list[int]) -> Callable[[], None]:
        """Stop the daemons; their open requests are lost."""
        for index in indexes:
            self._simulation.daemons[index].is_up = False
        for key, attempt in list(self._simulation.attempts.items()):
            if attempt.daemon_index in indexes:
                self._simulation.servers[attempt.server].engine.cancel(key)
                self._simulation.remove_attempt(key)
        for request_id, result in self._simulation.results.items():
            if (
                result.status == "unfinished"
                and self._simulation.daemon_by_request.get(request_id) in indexes
            ):
                result.status = "cut_off"

        def leave_rotation() -> None:
            for index in indexes:
                self._simulation.daemons[index].is_in_rotation = False

        self._simulation.loop.call_after(BALANCER_DETECTION_S, leave_rotation)
        return lambda: self._restart_daemons(indexes)

    def _restart_daemons(self, indexes: list[int]) -> None:
        """Restart the daemons with new dispatchers, which have no history."""
        for index in indexes:
            daemon = self._simulation.daemons[index]
            if not self._simulation.is_central:
                seed = index + 7
                daemon.dispatcher = self._simulation.make_dispatcher(
                    index, daemon.place, seed
                )
                daemon.dispatcher.handle(
                    ManifestChanged(self._simulation.trace.manifest),
                    self._simulation.loop.now_s,
                )
                view = self._simulation.control.make_view(daemon.place.region)
                daemon.dispatcher.handle(
                    ViewReceived(view), self._simulation.loop.now_s
                )
            daemon.is_up = daemon.is_in_rotation = True

    def _lose_servers(
        self, names: list[str], kind: FailureKind, delay_s: float
    ) -> Callable[[], None]:
        """Crash the servers; their attempts fail after that delay."""
        for name in names:
            server = self._simulation.servers[name]
            self._simulation.advance_engine(name)
            self._simulation.engine_versions[name] += 1
            server.is_up = False
            server.is_silent = kind == "silent"
            server.down_since_s = self._simulation.loop.now_s
            server.incarnation += 1
            server.replicas.clear()
            self._replace_engine(server)
        lost = set(names)
        for key, attempt in list(self._simulation.attempts.items()):
            if attempt.server in lost:
                self._simulation.fail_attempt(key, kind, Verdict.MAY_HAVE_RUN, delay_s)

        def restore() -> None:
            for name in names:
                self._simulation.servers[name].is_up = True

        return restore

    def _replace_engine(self, server: FakeServer) -> None:
        """Give a crashed server an empty engine that keeps the token totals."""
        old = server.engine
        new = FakeEngine(self._simulation.parameters.engine)
        new.advance(self._simulation.loop.now_s)
        new.on_cached = old.on_cached
        new.generated_tokens = old.generated_tokens
        new.prefilled_tokens = old.prefilled_tokens
        server.engine = new
        server.cache_events.clear()
