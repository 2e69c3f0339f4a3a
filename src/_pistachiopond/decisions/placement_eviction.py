"""Chooses a server for a replica, and frees memory where no server has enough.

Memory is freed without making a model unreachable: first by draining surplus
replicas, then by moving a replica that fits on another server, where it is loaded
before it is drained here.
"""

from typing import NamedTuple

from _pistachiopond.decisions.placement_state import PlacementState
from _pistachiopond.decisions.placement_types import (
    PlacementServer,
    Replica,
    replica_memory_mb,
)
from _pistachiopond.schema.manifest import Model


class EvictionPlan(NamedTuple):
    """Drains and moves that free enough memory on one server.

    Attributes
    ----------
    drains : tuple of Replica
        Surplus replicas to drain there.
    relocations : tuple of Replica
        Replicas that must be loaded on another server before they are drained.
    """

    server: PlacementServer
    drains: tuple[Replica, ...]
    relocations: tuple[Replica, ...]


def choose_server(state: PlacementState, model: Model) -> PlacementServer | None:
    """Return the best server that has enough free memory for the model now.

    Spread over failure domains decides first: a region without another replica of
    the model, then such a data centre, then such a rack; then the lowest utilisation.
    """
    fitting = state.fitting(model)
    if not fitting:
        return None
    peers = [state.servers[replica.server] for replica in state.staying(model.name)]

    def cost(server: PlacementServer) -> tuple[int, int, int, float, int, str]:
        return (
            sum(peer.region == server.region for peer in peers),
            sum(peer.data_centre == server.data_centre for peer in peers),
            sum(peer.rack == server.rack for peer in peers),
            round(state.utilisation(server.name), 3),
            -state.free_mb[server.name],
            server.name,
        )

    return min(fitting, key=cost)


def find_eviction(
    state: PlacementState, model: Model, *, is_urgent: bool
) -> EvictionPlan | None:
    """Return the cheapest way to free memory for the model, if there is one.

    Parameters
    ----------
    state : PlacementState
        The planning state; not modified.
    model : Model
        The model that needs the memory.
    is_urgent : bool
        Whether replicas may be moved and spare replicas drained for it.
    """
    evictions = [
        eviction
        for server in state.servers.values()
        if state.can_host(server, model)
        and (eviction := _eviction_on(state, server, model, is_urgent)) is not None
    ]
    return min(evictions, key=_eviction_cost, default=None)


def _eviction_cost(eviction: EvictionPlan) -> tuple[int, int, int, str]:
    new_drains = [replica for replica in eviction.drains if replica.state != "draining"]
    moved_mb = sum(replica.memory_mb for replica in eviction.relocations)
    return len(eviction.relocations), moved_mb, len(new_drains), eviction.server.name


def _eviction_on(
    state: PlacementState, server: PlacementServer, model: Model, is_urgent: bool
) -> EvictionPlan | None:
    missing_mb = replica_memory_mb(model) - state.free_mb[server.name]
    missing_mb -= sum(
        replica.memory_mb
        for replica in state.by_server[server.name]
        if replica.state == "unloading" or replica in state.draining
    )
    drains: list[Replica] = []
    relocations: list[Replica] = []
    for replica in _surplus_on(state, server, is_urgent):
        if missing_mb <= 0:
            break
        drains.append(replica)
        missing_mb -= replica.memory_mb
    if is_urgent and missing_mb > 0:
        for replica in _movable_on(state, server, model):
            if missing_mb <= 0:
                break
            relocations.append(replica)
            missing_mb -= replica.memory_mb
    if missing_mb > 0:
        return None
    return EvictionPlan(server, tuple(drains), tuple(relocations))


def _surplus_on(
    state: PlacementState, server: PlacementServer, is_urgent: bool
) -> list[Replica]:
    surplus = [
        replica
        for replica in state.by_server[server.name]
        if is_surplus(state, replica, is_urgent=is_urgent)
    ]

    def cost(replica: Replica) -> tuple[bool, float, str]:
        share = state.share_tokens_per_s(
            replica.model, len(state.serving(replica.model)) - 1
        )
        return replica.state != "draining", share, replica.model

    return sorted(surplus, key=cost)


def is_surplus(state: PlacementState, replica: Replica, *, is_urgent: bool) -> bool:
    """Return whether the replica may be drained to free its memory.

    For an urgent need it is enough that another replica of the model is ready: an
    overloaded model is better than an unreachable one. Otherwise the remaining
    replicas must be able to carry its load.
    """
    if replica.state not in ("ready", "draining") or replica in state.draining:
        return False
    model = state.models.get(replica.model)
    if model is None:
        return True
    peers = state.staying(model.name)
    if replica.version == model.version:
        peers = state.current(model)
    others = [other for other in peers if other != replica]
    ready = [other for other in others if other.state != "loading"]
    if not ready:
        return False
    if is_urgent:
        return True
    if len(others) < model.min_replicas:
        return False
    if state.protects_spares and is_spare_needed(state, others):
        return False
    extra_tokens_per_s = state.share_tokens_per_s(model.name, len(others))
    extra_tokens_per_s -= state.share_tokens_per_s(model.name, len(others) + 1)
    return all(_can_carry(state, other, extra_tokens_per_s) for other in others)


def is_spare_needed(state: PlacementState, replicas: list[Replica]) -> bool:
    """Return whether these replicas of a model span too few regions or data centres."""
    held = [state.servers[replica.server] for replica in replicas]
    if len({server.region for server in held}) < len(state.regions):
        return True
    least_centres = min(state.options.spare_replicas, len(state.data_centres))
    return len({server.data_centre for server in held}) < least_centres


def _can_carry(
    state: PlacementState, replica: Replica, extra_tokens_per_s: float
) -> bool:
    server = state.servers[replica.server]
    added = extra_tokens_per_s / state.capacity_tokens_per_s(server)
    after = state.utilisation(replica.server) + added
    return after <= state.options.high_utilisation


def _movable_on(
    state: PlacementState, server: PlacementServer, incoming: Model
) -> list[Replica]:
    """Return replicas that fit on another server, or are already being loaded there.

    Each replica is checked against the free memory on its own. If two of them would
    need the same memory, a later plan corrects it.
    """
    movable = [
        replica
        for replica in state.by_server[server.name]
        if replica.state in ("ready", "draining")
        and replica not in state.draining
        and replica.model in state.models
        and replica.model != incoming.name
        and not is_surplus(state, replica, is_urgent=True)
        and _fits_elsewhere(state, replica)
    ]
    return sorted(movable, key=lambda replica: (-replica.memory_mb, replica.model))


def _fits_elsewhere(state: PlacementState, replica: Replica) -> bool:
    model = state.models[replica.model]
    if _has_successor(state, replica):
        return True
    return choose_server(state, model) is not None


def _has_successor(state: PlacementState, replica: Replica) -> bool:
    others = state.current(state.models[replica.model])
    return any(other != replica and other.state == "loading" for other in others)


def apply_eviction(state: PlacementState, eviction: EvictionPlan) -> None:
    """Plan the drains and the loads elsewhere that free the memory."""
    for replica in eviction.drains:
        state.plan_drain(replica)
    for replica in eviction.relocations:
        if _has_successor(state, replica):
            continue
        model = state.models[replica.model]
        target = choose_server(state, model)
        if target is not None and target.name != eviction.server.name:
            state.plan_load(target, model)
