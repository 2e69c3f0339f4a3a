"""Tracks the models and adapters on each engine server, so that none is overcommitted.

Every order carries the number of orders that the server has accepted before it. Of all
orders with the same number the server carries out at most one, even if they arrive
late. So an order that fits into the memory left at that number is safe whether or not
the other orders are carried out.

A restart resets the number, and a server may keep its name. A late order from before
may then find its number again, so memory and slots are kept free for it.
"""

from typing import Final, final

from _pistachiopond.schema.deployment import BackendServer, EngineSpec
from _pistachiopond.schema.model_orders import ModelOrder, OrderOutcome, ServerReport

# A model stays for at least this long after its load, so that the requests that waited
# for it are served.
KEPT_S: Final = 1.5
# Reports lag by some hundred milliseconds, so a report requested sooner than this after
# the last order may not reflect that order.
REPORT_LAG_S: Final = 0.6
# Time beyond an order's expected end after which the server's state is queried.
OVERDUE_S: Final = 0.8
# An order without an answer may be carried out until this long after it was sent: the
# operators state up to 12 s, and the rest allows for its transit.
LATE_ORDER_S: Final = 13.0


@final
class ServerInventory:
    """One server with the models and adapters on it.

    Attributes
    ----------
    server : BackendServer
        The server's latest description of itself.
    models : dict of str to set of str
        The adapters of each model, including models being loaded or unloaded.
    loading, unloading : dict of str to float
        When each order in progress counts as overdue, `OVERDUE_S` after its expected
        end.
    unloading_adapters : set of (str, str)
        Model and adapter of unloads that wait for requests in progress. The adapter
        takes its slot until a report no longer lists it.
    order_count : int
        Orders that the server has accepted.
    is_known : bool
        Whether the count and the models are certain; if not, the server must be
        queried before it gets another order.
    is_ordering : bool
        Whether an order has been sent and not yet answered.
    ordered_s, asked_s : float
        When the last order was answered, and when the last report was requested.
    reserved_for : str
        The model for which another was unloaded; empty for none.
    kept_until_s : dict of str to float
        Time before which a loaded model must not be unloaded.
    late_loads : dict of ModelOrder to float
        Loads sent to this server or an earlier incarnation of it that got no answer,
        and when they were sent. At most one for each model or adapter and number of
        orders, and none older than `LATE_ORDER_S`.
    """

    def __init__(
        self, server: BackendServer, late_loads: dict[ModelOrder, float] | None = None
    ) -> None:
        self.server = server
        self.late_loads = {} if late_loads is None else late_loads
        self.models = {name: set(adapters) for name, adapters in server.models.items()}
        self.loading: dict[str, float] = {}
        self.unloading: dict[str, float] = {}
        self.unloading_adapters: set[tuple[str, str]] = set()
        self.order_count = 0
        self.is_known = False
        self.is_ordering = False
        self.ordered_s = float("-inf")
        self.asked_s = float("-inf")
        self.adapter_used_s: dict[tuple[str, str], float] = {}
        self.reserved_for = ""
        self.kept_until_s: dict[str, float] = {}

    def describe(self, server: BackendServer) -> None:
        """Update from the server's newest description."""
        self.server = server
        for model in list(self.loading):
            if model in server.models:
                del self.loading[model]
        for model in list(self.unloading):
            if model not in server.models:
                self._remove_model(model)
        stable = set(self.models) - set(self.loading) - set(self.unloading)
        if stable != set(server.models) - set(self.unloading):
            # An earlier order was carried out late, or another process sent one.
            self.is_known = False

    def take_report(self, report: ServerReport, asked_s: float) -> None:
        """Replace the tracked state by the server's report.

        Parameters
        ----------
        report : ServerReport
            The server's answer to a query.
        asked_s : float
            When the report was requested; a report that may not reflect the last
            order is ignored.
        """
        if self.is_ordering or asked_s - self.ordered_s < REPORT_LAG_S:
            return
        if report.is_busy:
            # The server is queried again until the order in progress has ended.
            return
        self.order_count = report.order_count
        self.models = {name: set(names) for name, names in report.models.items()}
        self.loading.clear()
        self.unloading.clear()
        self.unloading_adapters &= {
            (model, adapter)
            for model, adapters in self.models.items()
            for adapter in adapters
        }
        self.is_known = not self.unloading_adapters

    def accepted(self, order: ModelOrder, now_s: float, duration_s: float) -> None:
        """Record that the server has accepted an order.

        Parameters
        ----------
        order : ModelOrder
            The order.
        now_s : float
            When the server's answer arrived.
        duration_s : float
            How long the order is expected to take.
        """
        self.order_count = order.order_count + 1
        end_s = now_s + duration_s + OVERDUE_S
        if order.action == "load" and order.adapter:
            self.models.setdefault(order.model, set()).add(order.adapter)
            # Counts as used now: the request that waits for the adapter does not yet
            # show in the reports of this server.
            self.adapter_used_s[(order.model, order.adapter)] = now_s
        elif order.action == "load":
            self.models.setdefault(order.model, set())
            self.loading[order.model] = end_s
            self.kept_until_s[order.model] = now_s + duration_s + KEPT_S
        elif order.adapter:
            self.unloading_adapters.add((order.model, order.adapter))
            self.is_known = False
        else:
            self.unloading[order.model] = end_s

    def adapter_unloaded(self, order: ModelOrder) -> None:
        """Record that the server has unloaded an adapter at once."""
        self.order_count = order.order_count + 1
        self.models.get(order.model, set()).discard(order.adapter)

    def ready_adapters(self, model: str) -> set[str]:
        """Return the adapters of the model that requests may use."""
        adapters = self.models.get(model, set())
        return {
            name for name in adapters if (model, name) not in self.unloading_adapters
        }

    def is_busy(self) -> bool:
        """Return whether an order for a model is in progress."""
        return bool(self.loading or self.unloading)

    def serves(self, model: str) -> bool:
        """Return whether requests for the model may be sent here."""
        is_moving = model in self.loading or model in self.unloading
        return model in self.models and not is_moving

    def is_overdue(self, now_s: float) -> bool:
        """Return whether an order should have ended by now."""
        ends = (*self.loading.values(), *self.unloading.values())
        return any(now_s > end_s for end_s in ends)

    def used_mb(self, spec: EngineSpec) -> float:
        """Return the memory that models and adapters use."""
        total = 0.0
        for name, adapters in self.models.items():
            model = spec.models.get(name)
            if model is None:
                # No longer in the configuration, so its size is unknown and the
                # server counts as full.
                return spec.memory_mb
            total += model.memory_mb + len(adapters) * model.adapter_mb
        return total

    def adapter_count(self) -> int:
        """Return how many adapters are on the server, or may be loaded late."""
        late = sum(any(item.adapter for item in loads) for loads in self._next_loads())
        return late + sum(len(adapters) for adapters in self.models.values())

    def _next_loads(self) -> list[list[ModelOrder]]:
        """Return late loads that the server carries out directly after its next order.

        At most one of each list. An incarnation that was itself sent a late order has
        reached its number already.
        """
        by_count: dict[int, list[ModelOrder]] = {}
        for order in self.late_loads:
            by_count.setdefault(order.order_count, []).append(order)
        found = []
        count = self.order_count + 1
        while count in by_count:
            found.append(by_count[count])
            count += 1
        return found

    def _late_mb(self, spec: EngineSpec) -> float:
        """Return the memory to keep free for models that may be loaded late."""
        total_mb = 0.0
        for loads in self._next_loads():
            models = [spec.models.get(item.model) for item in loads if not item.adapter]
            # A model that is no longer in the configuration has no known size.
            sizes_mb = [spec.memory_mb if m is None else m.memory_mb for m in models]
            total_mb += max(sizes_mb, default=0.0)
        return total_mb

    def unused_mb(self, spec: EngineSpec) -> float:
        """Return the memory that neither models, adapters nor late loads need.

        Models that were placed at the servers' start, or under an earlier
        configuration, may have left no memory for all adapter slots.
        """
        return spec.memory_mb - self.used_mb(spec) - self._late_mb(spec)

    def _remove_model(self, model: str) -> None:
        self.unloading.pop(model, None)
        self.models.pop(model, None)

    def free_mb(self, spec: EngineSpec, adapter_mb: float) -> float:
        """Return the free memory that is left after reserving all adapter slots.

        Parameters
        ----------
        spec : EngineSpec
            The models' sizes.
        adapter_mb : float
            The memory of the largest adapter, as `largest_adapter_mb` returns it.
        """
        free_slots = max(0, spec.adapter_slots - self.adapter_count())
        return self.unused_mb(spec) - free_slots * adapter_mb


