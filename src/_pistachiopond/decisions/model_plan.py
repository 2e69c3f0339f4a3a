"""Decides which models and adapters the engine servers load and unload.

Each possible new replica has a benefit and each way to host it has a cost; a replica
is loaded where the benefit exceeds the cost. Models with waiting requests have the
highest benefit, then models that no server holds, because a rarely used model must
stay reachable, then further replicas of models whose replicas are busy. Memory is
freed first by unloading surplus replicas.

Requests that may run at one software version only need a replica on a server of that
version, whatever the other versions have.
"""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.engine_fleet import (
    EngineFleet,
    ServerInventory,
    largest_adapter_mb,
)
from _pistachiopond.decisions.hosting_options import (
    HostingIndex,
    HostingNeed,
    HostingServer,
    Removal,
)
from _pistachiopond.schema.model_orders import ModelOrder

# Concurrent requests up to which a replica keeps the time to the first event short, as
# a share of a server's slots. A full batch is slow: prompts are processed one by one.
BUSY_SLOT_SHARE: Final = 1 / 8
# What a replica counts for on a server that names a rate of a few requests a second.
RATE_LIMITED_CAPACITY: Final = 0.1
# Time constant with which recorded demand decays.
DEMAND_DECAY_S: Final = 6.0
# Time constant of the moving average of whether a model is in demand.
USE_TIME_CONSTANT_S: Final = 15.0
# Share of the weight store's load rate that the planner uses; the rest is headroom for
# loads that start late.
STORE_RATE_SHARE: Final = 0.85
STORE_BURST: Final = 2.0
# Benefits of a new replica and costs of removing one, in units of one busy replica's
# demand. WAITING: requests are waiting for the model; the term per second of waiting
# makes models that have waited longer replace those that have been served, when more
# models are in demand than fit. MISSING: no server holds the model. SECOND: the second
# replica of a model in demand. LAST_REPLICA: the model's only replica, with the USE
# term multiplied by the share of time in which the model was in demand.
# SURPLUS_REPLICA: a replica of a model that has others.
WAITING_BENEFIT: Final = 2.0
WAITING_BENEFIT_PER_S: Final = 2.0
MISSING_BENEFIT: Final = 0.9
SECOND_BENEFIT: Final = 0.5
LAST_REPLICA_COST: Final = 1.5
LAST_REPLICA_USE_COST: Final = 3.0
SURPLUS_REPLICA_COST: Final = 0.05
# An unload waits for the requests in progress; each adds this cost, up to a maximum
# number of requests.
RUNNING_REQUEST_COST: Final = 0.5
MAX_COUNTED_REQUESTS: Final = 6
# A model with more demand than this gets a second replica, so that it survives the loss
# of a server.
SECOND_REPLICA_DEMAND: Final = 3.0
# Benefit of a replica for each request above the busy share, and for each server's
# worth of adapter slots that adapters in demand lack: requests for an adapter without a
# slot wait until it is loaded.
BUSY_REQUEST_BENEFIT: Final = 0.5
ADAPTER_SLOT_BENEFIT: Final = 2.0
# Until demand has been observed for this long, the replicas found at the start are
# assumed to be needed.
WARM_UP_S: Final = 5.0
WARM_UP_REPLICA_COST: Final = 1.5
# Adapters used within this time count as in demand.
ADAPTER_DEMAND_WINDOW_S: Final = 3.0


class VersionWait(NamedTuple):
    """The requests that wait until a server of one software version holds a model.

    Attributes
    ----------
    waiting : float
        How many there are.
    waiting_s : float
        How long some of them have been waiting.
    """

    waiting: float
    waiting_s: float = 0.0


class ModelDemand(NamedTuple):
    """The present demand for one model.

    Attributes
    ----------
    running : float
        Requests in progress on servers.
    waiting : float
        Requests that wait until a server holds the model.
    waiting_s : float
        How long some of them have been waiting.
    waiting_at : mapping of str to VersionWait
        By software version, those of them that may run at this version only.
    """

    running: float
    waiting: float
    waiting_s: float = 0.0
    waiting_at: Mapping[str, VersionWait] = MappingProxyType({})

    def waiting_at_any(self) -> float:
        """Return how many requests wait that may run at any version."""
        return self.waiting - sum(wait.waiting for wait in self.waiting_at.values())


