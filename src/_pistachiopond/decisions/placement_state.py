"""The working state of one plan: memory, replicas and load.

Memory is counted conservatively: a replica uses it from the intent to load until it
is certainly gone, and a planned load uses it immediately.
"""

from typing import Final, final

from _pistachiopond.decisions.placement_types import (
    DrainStep,
    LoadStep,
    PlacementInput,
    PlacementServer,
    Replica,
    UnloadStep,
    replica_memory_mb,
)
from _pistachiopond.schema.manifest import Model


@final
class PlacementState:
    """The servers, the replicas and the steps planned so far."""

    def __init__(self, source: PlacementInput) -> None:
        self.options: Final = source.options
        self.protects_spares: Final = source.objective == "worst_served_customer"
        self.models: Final = {model.name: model for model in source.models}
        self.servers: Final = {server.name: server for server in source.servers}
        self.tokens_per_s: Final = {
            load.model: load.tokens_per_s for load in source.loads
        }
        self.by_model: Final[dict[str, list[Replica]]] = {}
        self.by_server: Final[dict[str, list[Replica]]] = {
            name: [] for name in self.servers
        }
        self.free_mb: Final = {
            server.name: server.memory_mb for server in source.servers
        }
        self.regions: Final = {server.region for server in source.servers}
        self.data_centres: Final = {server.data_centre for server in source.servers}
        self.loads: Final[list[LoadStep]] = []
        self.draining: Final[set[Replica]] = set()
        self._loads_in_flight = 0
        self._serving: Final[dict[str, list[Replica]]] = {}
        self._utilisation: Final = dict.fromkeys(self.servers, 0.0)
        for replica in source.replicas:
            self._add(replica)
        for model_name in self.by_model:
            self._add_load_share(model_name, +1.0)

    def _add(self, replica: Replica) -> None:
        if replica.server not in self.servers:
            return
        self.by_model.setdefault(replica.model, []).append(replica)
        self._serving.pop(replica.model, None)
        self.by_server[replica.server].append(replica)
        self.free_mb[replica.server] -= replica.memory_mb
        if replica.state == "loading":
            self._loads_in_flight += 1

    def serving(self, model_name: str) -> list[Replica]:
        """Return replicas that serve or are being loaded, without planned drains."""
        known = self._serving.get(model_name)
        if known is None:
            known = self._find_serving(model_name)
            self._serving[model_name] = known
        return known

    def _find_serving(self, model_name: str) -> list[Replica]:
        return [
            replica
            for replica in self.by_model.get(model_name, ())
            if replica.state != "unloading"
            and replica not in self.draining
            and self.servers[replica.server].is_usable
        ]

    def ready(self, model_name: str) -> list[Replica]:
        """Return replicas that can serve now, without planned drains."""
        return [
            replica
            for replica in self.serving(model_name)
            if replica.state in ("ready", "draining")
        ]

    def staying(self, model_name: str) -> list[Replica]:
        """Return serving replicas on servers that are not leaving."""
        return [
            replica
            for replica in self.serving(model_name)
            if not self.servers[replica.server].is_leaving
        ]

    def current(self, model: Model) -> list[Replica]:
        """Return the staying replicas of the version that the manifest names."""
        return [
            replica
            for replica in self.staying(model.name)
            if replica.version == model.version
        ]

    def capacity_tokens_per_s(self, server: PlacementServer) -> float:
        """Return the server's highest generation rate, in tokens/s."""
        return max(1, server.accelerators) * self.options.accelerator_tokens_per_s

    def utilisation(self, server_name: str) -> float:
        """Return the server's load as a share of its capacity."""
        return self._utilisation[server_name]

    def share_tokens_per_s(self, model_name: str, replica_count: int) -> float:
        """Return one replica's share of the model's load, in tokens/s."""
        return self.tokens_per_s.get(model_name, 0.0) / max(1, replica_count)

    def has_free_load_slot(self) -> bool:
        """Return whether the weight store can serve one more load at full speed."""
        return self._loads_in_flight < self.options.loads_in_flight

    def reserve_load_slot(self) -> None:
        """Reserve a load slot for a model whose memory is still being freed."""
        self._loads_in_flight += 1

    def can_host(self, server: PlacementServer, model: Model) -> bool:
        """Return whether the server accepts loads and lacks this model version."""
        if not server.is_usable or server.is_leaving:
            return False
        return not any(
            replica.model == model.name and replica.version == model.version
            for replica in self.by_server[server.name]
        )

    def fitting(self, model: Model) -> list[PlacementServer]:
        """Return the servers that can host the model and have enough free memory."""
        need_mb = replica_memory_mb(model)
        return [
            server
            for server in self.servers.values()
            if self.free_mb[server.name] >= need_mb and self.can_host(server, model)
        ]

    def plan_load(self, server: PlacementServer, model: Model) -> None:
        """Reserve memory for a replica and plan the load if a load slot is free.

        The memory is reserved even if the load has to wait, so that a less urgent
        load cannot use it.
        """
        memory_mb = replica_memory_mb(model)
        self._add_load_share(model.name, -1.0)
        if self.has_free_load_slot():
            step = LoadStep(server.name, model.name, model.version, memory_mb)
            self.loads.append(step)
        replica = Replica(server.name, model.name, model.version, memory_mb, "loading")
        self._add(replica)
        self._add_load_share(model.name, +1.0)

    def plan_drain(self, replica: Replica) -> None:
        """Plan to send no new work to the replica."""
        if replica in self.draining or replica.state not in ("ready", "draining"):
            return
        self._add_load_share(replica.model, -1.0)
        self.draining.add(replica)
        self._serving.pop(replica.model, None)
        self._add_load_share(replica.model, +1.0)

    def cancel_drain(self, replica: Replica) -> None:
        """Undo a planned drain, so that the replica takes work again."""
        self._add_load_share(replica.model, -1.0)
        self.draining.discard(replica)
        self._serving.pop(replica.model, None)
        self._add_load_share(replica.model, +1.0)

    def drain_steps(self) -> tuple[DrainStep, ...]:
        """Return all planned drains in a deterministic order."""
        return tuple(
            DrainStep(replica.server, replica.model, replica.version)
            for replica in sorted(self.draining)
        )

    def unload_steps(self) -> tuple[UnloadStep, ...]:
        """Return the drained replicas that may be unloaded now.

        A model listed in the manifest keeps a ready replica that is not draining; an
        unlisted model needs none.
        """
        return tuple(
            UnloadStep(replica.server, replica.model, replica.version)
            for replica in sorted(self.draining)
            if replica.is_drained
            and (replica.model not in self.models or self.ready(replica.model))
        )

    def _add_load_share(self, model_name: str, sign: float) -> None:
        replicas = self.serving(model_name)
        share = sign * self.share_tokens_per_s(model_name, len(replicas))
        for replica in replicas:
            capacity = self.capacity_tokens_per_s(self.servers[replica.server])
            self._utilisation[replica.server] += share / capacity
