"""A fluid model of engines and the weight store, for experiments on placement only.

Requests are not modelled: a replica is a share of its server's capacity. That is
enough to measure memory, moves and reachability over a day of demand.
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
    """Durations of the engines' operations, in seconds."""

    load_s: float = 4.0
    drain_s: float = 3.0
    unload_s: float = 1.0


class _TimedReplica(NamedTuple):
    """A replica, and when its latest state change is completed."""

    replica: Replica
    completed_at_s: float


DEFAULT_TIMES: Final = FleetTimes()


@final
class FluidFleet:
    """Engines that execute placement plans, and the replicas on each of them."""

    def __init__(
        self, servers: tuple[PlacementServer, ...], times: FleetTimes = DEFAULT_TIMES
    ) -> None:
        self.servers = {server.name: server for server in servers}
        self.moves = 0
        self._times: Final = times
        self._replicas: dict[tuple[str, str, str], _TimedReplica] = {}

    def replicas(self) -> tuple[Replica, ...]:
        """Return the replicas on all engines, in a fixed order."""
        return tuple(entry.replica for _, entry in sorted(self._replicas.items()))

    def used_mb(self, server_name: str) -> int:
        """Return the memory in use on a server, in MB."""
        return sum(
            entry.replica.memory_mb
            for entry in self._replicas.values()
            if entry.replica.server == server_name
        )

    def serving_replicas(self, model_name: str) -> list[Replica]:
        """Return the replicas of the model that can serve requests."""
        return [
            entry.replica
            for entry in self._replicas.values()
            if entry.replica.model == model_name
            and entry.replica.state in ("ready", "draining")
            and self.servers[entry.replica.server].is_usable
        ]

    def crash(self, server_name: str) -> None:
        """Crash a server: it loses its replicas and can't be used."""
        server = self.servers[server_name]
        self.servers[server_name] = server._replace(is_usable=False)
        self._replicas = {
            key: entry for key, entry in self._replicas.items() if key[0] != server_name
        }

    def restore(self, server_name: str) -> None:
        """Restore a server without any replicas."""
        server = self.servers[server_name]
        self.servers[server_name] = server._replace(is_usable=True, is_leaving=False)

    def mark_leaving(self, server_name: str) -> None:
        """Mark a server as leaving the fleet."""
        server = self.servers[server_name]
        self.servers[server_name] = server._replace(is_leaving=True)

    def apply(self, plan: PlacementPlan, now_s: float) -> None:
        """Start the steps of a plan; steps in progress are not started twice."""
        for load in plan.loads:
            self._start_load(load, now_s)
        draining = {step: None for step in plan.drains}
        for key, entry in list(self._replicas.items()):
            self._set_draining(key, entry, DrainStep(*key) in draining, now_s)
        for unload in plan.unloads:
            self._start_unload(unload, now_s)

    def complete_due_changes(self, now_s: float) -> None:
        """Complete the state changes that are due by now."""
        for key, entry in list(self._replicas.items()):
            if entry.completed_at_s > now_s:
                continue
            if entry.replica.state == "unloading":
                del self._replicas[key]
            elif entry.replica.state == "loading":
                ready = entry.replica._replace(state="ready")
                self._replicas[key] = entry._replace(replica=ready)
            elif entry.replica.state == "draining":
                drained = entry.replica._replace(is_drained=True)
                self._replicas[key] = entry._replace(replica=drained)

    def _start_load(self, step: LoadStep, now_s: float) -> None:
        key = (step.server, step.model, step.version)
        if key in self._replicas or not self.servers[step.server].is_usable:
            return
        self.moves += 1
        replica = Replica(*key, step.memory_mb, "loading")
        self._replicas[key] = _TimedReplica(replica, now_s + self._times.load_s)

    def _set_draining(
        self,
        key: tuple[str, str, str],
        entry: _TimedReplica,
        should_drain: bool,
        now_s: float,
    ) -> None:
        """Start or revoke the draining of a replica, as the plan requires."""
        state = entry.replica.state
        if should_drain and state == "ready":
            draining = entry.replica._replace(state="draining")
            self._replicas[key] = _TimedReplica(draining, now_s + self._times.drain_s)
        elif not should_drain and state == "draining":
            ready = entry.replica._replace(state="ready", is_drained=False)
            self._replicas[key] = entry._replace(replica=ready)

    def _start_unload(self, step: UnloadStep, now_s: float) -> None:
        key = (step.server, step.model, step.version)
        entry = self._replicas.get(key)
        if entry is None or entry.replica.state == "unloading":
            return
        replica = entry.replica._replace(state="unloading")
        self._replicas[key] = _TimedReplica(replica, now_s + self._times.unload_s)
