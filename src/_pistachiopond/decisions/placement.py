"""Decides which backend server holds which model.

Each plan is computed from scratch from the engines' reports and the unsettled
intents. The planner keeps no state between plans, so a new planner continues where
the last one stopped. See ``docs/design/placement.md`` for the alternatives considered.
"""

import heapq
import math
from typing import Final

from _pistachiopond.decisions.placement_eviction import (
    apply_eviction,
    choose_server,
    find_eviction,
    is_spare_needed,
)
from _pistachiopond.decisions.placement_state import PlacementState
from _pistachiopond.decisions.placement_types import (
    PlacementInput,
    PlacementPlan,
    PlacementServer,
    Replica,
    replica_memory_mb,
)
from _pistachiopond.schema.manifest import Model

MAX_BUSY_SERVERS: Final = 4
MAX_BUSY_MODELS: Final = 3


def make_plan(source: PlacementInput) -> PlacementPlan:
    """Return the steps that should be in progress now.

    Parameters
    ----------
    source : PlacementInput
        The presently known servers, replicas, intents and load.

    Returns
    -------
    PlacementPlan
        Deterministic: equal inputs give equal plans.
    """
    state = PlacementState(source)
    _drain_unlisted(state)
    unplaced = _place_missing(state)
    _evacuate_leaving_servers(state)
    _roll_out_versions(state)
    if state.protects_spares:
        _add_spares(state)
        _scale_up(state)
    else:
        _scale_up(state)
        _add_spares(state)
    _cancel_unsafe_drains(state)
    return PlacementPlan(
        tuple(state.loads), state.drain_steps(), state.unload_steps(), unplaced
    )


def _drain_unlisted(state: PlacementState) -> None:
    for model_name, replicas in state.by_model.items():
        if model_name not in state.models:
            for replica in list(replicas):
                state.plan_drain(replica)


def _by_size(models: list[Model]) -> list[Model]:
    return sorted(models, key=lambda model: (-replica_memory_mb(model), model.name))


def _place_missing(state: PlacementState) -> tuple[str, ...]:
    missing = [
        model for model in state.models.values() if not state.serving(model.name)
    ]
    waiting = [model for model in _by_size(missing) if not _place(state, model)]
    return tuple(model.name for model in waiting)


def _place(state: PlacementState, model: Model) -> bool:
    """Plan a replica of the model; return whether a server was found for it."""
    server = choose_server(state, model)
    if server is not None:
        state.plan_load(server, model)
        return True
    eviction = find_eviction(state, model, is_urgent=True)
    if eviction is None:
        return False
    apply_eviction(state, eviction)
    return True


def _evacuate_leaving_servers(state: PlacementState) -> None:
    """Move models off leaving servers.

    Models that only leaving servers hold are loaded elsewhere first; replicas on
    leaving servers are drained once another ready replica exists.
    """
    leaving = [server for server in state.servers.values() if server.is_leaving]
    held = {replica.model for s in leaving for replica in state.by_server[s.name]}
    stranded = [
        model
        for name, model in state.models.items()
        if name in held and state.serving(name) and not state.staying(name)
    ]
    for model in _by_size(stranded):
        _place(state, model)
    for server in leaving:
        for replica in list(state.by_server[server.name]):
            if _has_ready_replica_elsewhere(state, replica):
                state.plan_drain(replica)


def _has_ready_replica_elsewhere(state: PlacementState, replica: Replica) -> bool:
    return any(
        other.state != "loading" and other.server != replica.server
        for other in state.staying(replica.model)
    )


def _roll_out_versions(state: PlacementState) -> None:
    """Load the manifest's version beside the old version, then drain the old one."""
    for model in _by_size(list(state.models.values())):
        old = [
            replica
            for replica in state.staying(model.name)
            if replica.version != model.version
        ]
        if old:
            _roll_out_version(state, model, old)


def _roll_out_version(state: PlacementState, model: Model, old: list[Replica]) -> None:
    wanted = wanted_replicas(state, model)
    if len(state.current(model)) < wanted:
        _place(state, model)
    ready = [r for r in state.current(model) if r.state != "loading"]
    if not ready:
        return
    spare_count = len(ready) + len(old) - wanted
    for replica in sorted(old)[: max(0, spare_count)]:
        state.plan_drain(replica)