def largest_adapter_mb(spec: EngineSpec) -> float:
    """Return the memory of the largest adapter of any model."""
    return max((model.adapter_mb for model in spec.models.values()), default=0.0)


@final
class EngineFleet:
    """All engine servers of one service, with the models on them."""

    def __init__(self, spec: EngineSpec) -> None:
        self.spec = spec
        self.servers: dict[str, ServerInventory] = {}
        self._late_loads: dict[str, dict[ModelOrder, float]] = {}

    def set_servers(self, servers: dict[str, BackendServer]) -> None:
        """Update from the servers' newest descriptions; drop ended incarnations."""
        for name in list(self.servers):
            known = self.servers[name].server
            now = servers.get(name)
            if now is None or now.started_ms != known.started_ms:
                del self.servers[name]
        for name, server in servers.items():
            inventory = self.servers.get(name)
            if inventory is None:
                late_loads = self._late_loads.setdefault(name, {})
                self.servers[name] = ServerInventory(server, late_loads)
            elif inventory.server is not server:
                inventory.describe(server)

    def record_outcome(
        self,
        inventory: ServerInventory,
        order: ModelOrder,
        outcome: OrderOutcome,
        now_s: float,
    ) -> None:
        """Record what became of an order that was sent to a server.

        Parameters
        ----------
        inventory : ServerInventory
            The server that the order was planned for.
        order : ModelOrder
            The order.
        outcome : OrderOutcome
            The server's answer, or that there was none.
        now_s : float
            The present time.
        """
        is_adapter_unload = order.action == "unload" and bool(order.adapter)
        if outcome == "holds_already" and is_adapter_unload:
            inventory.adapter_unloaded(order)
        elif outcome in ("accepted", "holds_already"):
            duration_s = 0.0
            if order.model in self.spec.models:
                duration_s = self.load_duration_s(inventory, order.model)
            inventory.accepted(order, now_s, duration_s)
            if outcome == "holds_already":
                # The answer does not say whether the server counted the order.
                inventory.is_known = False
        elif outcome == "unanswered" and order.action == "load":
            late_loads = self._late_loads.setdefault(
                order.server_id, inventory.late_loads
            )
            late_loads[order] = now_s
        elif outcome not in ("unanswered", "unsent", "fenced"):
            inventory.is_known = False
        # After a lost answer, the next order carries the same order count. The server
        # refuses it if it executed the first one, so it never executes both.
        inventory.ordered_s = now_s
        inventory.is_ordering = False

    def forget_late_orders(self, now_s: float) -> None:
        """Forget the orders without an answer that can no longer be carried out."""
        for name, orders in list(self._late_loads.items()):
            for order, sent_s in list(orders.items()):
                if now_s - sent_s > LATE_ORDER_S:
                    del orders[order]
            if not orders and name not in self.servers:
                del self._late_loads[name]

    def replicas(self) -> dict[str, list[ServerInventory]]:
        """Return the servers with each model loaded or loading, except leaving ones."""
        found: dict[str, list[ServerInventory]] = {}
        for inventory in self.servers.values():
            if inventory.server.is_leaving:
                continue
            for model in inventory.models:
                if model not in inventory.unloading:
                    found.setdefault(model, []).append(inventory)
        return found

    def load_duration_s(self, inventory: ServerInventory, model: str) -> float:
        """Return the expected time to load the model on the server."""
        spec = self.spec.models[model]
        if model in inventory.server.models_in_memory:
            return spec.memory_load_s
        if model in inventory.server.models_on_disk:
            return spec.disk_load_s
        return spec.load_s

    def is_store_load(self, inventory: ServerInventory, model: str) -> bool:
        """Return whether the model must be loaded from the weight store."""
        local = inventory.server.models_in_memory + inventory.server.models_on_disk
        return model not in local
