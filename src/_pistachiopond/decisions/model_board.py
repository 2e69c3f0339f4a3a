"""What each engine server holds, counted so that no order can overfill it.

Every order names how many orders the server has accepted before. Of all orders that
name one number the server carries out at most one, also late, so an order that fits
what the server held at that number is safe whatever becomes of the others.
"""

from typing import Final, final

from _pistachiopond.schema.deployment import BackendServer, EngineSpec
from _pistachiopond.schema.model_orders import ModelOrder, ServerReport

# A model stays for this long after its load, so that what waited for it is served.
KEPT_S: Final = 1.5
# Reports show the state of some hundred milliseconds before, so one that was asked
# for sooner than this after the last order says nothing about it.
REPORT_LAG_S: Final = 0.6
# An order that should have ended this long ago is asked about.
OVERDUE_S: Final = 0.8


@final
class Holding:
    """One server and what it holds.

    Attributes
    ----------
    server : BackendServer
        As it describes itself.
    models : dict of str to set of str
        The adapters of each model, those being loaded or unloaded included.
    loading, unloading : dict of str to float
        When each order in progress is expected to end.
    order_count : int
        Orders that the server has accepted.
    is_known : bool
        Whether the count and the models are certain; if not, the server must be
        asked before it gets another order.
    is_ordering : bool
        Whether an order is on its way.
    ordered_s, asked_s : float
        When the last order was answered, and the last report asked for.
    reserved_for : str
        The model for which another was unloaded; empty for none.
    kept_until_s : dict of str to float
        Until when a model that was loaded is not unloaded.
    """

    def __init__(self, server: BackendServer) -> None:
        self.server = server
        self.models = {name: set(adapters) for name, adapters in server.models.items()}
        self.loading: dict[str, float] = {}
        self.unloading: dict[str, float] = {}
        self.order_count = 0
        self.is_known = False
        self.is_ordering = False
        self.ordered_s = float("-inf")
        self.asked_s = float("-inf")
        self.adapter_used_s: dict[tuple[str, str], float] = {}
        self.reserved_for = ""
        self.kept_until_s: dict[str, float] = {}

    def describe(self, server: BackendServer) -> None:
        """Take the server's newest description into account."""
        self.server = server
        for model in list(self.loading):
            if model in server.models:
                del self.loading[model]
        for model in list(self.unloading):
            if model not in server.models:
                self._dropped(model)
        settled = set(self.models) - set(self.loading) - set(self.unloading)
        if settled != set(server.models) - set(self.unloading):
            # An order of before was carried out late, or somebody else gave one.
            self.is_known = False

    def take_report(self, report: ServerReport, asked_s: float) -> None:
        """Replace what is known by what the server says when asked.

        Parameters
        ----------
        report : ServerReport
            Its answer.
        asked_s : float
            When it was asked; a report that may show the state before the last
            order is ignored.
        """
        if self.is_ordering or asked_s - self.ordered_s < REPORT_LAG_S:
            return
        if report.is_busy:
            # Asked again until the order in progress has ended.
            return
        self.order_count = report.order_count
        self.models = {name: set(names) for name, names in report.models.items()}
        self.loading.clear()
        self.unloading.clear()
        self.is_known = True

    def accepted(self, order: ModelOrder, now_s: float, duration_s: float) -> None:
        """Note that the server has accepted an order.

        Parameters
        ----------
        order : ModelOrder
            The order.
        now_s : float
            When its answer came.
        duration_s : float
            How long it takes.
        """
        self.order_count = order.order_count + 1
        end_s = now_s + duration_s + OVERDUE_S
        if order.action == "load" and order.adapter:
            self.models.setdefault(order.model, set()).add(order.adapter)
            # The request that it was loaded for has not been reported there yet.
            self.adapter_used_s[(order.model, order.adapter)] = now_s
        elif order.action == "load":
            self.models.setdefault(order.model, set())
            self.loading[order.model] = end_s
            self.kept_until_s[order.model] = now_s + duration_s + KEPT_S
        elif order.adapter:
            self.models.get(order.model, set()).discard(order.adapter)
        else:
            self.unloading[order.model] = end_s

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
        """Return the memory that models and adapters take."""
        total = 0.0
        for name, adapters in self.models.items():
            model = spec.models.get(name)
            if model is None:
                # Not in the configuration any more; nothing else fits beside it.
                return spec.memory_mb
            total += model.memory_mb + len(adapters) * model.adapter_mb
        return total

    def adapter_count(self) -> int:
        """Return how many adapters it holds."""
        return sum(len(adapters) for adapters in self.models.values())

    def _dropped(self, model: str) -> None:
        self.unloading.pop(model, None)
        self.models.pop(model, None)

    def free_mb(self, spec: EngineSpec) -> float:
        """Return the memory that is left, with room kept for all adapter slots."""
        widest = max((m.adapter_mb for m in spec.models.values()), default=0.0)
        kept = max(0, spec.adapter_slots - self.adapter_count()) * widest
        return spec.memory_mb - self.used_mb(spec) - kept


@final
class Board:
    """All engine servers of one service."""

    def __init__(self, spec: EngineSpec) -> None:
        self.spec = spec
        self.holdings: dict[str, Holding] = {}

    def set_servers(self, servers: dict[str, BackendServer]) -> None:
        """Take the servers' newest descriptions; those that are gone are dropped."""
        for name in list(self.holdings):
            known = self.holdings[name].server
            now = servers.get(name)
            if now is None or now.started_ms != known.started_ms:
                del self.holdings[name]
        for name, server in servers.items():
            holding = self.holdings.get(name)
            if holding is None:
                self.holdings[name] = Holding(server)
            elif holding.server is not server:
                holding.describe(server)

    def replicas(self) -> dict[str, list[Holding]]:
        """Return the servers that hold or load each model, but the leaving ones."""
        found: dict[str, list[Holding]] = {}
        for holding in self.holdings.values():
            if holding.server.is_leaving:
                continue
            for model in holding.models:
                if model not in holding.unloading:
                    found.setdefault(model, []).append(holding)
        return found

    def load_duration_s(self, holding: Holding, model: str) -> float:
        """Return how long the server will take to load the model."""
        spec = self.spec.models[model]
        if model in holding.server.models_in_memory:
            return spec.memory_load_s
        if model in holding.server.models_on_disk:
            return spec.disk_load_s
        return spec.load_s

    def is_store_load(self, holding: Holding, model: str) -> bool:
        """Return whether loading the model takes from the weight store."""
        kept = holding.server.models_in_memory + holding.server.models_on_disk
        return model not in kept
