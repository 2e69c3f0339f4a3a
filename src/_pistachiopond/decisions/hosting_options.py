"""Finds the cheapest server for a new replica of a model.

Load that this answers: hundreds of models of which most are on no server, and a plan
ten times a second on a small VM. What a server costs hardly depends on the model: the
memory that is free, and the models that could make way, are the same for all. So each
plan sorts the servers once for each size of models, and looks at few of them for each
model.
"""

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from itertools import product
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.engine_fleet import EngineFleet, ServerInventory

# Cost of each second that a load takes, in the unit of `model_plan`.
LOAD_COST_PER_S: Final = 1.0
# A server that is loading a model accepts no adapter orders, so each second of the load
# costs this much more on servers that hold models with adapters in demand.
ADAPTER_SERVER_COST_FACTOR: Final = 1.2


class Removal(NamedTuple):
    """A model that can be unloaded to make room.

    Attributes
    ----------
    cost : float
        What is lost without this replica, and while running requests end.
    model : str
        The model.
    freed_mb : float
        The memory that it uses.
    """

    cost: float
    model: str
    freed_mb: float


class HostingServer(NamedTuple):
    """A server that takes orders.

    Attributes
    ----------
    inventory : ServerInventory
        The models on it.
    free_mb : float
        Memory that is free for models.
    utilisation : float
        Requests in progress, divided by its slots.
    has_adapters : bool
        Whether it holds a model with adapters in demand.
    takes_any : bool
        Whether it may get models that no memory has been freed for.
    removals : sequence of Removal
        The models that can make way, the cheapest first.
    """

    inventory: ServerInventory
    free_mb: float
    utilisation: float
    has_adapters: bool
    takes_any: bool
    removals: Sequence[Removal]

    @property
    def name(self) -> str:
        """The server's name."""
        return self.inventory.server.server_id

    def cheapest_removal(self, required_mb: float) -> Removal | None:
        """Return the cheapest model that makes enough room, or None."""
        for removal in self.removals:
            if self.free_mb + removal.freed_mb >= required_mb:
                return removal
        return None


class HostingOption(NamedTuple):
    """One way to host a replica; the lowest by the first three fields is the best.

    Attributes
    ----------
    cost : float
        The cost, in the unit of `model_plan`.
    utilisation : float
        As in `HostingServer`.
    server_id : str
        The server's name.
    inventory : ServerInventory
        The models on the server.
    victim : str or None
        The model to unload first; None if there is room.
    """

    cost: float
    utilisation: float
    server_id: str
    inventory: ServerInventory
    victim: str | None


class HostingNeed(NamedTuple):
    """What a replica is needed for.

    Attributes
    ----------
    model : str
        The model.
    needs_more : bool
        Whether a server may be chosen that no memory was freed on for it.
    is_missing : bool
        Whether it is in recent demand and on no server that may host it.
    software_version : str or None
        The only software version whose servers may host it; None for any.
    """

    model: str
    needs_more: bool
    is_missing: bool
    software_version: str | None


