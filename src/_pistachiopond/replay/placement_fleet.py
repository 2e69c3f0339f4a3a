"""A fluid fake of engines and the weight store, for placement alone.

Requests are not modelled: a replica is a share of its server's capacity. That is
enough to see memory, moves and reachability over a day of demand.
"""

from typing import Final, NamedTuple, final

from _pistachiopond.decisions.placement_types import (
    DrainStep,
    LoadStep,
    PlacementPlan,
    PlacementServer,
    Replica,
    UnloadStep,
)


class FleetTimes(NamedTuple):
    """How long engines take, in seconds."""

    load_s: float = 4.0
    drain_s: float = 3.0
    unload_s: float = 1.0


class _Held(NamedTuple):
    replica: Replica
    done_s: float


DEFAULT_TIMES: Final = FleetTimes()


@final
class Fleet:
    """Engines that carry out plans; keeps what each one holds."""

    def __init__(
        self, servers: tuple[PlacementServer, ...], times: FleetTimes = DEFAULT_TIMES
    ) -> None:
        self.servers = {server.name: server for server in servers}
        self.moves = 0
        self._times: Final = times
        self._held: dict[tuple[str, str, str], _Held] = {}

    def replicas(self) -> tuple[Replica, ...]:
        """Return what all engines hold, in a fixed order."""
        return tuple(held.replica for _, held in sorted(self._held.items()))

    def used_mb(self, server_name: str) -> int:
        """Return the memory that is held on a server, in MB."""
        return sum(
            held.replica.memory_mb
            for held in self._held.values()
            if held.replica.server == server_name
        )

    def ready(self, model_name: str) -> list[Replica]:
        """Return replicas of the model that answer."""
        return [
            held.replica
            for held in self._held.values()
            if held.replica.model == model_name
            and held.replica.state in ("ready", "draining")
            and self.servers[held.replica.server].is_usable
        ]

    def lose(self, server_name: str) -> None:
        """Crash a server: it holds nothing and answers nobody."""
        server = self.servers[server_name]
        self.servers[server_name] = server._replace(is_usable=False)
        self._held = {
            key: held for key, held in self._held.items() if key[0] != server_name
        }

    def restore(self, server_name: str) -> None:
        """Bring a server back, empty."""
        server = self.servers[server_name]
        self.servers[server_name] = server._replace(is_usable=True, is_leaving=False)

    def leave(self, server_name: str) -> None:
        """Announce that a server is to go."""
        server = self.servers[server_name]
        self.servers[server_name] = server._replace(is_leaving=True)

    def apply(self, plan: PlacementPlan, now_s: float) -> None:
        """Start the steps of a plan; steps in progress are not started twice."""
        for load in plan.loads:
            self._load(load, now_s)
        draining = {step: None for step in plan.drains}
        for key, held in list(self._held.items()):
            self._set_draining(key, held, DrainStep(*key) in draining, now_s)
        for unload in plan.unloads:
            self._unload(unload, now_s)

    def settle(self, now_s: float) -> None:
        """Finish what was due by now."""
        for key, held in list(self._held.items()):
            if held.done_s > now_s:
                continue
            if held.replica.state == "unloading":
                del self._held[key]
            elif held.replica.state == "loading":
                ready = held.replica._replace(state="ready")
                self._held[key] = held._replace(replica=ready)
            elif held.replica.state == "draining":
                idle = held.replica._replace(is_drained=True)
                self._held[key] = held._replace(replica=idle)

    def _load(self, step: LoadStep, now_s: float) -> None:
        key = (step.server, step.model, step.version)
        if key in self._held or not self.servers[step.server].is_usable:
            return
        self.moves += 1
        replica = Replica(*key, step.memory_mb, "loading")
        self._held[key] = _Held(replica, now_s + self._times.load_s)

    def _set_draining(
        self, key: tuple[str, str, str], held: _Held, wanted: bool, now_s: float
    ) -> None:
        state = held.replica.state
        if wanted and state == "ready":
            draining = held.replica._replace(state="draining")
            self._held[key] = _Held(draining, now_s + self._times.drain_s)
        elif not wanted and state == "draining":
            ready = held.replica._replace(state="ready", is_drained=False)
            self._held[key] = held._replace(replica=ready)

    def _unload(self, step: UnloadStep, now_s: float) -> None:
        key = (step.server, step.model, step.version)
        held = self._held.get(key)
        if held is None or held.replica.state == "unloading":
            return
        replica = held.replica._replace(state="unloading")
        self._held[key] = _Held(replica, now_s + self._times.unload_s)
