"""Makes the faults of a script happen in a running simulation."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Final, final

from _pistachiopond.decisions.dispatch_types import (
    FailureKind,
    ManifestChanged,
    ViewReceived,
)
from _pistachiopond.replay.engine import FakeEngine
from _pistachiopond.replay.fake_control import Holder
from _pistachiopond.replay.faults import Fault, Scenario
from _pistachiopond.schema.verdict import Verdict

if TYPE_CHECKING:
    from _pistachiopond.replay.simulator import Simulation

SILENCE_S: Final = 3.0
BALANCER_LAG_S: Final = 1.0
SLOW_ENGINE_FACTOR: Final = 8.0


def schedule_faults(simulation: "Simulation", scenario: Scenario) -> None:
    """Let each fault of the scenario begin and end at its time."""
    injector = _FaultInjector(simulation)
    for fault in scenario:
        simulation.loop.at(fault.at_s, injector.make_begin(fault))


@final
class _FaultInjector:
    """Begins faults, and knows how each is ended."""

    def __init__(self, simulation: "Simulation") -> None:
        self._sim = simulation

    def make_begin(self, fault: Fault) -> Callable[[], None]:
        """Return a function that begins the fault and plans its end."""

        def begin() -> None:
            end = self._apply(fault)
            self._sim.loop.after(fault.duration_s, end)

        return begin

    def _apply(self, fault: Fault) -> Callable[[], None]:
        """Begin the fault and return what ends it."""
        control = self._sim.control
        if fault.kind == "log_outage":
            control.is_log_out = True
            return lambda: setattr(control, "is_log_out", False)
        if fault.kind == "stale_reports":
            control.are_reports_stale = True
            return lambda: setattr(control, "are_reports_stale", False)
        if fault.kind == "region_cut":
            return self._cut_regions()
        if fault.kind == "vm_loss":
            return self._lose_daemons(self._share(len(self._sim.daemons), fault.share))
        if fault.kind == "server_loss":
            names = sorted(
                n for n, h in self._sim.holders.items() if h.facts.accelerators
            )
            lost = self._sim.rng.sample(names, self._share(len(names), fault.share))
            return self._lose_servers(lost, "reset", 0.01)
        if fault.kind == "failing_server":
            return self._fail_servers(fault.share)
        if fault.kind == "slow_server":
            return self._slow_servers(fault.share)
        return self._lose_data_centre()

    def _draw_engines(self, share: float) -> list[str]:
        holders = self._sim.holders.items()
        names = sorted(name for name, h in holders if h.facts.accelerators)
        return self._sim.rng.sample(names, self._share(len(names), share))

    def _fail_servers(self, share: float) -> Callable[[], None]:
        """Let some engines answer each request with an error at once."""
        failing = [self._sim.holders[name] for name in self._draw_engines(share)]

        def set_failing(is_failing: bool) -> None:
            for holder in failing:
                holder.is_failing = is_failing

        set_failing(True)
        return lambda: set_failing(False)

    def _slow_servers(self, share: float) -> Callable[[], None]:
        """Slow some engines down, which go on answering."""
        slowed = self._draw_engines(share)

        def set_slowness(factor: float) -> None:
            for name in slowed:
                self._sim.advance(name)
                self._sim.holders[name].engine.slowness = factor
                self._sim.reschedule(name)

        set_slowness(SLOW_ENGINE_FACTOR)
        return lambda: set_slowness(1.0)

    def _share(self, count: int, share: float) -> int:
        return max(1, int(count * share))

    def _cut_regions(self) -> Callable[[], None]:
        self._sim.control.cut_regions = True
        for key, attempt in list(self._sim.attempts.items()):
            if self._sim.is_cut(attempt.daemon, self._sim.holders[attempt.server]):
                self._sim.fail(key, "silent", Verdict.MAY_HAVE_RUN, SILENCE_S)
        return lambda: setattr(self._sim.control, "cut_regions", False)

    def _lose_data_centre(self) -> Callable[[], None]:
        daemons, holders = self._sim.daemons, self._sim.holders
        lost = daemons[0].place.data_centre
        numbers = [n for n, d in enumerate(daemons) if d.place.data_centre == lost]
        names = [n for n, h in holders.items() if h.facts.data_centre == lost]
        restore_daemons = self._stop_daemons(numbers)
        restore_servers = self._lose_servers(names, "silent", SILENCE_S)

        def restore() -> None:
            restore_daemons()
            restore_servers()

        return restore

    def _lose_daemons(self, count: int) -> Callable[[], None]:
        return self._stop_daemons(
            self._sim.rng.sample(range(len(self._sim.daemons)), count)
        )

    def _stop_daemons(self, numbers: list[int]) -> Callable[[], None]:
        for number in numbers:
            self._sim.daemons[number].is_up = False
        for key, attempt in list(self._sim.attempts.items()):
            if attempt.daemon in numbers:
                self._sim.holders[attempt.server].engine.cancel(key)
                self._sim.forget(key)
        for fate_id, fate in self._sim.fates.items():
            if fate.ending == "unfinished" and self._sim.owner.get(fate_id) in numbers:
                fate.ending = "cut_off"

        def unlist() -> None:
            for number in numbers:
                self._sim.daemons[number].listed = False

        self._sim.loop.after(BALANCER_LAG_S, unlist)
        return lambda: self._restart_daemons(numbers)

    def _restart_daemons(self, numbers: list[int]) -> None:
        for number in numbers:
            daemon = self._sim.daemons[number]
            if not self._sim.is_central:
                seed = number + 7
                daemon.decider = self._sim.make_dispatcher(number, daemon.place, seed)
                daemon.decider.handle(
                    ManifestChanged(self._sim.trace.manifest), self._sim.loop.now_s
                )
                view = self._sim.control.view(daemon.place.region)
                daemon.decider.handle(ViewReceived(view), self._sim.loop.now_s)
            daemon.is_up = daemon.listed = True

    def _lose_servers(
        self, names: list[str], kind: FailureKind, after_s: float
    ) -> Callable[[], None]:
        for name in names:
            holder = self._sim.holders[name]
            self._sim.advance(name)
            self._sim.versions[name] += 1
            holder.is_up = False
            holder.is_silent = kind == "silent"
            holder.down_since_s = self._sim.loop.now_s
            holder.incarnation += 1
            holder.replicas.clear()
            self._lost_work(holder)
        lost = set(names)
        for key, attempt in list(self._sim.attempts.items()):
            if attempt.server in lost:
                self._sim.fail(key, kind, Verdict.MAY_HAVE_RUN, after_s)

        def restore() -> None:
            for name in names:
                self._sim.holders[name].is_up = True

        return restore

    def _lost_work(self, holder: Holder) -> None:
        old = holder.engine
        fresh = FakeEngine(self._sim.parameters.engine)
        fresh.advance(self._sim.loop.now_s)
        fresh.on_cached = old.on_cached
        fresh.generated_tokens = old.generated_tokens
        fresh.prefilled_tokens = old.prefilled_tokens
        holder.engine = fresh
        holder.cache_events.clear()
