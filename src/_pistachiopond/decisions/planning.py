"""Builds the input of placement, and the orders that placement does not plan.

Placement works with replicas, each a model with all its adapters; engines accept
orders for single models and adapters. A replica counts as ready only when its model
and all its adapters are.
"""

from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from _pistachiopond.decisions.memory import (
    LOADING_VERBS,
    EngineReport,
    Slot,
    counted_slots,
    effect_of,
    slot_of,
)
from _pistachiopond.decisions.order_tracker import intents_for_server
from _pistachiopond.decisions.placement_types import (
    ModelLoad,
    PlacementInput,
    PlacementOptions,
    PlacementServer,
    Replica,
    ReplicaState,
    replica_memory_mb,
)
from _pistachiopond.schema.engine import EngineModel
from _pistachiopond.schema.heartbeat import DrainedReplica
from _pistachiopond.schema.manifest import BackendServer, Manifest, Model
from _pistachiopond.schema.records import Intent

USABLE_REPORT_AGE_S: Final = 6.0
# A draining replica counts as drained after this time, in which all entry daemons
# receive the notice.
DRAIN_NOTICE_S: Final = 6.0


class PlanFacts(NamedTuple):
    """The facts that a plan is computed from.

    Attributes
    ----------
    manifest : Manifest
        The manifest in force.
    reports : mapping of str to EngineReport
        The engines' newest reports.
    intents : tuple of Intent
        Every order that may have taken effect or may still do so.
    leaving : frozenset of str
        Servers that are shutting down.
    draining_since_s : mapping of DrainedReplica to float
        Since when each replica has been announced as draining.
    acquired_s : float
        When the shard was acquired; older reports may miss a predecessor's orders.
    tokens_per_s : mapping of str to float
        Demand by the model or adapter name in the requests.
    """

    manifest: Manifest
    reports: Mapping[str, EngineReport]
    intents: tuple[Intent, ...]
    leaving: frozenset[str]
    draining_since_s: Mapping[DrainedReplica, float]
    acquired_s: float
    tokens_per_s: Mapping[str, float]


def usable_report(server: str, facts: PlanFacts, now_s: float) -> EngineReport | None:
    """Return the engine's report if it is recent enough to base decisions on."""
    report = facts.reports.get(server)
    if report is None or report.asked_s <= facts.acquired_s:
        return None
    if now_s - report.asked_s > USABLE_REPORT_AGE_S:
        return None
    return report


def placement_input(facts: PlanFacts, now_s: float) -> PlacementInput:
    """Return the input of placement.

    Parameters
    ----------
    facts : PlanFacts
        The present facts.
    now_s : float
        The time by this daemon's clock.
    """
    manifest = facts.manifest
    engines = [item for item in manifest.backend_servers if item.memory_mb > 0]
    replicas = [
        replica for server in engines for replica in _replicas(server, facts, now_s)
    ]
    return PlacementInput(
        models=manifest.models,
        servers=tuple(_server(server, facts, now_s) for server in engines),
        replicas=tuple(replicas),
        loads=_loads(manifest, facts.tokens_per_s),
        objective=manifest.objective,
        options=PlacementOptions(
            # Replicas that only lack adapters count as loading but use none of the
            # concurrent model loads, so the limit is raised by their number.
            loads_in_flight=manifest.weight_store.full_speed_loads
            + _count_incomplete_replicas(facts)
        ),
    )


def _count_incomplete_replicas(facts: PlanFacts) -> int:
    models = {model.name: model for model in facts.manifest.models}
    return sum(
        1
        for report in facts.reports.values()
        for resident in report.state.models
        if resident.state == "ready"
        and missing_adapters(models.get(resident.name), resident)
    )


def _server(server: BackendServer, facts: PlanFacts, now_s: float) -> PlacementServer:
    report = usable_report(server.name, facts, now_s)
    memory_mb = server.memory_mb
    if report is not None:
        memory_mb = min(memory_mb, report.state.memory_mb)
    return PlacementServer(
        name=server.name,
        data_centre=server.data_centre,
        region=server.region,
        rack=server.rack,
        memory_mb=memory_mb,
        accelerators=server.accelerators,
        is_usable=report is not None,
        is_leaving=server.name in facts.leaving,
    )


def _loads(
    manifest: Manifest, tokens_per_s: Mapping[str, float]
) -> tuple[ModelLoad, ...]:
    loads = []
    for model in manifest.models:
        names = [model.name, *(adapter.name for adapter in model.adapters)]
        total = sum(tokens_per_s.get(name, 0.0) for name in names)
        loads.append(ModelLoad(model.name, round(total, 1)))
    return tuple(loads)


