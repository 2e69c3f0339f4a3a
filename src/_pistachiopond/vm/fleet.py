"""The backend servers known to this VM, with their load and health."""

import random
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Final, NamedTuple, final

import anyio

from _pistachiopond.decisions.brittle_servers import ServerState
from _pistachiopond.decisions.ejection import Ejector
from _pistachiopond.decisions.evacuation import are_all_evacuated, may_get_work
from _pistachiopond.decisions.failure_kinds import FailureKind
from _pistachiopond.decisions.server_choice import (
    MAX_RANKED,
    Candidate,
    candidate_biases,
    load_cost,
    rank_candidates,
)
from _pistachiopond.decisions.server_crashes import RefusingServers
from _pistachiopond.decisions.server_pauses import MAX_PAUSE_S, ServerPauses
from _pistachiopond.decisions.server_rates import NamedRates, no_cold_rate
from _pistachiopond.decisions.server_silences import ServerSilences
from _pistachiopond.decisions.server_speeds import (
    MAX_SPEED,
    MIN_SPEED,
    SpeedSamples,
)
from _pistachiopond.observe.logs import log_change, log_warning
from _pistachiopond.platform.servers import decode_server
from _pistachiopond.platform.store import KeyedRecord
from _pistachiopond.schema.deployment import BackendServer, Incarnation
from _pistachiopond.schema.server_notice import ServerNotice
from _pistachiopond.vm.brittle_services import BrittleServices
from _pistachiopond.vm.clock import boot_s
from _pistachiopond.vm.counts import decrease, increase
from _pistachiopond.vm.topic_cache import REWRITE_S

# A deletion read this soon after the store's return may be such an expiry.
EXPIRY_WINDOW_S: Final = 1.0
# Entries expire after three missed heartbeats, so a shorter outage expires none.
EXPIRY_HEARTBEATS: Final = 3.0
# How long removed servers are remembered. The store's copies are some seconds old, so
# an entry of a server that was removed earlier is not in them.
REMOVED_MEMORY_S: Final = 60.0
# A draining server gets requests only when no other server can take them, and only
# during this share of the operators' drain limit.
LEAVING_USE_SHARE: Final = 0.6
# How long a server that has no entry is remembered as leaving. Its entry can come back,
# for example after a store outage, but no server leaves for longer than this.
LEAVING_MEMORY_S: Final = 600.0


class LoadedModels(NamedTuple):
    """Models loaded on an engine server, as announced by the leader.

    Attributes
    ----------
    started_ms : int
        Start time of the server's incarnation that the announcement is about.
    models : dict of str to frozenset of str
        Models ready for requests, with their loaded adapters.
    """

    started_ms: int
    models: dict[str, frozenset[str]]


class ModelRef(NamedTuple):
    """A model of a service, or one of its adapters.

    `adapter` is empty for the base model; both are empty for services without models.
    """

    service: str
    model: str
    adapter: str


class RankedServer(NamedTuple):
    """A candidate server for a request.

    `bias` is added to the server's utilisation, its load divided by its slots, for this
    request: a distance penalty, less a prompt affinity bonus.
    """

    server: BackendServer
    bias: float


