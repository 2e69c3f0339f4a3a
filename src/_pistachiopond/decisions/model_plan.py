"""Decides which models and adapters the engine servers load and unload.

Requests that wait for a model go first. Then models that no server holds, since a
rare model must stay reachable, and replicas of models whose replicas are busy. What
makes room is first the replicas that a model can spare.
"""

from collections.abc import Mapping
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.model_board import Board, Holding
from _pistachiopond.schema.model_orders import ModelOrder

# Requests at a time that a replica takes with short first-event times, as a part of a
# server's slots: prompts are read one after the other, so a full batch is slow.
BUSY_SHARE: Final = 1 / 8
# Demand is remembered for about this long.
MEMORY_S: Final = 6.0
# Whether a model is asked for at all is remembered for about this long.
USE_MEMORY_S: Final = 15.0
# Of the weight store's rate; the rest is for loads that start late.
STORE_RATE_SHARE: Final = 0.85
STORE_BURST: Final = 2.0
# What a replica is worth, in busy replicas' demand: for requests that wait and for each
# second of their wait, for a model that nobody holds, as the second of a model in
# demand, and as the only one. With more models in demand than fit, those that have
# waited longer take the place of those that have been served.
WAITING_GAIN: Final = 2.0
WAITING_GAIN_PER_S: Final = 2.0
MISSING_GAIN: Final = 0.9
SECOND_GAIN: Final = 0.5
ONLY_PRICE: Final = 1.5
USE_PRICE: Final = 3.0
SPARE_PRICE: Final = 0.05
# Of a second that a load takes, against the prices above.
DURATION_PRICE: Final = 1.0
# An unload waits for the requests in progress, each of which delays it by its length.
RUN_PRICE: Final = 0.5
MAX_RUNS: Final = 6
# A model with this demand should survive the loss of a server.
SECOND_LEVEL: Final = 3.0
# While a server loads a model it takes no orders for adapters, so each second of it
# costs this much more on servers that hold models with adapters in demand.
ADAPTER_SERVER_PRICE: Final = 1.2
# What a replica is worth for each request on it beyond the busy share, and for a whole
# server's adapter slots that adapters in demand lack: their requests wait for orders.
BUSY_GAIN: Final = 0.5
ADAPTER_GAIN: Final = 2.0
# Until demand has been seen for this long, the replicas found at the start are taken
# for wanted ones.
LEARNING_S: Final = 5.0
LEARNING_PRICE: Final = 1.5
# Adapters used within this time want a slot.
ADAPTER_USE_S: Final = 3.0


class ModelDemand(NamedTuple):
    """What callers ask of one model now.

    Attributes
    ----------
    running : float
        Requests in progress at servers.
    waiting : float
        Requests that wait for a server that holds it.
    waiting_s : float
        For how long some have waited.
    """

    running: float
    waiting: float
    waiting_s: float = 0.0


