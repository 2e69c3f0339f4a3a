"""Executes orders to an engine, which load and unload models and adapters.

An engine may or may not check the fencing number of an order.
"""

from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple, final

import anyio
from anyio.abc import TaskGroup
from result import Err, Ok, Result

from _pistachiopond.kernel.timer import Timer
from _pistachiopond.standin.ledger import Ledger, OrderEntry
from _pistachiopond.standin.resident_models import (
    ResidentAdapter,
    ResidentModel,
    ResidentModels,
)

MAX_RECENT_ORDERS: Final = 256
DRAIN_POLL_INTERVAL_S: Final = 0.02

LoadWeights = Callable[[str, str, int], Awaitable[Result[None, str]]]


class OrderParameters(NamedTuple):
    """Parameters that every order carries besides its target.

    Attributes
    ----------
    fencing_number, order_number : int
        The pair identifies the order.
    version : str or None
        Version of the model. None means version ``"1"`` when loading a model, and
        all resident versions otherwise.
    memory_mb : int
        Accelerator memory that a loaded model or adapter takes.
    wait : bool
        Whether the response waits until the order is done.
    """

    fencing_number: int = 0
    order_number: int = 0
    version: str | None = None
    memory_mb: int = 0
    wait: bool = False


class Order(NamedTuple):
    """One order to an engine."""

    action: str
    model: str
    adapter: str | None
    parameters: OrderParameters


class StaleOrder(NamedTuple):
    """The order has a lower fencing number than an earlier order.

    Attributes
    ----------
    highest : int
        The highest fencing number of the earlier orders.
    """

    highest: int


ExecuteOrder = Callable[[], Awaitable[str]]


@final
class OrderExecutor:
    """Accepts orders and executes each in its own task."""

    def __init__(
        self,
        resident_models: ResidentModels,
        ledger: Ledger,
        load_weights: LoadWeights,
        timer: Timer,
        *,
        checks_fencing: bool,
    ) -> None:
        self._resident_models = resident_models
        self._ledger = ledger
        self._load_weights = load_weights
        self._timer = timer
        self._checks_fencing = checks_fencing
        self._entries: dict[int, OrderEntry] = {}
        self._recent_positions: deque[int] = deque(maxlen=MAX_RECENT_ORDERS)
        self._positions_by_number: dict[tuple[int, int], int] = {}
        self.highest_fencing_number = 0

    def recent(self) -> tuple[OrderEntry, ...]:
        """Return the last `MAX_RECENT_ORDERS` orders, oldest first."""
        return tuple(self._entries[position] for position in self._recent_positions)

    async def submit(
        self, order: Order, group: TaskGroup, execute: ExecuteOrder
    ) -> Result[OrderEntry, StaleOrder]:
        """Start an order, or reject it if its fencing number is stale.

        If fencing numbers are checked, an order that was submitted before is not
        executed again; its entry is returned.

        Parameters
        ----------
        order : Order
            The order to record.
        group : TaskGroup
            Runs the order; it is cancelled when the engine restarts.
        execute : callable
            Executes the order; returns the empty string, or why it failed.
        """
        order_key = (order.parameters.fencing_number, order.parameters.order_number)
        if self._checks_fencing and order_key[0] < self.highest_fencing_number:
            self._record(order, "refused", "stale fencing number")
            return Err(StaleOrder(self.highest_fencing_number))
        if self._checks_fencing and order_key in self._positions_by_number:
            return Ok(self._entries[self._positions_by_number[order_key]])
        self.highest_fencing_number = max(self.highest_fencing_number, order_key[0])
        position = self._record(order, "running", "")
        self._positions_by_number[order_key] = position
        done = anyio.Event()
        group.start_soon(self._run_order, position, execute, done)
        if order.parameters.wait:
            await done.wait()
        else:
            await anyio.lowlevel.checkpoint()
        return Ok(self._entries[position])

    async def _run_order(
        self, position: int, execute: ExecuteOrder, done: anyio.Event
    ) -> None:
        detail = await execute()
        state: Any = "failed" if detail else "done"
        entry = self._entries[position]._replace(state=state, detail=detail)
        self._entries[position] = entry
        self._ledger.replace(position, entry)
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
        position = self._ledger.add(entry)
        self._entries[position] = entry
        self._recent_positions.append(position)
        return position

    async def load_model(self, order: Order) -> str:
        """Load one version of a model."""
        parameters = order.parameters
        version = parameters.version or "1"
        resident = self._resident_models.find(order.model, version)
        if resident is not None:
            return "it is being unloaded" if resident.state == "unloading" else ""
        model = ResidentModel(
            order.model,
            version,
            parameters.memory_mb,
            parameters.fencing_number,
            parameters.order_number,
        )
        self._resident_models.add(model)
        load_result = await self._load_weights(
            "model", order.model, parameters.memory_mb
        )
        if load_result.is_err():
            self._resident_models.remove(model)
            return load_result.unwrap_err()
        self._resident_models.mark_ready(model)
        return ""

    async def unload_model(self, order: Order) -> str:
        """Unload one version of a model, or all, once their running requests end."""
        version = order.parameters.version
        for model in self._resident_models.versions(order.model):
            if version is None or model.version == version:
                await self._unload_version(model)
        return ""

    async def _unload_version(self, model: ResidentModel) -> None:
        if model.state == "unloading":
            return
        while model.state == "loading":
            await self._wait_for_next_poll()
        model.state = "unloading"
        while model.running:
            await self._wait_for_next_poll()
        self._resident_models.remove(model)

    async def load_adapter(self, order: Order) -> str:
        """Load an adapter for the resident versions of its base model."""
        models = self._adapter_targets(order)
        if not models:
            return "its model is not resident; load the model first"
        for model in models:
            detail = await self._load_adapter_onto(model, order)
            if detail:
                return detail
        return ""

    async def _load_adapter_onto(self, model: ResidentModel, order: Order) -> str:
        name = order.adapter or ""
        if name in model.adapters:
            return ""
        adapter = ResidentAdapter(name, order.parameters.memory_mb)
        self._resident_models.add_adapter(model, adapter)
        load_result = await self._load_weights("adapter", name, adapter.memory_mb)
        if load_result.is_err():
            self._resident_models.remove_adapter(model, name)
            return load_result.unwrap_err()
        adapter.state = "ready"
        return ""

    async def unload_adapter(self, order: Order) -> str:
        """Unload an adapter from the resident versions of its base model."""
        for model in self._adapter_targets(order):
            self._resident_models.remove_adapter(model, order.adapter or "")
        return ""

    def _adapter_targets(self, order: Order) -> list[ResidentModel]:
        version = order.parameters.version
        return [
            model
            for model in self._resident_models.versions(order.model)
            if model.state != "unloading" and version in (None, model.version)
        ]

    async def _wait_for_next_poll(self) -> None:
        await self._timer.sleep_until(self._timer.now_s() + DRAIN_POLL_INTERVAL_S)