def _replicas(server: BackendServer, facts: PlanFacts, now_s: float) -> list[Replica]:
    report = facts.reports.get(server.name)
    intents = intents_for_server(server.name, facts.intents)
    if report is None:
        slots: dict[Slot, int] = {
            slot_of(item.order): item.order.memory_mb
            for item in intents
            if item.order.verb in LOADING_VERBS
        }
        resident: dict[tuple[str, str], EngineModel] = {}
    else:
        slots = counted_slots(server.name, report.state, intents)
        resident = {(item.name, item.version): item for item in report.state.models}
    versions = sorted({(slot.model, slot.version) for slot in slots})
    return [
        _replica(server.name, key, slots, resident.get(key), intents, facts, now_s)
        for key in versions
    ]


def _replica(
    server: str,
    key: tuple[str, str],
    slots: Mapping[Slot, int],
    resident: EngineModel | None,
    intents: tuple[Intent, ...],
    facts: PlanFacts,
    now_s: float,
) -> Replica:
    name, version = key
    used_mb = sum(
        memory_mb
        for slot, memory_mb in slots.items()
        if (slot.model, slot.version) == key
    )
    model = next((item for item in facts.manifest.models if item.name == name), None)
    state = _state(key, model, resident, intents)
    if model is not None and model.version == version and state != "unloading":
        used_mb = max(used_mb, replica_memory_mb(model))
    drain_key = DrainedReplica(server, name, version)
    since_s = facts.draining_since_s.get(drain_key)
    if state == "ready" and since_s is not None:
        state = "draining"
    is_drained = since_s is not None and now_s - since_s >= DRAIN_NOTICE_S
    return Replica(server, name, version, used_mb, state, is_drained)


def _state(
    key: tuple[str, str],
    model: Model | None,
    resident: EngineModel | None,
    intents: tuple[Intent, ...],
) -> ReplicaState:
    model_orders = [
        item.order
        for item in intents
        if (item.order.model, item.order.version) == key and not item.order.adapter
    ]
    if any(order.verb == "unload" for order in model_orders):
        return "unloading"
    if resident is None:
        return "loading"
    if resident.state == "ready" and missing_adapters(model, resident):
        return "loading"
    return resident.state


def missing_adapters(model: Model | None, resident: EngineModel) -> tuple[str, ...]:
    """Return the listed adapters that are not ready on the resident model version.

    An older version that is being replaced counts as complete with the adapters it
    has.
    """
    if model is None or model.version != resident.version:
        return ()
    ready = {item.name for item in resident.adapters if item.state == "ready"}
    return tuple(item.name for item in model.adapters if item.name not in ready)


class WantedOrder(NamedTuple):
    """An order required by the plan; its fields are those of `Order`."""

    server: str
    verb: str
    model: str
    version: str
    adapter: str
    memory_mb: int


def orders_to_repeat(facts: PlanFacts, me: str, now_s: float) -> list[WantedOrder]:
    """Return earlier holders' unsettled loads that are still needed and have no effect.

    Their memory is counted and placement plans with the replicas, so the present
    holder repeats the order under its own claim instead of waiting.

    Parameters
    ----------
    facts : PlanFacts
        The present facts.
    me : str
        The present holder's incarnation.
    now_s : float
        The time by its clock.
    """
    listed = {(model.name, model.version) for model in facts.manifest.models}
    wanted: list[WantedOrder] = []
    for intent in facts.intents:
        order = intent.order
        report = usable_report(order.server, facts, now_s)
        if intent.holder == me or order.verb != "load" or report is None:
            continue
        is_listed = (order.model, order.version) in listed
        if not is_listed or order.server in facts.leaving:
            continue
        if effect_of(order, report.state) == "none":
            wanted.append(WantedOrder(*order[1:]))
    return wanted


def adapter_orders(facts: PlanFacts, now_s: float) -> list[WantedOrder]:
    """Return orders that give ready models exactly the adapters in the manifest."""
    wanted: list[WantedOrder] = []
    models = {model.name: model for model in facts.manifest.models}
    for server in facts.manifest.backend_servers:
        report = usable_report(server.name, facts, now_s)
        if report is None or server.name in facts.leaving:
            continue
        for resident in report.state.models:
            model = models.get(resident.name)
            if model is None or model.version != resident.version:
                continue
            if resident.state == "ready":
                wanted += _adapter_orders_of(server.name, model, resident)
    return wanted


def _adapter_orders_of(
    server: str, model: Model, resident: EngineModel
) -> Iterable[WantedOrder]:
    states_by_name = {item.name: item.state for item in resident.adapters}
    for adapter in model.adapters:
        if adapter.name not in states_by_name:
            yield WantedOrder(
                server,
                "load_adapter",
                model.name,
                model.version,
                adapter.name,
                adapter.memory_mb,
            )
    listed = {adapter.name for adapter in model.adapters}
    for name, state in states_by_name.items():
        if name not in listed and state == "ready":
            yield WantedOrder(
                server, "unload_adapter", model.name, model.version, name, 0
            )
