"""Decides which models and adapters the engine servers load and unload.

Requests that wait for a model or adapter go first, then replicas of models whose
replicas are full. What makes room is what has the least demand for each replica.
"""

from collections.abc import Mapping
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.model_board import ADAPTER_KEPT_S, Board, Holding
from _pistachiopond.schema.model_orders import ModelOrder

# Another replica is loaded where those there are hold more than this of their slots.
FULL_SHARE: Final = 0.45
# A model with this many requests in progress has a second replica.
SECOND_REPLICA_LOAD: Final = 3.0
# A model stays for at least this long after its load.
KEPT_S: Final = 1.5
# Demand is remembered for about this long.
MEMORY_S: Final = 6.0
# Of the weight store's rate; the rest is for loads that start late.
STORE_RATE_SHARE: Final = 0.85
STORE_BURST: Final = 2.0
# A model is worth this much less to a server that would only be its spare.
SWAP_GAIN: Final = 2.0


class ModelDemand(NamedTuple):
    """What callers ask of one model now.

    Attributes
    ----------
    running : float
        Requests in progress at servers.
    waiting : float
        Requests that wait for a server that holds it.
    """

    running: float
    waiting: float


@final
class DemandMemory:
    """The demand of each model, remembered for some seconds."""

    def __init__(self) -> None:
        self._level: dict[str, float] = {}
        self._at_s = 0.0

    def update(self, demand: Mapping[str, ModelDemand], now_s: float) -> None:
        """Raise levels to the present demand; let the others fade."""
        elapsed_s = max(0.0, now_s - self._at_s)
        self._at_s = now_s
        fade = max(0.0, 1.0 - elapsed_s / MEMORY_S)
        for name in list(self._level):
            self._level[name] *= fade
            if self._level[name] < 0.001:
                del self._level[name]
        for name, seen in demand.items():
            present = seen.running + seen.waiting
            self._level[name] = max(self._level.get(name, 0.0), present)

    def level(self, model: str) -> float:
        """Return the remembered demand, in requests at a time."""
        return self._level.get(model, 0.0)


@final
class LoadAllowance:
    """Starts of loads from the weight store, over all servers."""

    def __init__(self, loads_per_s: float, now_s: float) -> None:
        self._rate = loads_per_s * STORE_RATE_SHARE
        self._left = 0.0
        self._at_s = now_s

    def may_load(self, now_s: float) -> bool:
        """Return whether a load may start now."""
        grown = self._left + self._rate * max(0.0, now_s - self._at_s)
        self._left = min(STORE_BURST, grown)
        self._at_s = now_s
        return self._left >= 1.0

    def spend(self) -> None:
        """Count a start, also one that may have failed."""
        self._left -= 1.0


class PlanInputs(NamedTuple):
    """Everything that a plan depends on.

    Attributes
    ----------
    board : Board
        What the servers hold.
    demand : mapping of str to ModelDemand
        What callers ask for.
    memory : DemandMemory
        What they asked for lately.
    server_load : mapping of str to float
        Requests in progress at each server.
    doubtful : set of str
        Servers that have failed lately.
    allowance : LoadAllowance
        For loads from the weight store.
    """

    board: Board
    demand: Mapping[str, ModelDemand]
    memory: DemandMemory
    server_load: Mapping[str, float]
    doubtful: frozenset[str]
    allowance: LoadAllowance


class _Option(NamedTuple):
    price: float
    load: float
    server_id: str
    holding: Holding
    victim: str | None


def plan_models(inputs: PlanInputs, now_s: float) -> list[ModelOrder]:
    """Return orders for models, at most one for each server."""
    orders: list[ModelOrder] = []
    busy: set[str] = set()
    for model, gain in _wanted(inputs):
        option = _best_option(inputs, model, gain, busy, now_s)
        if option is None:
            continue
        holding = option.holding
        if option.victim is None:
            if inputs.board.is_store_load(holding, model):
                if not inputs.allowance.may_load(now_s):
                    continue
                inputs.allowance.spend()
            holding.reserved_for = ""
            orders.append(_order(holding, "load", model))
        else:
            holding.reserved_for = model
            orders.append(_order(holding, "unload", option.victim))
        busy.add(holding.server.server_id)
    return orders


def _wanted(inputs: PlanInputs) -> list[tuple[str, float]]:
    """Return the models that need a replica, with the demand it would serve."""
    slots = inputs.board.spec.slots
    wanted: list[tuple[bool, float, str]] = []
    for model in inputs.board.spec.models:
        replicas = inputs.board.replicas(model)
        seen = inputs.demand.get(model, ModelDemand(0.0, 0.0))
        level = inputs.memory.level(model)
        if not replicas:
            if seen.waiting > 0:
                wanted.append((True, level + seen.waiting, model))
            continue
        if any(model in holding.loading for holding in replicas):
            continue
        if _reserved(inputs.board, model) is not None and seen.waiting <= 0:
            continue
        share = level / len(replicas)
        filled = min(
            inputs.server_load.get(h.server.server_id, 0.0) / slots for h in replicas
        )
        is_full = filled > FULL_SHARE and share > SECOND_REPLICA_LOAD
        is_alone = len(replicas) == 1 and level > SECOND_REPLICA_LOAD
        if is_full or is_alone:
            wanted.append((False, level / (len(replicas) + 1), model))
    wanted.sort(reverse=True)
    return [(model, gain) for _, gain, model in wanted]