def wanted_replicas(state: PlacementState, model: Model) -> int:
    """Return how many replicas the model needs for its own load."""
    capacity = max(
        (state.capacity_tokens_per_s(server) for server in state.servers.values()),
        default=1.0,
    )
    tokens_per_s = state.tokens_per_s.get(model.name, 0.0)
    by_load = math.ceil(tokens_per_s / (capacity * state.options.high_utilisation))
    return max(model.min_replicas, by_load, 1)


def _add_spares(state: PlacementState) -> None:
    """Add spare replicas in other regions and data centres while memory is free."""
    models_to_spread = [
        model for model in state.models.values() if _lacks_replicas(state, model)
    ]
    for model in sorted(models_to_spread, key=lambda model: _spare_order(state, model)):
        if not state.has_free_load_slot():
            return
        server = choose_server(state, model)
        if server is not None and _improves_spread(state, model, server):
            state.plan_load(server, model)


def _lacks_replicas(state: PlacementState, model: Model) -> bool:
    staying = state.staying(model.name)
    return len(staying) < model.min_replicas or is_spare_needed(state, staying)


def _spare_order(state: PlacementState, model: Model) -> tuple[int, float, str]:
    return (
        len(state.staying(model.name)),
        -state.tokens_per_s.get(model.name, 0.0),
        model.name,
    )


def _improves_spread(
    state: PlacementState, model: Model, server: PlacementServer
) -> bool:
    staying = [state.servers[r.server] for r in state.staying(model.name)]
    if len(staying) < model.min_replicas:
        return True
    return all(peer.data_centre != server.data_centre for peer in staying)


def _scale_up(state: PlacementState) -> None:
    """Add replicas of the busiest models until no server is over the utilisation limit.

    Only the few busiest servers and their busiest models are considered, which
    bounds the cost of a plan when the whole fleet is overloaded.
    """
    while state.has_free_load_slot() and _relieve_busiest_server(state):
        pass


def _relieve_busiest_server(state: PlacementState) -> bool:
    """Plan one more load, or drains that free memory for one; return success."""
    usable = [name for name, server in state.servers.items() if server.is_usable]
    busiest = heapq.nsmallest(
        MAX_BUSY_SERVERS, usable, key=lambda name: (-state.utilisation(name), name)
    )
    for name in busiest:
        if state.utilisation(name) <= state.options.high_utilisation:
            return False
        models = _busiest_models(state, name)[:MAX_BUSY_MODELS]
        if any(_add_replica(state, model, name) for model in models):
            return True
    return False


def _busiest_models(state: PlacementState, server_name: str) -> list[Model]:
    models = [
        state.models[replica.model]
        for replica in state.by_server[server_name]
        if replica.model in state.models and replica in state.serving(replica.model)
    ]

    def share(model: Model) -> float:
        return state.share_tokens_per_s(model.name, len(state.serving(model.name)))

    return sorted(models, key=lambda model: (-share(model), model.name))


def _add_replica(state: PlacementState, model: Model, busy_server: str) -> bool:
    count = len(state.serving(model.name))
    share = state.share_tokens_per_s(model.name, count + 1)
    ceiling = state.utilisation(busy_server) - state.options.least_gain
    if not any(replica.state == "loading" for replica in state.serving(model.name)):
        server = _least_utilised_fit(state, model)
        if server is None:
            return _free_memory_for_load(state, model)
        added = share / state.capacity_tokens_per_s(server)
        if state.utilisation(server.name) + added < ceiling:
            state.plan_load(server, model)
            return True
    return False


def _least_utilised_fit(state: PlacementState, model: Model) -> PlacementServer | None:
    return min(
        state.fitting(model),
        key=lambda s: (state.utilisation(s.name), s.name),
        default=None,
    )


def _free_memory_for_load(state: PlacementState, model: Model) -> bool:
    eviction = find_eviction(state, model, is_urgent=False)
    if eviction is None or _is_too_busy(state, eviction.server):
        return False
    apply_eviction(state, eviction)
    state.reserve_load_slot()
    return True


def _is_too_busy(state: PlacementState, server: PlacementServer) -> bool:
    return state.utilisation(server.name) > state.options.high_utilisation


def _cancel_unsafe_drains(state: PlacementState) -> None:
    """Cancel drains that would leave a listed model without a ready replica."""
    for replica in sorted(state.draining):
        if replica.model in state.models and not state.ready(replica.model):
            state.cancel_drain(replica)