@final
class Fleet:
    """Tracks the registered servers, their load, health and loaded models."""

    def __init__(self, data_centre: str, heartbeat_s: float, drain_s: float) -> None:
        self._data_centre = data_centre
        self._expiry_outage_s = EXPIRY_HEARTBEATS * heartbeat_s
        self._drain_s = drain_s
        self.servers: dict[str, BackendServer] = {}
        self._by_service: dict[str, dict[str, BackendServer]] = {}
        # As their entries describe them, whatever their answers have said.
        self._stated: dict[str, BackendServer] = {}
        self._expired_until_s: dict[str, float] = {}
        self._removed_s: dict[tuple[str, int], float] = {}
        # The earliest time at which the store may have known that a server leaves, or
        # at which the server said so.
        self._leaving_since_s: dict[tuple[str, int], float] = {}
        self._pauses = ServerPauses()
        self._silences = ServerSilences()
        self._accepted_s: dict[Incarnation, float] = {}
        self.rates = NamedRates()
        # Called with what an answer has changed about a server's rate.
        self.on_rate: Callable[[Incarnation, float | None], None] = ignore_rate
        # Called with the seconds that a server stays cold, if an answer says it newly.
        self.on_cold: Callable[[Incarnation, float], None] = ignore_rate
        # Returns for how long a new server of a service is cold if it does not say.
        self.cold_start_s: Callable[[str], float] = no_cold_rate
        self.refusals = RefusingServers()
        self._loaded_models: dict[str, LoadedModels] = {}
        self.own_load: dict[str, int] = {}
        self._ended: dict[str, int] = {}
        # As the leader last told; kept while there is none.
        self.speeds: dict[Incarnation, float] = {}
        self.speed_samples = SpeedSamples()
        self.peer_load: dict[str, int] = {}
        self.ejector = Ejector()
        self.brittle = BrittleServices(self._server_states)
        self.evacuated: frozenset[str] = frozenset()
        self.is_loaded = False
        self.change_count = 0
        # Changes of servers and of their loaded models.
        self.version_change_count = 0
        self.changed = anyio.Event()
        self._rng = random.Random()
        self._current_as_of_s = boot_s()
        self._store_returned_s = float("-inf")

    def set_drain_s(self, drain_s: float) -> None:
        """Set for how long the operators let draining servers get requests."""
        self._drain_s = drain_s

    def set_evacuated(self, data_centres: Iterable[str]) -> None:
        """Set the data centres whose servers get nothing new."""
        self.evacuated = frozenset(data_centres)
        self._servers_changed()

    # Updates from the topic of server entries.

    def apply(self, record: KeyedRecord) -> bool:
        """Apply the newest entry of a server; return whether it is another one.

        An entry may say what this VM has learned from the server's answers. Other VMs
        may not have, so it counts as another one all the same.
        """
        if not record.value:
            is_other = self._record_stated(record.key, None)
            return self._entry_deleted(record.key) or is_other
        decoded = decode_server(record.key, record.value)
        if decoded.is_err():
            log_warning(
                "server entry cannot be read", server=record.key, reason=decoded.err()
            )
            is_other = self._record_stated(record.key, None)
            return self._entry_deleted(record.key) or is_other
        server = decoded.ok()._replace(cold_remaining_s=None)
        is_cold_news = self._record_entry_cold(server, decoded.ok().cold_remaining_s)
        is_other = self._record_stated(record.key, server)
        return self._add_or_update(server) or is_other or is_cold_news

    def _record_entry_cold(
        self, server: BackendServer, remaining_s: float | None
    ) -> bool:
        """Record what an entry says of a cold phase; return whether to relay it.

        A start that is first seen during traffic, and whose entry does not say, counts
        as cold. Servers that were there before this VM are warm.
        """
        incarnation, service = server.incarnation(), server.service
        known = self.servers.get(server.server_id)
        if known is not None and known.started_ms > server.started_ms:
            return False
        if remaining_s is not None:
            return self.record_cold(incarnation, service, remaining_s, "entry")
        is_start = known is None or known.started_ms < server.started_ms
        start_s = self.cold_start_s(service)
        if not is_start or not self.is_loaded or start_s <= 0.0:
            return False
        if incarnation in self._removed_s:
            return False
        return self.record_cold(
            incarnation, service, start_s, "first seen", is_assumed=True
        )

    def _record_stated(self, name: str, server: BackendServer | None) -> bool:
        """Keep what a server's entry says; return whether the one before said else."""
        known = self._stated.pop(name, None)
        if server is not None:
            self._stated[name] = server
        return known != server

    def apply_copied(self, record: KeyedRecord) -> bool:
        """Apply an entry found when the store has come back from an older copy.

        The entry of a server that has gone since is ignored. If the server is running,
        it writes its entry again.
        """
        decoded = decode_server(record.key, record.value) if record.value else None
        if decoded is not None and decoded.is_ok():
            if decoded.ok().incarnation() in self._removed_s:
                log_change("copied entry of a removed server", server=record.key)
                return False
        return self.apply(record)

    def store_restored(self) -> None:
        """Record that the store has come back from an older copy.

        Servers whose entries the copy lacks are kept until they had time to write
        them again.
        """
        self._store_returned_s = boot_s()

    def mark_current(self, at_s: float) -> None:
        """Record that all entries written until `at_s` have been applied."""
        if at_s - self._current_as_of_s >= self._expiry_outage_s:
            self._store_returned_s = boot_s()
        self._current_as_of_s = max(self._current_as_of_s, at_s)
        self.is_loaded = True

    def entries_age_s(self) -> float:
        """Return how old the servers' entries are."""
        return boot_s() - self._current_as_of_s

    def remove_expired(self) -> None:
        """Remove servers whose expired entries were not written again in time."""
        now_s = boot_s()
        for name, until_s in list(self._expired_until_s.items()):
            if now_s >= until_s:
                self._remove(name)
        for incarnation, removed_s in list(self._removed_s.items()):
            if now_s - removed_s > REMOVED_MEMORY_S:
                del self._removed_s[incarnation]
        present = {server.incarnation() for server in self.servers.values()}
        for incarnation, since_s in list(self._leaving_since_s.items()):
            if incarnation not in present and now_s - since_s > LEAVING_MEMORY_S:
                del self._leaving_since_s[incarnation]
        self._pauses.drop_ended(now_s)
        self._silences.keep_only(present)
        for incarnation in self._accepted_s.keys() - present:
            del self._accepted_s[incarnation]
        self.rates.keep_only(present, now_s)
        self.refusals.keep_only(present)
        self.brittle.keep_only(present, now_s)

    # Updates from the servers' answers.

    def apply_notice(self, server: BackendServer, notice: ServerNotice) -> None:
        """Apply what an answer of a server says about the server itself."""
        name, now_s = server.server_id, boot_s()
        if notice.problem:
            log_warning(
                "server's notice cannot be read", server=name, reason=notice.problem
            )
        if notice.pause_s is not None:
            is_new = self._pauses.begin(server.incarnation(), notice.pause_s, now_s)
            if is_new or notice.pause_s > MAX_PAUSE_S:
                log_change(
                    "server asks for a pause", server=name, pause_s=notice.pause_s
                )
        if not notice.keeps_crash_limit:
            self.brittle.record_answer(server, notice.crash_limit, now_s)
        if not notice.keeps_rate:
            rate_per_s = notice.rate_per_s
            if self.record_rate(server.incarnation(), rate_per_s, "answer"):
                self.on_rate(server.incarnation(), rate_per_s)
        self._record_answered_cold(server, notice.cold_remaining_s)
        if not notice.is_leaving or server.incarnation() in self._leaving_since_s:
            return
        self._leaving_since_s[server.incarnation()] = now_s
        log_change("server says that it leaves", server=name, service=server.service)
        known = self.servers.get(name)
        if known is not None and known.incarnation() == server.incarnation():
            self._store(known._replace(is_leaving=True))

    def _record_answered_cold(
        self, server: BackendServer, remaining_s: float | None
    ) -> None:
        incarnation, service = server.incarnation(), server.service
        if remaining_s is not None and self.record_cold(
            incarnation, service, remaining_s, "answer"
        ):
            self.on_cold(incarnation, remaining_s)

    def record_rate(
        self, incarnation: Incarnation, rate_per_s: float | None, source: str
    ) -> bool:
        """Record the rate that a server names; return whether this is new.

        Parameters
        ----------
        incarnation : tuple of (str, int)
            The server's name and start time.
        rate_per_s : float or None
            The requests per second of all VMs; None if it names none.
        source : str
            What told this VM, for the log.
        """
        if not self.rates.record(incarnation, rate_per_s, boot_s()):
            return False
        log_change(
            "server's rate changed",
            server=incarnation[0],
            started_ms=incarnation[1],
            rate_per_s=rate_per_s,
            source=source,
        )
        return True

    def record_cold(
        self,
        incarnation: Incarnation,
        service: str,
        remaining_s: float,
        source: str,
        *,
        is_assumed: bool = False,
    ) -> bool:
        """Record for how much longer a server is cold; return whether this is new.

        Parameters
        ----------
        incarnation : tuple of (str, int)
            The server's name and start time.
        service : str
            The service that it runs.
        remaining_s : float
            The time from now on.
        source : str
            What told this VM, for the log.
        is_assumed : bool
            Whether the server has not said so itself.
        """
        is_new = self.rates.record_cold(
            incarnation,
            service,
            remaining_s,
            boot_s(),
            can_end=source != "entry",
            is_assumed=is_assumed,
        )
        if is_new:
            log_change(
                "server is cold" if remaining_s > 0.0 else "server is warm",
                server=incarnation[0],
                started_ms=incarnation[1],
                remaining_s=round(remaining_s, 3),
                source=source,
            )
        if is_new and remaining_s <= 0.0:
            self.wake_waiters()
        return is_new

    # Updates from the leader.

    def set_loaded_models(self, server_id: str, loaded: LoadedModels) -> None:
        """Set the models loaded on a server."""
        self._loaded_models[server_id] = loaded
        self.version_change_count += 1
        self.wake_waiters()

    def clear_loaded_models(self) -> None:
        """Discard the leader's announcements and use the servers' own entries."""
        self._loaded_models.clear()
        self.version_change_count += 1

    def set_total_load(
        self, total_load: dict[str, int], member_count: int, period_s: float
    ) -> None:
        """Set the requests in progress at each server, of all VMs.

        Parameters
        ----------
        total_load : dict of str to int
            The numbers of requests, by server.
        member_count : int
            The number of VMs.
        period_s : float
            The time until the next such update.
        """
        self.peer_load = {
            name: max(0, total - self.own_load.get(name, 0))
            for name, total in total_load.items()
        }
        self.brittle.load_updated(member_count, period_s, boot_s())

    # Queries and load accounting for requests.

    def servers_of(
        self, service: str, software_version: str | None = None
    ) -> Iterable[BackendServer]:
        """Return the servers of a service, or only those of one software version."""
        servers = self._by_service.get(service, {}).values()
        if software_version is None:
            return servers
        return [item for item in servers if item.software_version == software_version]

    def software_versions(self) -> dict[str, frozenset[str]]:
        """Return the software versions of each service's servers."""
        return {
            service: frozenset(server.software_version for server in servers.values())
            for service, servers in self._by_service.items()
        }

    def models_of(self, server: BackendServer) -> Iterable[str]:
        """Return the models that the server has loaded."""
        return self._adapters_by_model(server)

    def _adapters_by_model(
        self, server: BackendServer
    ) -> Mapping[str, Collection[str]]:
        loaded = self._loaded_models.get(server.server_id)
        if loaded is not None and loaded.started_ms == server.started_ms:
            return loaded.models
        return server.models

    def current(self, incarnation: Incarnation) -> BackendServer | None:
        """Return the server if this incarnation is registered."""
        server = self.servers.get(incarnation[0])
        is_current = server is not None and server.incarnation() == incarnation
        return server if is_current else None

    def staying_servers(self, service: str) -> list[BackendServer]:
        """Return the servers of a service that are neither leaving nor evacuated."""
        return [
            item
            for item in self.servers_of(service)
            if not item.is_leaving and may_get_work(item, self.evacuated)
        ]

    def are_all_evacuated(
        self, service: str, software_version: str | None = None
    ) -> bool:
        """Return whether evacuation leaves none of a service's servers."""
        servers = self.servers_of(service, software_version)
        return are_all_evacuated(servers, self.evacuated)

    def count_servers_in(self, data_centre: str) -> int:
        """Return how many servers are registered in a data centre."""
        return sum(item.data_centre == data_centre for item in self.servers.values())

    def count_running_in(self, data_centre: str) -> int:
        """Return how many requests of this VM run at servers in a data centre."""
        return sum(
            self.own_load.get(name, 0)
            for name, server in self.servers.items()
            if server.data_centre == data_centre
        )

    def can_run(self, server: BackendServer, model_ref: ModelRef) -> bool:
        """Return whether the server can run requests for the model and adapter."""
        if not model_ref.model:
            return True
        adapters = self._adapters_by_model(server).get(model_ref.model)
        if adapters is None:
            return False
        return not model_ref.adapter or model_ref.adapter in adapters

    def _refuses(self, server: BackendServer, model_ref: ModelRef) -> bool:
        """Return whether a request waits rather than try a server that may be dead.

        A request without a model has no replica elsewhere that it could wait for.
        """
        return bool(model_ref.model) and self.refusals.is_refusing(server.incarnation())

    def has_refusing_server(
        self, model_ref: ModelRef, software_version: str | None = None
    ) -> bool:
        """Return whether a server has the model and is proved to refuse this VM.

        The leader lists no models for a server that has crashed.
        """
        return any(
            not server.is_leaving
            and may_get_work(server, self.evacuated)
            and self.can_run(server, model_ref)
            and self.refusals.is_proved(server.incarnation())
            for server in self.servers_of(model_ref.service, software_version)
        )

    def rank(
        self,
        model_ref: ModelRef,
        tried: frozenset[str],
        prompt_id: str | None,
        software_version: str | None = None,
        *,
        can_give_up: bool,
        has_rate: bool = False,
    ) -> list[RankedServer]:
        """Return the best servers for a request, or an empty list.

        Parameters
        ----------
        model_ref : ModelRef
            The service, model and adapter that the request needs.
        tried : frozenset of str
            Servers to leave out, since the request has been sent to them.
        prompt_id : str or None
            Id of the prompt's first part, for prefix cache affinity.
        software_version : str or None
            The only version whose servers may be used; None for any.
        can_give_up : bool
            Whether the request goes to another server if one sends nothing.
        has_rate : bool
            Whether to return the servers that name a rate, each request to which needs
            a place, instead of the others.
        """
        now_s = boot_s()
        staying: list[Candidate] = []
        leaving: list[Candidate] = []
        for server in self.servers_of(model_ref.service, software_version):
            name = server.server_id
            if name in tried or not self.can_run(server, model_ref):
                continue
            if self._refuses(server, model_ref):
                continue
            if self.rates.is_limited(server.incarnation(), now_s) != has_rate:
                continue
            if not self._is_open(server, now_s) or not self._has_room(server, now_s):
                continue
            candidate = self._candidate(server, now_s, can_give_up=can_give_up)
            (leaving if server.is_leaving else staying).append(candidate)
        candidates = staying or leaving
        if self.brittle.is_limited(model_ref.service):
            return self._rank_limited(model_ref.service, candidates, prompt_id, now_s)
        if has_rate and any(self._is_cold(item, now_s) for item in candidates):
            # Where many servers are cold, each one's places are to be used.
            return self._rank_by_load(candidates, prompt_id)
        ranked = rank_candidates(candidates, prompt_id, self._rng)
        return [RankedServer(self.servers[name], bias) for name, bias in ranked]

    def has_healthy_server(self, model_ref: ModelRef, tried: Collection[str]) -> bool:
        """Return whether a server in good health has room for a request now.

        Parameters
        ----------
        model_ref : ModelRef
            The service, model and adapter that the request needs.
        tried : collection of str
            Servers to leave out.
        """
        now_s = boot_s()
        return any(
            server.server_id not in tried and self._is_healthy(server, model_ref, now_s)
            for server in self.servers_of(model_ref.service)
        )

    def _is_healthy(
        self, server: BackendServer, model_ref: ModelRef, now_s: float
    ) -> bool:
        return (
            not server.is_leaving
            and self.can_run(server, model_ref)
            and not self.rates.is_limited(server.incarnation(), now_s)
            and self._is_open(server, now_s)
            and self._has_room(server, now_s)
            and self.has_place(server)
            and not self._candidate(server, now_s, can_give_up=False).is_unhealthy
        )

    def second_server(
        self, model_ref: ModelRef, tried: frozenset[str], prompt_id: str | None
    ) -> BackendServer | None:
        """Return the best server for a second attempt beside one that goes on.

        Unlike a server for a request without any, it must be in good health, with a
        free slot, and known to take connections and no limited number of requests.

        Parameters
        ----------
        model_ref : ModelRef
            The service, model and adapter that the request needs.
        tried : frozenset of str
            Servers to leave out.
        prompt_id : str or None
            Id of the prompt's first part, for prefix cache affinity.
        """
        if self.brittle.is_limited(model_ref.service):
            return None
        now_s = boot_s()
        for server, _ in self.rank(model_ref, tried, prompt_id, can_give_up=False):
            if (
                self._is_healthy(server, model_ref, now_s)
                and self.load(server.server_id) < server.slots
                and not self.refusals.is_refusing(server.incarnation())
            ):
                return server
        return None

    def utilisation(self, model_ref: ModelRef) -> float:
        """Return the requests at servers that stay as a share of their slots."""
        servers = [
            server
            for server in self.staying_servers(model_ref.service)
            if self.can_run(server, model_ref)
        ]
        slots = sum(server.slots for server in servers)
        load = sum(self.load(server.server_id) for server in servers)
        return load / slots if slots else 1.0

    def _is_cold(self, candidate: Candidate, now_s: float) -> bool:
        incarnation = self.servers[candidate.server_id].incarnation()
        return self.rates.cold_until_s(incarnation, now_s) is not None

    def _rank_by_load(
        self, candidates: list[Candidate], prompt_id: str | None
    ) -> list[RankedServer]:
        """Return all servers in good health, those with the lowest cost first."""
        healthy = [item for item in candidates if not item.is_unhealthy] or candidates
        biases = candidate_biases(healthy, prompt_id)
        self._rng.shuffle(healthy)
        ranked = [
            RankedServer(self.servers[item.server_id], biases[item.server_id])
            for item in healthy
        ]
        return sorted(ranked, key=self.cost)

    def cost(self, ranked: RankedServer) -> float:
        """Return the cost of a request at a ranked server, from its load."""
        server = ranked.server
        utilisation = self.load(server.server_id) / max(1, server.slots)
        speed = self._speed(server)
        return load_cost(utilisation, speed) + ranked.bias

    def _rank_limited(
        self,
        service: str,
        candidates: list[Candidate],
        prompt_id: str | None,
        now_s: float,
    ) -> list[RankedServer]:
        healthy = [item for item in candidates if not item.is_unhealthy] or candidates
        states = [self._server_state(self.servers[item.server_id]) for item in healthy]
        ranked = self.brittle.rank(service, states, now_s)[:MAX_RANKED]
        biases = candidate_biases(healthy, prompt_id)
        return [RankedServer(self.servers[name], biases[name]) for name, _ in ranked]

    def has_place(self, server: BackendServer) -> bool:
        """Return whether this VM's share of the service leaves room at the server."""
        if not self.brittle.is_limited(server.service):
            return True
        states = [self._server_state(server)]
        return bool(self.brittle.rank(server.service, states, boot_s()))

    def waits_for_place(
        self, model_ref: ModelRef, software_version: str | None = None
    ) -> bool:
        """Return whether a request without a server should wait for a place."""
        return self.brittle.is_limited(model_ref.service) and self.has_server_for(
            model_ref, software_version
        )

    def _server_states(self, service: str) -> list[ServerState]:
        now_s = boot_s()
        return [
            self._server_state(server)
            for server in self.servers_of(service)
            if not server.is_leaving and self._is_open(server, now_s)
        ]

    def _server_state(self, server: BackendServer) -> ServerState:
        name = server.server_id
        return ServerState(
            server.incarnation(),
            max(1, server.slots),
            self.own_load.get(name, 0),
            self.peer_load.get(name, 0),
        )

    def is_open(self, server: BackendServer) -> bool:
        """Return whether a request may be sent to the server now."""
        known = self.servers.get(server.server_id)
        is_current = known is not None and known.incarnation() == server.incarnation()
        return is_current and self._is_open(known, boot_s())

    def resume_s(
        self, model_ref: ModelRef, software_version: str | None = None
    ) -> float | None:
        """Return when the first server takes requests again, if all are paused.

        None if no server can run the request, or one of them takes requests now.
        """
        now_s = boot_s()
        first_s: float | None = None
        for server in self.servers_of(model_ref.service, software_version):
            if server.is_leaving or not self.can_run(server, model_ref):
                continue
            if not may_get_work(server, self.evacuated):
                continue
            if self._refuses(server, model_ref):
                continue
            if self.rates.is_limited(server.incarnation(), now_s):
                continue
            if self._has_room(server, now_s):
                return None
            resume_s = self._pauses.resume_s(server.incarnation(), now_s)
            if resume_s is not None:
                first_s = resume_s if first_s is None else min(first_s, resume_s)
        return first_s

    def rate_limited(self) -> frozenset[str]:
        """Return the servers to which each request needs a place."""
        now_s = boot_s()
        return frozenset(
            incarnation[0]
            for incarnation in self.rates.named()
            if self.rates.is_limited(incarnation, now_s)
        )

    def paused(self) -> frozenset[str]:
        """Return the servers that asked this VM for a pause."""
        return self._pauses.paused(boot_s())

    def incarnations(self) -> dict[str, int]:
        """Return the start time of each server, in Unix milliseconds."""
        return {name: server.started_ms for name, server in self.servers.items()}

    def has_server_for(
        self, model_ref: ModelRef, software_version: str | None = None
    ) -> bool:
        """Return whether a server can run the model that is not draining or dead.

        Servers in evacuated data centres count as draining.
        """
        return any(
            not server.is_leaving
            and may_get_work(server, self.evacuated)
            and self.can_run(server, model_ref)
            and not self._refuses(server, model_ref)
            for server in self.servers_of(model_ref.service, software_version)
        )

    def load(self, server_id: str) -> int:
        """Return the known number of requests in progress at a server."""
        own = self.own_load.get(server_id, 0)
        return own + self.peer_load.get(server_id, 0)

    def request_started(self, server_id: str) -> None:
        """Count a request that is sent to the server."""
        increase(self.own_load, server_id)

    def request_ended(self, server_id: str, *, has_answered: bool = False) -> None:
        """Stop counting a request at the server."""
        decrease(self.own_load, server_id)
        if has_answered:
            increase(self._ended, server_id)

    def set_speeds(self, speeds: Mapping[Incarnation, float]) -> None:
        """Apply the speeds that the leader has told; drop those of earlier starts."""
        live = {server.incarnation() for server in self.servers.values()}
        known = self.speeds | speeds
        self.speeds = {
            key: min(MAX_SPEED, max(MIN_SPEED, speed))
            for key, speed in known.items()
            if key in live or key in speeds
        }

    def take_ended(self) -> dict[str, int]:
        """Return how many requests with an answer ended at servers since last asked."""
        ended, self._ended = self._ended, {}
        return ended

    def request_sent(self, server: BackendServer) -> None:
        """Record that a request, which has been counted before, is sent."""
        is_only = self.own_load.get(server.server_id, 0) <= 1
        self._silences.request_sent(server.incarnation(), boot_s(), is_only=is_only)

    def bytes_received(self, server: BackendServer) -> None:
        """Record that the server has sent something."""
        self._silences.bytes_received(server.incarnation(), boot_s())
        if not self.refusals.is_empty() and self.refusals.answered(
            server.incarnation()
        ):
            self.wake_waiters()

    def heard_s(self, incarnation: Incarnation) -> float:
        """Return when this VM last heard of the server, by `boot_s`."""
        accepted_s = self._accepted_s.get(incarnation, float("-inf"))
        return max(accepted_s, self._silences.heard_s(incarnation))

    def connected(self, server: BackendServer) -> None:
        """Record that the server has accepted a connection."""
        self._accepted_s[server.incarnation()] = boot_s()
        if not self.refusals.is_empty() and self.refusals.accepted(
            server.incarnation(), server.service
        ):
            log_change("server accepts connections again", server=server.server_id)
            self.wake_waiters()

    def connection_refused(self, server: BackendServer) -> bool:
        """Record a refused connection; return whether the server is proved dead."""
        if self.current(server.incarnation()) is None:
            return False
        return self.refusals.refused(server.incarnation(), server.service)

    def request_given_up(
        self, server: BackendServer, waited_s: float
    ) -> FailureKind | None:
        """Record a request without a response head; return the failure to count."""
        return self._silences.request_given_up(server.incarnation(), waited_s, boot_s())

    def ejected(self) -> frozenset[str]:
        """Return the servers that are ejected after failures."""
        now_s = boot_s()
        return frozenset(
            name for name in self.servers if self.ejector.is_ejected(name, now_s)
        )

    def _candidate(
        self, server: BackendServer, now_s: float, *, can_give_up: bool
    ) -> Candidate:
        name = server.server_id
        is_used_last = not self._silences.may_send(
            server.incarnation(),
            self.own_load.get(name, 0),
            server.slots,
            now_s,
            can_give_up=can_give_up,
        )
        return Candidate(
            server_id=name,
            load=self.load(name),
            slots=server.slots,
            is_local=server.data_centre == self._data_centre,
            is_unhealthy=is_used_last
            or name in self._expired_until_s
            or self.ejector.is_ejected(name, now_s),
            speed=self._speed(server),
        )

    def _speed(self, server: BackendServer) -> float:
        return self.speeds.get(server.incarnation(), 1.0)

    def _is_open(self, server: BackendServer, now_s: float) -> bool:
        if not may_get_work(server, self.evacuated):
            return False
        incarnation = server.incarnation()
        if server.is_leaving:
            since_s = self._leaving_since_s.get(incarnation, float("-inf"))
            if now_s - since_s >= self._drain_s * LEAVING_USE_SHARE:
                return False
        return not self._pauses.is_paused(incarnation, now_s)

    def _has_room(self, server: BackendServer, now_s: float) -> bool:
        running = self.own_load.get(server.server_id, 0)
        return self._pauses.may_send(server.incarnation(), running, server.slots, now_s)

    def _add_or_update(self, server: BackendServer) -> bool:
        known = self.servers.get(server.server_id)
        if known is not None and known.started_ms > server.started_ms:
            return False
        is_new = known is None or known.started_ms != server.started_ms
        if server.incarnation() in self._leaving_since_s:
            # A server that leaves does not come back without a restart. An entry that
            # says otherwise was written before, or is from an older copy of the store.
            server = server._replace(is_leaving=True)
        if is_new or known.is_leaving != server.is_leaving:
            log_change(
                "server seen",
                server=server.server_id,
                service=server.service,
                started_ms=server.started_ms,
                is_leaving=server.is_leaving,
            )
        elif known.models.keys() != server.models.keys():
            log_change(
                "server holds other models",
                server=server.server_id,
                models=sorted(server.models),
            )
        if server.is_leaving:
            # The store may have had the entry since this copy was last current.
            since_s = self._leaving_since_s.get(server.incarnation(), float("inf"))
            since_s = min(since_s, self._current_as_of_s)
            self._leaving_since_s[server.incarnation()] = since_s
        had_expired = self._expired_until_s.pop(server.server_id, None) is not None
        self._removed_s.pop(server.incarnation(), None)
        if known == server:
            return had_expired
        self._store(server)
        return True

    def _store(self, server: BackendServer) -> None:
        known = self.servers.get(server.server_id)
        if known is not None and known.service != server.service:
            self._by_service[known.service].pop(server.server_id, None)
        self.servers[server.server_id] = server
        self._by_service.setdefault(server.service, {})[server.server_id] = server
        if known is None or known.service != server.service:
            self.ejector.add_server(server.server_id, server.service)
        self._servers_changed()

    def _entry_deleted(self, name: str) -> bool:
        if name not in self.servers:
            return False
        if boot_s() - self._store_returned_s < EXPIRY_WINDOW_S:
            until_s = self._store_returned_s + REWRITE_S
            self._expired_until_s.setdefault(name, until_s)
            log_change("server entry missing after the store's return", server=name)
            return True
        self._remove(name)
        return True

    def _remove(self, name: str) -> None:
        self._expired_until_s.pop(name, None)
        server = self.servers.pop(name, None)
        if server is None:
            return
        log_change("server gone", server=name, service=server.service)
        self._removed_s[server.incarnation()] = boot_s()
        self._by_service[server.service].pop(name, None)
        self.ejector.remove_server(name)
        self._loaded_models.pop(name, None)
        self.peer_load.pop(name, None)
        self._servers_changed()

    def _servers_changed(self) -> None:
        self.change_count += 1
        self.version_change_count += 1
        self.wake_waiters()

    def wake_waiters(self) -> None:
        """Have requests that wait for a server look again."""
        if self.changed.statistics().tasks_waiting:
            self.changed.set()
            self.changed = anyio.Event()


def ignore_rate(incarnation: Incarnation, rate_per_s: float | None) -> None:
    """Ignore what a server says of its rate; no leader is to be told."""