@final
class DemandMemory:
    """The demand of each model, remembered for some seconds."""

    def __init__(self) -> None:
        self._level: dict[str, float] = {}
        self._use: dict[str, float] = {}
        self._at_s = 0.0
        self._first_s: float | None = None

    def is_learning(self) -> bool:
        """Return whether demand has not been seen for long enough."""
        return self._first_s is None or self._at_s - self._first_s < LEARNING_S

    def update(self, demand: Mapping[str, ModelDemand], now_s: float) -> None:
        """Raise levels to the present demand; let the others fade."""
        elapsed_s = max(0.0, now_s - self._at_s)
        self._at_s = now_s
        if demand and self._first_s is None:
            self._first_s = now_s
        fade = max(0.0, 1.0 - elapsed_s / MEMORY_S)
        for name in list(self._level):
            self._level[name] *= fade
            if self._level[name] < 0.001:
                del self._level[name]
        for name, seen in demand.items():
            present = seen.running + seen.waiting
            self._level[name] = max(self._level.get(name, 0.0), present)
        step = min(1.0, elapsed_s / USE_MEMORY_S)
        for name in set(self._use) | set(demand):
            is_used = 1.0 if name in demand else 0.0
            known = self._use.get(name, 0.0)
            self._use[name] = known + step * (is_used - known)

    def use(self, model: str) -> float:
        """Return the part of the time in which the model was asked for, 0 to 1."""
        return self._use.get(model, 0.0)

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
    replicas : mapping of str to list of Holding
        The board's replicas of each model.
    demand : mapping of str to ModelDemand
        What callers ask for.
    memory : DemandMemory
        What they asked for lately.
    server_load : mapping of str to float
        Requests in progress at each server.
    runs : mapping of (str, str) to int
        Requests in progress by server and model.
    doubtful : set of str
        Servers that have failed lately.
    allowance : LoadAllowance
        For loads from the weight store.
    adapters : mapping of str to int
        How many adapters of each model were asked for lately.
    adapter_kept_s : float
        One that no VM has reported in use for longer may be unloaded.
    """

    board: Board
    replicas: Mapping[str, list[Holding]]
    demand: Mapping[str, ModelDemand]
    memory: DemandMemory
    server_load: Mapping[str, float]
    runs: Mapping[tuple[str, str], int]
    doubtful: frozenset[str]
    allowance: LoadAllowance
    adapters: Mapping[str, int]
    adapter_kept_s: float


class _Wish(NamedTuple):
    gain: float
    model: str
    needs_more: bool


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
    wishes = _wishes(inputs)
    _drop_reservations(inputs.board, {wish.model for wish in wishes})
    for wish in wishes:
        model = wish.model
        option = _best_option(inputs, wish, busy, now_s)
        if option is None or option.price >= wish.gain:
            continue
        holding = option.holding
        if not _may_start(inputs, holding, model, now_s):
            continue
        busy.add(holding.server.server_id)
        if option.victim is not None:
            holding.reserved_for = model
            orders.append(_order(holding, "unload", option.victim))
            continue
        if inputs.board.is_store_load(holding, model):
            inputs.allowance.spend()
        holding.reserved_for = ""
        orders.append(_order(holding, "load", model))
    return orders


def _may_start(inputs: PlanInputs, holding: Holding, model: str, now_s: float) -> bool:
    is_free = not inputs.board.is_store_load(holding, model)
    return is_free or inputs.allowance.may_load(now_s)


def _wishes(inputs: PlanInputs) -> list[_Wish]:
    """Return the models that need a replica, with what it would be worth."""
    coming = _reservations(inputs.board)
    wishes: list[_Wish] = []
    for model in inputs.board.spec.models:
        on_its_way = coming.get(model, 0)
        replicas = len(inputs.replicas.get(model, [])) + on_its_way
        gain = _gain(inputs, model, replicas)
        if gain > 0.0:
            wishes.append(_Wish(gain, model, True))
        elif on_its_way:
            wishes.append(_Wish(SECOND_GAIN, model, False))
    wishes.sort(reverse=True)
    return wishes


def _gain(inputs: PlanInputs, model: str, replicas: int) -> float:
    """Return what a replica would be worth beside those there and on their way."""
    if replicas == 0:
        seen = inputs.demand.get(model, ModelDemand(0.0, 0.0))
        if seen.waiting <= 0:
            return MISSING_GAIN + inputs.memory.use(model)
        return WAITING_GAIN + seen.waiting + WAITING_GAIN_PER_S * seen.waiting_s
    excess = _excess(inputs, model, replicas)
    if excess > 0.0:
        return SECOND_GAIN + excess
    is_alone = replicas == 1 and inputs.memory.level(model) > SECOND_LEVEL
    return SECOND_GAIN if is_alone else 0.0


def _excess(inputs: PlanInputs, model: str, replicas: int) -> float:
    """Return what so many replicas lack: busy requests on each, and adapter slots."""
    level = inputs.memory.level(model) / replicas
    slots = max(1, inputs.board.spec.adapter_slots)
    adapters = inputs.adapters.get(model, 0) / slots
    busy = max(0.0, level - _busy_level(inputs.board))
    return BUSY_GAIN * busy + ADAPTER_GAIN * max(0.0, adapters - replicas)


def _busy_level(board: Board) -> float:
    return max(1.0, board.spec.slots * BUSY_SHARE)


def _best_option(
    inputs: PlanInputs, wish: _Wish, busy: set[str], now_s: float
) -> _Option | None:
    model = wish.model
    options = []
    for holding in inputs.board.holdings.values():
        name = holding.server.server_id
        if name in busy or not _takes_orders(holding, inputs.doubtful):
            continue
        if model in holding.models or holding.reserved_for not in ("", model):
            continue
        option = _option(inputs, holding, model, now_s)
        if option is None:
            continue
        if holding.reserved_for == model:
            # Room has been made here, at a price that was paid before.
            return option._replace(price=float("-inf"))
        if wish.needs_more:
            options.append(option)
    return min(options, default=None, key=lambda option: option[:3])


def _option(
    inputs: PlanInputs, holding: Holding, model: str, now_s: float
) -> _Option | None:
    board = inputs.board
    name = holding.server.server_id
    load = inputs.server_load.get(name, 0.0)
    delay = DURATION_PRICE * board.load_duration_s(holding, model)
    extra = delay
    if any(inputs.adapters.get(held) for held in holding.models):
        extra += ADAPTER_SERVER_PRICE * delay
    need_mb = board.spec.models[model].memory_mb
    free_mb = holding.free_mb(board.spec)
    if free_mb >= need_mb:
        return _Option(extra, load / board.spec.slots, name, holding, None)
    prices = []
    for held in holding.models:
        if now_s < holding.kept_until_s.get(held, now_s):
            continue
        spec = board.spec.models.get(held)
        freed_mb = spec.memory_mb if spec is not None else board.spec.memory_mb
        if free_mb + freed_mb >= need_mb:
            runs = min(MAX_RUNS, inputs.runs.get((name, held), 0))
            prices.append((_price(inputs, held) + RUN_PRICE * runs, held))
    if not prices:
        return None
    price, victim = min(prices)
    return _Option(price + extra, load / board.spec.slots, name, holding, victim)


def _price(inputs: PlanInputs, model: str) -> float:
    """Return what the loss of one replica of the model costs."""
    replicas = len(inputs.replicas.get(model, []))
    level = inputs.memory.level(model)
    if model not in inputs.board.spec.models:
        return 0.0
    if replicas <= 1:
        # The server keeps a copy on its disk, so it comes back in this time.
        back_s = inputs.board.spec.models[model].disk_load_s
        return ONLY_PRICE + back_s + USE_PRICE * inputs.memory.use(model) + level
    excess = _excess(inputs, model, replicas - 1)
    is_second = replicas == 2 and level > SECOND_LEVEL
    price = SPARE_PRICE + excess + (SECOND_GAIN if is_second else 0.0)
    return max(price, LEARNING_PRICE) if inputs.memory.is_learning() else price


def _reservations(board: Board) -> dict[str, int]:
    """Return on how many servers room is being made for each model."""
    counts: dict[str, int] = {}
    for holding in board.holdings.values():
        model = holding.reserved_for
        if model and model not in holding.models and not holding.server.is_leaving:
            counts[model] = counts.get(model, 0) + 1
    return counts


def _drop_reservations(board: Board, wanted: set[str]) -> None:
    for holding in board.holdings.values():
        if not holding.is_busy() and holding.reserved_for not in wanted:
            holding.reserved_for = ""


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
        victim = _idle_adapter(holding, inputs.adapter_kept_s, now_s)
        if victim is not None:
            options.append((filled + 1.0, name, holding, victim))
    if not options:
        return None
    _, _, holding, victim = min(options, key=lambda item: item[:2])
    if victim is None:
        return _order(holding, "load", model, adapter)
    return _order(holding, "unload", *victim)


def _idle_adapter(
    holding: Holding, kept_s: float, now_s: float
) -> tuple[str, str] | None:
    """Return the adapter that has not been used for the longest time."""
    idle = [
        (holding.adapter_used_s.get((model, name), float("-inf")), model, name)
        for model, names in holding.models.items()
        for name in names
    ]
    idle = [item for item in idle if now_s - item[0] > kept_s]
    if not idle:
        return None
    _, model, name = min(idle)
    return (model, name)