def sum_demand(first: ModelDemand, second: ModelDemand) -> ModelDemand:
    """Return the sum of two demands; of the waiting times, the longer ones."""
    waiting_at = dict(first.waiting_at)
    for version, more in second.waiting_at.items():
        known = waiting_at.get(version, VersionWait(0.0))
        waiting_at[version] = VersionWait(
            known.waiting + more.waiting, max(known.waiting_s, more.waiting_s)
        )
    return ModelDemand(
        first.running + second.running,
        first.waiting + second.waiting,
        max(first.waiting_s, second.waiting_s),
        waiting_at,
    )


@final
class DemandHistory:
    """The recent demand for each model, decaying over some seconds."""

    def __init__(self) -> None:
        self._levels: dict[str, float] = {}
        self._use_shares: dict[str, float] = {}
        self._updated_s = 0.0
        self._first_demand_s: float | None = None

    def is_warming_up(self) -> bool:
        """Return whether demand has been observed for less than `WARM_UP_S`."""
        return (
            self._first_demand_s is None
            or self._updated_s - self._first_demand_s < WARM_UP_S
        )

    def update(self, demand: Mapping[str, ModelDemand], now_s: float) -> None:
        """Raise demand levels to at least the present demand, after decay."""
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        if demand and self._first_demand_s is None:
            self._first_demand_s = now_s
        decay = max(0.0, 1.0 - elapsed_s / DEMAND_DECAY_S)
        for name in list(self._levels):
            self._levels[name] *= decay
            if self._levels[name] < 0.001:
                del self._levels[name]
        for name, present_demand in demand.items():
            # What waits at one version needs a replica there, and no more elsewhere.
            present = present_demand.running + present_demand.waiting_at_any()
            self._levels[name] = max(self._levels.get(name, 0.0), present)
        step = min(1.0, elapsed_s / USE_TIME_CONSTANT_S)
        for name in set(self._use_shares) | set(demand):
            is_used = 1.0 if name in demand else 0.0
            share_before = self._use_shares.get(name, 0.0)
            self._use_shares[name] = share_before + step * (is_used - share_before)

    def use_share(self, model: str) -> float:
        """Return the averaged share of time with demand for the model, 0 to 1."""
        return self._use_shares.get(model, 0.0)

    def level(self, model: str) -> float:
        """Return the decaying peak demand, in concurrent requests."""
        return self._levels.get(model, 0.0)


@final
class LoadRateLimit:
    """Token bucket for loads from the weight store, over all servers."""

    def __init__(self, loads_per_s: float, now_s: float) -> None:
        self._tokens_per_s = loads_per_s * STORE_RATE_SHARE
        self._tokens = 0.0
        self._updated_s = now_s

    def may_load(self, now_s: float) -> bool:
        """Return whether a load may start now."""
        refilled = self._tokens + self._tokens_per_s * max(0.0, now_s - self._updated_s)
        self._tokens = min(STORE_BURST, refilled)
        self._updated_s = now_s
        return self._tokens >= 1.0

    def spend(self) -> None:
        """Take a token for a started load, even if the load may have failed."""
        self._tokens -= 1.0


class PlanInputs(NamedTuple):
    """All inputs of a plan.

    Attributes
    ----------
    fleet : EngineFleet
        The models and adapters on the servers.
    replicas : mapping of str to list of ServerInventory
        The servers with a replica of each model.
    demand : mapping of str to ModelDemand
        The present demand.
    demand_history : DemandHistory
        The recent demand.
    server_load : mapping of str to float
        Requests in progress at each server.
    running_requests : mapping of (str, str) to int
        Requests in progress by server and model.
    unhealthy_servers : set of str
        Servers with recent failures; they get no orders.
    rate_limited_servers : set of str
        Servers that name a rate of requests; they get no further models.
    load_rate_limit : LoadRateLimit
        Rate limit of loads from the weight store.
    adapters : mapping of str to int
        How many adapters of each model were recently requested.
    adapter_idle_s : float
        An adapter that no VM has reported in use for longer than this may be unloaded.
    """

    fleet: EngineFleet
    replicas: Mapping[str, list[ServerInventory]]
    demand: Mapping[str, ModelDemand]
    demand_history: DemandHistory
    server_load: Mapping[str, float]
    running_requests: Mapping[tuple[str, str], int]
    unhealthy_servers: frozenset[str]
    load_rate_limit: LoadRateLimit
    adapters: Mapping[str, int]
    adapter_idle_s: float
    rate_limited_servers: frozenset[str] = frozenset()


