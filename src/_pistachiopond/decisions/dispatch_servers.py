"""The dispatcher's state of the backend servers, and its choice among them."""

import random
from collections.abc import Sequence
from typing import Final, final

from _pistachiopond.decisions.dispatch_options import DispatchOptions
from _pistachiopond.decisions.dispatch_types import AttemptFailed, RequestFacts
from _pistachiopond.decisions.ejection import Ejector
from _pistachiopond.decisions.load import SERVER_TOKENS_PER_S, ServerLoad
from _pistachiopond.decisions.queueing import Target
from _pistachiopond.decisions.routing import (
    BLOCK_TOKENS,
    PREFILL_TOKENS_PER_S,
    Place,
    PrefixMap,
    choose_server,
    distance_s,
    make_subset,
    preferred_server,
)
from _pistachiopond.schema.manifest import Manifest
from _pistachiopond.schema.routing import RoutingView, ServerView

RECENT_FAILURE_COST_S: Final = 5.0
DEFAULT_PAUSE_S: Final = 0.5
_FIRST_LOAD_FIELD: Final = ServerView._fields.index("queued_tokens")
UNKNOWN_PLACE: Final = Place("", "")


@final
class ServerTable:
    """The backend servers as seen by one dispatcher."""

    def __init__(self, options: DispatchOptions, rng: random.Random) -> None:
        self._options = options
        self._rng = rng
        self._views: dict[str, ServerView] = {}
        self._loads: dict[str, ServerLoad] = {}
        self._places: dict[str, Place] = {}
        self._ready: dict[Target, tuple[str, ...]] = {}
        self._subsets: dict[Target, tuple[str, ...]] = {}
        self._mean_tokens = 0.0
        self._round_robin_index = 0
        self._prefixes = PrefixMap()
        self.suspects_running: dict[str, int] = {}
        self.ejector = Ejector(is_enabled=options.ejection)
        self.compared = 0

    def url(self, server: str) -> str:
        """Return the server's base address."""
        return self._views[server].url

    def load(self, server: str) -> ServerLoad:
        """Return the load estimate of the server."""
        if server not in self._loads:
            is_adaptive = self._options.adaptive_windows
            self._loads[server] = ServerLoad(is_adaptive=is_adaptive)
        return self._loads[server]

    def set_manifest(self, manifest: Manifest) -> None:
        """Update the servers' locations from the manifest."""
        self._places = {
            server.name: Place(server.data_centre, server.region)
            for server in manifest.backend_servers
        }
        self._subsets.clear()

    def set_view(self, view: RoutingView, now_s: float) -> None:
        """Replace the view of the servers.

        The cached lists of servers are rebuilt only if more than the load reports has
        changed.
        """
        old = self._views
        self._views = {server.name: server for server in view.servers}
        is_unchanged = len(old) == len(self._views) and all(
            _is_same_except_load(old.get(server.name), server)
            for server in view.servers
        )
        for name, server in self._views.items():
            self.load(name).reported(server.queued_tokens, server.report_age_s, now_s)
            if server.cached_prefixes and self._options.prefix_affinity:
                self._prefixes.learn(server.cached_prefixes, name)
        if is_unchanged:
            self._update_mean_load()
            return
        self._ready.clear()
        self._subsets.clear()
        for name in [n for n in self._loads if n not in self._views]:
            if self._loads[name].in_flight == 0:
                del self._loads[name]
        services: dict[str, set[str]] = {}
        for server in self._views.values():
            services.setdefault(server.service, set()).add(server.name)
        self.ejector.set_servers(
            {service: frozenset(names) for service, names in services.items()}
        )
        self._update_mean_load()

    def ready(self, target: Target) -> tuple[str, ...]:
        """Return the names of the servers that can run the target's requests."""
        known = self._ready.get(target)
        if known is None:
            known = tuple(
                sorted(
                    name for name, view in self._views.items() if _serves(view, target)
                )
            )
            self._ready[target] = known
        return known

    def choose(
        self,
        facts: RequestFacts,
        target: Target,
        tried: Sequence[str],
        now_s: float,
        *,
        is_over_share: bool = False,
    ) -> str | None:
        """Return the server for the request, or None if none has room now."""
        ready = self.ready(target)
        usable = [s for s in ready if not self.ejector.is_ejected(s, now_s)]
        # If all servers are ejected, they are tried nevertheless: an attempt that
        # fails gives the caller a result sooner than waiting until an ejection ends.
        are_all_ejected = not usable
        usable = usable or list(ready)
        untried = [s for s in usable if s not in tried] or usable

        urgency = facts.urgency if self._options.urgency_classes else "normal"

        def has_room(server: str) -> bool:
            self.compared += 1
            if target.is_suspect and self.suspects_running.get(server, 0):
                return False
            load = self.load(server)
            is_probing = self.ejector.is_probing(server) and not are_all_ejected
            if is_probing and load.in_flight:
                return False
            return load.has_room(urgency, now_s, is_over_share=is_over_share)

        if self._options.routing != "cost":
            return self._choose_baseline(untried, now_s)
        cached = self._cached_tokens(facts)
        preferred = self._preferred_server(facts, self._servers_in_region(untried))
        if preferred is not None:
            cached.setdefault(preferred, BLOCK_TOKENS * len(facts.prefix_ids))
        affinity_servers = [s for s in untried if s in cached]

        def cost_s(server: str) -> float:
            return self._cost_s(server, cached.get(server, 0), now_s)

        subset = self._subset_for(target, ready)
        untried_subset = [s for s in subset if s in untried]
        return choose_server(
            untried_subset, untried, affinity_servers, cost_s, has_room, self._rng
        )

    def started(
        self, server: str, facts: RequestFacts, cost_tokens: float, now_s: float
    ) -> None:
        """Record that an attempt starts on the server."""
        self.load(server).started(facts.request_id, cost_tokens, now_s)
        if self._options.prefix_affinity:
            self._prefixes.learn(facts.prefix_ids, server)

    def failed(self, server: str, event: AttemptFailed, now_s: float) -> None:
        """Update the server's load, prefix and health state after a failed attempt."""
        load = self.load(server)
        if event.kind == "refused":
            load.record_overload(event.server_retry_after_s or DEFAULT_PAUSE_S, now_s)
        if event.kind in ("connect", "reset", "silent"):
            self._prefixes.forget_server(server)
        if self.ejector.failed(server, event.kind, now_s):
            load.reset_window()

    def _choose_baseline(self, servers: list[str], now_s: float) -> str | None:
        if not servers:
            return None
        if self._options.routing == "round_robin":
            self._round_robin_index += 1
            return servers[self._round_robin_index % len(servers)]
        return min(servers, key=lambda s: (self._cost_s(s, 0, now_s), s))

    def _cached_tokens(self, facts: RequestFacts) -> dict[str, int]:
        if not self._options.prefix_affinity:
            return {}
        return self._prefixes.cached_tokens(facts.prefix_ids)

    def _servers_in_region(self, servers: list[str]) -> list[str]:
        if not self._options.local_first:
            return servers
        region = self._options.place.region
        in_region = [s for s in servers if self._place_of(s).region == region]
        return in_region or servers

    def _place_of(self, server: str) -> Place:
        return self._places.get(server, UNKNOWN_PLACE)

    def _preferred_server(
        self, facts: RequestFacts, servers: Sequence[str]
    ) -> str | None:
        if not self._options.prefix_affinity:
            return None
        return preferred_server(facts.prefix_ids, servers)

    def _cost_s(self, server: str, cached_tokens: int, now_s: float) -> float:
        load = self.load(server)
        mean_tokens = self._mean_tokens
        others_tokens = load.last_others_tokens()
        if self._options.aged_reports:
            others_tokens = load.others_tokens(now_s, mean_tokens)
        cost = (others_tokens + load.own_tokens()) / SERVER_TOKENS_PER_S
        cost -= cached_tokens / PREFILL_TOKENS_PER_S
        if self._options.local_first:
            cost += distance_s(self._options.place, self._place_of(server))
        if self.ejector.has_recent_failures(server):
            cost += RECENT_FAILURE_COST_S
        return cost

    def _subset_for(self, target: Target, ready: Sequence[str]) -> tuple[str, ...]:
        if not self._options.bounded_subset:
            return tuple(ready)
        known = self._subsets.get(target)
        if known is None:
            known = make_subset(
                self._options.daemon,
                ready,
                self._options.place,
                self._place_of,
            )
            self._subsets[target] = known
        return known

    def _update_mean_load(self) -> None:
        loads = [self.load(name).last_others_tokens() for name in self._views]
        self._mean_tokens = sum(loads) / len(loads) if loads else 0.0


def _is_same_except_load(old: ServerView | None, new: ServerView) -> bool:
    if old is None:
        return False
    if old.residents is not new.residents and old.residents != new.residents:
        return False
    return old[:_FIRST_LOAD_FIELD] == new[:_FIRST_LOAD_FIELD]


def _serves(view: ServerView, target: Target) -> bool:
    if view.availability != "serving" or view.service != target.service:
        return False
    if target.model is None:
        return True
    return any(
        resident.model == target.model
        and resident.state == "ready"
        and (target.adapter is None or target.adapter in resident.adapters)
        for resident in view.residents
    )
