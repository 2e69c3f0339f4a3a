"""Orders to an engine: loads and unloads, with or without a check of their age."""

from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple, final

import anyio
from anyio.abc import TaskGroup
from result import Err, Ok, Result

from _pistachiopond.kernel.timer import Timer
from _pistachiopond.standin.ledger import Ledger, OrderEntry
from _pistachiopond.standin.residents import HeldAdapter, HeldModel, Residents

KEPT_ORDERS: Final = 256
DRAIN_POLL_S: Final = 0.02

FetchWeights = Callable[[str, str, int], Awaitable[Result[None, str]]]


class OrderParameters(NamedTuple):
    """What every order carries beside its target.

    Attributes
    ----------
    fencing_number, order_number : int
        The pair is unique for each order.
    version : str or None
        Which version; None for adapters on every resident version.
    memory_mb : int
        What a load takes.
    wait : bool
        Whether to answer only when the order is done.
    """

    fencing_number: int = 0
    order_number: int = 0
    version: str | None = None
    memory_mb: int = 0
    wait: bool = False


class Order(NamedTuple):
    """One order."""

    action: str
    model: str
    adapter: str | None
    parameters: OrderParameters


class StaleOrder(NamedTuple):
    """The order has a lower fencing number than one that came before."""

    highest: int


Step = Callable[[], Awaitable[str]]


@final
class OrderDesk:
    """Takes orders and carries each out in its own task."""

    def __init__(
        self,
        residents: Residents,
        ledger: Ledger,
        fetch: FetchWeights,
        timer: Timer,
        *,
        checks_fencing: bool,
    ) -> None:
        self._residents = residents
        self._ledger = ledger
        self._fetch = fetch
        self._timer = timer
        self._checks = checks_fencing
        self._places: dict[int, OrderEntry] = {}
        self._recent: deque[int] = deque(maxlen=KEPT_ORDERS)
        self._seen: dict[tuple[int, int], int] = {}
        self.highest_fencing_number = 0

    def recent(self) -> tuple[OrderEntry, ...]:
        """Return the last orders, oldest first."""
        return tuple(self._places[place] for place in self._recent)

    async def take(
        self, order: Order, group: TaskGroup, step: Step
    ) -> Result[OrderEntry, StaleOrder]:
        """Begin an order, or say why it is refused.

        Parameters
        ----------
        order : Order
            What to do.
        group : TaskGroup
            Lives as long as the engine's incarnation.
        step : callable
            Does it; returns the empty text, or why it failed.
        """
        numbers = (order.parameters.fencing_number, order.parameters.order_number)
        if self._checks and numbers[0] < self.highest_fencing_number:
            self._record(order, "refused", "stale fencing number")
            return Err(StaleOrder(self.highest_fencing_number))
        if self._checks and numbers in self._seen:
            return Ok(self._places[self._seen[numbers]])
        self.highest_fencing_number = max(self.highest_fencing_number, numbers[0])
        place = self._record(order, "running", "")
        self._seen[numbers] = place
        done = anyio.Event()
        group.start_soon(self._carry_out, place, step, done)
        if order.parameters.wait:
            await done.wait()
        else:
            await anyio.lowlevel.checkpoint()
        return Ok(self._places[place])

    async def _carry_out(self, place: int, step: Step, done: anyio.Event) -> None:
        detail = await step()
        state: Any = "failed" if detail else "done"
        entry = self._places[place]._replace(state=state, detail=detail)
        self._places[place] = entry
        self._ledger.replace(place, entry)
        done.set()

    def _record(self, order: Order, state: Any, detail: str) -> int:
        parameters = order.parameters
        entry = OrderEntry(
            parameters.fencing_number,
            parameters.order_number,
            order.action,
            order.model,
            parameters.version,
            order.adapter,
            state,
            detail,
        )
        place = self._ledger.add(entry)
        self._places[place] = entry
        self._recent.append(place)
        return place

    async def load_model(self, order: Order) -> str:
        """Load one version of a model."""
        parameters = order.parameters
        version = parameters.version or "1"
        held = self._residents.find(order.model, version)
        if held is not None:
            return "it is being unloaded" if held.state == "unloading" else ""
        model = HeldModel(
            order.model,
            version,
            parameters.memory_mb,
            parameters.fencing_number,
            parameters.order_number,
        )
        self._residents.add(model)
        fetched = await self._fetch("model", order.model, parameters.memory_mb)
        if fetched.is_err():
            self._residents.remove(model)
            return fetched.unwrap_err()
        self._residents.mark_ready(model)
        return ""

    async def unload_model(self, order: Order) -> str:
        """Unload one version of a model, or all, once their requests have ended."""
        version = order.parameters.version
        for model in self._residents.versions(order.model):
            if version is None or model.version == version:
                await self._unload(model)
        return ""

    async def _unload(self, model: HeldModel) -> None:
        if model.state == "unloading":
            return
        while model.state == "loading":
            await self._pause()
        model.state = "unloading"
        while model.running:
            await self._pause()
        self._residents.remove(model)

    async def load_adapter(self, order: Order) -> str:
        """Load an adapter onto the resident versions of its model."""
        models = self._adapter_targets(order)
        if not models:
            return "its model is not resident; load the model first"
        for model in models:
            detail = await self._load_onto(model, order)
            if detail:
                return detail
        return ""

    async def _load_onto(self, model: HeldModel, order: Order) -> str:
        name = order.adapter or ""
        if name in model.adapters:
            return ""
        adapter = HeldAdapter(name, order.parameters.memory_mb)
        self._residents.add_adapter(model, adapter)
        fetched = await self._fetch("adapter", name, adapter.memory_mb)
        if fetched.is_err():
            self._residents.remove_adapter(model, name)
            return fetched.unwrap_err()
        adapter.state = "ready"
        return ""

    async def unload_adapter(self, order: Order) -> str:
        """Unload an adapter from the resident versions of its model."""
        for model in self._adapter_targets(order):
            self._residents.remove_adapter(model, order.adapter or "")
        return ""

    def _adapter_targets(self, order: Order) -> list[HeldModel]:
        version = order.parameters.version
        return [
            model
            for model in self._residents.versions(order.model)
            if model.state != "unloading" and version in (None, model.version)
        ]

    async def _pause(self) -> None:
        await self._timer.sleep_until(self._timer.now_s() + DRAIN_POLL_S)