def _best_option(
    inputs: PlanInputs, model: str, gain: float, busy: set[str], now_s: float
) -> _Option | None:
    options = []
    reserved = _reserved(inputs.board, model)
    if reserved is not None and _is_sound(reserved, inputs.doubtful):
        candidates = [reserved]
    else:
        candidates = list(inputs.board.holdings.values())
    for holding in candidates:
        name = holding.server.server_id
        if name in busy or not _takes_orders(holding, inputs.doubtful):
            continue
        if model in holding.models or holding.reserved_for not in ("", model):
            continue
        option = _option(inputs, holding, model, now_s)
        if option is not None:
            options.append(option)
    if not options:
        return None
    best = min(options)
    is_first = not inputs.board.replicas(model)
    if not is_first and best.price * SWAP_GAIN > gain:
        return None
    return best


def _reserved(board: Board, model: str) -> Holding | None:
    """Return the server on which room is being made for the model."""
    for holding in board.holdings.values():
        if holding.reserved_for == model and model not in holding.models:
            return holding
    return None


def _is_sound(holding: Holding, doubtful: frozenset[str]) -> bool:
    name = holding.server.server_id
    return not holding.server.is_leaving and name not in doubtful


def _takes_orders(holding: Holding, doubtful: frozenset[str]) -> bool:
    return (
        holding.is_known
        and not holding.is_ordering
        and not holding.is_busy()
        and _is_sound(holding, doubtful)
    )


def _option(
    inputs: PlanInputs, holding: Holding, model: str, now_s: float
) -> _Option | None:
    board = inputs.board
    name = holding.server.server_id
    load = inputs.server_load.get(name, 0.0)
    duration_s = board.load_duration_s(holding, model)
    need_mb = board.spec.models[model].memory_mb
    if holding.free_mb(board.spec) >= need_mb:
        return _Option(0.0, load + duration_s, name, holding, None)
    prices = []
    for held in holding.models:
        spec = board.spec.models.get(held)
        freed_mb = spec.memory_mb if spec is not None else board.spec.memory_mb
        if holding.free_mb(board.spec) + freed_mb < need_mb:
            continue
        prices.append((_price(inputs, held), held))
    if not prices:
        return None
    price, victim = min(prices)
    return _Option(price, load + duration_s, name, holding, victim)


def _price(inputs: PlanInputs, model: str) -> float:
    """Return the demand that one replica of the model serves."""
    replicas = len(inputs.board.replicas(model))
    return inputs.memory.level(model) / max(1, replicas)


def _order(holding: Holding, action: str, model: str, adapter: str = "") -> ModelOrder:
    return ModelOrder(
        server_id=holding.server.server_id,
        action="load" if action == "load" else "unload",
        model=model,
        adapter=adapter,
        order_count=holding.order_count,
    )


def plan_adapter(
    inputs: PlanInputs, model: str, adapter: str, now_s: float
) -> ModelOrder | None:
    """Return the next order that brings an adapter to a server, if there is one.

    Parameters
    ----------
    inputs : PlanInputs
        The present state.
    model, adapter : str
        What requests wait for.
    now_s : float
        The time.
    """
    board = inputs.board
    options: list[tuple[float, str, Holding, tuple[str, str] | None]] = []
    for holding in board.holdings.values():
        name = holding.server.server_id
        if not holding.serves(model) or not _takes_orders(holding, inputs.doubtful):
            continue
        filled = inputs.server_load.get(name, 0.0) / max(1, board.spec.slots)
        if holding.adapter_count() < board.spec.adapter_slots:
            options.append((filled, name, holding, None))
            continue
        victim = _idle_adapter(holding, now_s)
        if victim is not None:
            options.append((filled + 1.0, name, holding, victim))
    if not options:
        return None
    _, _, holding, victim = min(options, key=lambda item: item[:2])
    if victim is None:
        return _order(holding, "load", model, adapter)
    return _order(holding, "unload", *victim)


def _idle_adapter(holding: Holding, now_s: float) -> tuple[str, str] | None:
    """Return the adapter that has not been used for the longest time."""
    idle = [
        (holding.adapter_used_s.get((model, name), float("-inf")), model, name)
        for model, names in holding.models.items()
        for name in names
    ]
    idle = [item for item in idle if now_s - item[0] > ADAPTER_KEPT_S]
    if not idle:
        return None
    _, model, name = min(idle)
    return (model, name)