@final
class HostingIndex:
    """The servers of one plan, sorted by what a replica of each size would cost."""

    def __init__(
        self,
        fleet: EngineFleet,
        servers: Iterable[HostingServer],
        may_load: Callable[[ServerInventory, str], bool],
    ) -> None:
        """Index the servers.

        Parameters
        ----------
        fleet : EngineFleet
            The models' sizes and load times.
        servers : iterable of HostingServer
            The servers that take orders, in a fixed order.
        may_load : callable
            Returns whether a server may load a model now, by the weight store's rate.
        """
        self._fleet = fleet
        self._may_load = may_load
        self._servers = {server.name: server for server in servers}
        self._by_size: dict[float, dict[tuple[bool, bool], list[HostingServer]]] = {}
        self._reserved: dict[str, list[HostingServer]] = {}
        self._local: dict[str, list[HostingServer]] = {}
        for server in self._servers.values():
            described = server.inventory.server
            if server.inventory.reserved_for:
                found = self._reserved.setdefault(server.inventory.reserved_for, [])
                found.append(server)
            for model in {*described.models_in_memory, *described.models_on_disk}:
                self._local.setdefault(model, []).append(server)

    def best(
        self, need: HostingNeed, ordered_servers: Collection[str]
    ) -> HostingOption | None:
        """Return the cheapest option, or None.

        Parameters
        ----------
        need : HostingNeed
            The model and what it is needed for.
        ordered_servers : collection of str
            Servers that get another order of this plan.
        """
        for server in self._reserved.get(need.model, ()):
            if server.name in ordered_servers or not _may_host(server, need):
                continue
            option = self.option_at(server, need)
            if option is not None:
                # A model was unloaded here for this one, so the cost is already paid.
                return option._replace(cost=float("-inf"))
        if not need.needs_more:
            return None
        options = [
            option
            for server in self._candidates(need, ordered_servers)
            if (option := self.option_at(server, need)) is not None
        ]
        return min(options, default=None, key=lambda option: option[:3])

    def option_at(
        self, server: HostingServer, need: HostingNeed
    ) -> HostingOption | None:
        """Return how one server could host the model, or None."""
        model, inventory = need.model, server.inventory
        load_delay = LOAD_COST_PER_S * self._fleet.load_duration_s(inventory, model)
        load_cost = load_delay
        if server.has_adapters:
            load_cost += ADAPTER_SERVER_COST_FACTOR * load_delay
        required_mb = self._fleet.spec.models[model].memory_mb
        utilisation, name = server.utilisation, server.name
        if server.free_mb >= required_mb:
            if need.is_missing:
                if not self._may_load(inventory, model):
                    return None
                # Callers of the model are refused while the memory stays free, so
                # however long the load takes, it makes none of them wait longer.
                load_cost -= load_delay
            return HostingOption(load_cost, utilisation, name, inventory, None)
        removal = server.cheapest_removal(required_mb)
        if removal is None:
            return None
        cost = removal.cost + load_cost
        return HostingOption(cost, utilisation, name, inventory, removal.model)

    def _candidates(
        self, need: HostingNeed, ordered_servers: Collection[str]
    ) -> list[HostingServer]:
        """Return servers of which the cheapest one is the cheapest of all.

        A load takes equally long on all servers without a copy of the weights. So of
        those that differ in nothing else, the first one is enough.
        """

        def is_possible(server: HostingServer) -> bool:
            return (
                server.takes_any
                and server.name not in ordered_servers
                and not server.inventory.reserved_for
                and _may_host(server, need)
            )

        local = self._local.get(need.model, ())
        found = [server for server in local if is_possible(server)]
        for group in self._groups(self._fleet.spec.models[need.model].memory_mb):
            for server in group:
                if is_possible(server) and self._fleet.is_store_load(
                    server.inventory, need.model
                ):
                    found.append(server)
                    break
        return found

    def _groups(self, required_mb: float) -> Iterable[list[HostingServer]]:
        known = self._by_size.get(required_mb)
        if known is None:
            known = _sorted_groups(self._servers, required_mb)
            self._by_size[required_mb] = known
        return known.values()


def _sorted_groups(
    servers: Mapping[str, HostingServer], required_mb: float
) -> dict[tuple[bool, bool], list[HostingServer]]:
    """Return the servers with room, and those where models can make way.

    Each of them apart for servers with adapters in demand, the cheapest first.
    """
    keyed: dict[tuple[bool, bool], list[tuple[float, float, str]]] = {
        key: [] for key in product((True, False), repeat=2)
    }
    for server in servers.values():
        has_room = server.free_mb >= required_mb
        removal = None if has_room else server.cheapest_removal(required_mb)
        if has_room or removal is not None:
            cost = 0.0 if removal is None else removal.cost
            entry = (cost, server.utilisation, server.name)
            keyed[has_room, server.has_adapters].append(entry)
    return {
        key: [servers[name] for _, _, name in sorted(entries)]
        for key, entries in keyed.items()
    }


def _may_host(server: HostingServer, need: HostingNeed) -> bool:
    inventory = server.inventory
    is_version = need.software_version in (None, inventory.server.software_version)
    return is_version and need.model not in inventory.models