class _ReplicaNeed(NamedTuple):
    benefit: float
    hosting: HostingNeed


def plan_models(inputs: PlanInputs, now_s: float) -> list[ModelOrder]:
    """Return load and unload orders for models, at most one for each server."""
    orders: list[ModelOrder] = []
    ordered_servers: set[str] = set()
    ordered_models: set[str] = set()
    needs = _replica_needs(inputs)
    _drop_reservations(inputs.fleet, {need.hosting.model for need in needs})

    def may_load(inventory: ServerInventory, model: str) -> bool:
        is_free = not inputs.fleet.is_store_load(inventory, model)
        return is_free or inputs.load_rate_limit.may_load(now_s)

    index = HostingIndex(inputs.fleet, _hosting_servers(inputs, now_s), may_load)
    for need in needs:
        model, version = need.hosting.model, need.hosting.software_version
        if version is None and model in ordered_models:
            # A replica that one version needs serves the requests for any, too.
            continue
        option = index.best(need.hosting, ordered_servers)
        if option is None or option.cost >= need.benefit:
            continue
        inventory = option.inventory
        if not may_load(inventory, model):
            continue
        ordered_servers.add(inventory.server.server_id)
        ordered_models.add(model)
        if option.victim is not None:
            inventory.reserved_for = model
            orders.append(_order(inventory, "unload", option.victim, version))
            continue
        if inputs.fleet.is_store_load(inventory, model):
            inputs.load_rate_limit.spend()
        inventory.reserved_for = ""
        orders.append(_order(inventory, "load", model, version))
    return orders


def _replica_needs(inputs: PlanInputs) -> list[_ReplicaNeed]:
    """Return the models that need a replica, the highest benefit first."""
    reservations = _reservations(inputs.fleet)
    needs: list[_ReplicaNeed] = []
    for model in inputs.fleet.spec.models:
        incoming = reservations.get(model, [])
        replicas = len(inputs.replicas.get(model, [])) + len(incoming)
        needs += _version_needs(inputs, model, incoming)
        benefit = _benefit(inputs, model, replicas)
        is_missing = replicas == 0 and inputs.demand_history.use_share(model) > 0.0
        if benefit > 0.0:
            hosting = HostingNeed(model, True, is_missing, None)
            needs.append(_ReplicaNeed(benefit, hosting))
        elif incoming:
            hosting = HostingNeed(model, False, is_missing, None)
            needs.append(_ReplicaNeed(SECOND_BENEFIT, hosting))
    needs.sort(key=_need_order, reverse=True)
    return needs


def _need_order(need: _ReplicaNeed) -> tuple[float, str, str]:
    return need.benefit, need.hosting.model, need.hosting.software_version or ""


def _version_needs(
    inputs: PlanInputs, model: str, incoming: list[ServerInventory]
) -> list[_ReplicaNeed]:
    """Return the software versions at which requests wait and no replica is."""
    demand = inputs.demand.get(model)
    if demand is None or not demand.waiting_at:
        return []
    replicas = inputs.replicas.get(model, [])
    held_versions = {item.server.software_version for item in replicas}
    incoming_versions = {item.server.software_version for item in incoming}
    # While no server has the model, the replica serves the requests for any version.
    others, others_s = 0.0, 0.0
    if not replicas:
        others, others_s = demand.waiting_at_any(), demand.waiting_s
    return [
        _ReplicaNeed(
            _waiting_benefit(others + wait.waiting, max(others_s, wait.waiting_s)),
            HostingNeed(
                model,
                needs_more=version not in incoming_versions,
                is_missing=True,
                software_version=version,
            ),
        )
        for version, wait in demand.waiting_at.items()
        if wait.waiting > 0 and version not in held_versions
    ]


def _waiting_benefit(waiting: float, waiting_s: float) -> float:
    return WAITING_BENEFIT + waiting + WAITING_BENEFIT_PER_S * waiting_s


def _benefit(inputs: PlanInputs, model: str, replicas: int) -> float:
    """Return the benefit of a replica in addition to the `replicas` counted so far."""
    if replicas == 0:
        present_demand = inputs.demand.get(model, ModelDemand(0.0, 0.0))
        waiting = present_demand.waiting_at_any()
        if waiting <= 0:
            return MISSING_BENEFIT + inputs.demand_history.use_share(model)
        return _waiting_benefit(waiting, present_demand.waiting_s)
    unmet = _unmet_demand(inputs, model, replicas)
    if unmet > 0.0:
        return SECOND_BENEFIT + unmet
    is_alone = (
        replicas == 1 and inputs.demand_history.level(model) > SECOND_REPLICA_DEMAND
    )
    return SECOND_BENEFIT if is_alone else 0.0


def _unmet_demand(inputs: PlanInputs, model: str, replicas: int) -> float:
    """Return the benefit of serving the demand that so many replicas leave unmet."""
    limited = sum(
        inventory.server.server_id in inputs.rate_limited_servers
        for inventory in inputs.replicas.get(model, [])
    )
    capacity = replicas - limited * (1.0 - RATE_LIMITED_CAPACITY)
    level = inputs.demand_history.level(model) / capacity
    slots = max(1, inputs.fleet.spec.adapter_slots)
    adapters = inputs.adapters.get(model, 0) / slots
    overload = max(0.0, level - _busy_level(inputs.fleet))
    return BUSY_REQUEST_BENEFIT * overload + ADAPTER_SLOT_BENEFIT * max(
        0.0, adapters - replicas
    )


def _busy_level(fleet: EngineFleet) -> float:
    return max(1.0, fleet.spec.slots * BUSY_SLOT_SHARE)


def _hosting_servers(inputs: PlanInputs, now_s: float) -> list[HostingServer]:
    """Return the servers that take orders, with what their models cost to remove."""
    spec = inputs.fleet.spec
    adapter_mb = largest_adapter_mb(spec)
    return [
        HostingServer(
            inventory=inventory,
            free_mb=inventory.free_mb(spec, adapter_mb),
            utilisation=inputs.server_load.get(name, 0.0) / spec.slots,
            has_adapters=any(inputs.adapters.get(held) for held in inventory.models),
            takes_any=name not in inputs.rate_limited_servers,
            removals=_removals(inputs, inventory, now_s),
        )
        for name, inventory in inputs.fleet.servers.items()
        if _takes_orders(inventory, inputs.unhealthy_servers)
    ]


def _removals(
    inputs: PlanInputs, inventory: ServerInventory, now_s: float
) -> list[Removal]:
    spec = inputs.fleet.spec
    removals = []
    for held in inventory.models:
        if now_s < inventory.kept_until_s.get(held, now_s):
            continue
        running = inputs.running_requests.get((inventory.server.server_id, held), 0)
        cost = _removal_cost(inputs, inventory, held)
        cost += RUNNING_REQUEST_COST * min(MAX_COUNTED_REQUESTS, running)
        # A model that is no longer in the configuration has no known size.
        model = spec.models.get(held)
        freed_mb = spec.memory_mb if model is None else model.memory_mb
        removals.append(Removal(cost, held, freed_mb))
    return sorted(removals)


def _removal_cost(inputs: PlanInputs, inventory: ServerInventory, model: str) -> float:
    """Return the cost of removing a server's replica of the model."""
    replicas = len(inputs.replicas.get(model, []))
    level = inputs.demand_history.level(model)
    if model not in inputs.fleet.spec.models:
        return 0.0
    if replicas <= 1 or _is_awaited(inputs, inventory, model):
        # The server keeps a copy on its disk, so the model is back after this time.
        back_s = inputs.fleet.spec.models[model].disk_load_s
        return (
            LAST_REPLICA_COST
            + back_s
            + LAST_REPLICA_USE_COST * inputs.demand_history.use_share(model)
            + level
        )
    unmet = _unmet_demand(inputs, model, replicas - 1)
    is_second = replicas == 2 and level > SECOND_REPLICA_DEMAND
    cost = SURPLUS_REPLICA_COST + unmet + (SECOND_BENEFIT if is_second else 0.0)
    return (
        max(cost, WARM_UP_REPLICA_COST)
        if inputs.demand_history.is_warming_up()
        else cost
    )


def _is_awaited(inputs: PlanInputs, inventory: ServerInventory, model: str) -> bool:
    """Return whether requests wait for the model at its only server of a version."""
    version = inventory.server.software_version
    demand = inputs.demand.get(model)
    if demand is None or version not in demand.waiting_at:
        return False
    return not any(
        item.server.software_version == version
        for item in inputs.replicas.get(model, [])
        if item is not inventory
    )


def _reservations(fleet: EngineFleet) -> dict[str, list[ServerInventory]]:
    """Return the servers on which memory is being freed for each model."""
    found: dict[str, list[ServerInventory]] = {}
    for inventory in fleet.servers.values():
        model = inventory.reserved_for
        if model and model not in inventory.models and not inventory.server.is_leaving:
            found.setdefault(model, []).append(inventory)
    return found


def _drop_reservations(fleet: EngineFleet, wanted: set[str]) -> None:
    for inventory in fleet.servers.values():
        if not inventory.is_busy() and inventory.reserved_for not in wanted:
            inventory.reserved_for = ""


def _is_healthy(inventory: ServerInventory, unhealthy_servers: frozenset[str]) -> bool:
    name = inventory.server.server_id
    return not inventory.server.is_leaving and name not in unhealthy_servers


def _takes_orders(
    inventory: ServerInventory, unhealthy_servers: frozenset[str]
) -> bool:
    return (
        inventory.is_known
        and not inventory.is_ordering
        and not inventory.is_busy()
        and _is_healthy(inventory, unhealthy_servers)
    )


def _order(
    inventory: ServerInventory,
    action: str,
    model: str,
    required_version: str | None,
    adapter: str = "",
) -> ModelOrder:
    return ModelOrder(
        server_id=inventory.server.server_id,
        action="load" if action == "load" else "unload",
        model=model,
        adapter=adapter,
        order_count=inventory.order_count,
        required_version=required_version,
    )


def plan_adapter(
    inputs: PlanInputs,
    model: str,
    adapter: str,
    now_s: float,
    software_version: str | None = None,
) -> ModelOrder | None:
    """Return the next order needed to load an adapter on some server, if any.

    Parameters
    ----------
    inputs : PlanInputs
        The present state.
    model, adapter : str
        The adapter that requests wait for, and its base model.
    now_s : float
        The present time.
    software_version : str or None
        The only version whose servers may be used; None for any.
    """
    options = [
        option
        for inventory in inputs.fleet.servers.values()
        if software_version in (None, inventory.server.software_version)
        and (option := _adapter_option(inputs, inventory, model, now_s)) is not None
    ]
    if not options:
        return None
    best = min(options, key=lambda option: option[:2])
    if best.victim is None:
        return _order(best.inventory, "load", model, software_version, adapter)
    idle_model, idle_adapter = best.victim
    return _order(best.inventory, "unload", idle_model, software_version, idle_adapter)


class _AdapterOption(NamedTuple):
    cost: float
    server_id: str
    inventory: ServerInventory
    # The model and the adapter to unload first, if any.
    victim: tuple[str, str] | None


def _adapter_option(
    inputs: PlanInputs, inventory: ServerInventory, model: str, now_s: float
) -> _AdapterOption | None:
    """Return how a server could get another adapter of the model."""
    spec = inputs.fleet.spec
    if model not in spec.models or not inventory.serves(model):
        return None
    if not _takes_orders(inventory, inputs.unhealthy_servers):
        return None
    name = inventory.server.server_id
    filled = inputs.server_load.get(name, 0.0) / max(1, spec.slots)
    unused_mb = inventory.unused_mb(spec)
    if inventory.adapter_count() < spec.adapter_slots:
        has_room = unused_mb >= spec.models[model].adapter_mb
        return _AdapterOption(filled, name, inventory, None) if has_room else None
    victim = _idle_adapter(inventory, inputs.adapter_idle_s, now_s)
    if victim is None or unused_mb < 0.0:
        return None
    return _AdapterOption(filled + 1.0, name, inventory, victim)


def _idle_adapter(
    inventory: ServerInventory, kept_s: float, now_s: float
) -> tuple[str, str] | None:
    """Return the least recently used adapter that has been idle for `kept_s`."""
    idle = [
        (inventory.adapter_used_s.get((model, name), float("-inf")), model, name)
        for model, names in inventory.models.items()
        for name in names
    ]
    idle = [item for item in idle if now_s - item[0] > kept_s]
    if not idle:
        return None
    _, model, name = min(idle)
    return (model, name)
