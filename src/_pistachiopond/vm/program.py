"""Builds the components of a VM's process and runs them until SIGTERM."""

import asyncio
import gc
import secrets
import socket
import sys
import time
from collections.abc import Awaitable, Callable
from functools import partial
from itertools import product
from pathlib import Path
from typing import Final, NamedTuple

import anyio
from prometheus_client import generate_latest

from _pistachiopond.decisions.claim_order import claim_preference
from _pistachiopond.decisions.leadership import Leadership
from _pistachiopond.decisions.order_turns import OrderTurns
from _pistachiopond.decisions.rendezvous import score
from _pistachiopond.decisions.route_table import HASH_RANGE
from _pistachiopond.decisions.shared_limits import CustomerBalances
from _pistachiopond.decisions.shared_retry_budget import SharedRetryBudget
from _pistachiopond.http1.messages import HttpAddress, Request
from _pistachiopond.http1.server import (
    ConnectionMemory,
    Handler,
    Responder,
    ServerConnection,
    ServerContext,
    ServerLimits,
)
from _pistachiopond.kernel.timer import RealTimer, every
from _pistachiopond.observe.bounded_log_handler import (
    BoundedLogHandler,
    set_up_bounded_logs,
)
from _pistachiopond.observe.containment import (
    UNEXPECTED_ERRORS,
    contain_callbacks,
    contained,
    keep_running,
)
from _pistachiopond.observe.logs import log_change
from _pistachiopond.observe.loop_stalls import LoopStalls
from _pistachiopond.observe.metrics import Metrics
from _pistachiopond.platform.evacuations import is_evacuation_key
from _pistachiopond.platform.settings import (
    read_hedge_share,
    read_vm_settings,
    settings_path,
)
from _pistachiopond.platform.store import (
    OPERATOR_TOPIC,
    SERVERS_TOPIC,
    make_store_client,
)
from _pistachiopond.schema.deployment import ServiceSpec
from _pistachiopond.schema.vm_settings import VmBounds, VmSettings
from _pistachiopond.vm.admission import Admission, body_limit_s
from _pistachiopond.vm.clock import boot_s
from _pistachiopond.vm.configuration_state import FIRST_LIMITS, ConfigurationState
from _pistachiopond.vm.crash_watch import CrashWatch
from _pistachiopond.vm.evacuations import (
    EvacuationMetrics,
    Evacuations,
    make_operator_callbacks,
)
from _pistachiopond.vm.excessive_messages import (
    make_excess_recorder,
    make_line_excess_recorder,
    make_request_excess_recorder,
)
from _pistachiopond.vm.fleet import EXPIRY_HEARTBEATS, Fleet, ModelRef
from _pistachiopond.vm.forward_dependencies import ForwardDependencies
from _pistachiopond.vm.hedging import Hedging
from _pistachiopond.vm.held_memory import HeldMemory
from _pistachiopond.vm.leader_client import LeaderClient, LeaderClientDependencies
from _pistachiopond.vm.leader_election import LeaderElection
from _pistachiopond.vm.leader_server import LeaderServer, LeaderServerDependencies
from _pistachiopond.vm.peer_relays import PeerRelays
from _pistachiopond.vm.placer import Placer, PlacerDependencies
from _pistachiopond.vm.refusal_store import RefusalStore
from _pistachiopond.vm.relay_handler import RelayHandler
from _pistachiopond.vm.request_handler import RequestHandler, RequestMetrics
from _pistachiopond.vm.server_places import DealtPlaces
from _pistachiopond.vm.server_pools import ServerPools
from _pistachiopond.vm.server_reach import ServerReach
from _pistachiopond.vm.settings_watch import SettingsWatch, watch_signals
from _pistachiopond.vm.shutdown import Shutdown
from _pistachiopond.vm.store_calls import StoreContact, make_store_call
from _pistachiopond.vm.stream_origins import StreamOrigins
from _pistachiopond.vm.suspects import Suspects
from _pistachiopond.vm.topic_cache import TopicCache, TopicCallbacks
from _pistachiopond.vm.topic_follower import FollowedTopic, TopicFollower
from _pistachiopond.vm.version_store import CountStreams, VersionStore

METRICS_PORT: Final = 9464
LOG_FLUSH_PERIOD_S: Final = 0.1
MAINTENANCE_PERIOD_S: Final = 0.25
# An entry that has lapsed is read, and the crash counted, within this time.
ENTRY_READ_S: Final = 1.0
PROBE_CHECK_PERIOD_S: Final = 0.1
# Room for the header that a VM adds to a request that it passes on.
MAX_RELAY_HEADER_BYTES: Final = 2_048
LISTEN_BACKLOG: Final = 512
# Connections that are accepted at once, before any of them can be closed.
ACCEPT_BATCH: Final = 32
# Every server heartbeat is a record. The pause between reads of the servers' topic
# collects several heartbeats per call.
TOPICS: Final = (
    FollowedTopic(OPERATOR_TOPIC, 0.0),
    FollowedTopic(SERVERS_TOPIC, 0.2),
)


class Vm(NamedTuple):
    """The components of one process."""

    settings: VmSettings
    state: ConfigurationState
    evacuations: Evacuations
    fleet: Fleet
    pools: ServerPools
    reach: ServerReach
    relays: PeerRelays
    usage: CustomerBalances
    retries: SharedRetryBudget
    leader_client: LeaderClient
    election: LeaderElection
    order_turns: OrderTurns
    version_store: VersionStore
    refusal_store: RefusalStore
    leader_server: LeaderServer
    placer: Placer
    suspects: Suspects
    request_handler: RequestHandler
    relay_handler: RelayHandler
    topic_caches: dict[str, TopicCache]
    followers: tuple[TopicFollower, ...]
    metrics: Metrics
    shutdown: Shutdown


def make_vm(settings: VmSettings, metrics: Metrics) -> Vm:
    """Return the components of a new process."""
    timer = RealTimer()
    incarnation = secrets.token_hex(8)
    state = ConfigurationState(settings.bounds.revoke_s)
    fleet = Fleet(settings.data_centre, settings.heartbeat_s, settings.bounds.drain_s)
    reach = ServerReach(fleet)
    record_excess = make_excess_recorder(metrics)
    record_line_excess = make_line_excess_recorder(metrics)
    pools = ServerPools(
        timer.now_s, reach.record_connect, record_excess, fleet.bytes_received
    )
    relays = PeerRelays(timer.now_s, record_excess)
    usage = CustomerBalances()
    suspects = Suspects()
    retries = SharedRetryBudget(
        settings.bounds.retry_ratio, settings.bounds.retry_reserve
    )
    turns = OrderTurns(settings.name, settings.bounds.lease_s, timer.now_s())
    leadership = Leadership(incarnation, _claim_preference(settings), turns)

    evacuations = Evacuations(fleet)
    metrics.registry.register(EvacuationMetrics(evacuations))

    topic_caches = {
        OPERATOR_TOPIC: TopicCache(
            make_operator_callbacks(state, evacuations),
            is_versioned=True,
            is_unversioned_key=is_evacuation_key,
        ),
        SERVERS_TOPIC: TopicCache(
            TopicCallbacks(
                fleet.apply,
                fleet.apply_copied,
                fleet.mark_current,
                fleet.store_restored,
            ),
            is_versioned=False,
        ),
    }

    def model_load_s(model_ref: ModelRef) -> float:
        known = state.deployment()
        service = None if known is None else known.services.get(model_ref.service)
        engine = None if service is None else service.engine
        model = None if engine is None else engine.models.get(model_ref.model)
        return 0.0 if model is None or model_ref.adapter else model.load_s

    follow_cold_settings(fleet, state)
    leader_client = LeaderClient(
        LeaderClientDependencies(
            settings.name,
            fleet,
            usage,
            retries,
            state.customers,
            topic_caches,
            suspects,
            reach,
            relays,
            settings.relay_address,
            record_line_excess,
        ),
        leadership,
    )
    contact = StoreContact()
    store = make_store_client(
        make_store_call(settings.store_address, timer.now_s, record_excess, contact)
    )
    version_store = VersionStore(
        store,
        leadership,
        leader_client.origins,
        _make_stored_stream_counter(metrics),
    )
    crash_watch = CrashWatch(
        fleet,
        reach,
        metrics.counter(
            "pond_servers_counted_as_crashed",
            "Servers found to have crashed before their entries expired.",
        ),
    )
    dealt_places = DealtPlaces(fleet, leadership)
    placer = Placer(
        PlacerDependencies(
            settings.name,
            leadership,
            fleet,
            pools,
            state.deployment,
            crash_watch.crashed,
            dealt_places.charge,
        )
    )
    leader_server = LeaderServer(
        LeaderServerDependencies(
            leadership,
            state.customers,
            placer.loaded_models,
            placer.wake,
            topic_caches,
            crash_watch.incarnations,
            leader_client.origins,
            record_line_excess,
            crash_watch,
            _make_part_counter(metrics),
            dealt_places,
            EXPIRY_HEARTBEATS * settings.heartbeat_s + ENTRY_READ_S,
            version_store.add_streams,
            version_store.is_storing,
            lambda: fleet.speeds,
        )
    )
    placer.leader_server = leader_server
    version_store.on_stored = leader_server.streams_stored
    reach.on_proof = leader_client.send_refusing
    _add_stream_gauges(metrics, leader_client.origins, version_store)
    election = LeaderElection(
        store,
        leadership,
        settings,
        incarnation,
        leader_client.has_resigned,
        leader_client.is_connection_refused,
        leader_client.claim_changed,
        leader_client.member_count,
        reach,
        leader_server.members_unreachable,
        contact,
    )
    election.on_snapshot = version_store.take_snapshot
    for topic, cache in topic_caches.items():
        cache.on_change = partial(leader_server.push_records, topic)
    shutdown = Shutdown(settings.bounds.stop_grace_s, timer.now_s)
    admission = Admission(state, usage, leader_client, shutdown)
    forward_deps = ForwardDependencies(
        fleet=fleet,
        pools=pools,
        model_usage=leader_client.model_usage,
        retries=retries,
        refund=admission.refund,
        shutdown=shutdown,
        model_load_s=model_load_s,
        suspects=suspects,
        pacing=leader_client.pacing,
        places=leader_client.places,
        origins=leader_client.origins,
        resumptions=metrics.counter(
            "pond_resumptions", "Streams taken up again.", ("outcome", "basis")
        ),
        resumption_ends=metrics.counter(
            "pond_resumption_ends",
            "What became of streams that callers took up again.",
            ("outcome",),
        ),
        reach=reach,
        relays=relays,
        relayed=metrics.counter(
            "pond_requests_passed_on", "To other VMs.", ("outcome",)
        ),
        hedging=Hedging(state, read_hedge_share(), metrics),
    )
    request_handler = RequestHandler(
        admission, forward_deps, RequestMetrics.make(metrics)
    )
    relay_handler = RelayHandler(
        state,
        forward_deps,
        metrics.counter("pond_requests_taken_over", "From other VMs."),
    )
    followers = tuple(
        TopicFollower(
            store,
            topic,
            topic_caches[topic.name],
            leader_client.is_relayed,
            leader_client.shared_retry_pause_s,
            contact,
        )
        for topic in TOPICS
    )
    return Vm(
        settings=settings,
        state=state,
        evacuations=evacuations,
        fleet=fleet,
        pools=pools,
        reach=reach,
        relays=relays,
        usage=usage,
        retries=retries,
        leader_client=leader_client,
        election=election,
        order_turns=turns,
        version_store=version_store,
        refusal_store=RefusalStore(
            store, leadership, suspects, leader_server.request_records
        ),
        leader_server=leader_server,
        placer=placer,
        suspects=suspects,
        request_handler=request_handler,
        relay_handler=relay_handler,
        topic_caches=topic_caches,
        followers=followers,
        metrics=metrics,
        shutdown=shutdown,
    )


def _add_stream_gauges(
    metrics: Metrics, origins: StreamOrigins, version_store: VersionStore
) -> None:
    metrics.gauge(
        "pond_streams_remembered",
        "Streams of this VM whose software version is remembered.",
        lambda: origins.counts()[0],
    )
    metrics.gauge(
        "pond_stream_records",
        "Streams whose software version another VM has recorded.",
        lambda: origins.counts()[1],
    )
    metrics.gauge(
        "pond_stream_records_unwritten",
        "Streams whose software version the leader has yet to write to the store.",
        version_store.unwritten_count,
    )


def _make_stored_stream_counter(metrics: Metrics) -> CountStreams:
    streams = metrics.counter(
        "pond_stored_streams",
        "Streams whose software version the leader was to write to the store.",
        ("outcome",),
    )
    return lambda outcome, count: streams.labels(outcome).inc(count)


def _make_part_counter(metrics: Metrics) -> Callable[[str], None]:
    changes = metrics.counter(
        "pond_part_refusals",
        "Changes of the refused parts of prompts, counted by the leader.",
        ("change",),
    )
    return lambda kind: changes.labels(kind).inc()


async def run_vm(
    settings: VmSettings, path: Path, log_handler: BoundedLogHandler
) -> None:
    """Run the process until SIGTERM and the end of its requests.

    Parameters
    ----------
    settings : VmSettings
        The settings read at the start.
    path : Path
        The settings file, watched for changes.
    log_handler : BoundedLogHandler
        Buffers the log lines for standard output.
    """
    metrics = Metrics()
    vm = make_vm(settings, metrics)
    timer = RealTimer()
    stopping = anyio.Event()
    connections: set[ServerConnection] = set()
    # Not of callers, so a shutdown does not wait for them.
    plain_connections: set[ServerConnection] = set()
    held = HeldMemory(
        settings, vm.state, connections, plain_connections, timer.now_s, metrics
    )
    _register_gauges(vm, connections, log_handler)

    watch = SettingsWatch(path, settings, partial(apply_bounds, vm))

    stalls = LoopStalls(metrics, LOG_FLUSH_PERIOD_S, time.process_time)

    async def flush(now_s: float) -> None:
        stalls.tick(now_s)
        log_handler.flush_ready()

    async def probe(_: float) -> None:
        with contained("maintenance", step="probe"):
            vm.reach.probe(vm.pools)

    def enforce_timeouts() -> None:
        now_s = timer.now_s()
        for connection in [*connections, *plain_connections]:
            connection.enforce_timeouts(now_s)

    steps = (enforce_timeouts, held.tick, *_maintenance_steps(vm))

    async def maintain(_: float) -> None:
        for step in steps:
            with contained("maintenance", step=step.__qualname__):
                step()

    # What ends the process: settings that cannot be read, an address that cannot be
    # listened on, and an exception while the tasks are started.
    contain_callbacks()
    async with anyio.create_task_group() as group:
        group.start_soon(watch_signals, stopping, watch.request_check)
        group.start_soon(keep_running, "settings", watch.run)
        group.start_soon(every, timer, LOG_FLUSH_PERIOD_S, flush)
        group.start_soon(every, timer, MAINTENANCE_PERIOD_S, maintain)
        group.start_soon(every, timer, PROBE_CHECK_PERIOD_S, probe)
        for name, work in (
            *[(f"topic {f.topic}", f.run) for f in vm.followers],
            ("leader client", vm.leader_client.run),
            ("election", vm.election.run),
            ("versions", vm.version_store.run),
            ("refusals", vm.refusal_store.run),
            ("placement", vm.placer.run),
        ):
            group.start_soon(keep_running, name, work)
        group.start_soon(vm.leader_server.run, *settings.peer_address)
        await _listen_for_requests(vm, connections, stopping.is_set, held)
        for address, handler in (
            (settings.ready_address, _ready_handler(vm, stopping)),
            (HttpAddress(settings.ip, METRICS_PORT), _metrics_handler(metrics)),
        ):
            await _listen_plain(address, handler, plain_connections, held.for_others())
        gc.collect()
        gc.freeze()
        log_change("started", vm=settings.name, data_centre=settings.data_centre)
        await stopping.wait()
        log_change("stopping", grace_s=settings.bounds.stop_grace_s)
        vm.shutdown.begin()
        await vm.election.resign()
        await vm.shutdown.drain(connections)
        log_change("stopped")
        log_handler.flush_ready()
        group.cancel_scope.cancel()


def _maintenance_steps(vm: Vm) -> tuple[Callable[[], None], ...]:
    def close_unused_connections() -> None:
        deployment = vm.state.deployment()
        services = {} if deployment is None else deployment.services
        vm.pools.relax_idle_limits(MAINTENANCE_PERIOD_S)
        vm.pools.close_unused(
            vm.fleet.servers, services, vm.leader_client.member_count()
        )
        vm.relays.close_unused()

    def cap_usage() -> None:
        vm.usage.cap(vm.state.customers())

    return (
        close_unused_connections,
        vm.fleet.remove_expired,
        vm.evacuations.log_progress,
        vm.leader_client.origins.refresh,
        vm.leader_server.drop_silent_members,
        vm.leader_server.confirm_crashes,
        cap_usage,
    )


def _register_gauges(
    vm: Vm, connections: set[ServerConnection], log_handler: BoundedLogHandler
) -> None:
    metrics = vm.metrics
    metrics.registry.register(UNEXPECTED_ERRORS)
    metrics.gauge(
        "pond_log_lines_dropped", "Dropped lines.", lambda: log_handler.dropped
    )
    metrics.gauge(
        "pond_open_connections",
        "Of callers.",
        lambda: len(connections),
    )
    metrics.gauge(
        "pond_paused_servers",
        "Servers that asked this VM for a pause.",
        lambda: len(vm.fleet.paused()),
    )
    metrics.gauge(
        "pond_rate_limited_servers",
        "Servers that name a rate of requests.",
        lambda: len(vm.fleet.rates.named()),
    )
    metrics.gauge(
        "pond_cold_servers",
        "Servers that take only their service's rate, since they are cold.",
        lambda: len(vm.fleet.rates.cold(boot_s())),
    )
    for source, outcome in product(("leader", "own"), ("taken", "lacking")):
        metrics.gauge(
            f"pond_places_{outcome}_{source}",
            f"Places at servers that name a rate: {outcome}, source: {source}.",
            partial(vm.leader_client.places.counts.__getitem__, (source, outcome)),
        )
    for outcome in ("expected", "served", "lapsed"):
        metrics.gauge(
            f"pond_returns_{outcome}",
            f"Returns of callers refused by a customer's limit, as leader: {outcome}.",
            partial(vm.leader_server.return_counts.__getitem__, outcome),
        )
    for outcome in ("refused", "let_through"):
        metrics.gauge(
            f"pond_late_starts_{outcome}",
            f"Prompts that could not start in time, as leader: {outcome}.",
            partial(vm.leader_server.starts.counts.__getitem__, outcome),
        )
    metrics.gauge(
        "pond_leader_reply_age_seconds",
        "Time since the last reply of the VM that this one takes for the leader.",
        vm.leader_client.reply_age_s,
    )
    metrics.gauge(
        "pond_contact_age_seconds",
        "Time since a reply of a leader to which all VMs report.",
        vm.leader_client.contact_age_s,
    )
    metrics.gauge(
        "pond_server_entries_age_seconds",
        "Age of this VM's copy of the servers' entries.",
        vm.fleet.entries_age_s,
    )
    metrics.gauge(
        "pond_unreachable_services",
        "Services whose servers this VM cannot reach.",
        lambda: len(vm.reach.unreachable()),
    )
    metrics.gauge(
        "pond_leaving_servers",
        "Servers that are shutting down.",
        lambda: sum(server.is_leaving for server in vm.fleet.servers.values()),
    )
    metrics.gauge(
        "pond_brittle_servers",
        "Servers that announce a crash limit.",
        lambda: len(vm.fleet.brittle.announced()),
    )
    metrics.gauge(
        "pond_brittle_server_refusals",
        "Requests that servers with a crash limit have refused to this VM.",
        lambda: vm.fleet.brittle.refusal_count,
    )
    metrics.gauge(
        "pond_refused_requests",
        "Requests that this VM refuses, since they crash servers.",
        vm.suspects.refused_count,
    )
    metrics.gauge(
        "pond_refused_parts",
        "Parts of prompts that this VM refuses, since they crash servers.",
        lambda: vm.suspects.parts.counts()[0],
    )
    metrics.gauge(
        "pond_sound_parts",
        "Parts of prompts that this VM knows as sound.",
        lambda: vm.suspects.parts.counts()[1],
    )
    metrics.gauge(
        "pond_store_era",
        "How often the store came back from an older copy.",
        lambda: max(cache.proof()["era"] for cache in vm.topic_caches.values()),
    )
    metrics.gauge(
        "pond_configuration_age_s",
        "Proof's age.",
        vm.state.age_s,
    )


def follow_cold_settings(fleet: Fleet, state: ConfigurationState) -> None:
    """Have the fleet use what the configuration in force says of cold servers."""

    def service(name: str) -> ServiceSpec | None:
        known = state.deployment()
        return None if known is None else known.services.get(name)

    def cold_rate_per_s(name: str) -> float:
        spec = service(name)
        return 0.0 if spec is None else spec.cold_rate_per_s

    def cold_start_s(name: str) -> float:
        spec = service(name)
        return 0.0 if spec is None else spec.cold_start_s

    fleet.rates.cold_rate_per_s = cold_rate_per_s
    fleet.cold_start_s = cold_start_s


def apply_bounds(vm: Vm, bounds: VmBounds) -> None:
    """Apply changed bounds without a restart."""
    vm.state.set_revoke_s(bounds.revoke_s)
    vm.fleet.set_drain_s(bounds.drain_s)
    vm.shutdown.set_grace_s(bounds.stop_grace_s)
    vm.order_turns.set_lease_s(bounds.lease_s)
    vm.retries.set_bounds(bounds.retry_ratio, bounds.retry_reserve)


def _claim_preference(settings: VmSettings) -> float:
    drawn = score("leader", settings.name) / HASH_RANGE
    return claim_preference(settings.cpu_cores, settings.link_mbps, drawn)


async def _listen_for_requests(
    vm: Vm,
    connections: set[ServerConnection],
    is_stopping: Callable[[], bool],
    held: HeldMemory,
) -> None:
    """Listen for the requests of callers and for those that other VMs pass on."""

    def relay_limits() -> ServerLimits:
        limits = vm.state.limits()
        return limits._replace(
            header_bytes=limits.header_bytes + MAX_RELAY_HEADER_BYTES
        )

    record_excess = make_request_excess_recorder(vm.metrics)
    settings = vm.settings
    handle, relay = vm.request_handler.handle, vm.relay_handler.handle
    for address, handler, limits, memory in (
        (settings.caller_address, handle, vm.state.limits, held.for_callers()),
        (settings.relay_address, relay, relay_limits, held.for_others()),
    ):
        await _listen(
            address,
            ServerContext(
                handler,
                limits,
                RealTimer().now_s,
                is_stopping,
                connections,
                record_excess,
                partial(body_limit_s, vm.state),
                memory,
            ),
        )


async def _listen(address: HttpAddress, context: ServerContext) -> None:
    loop = asyncio.get_running_loop()
    sock = socket.create_server(address, backlog=LISTEN_BACKLOG)
    # The event loop accepts as many connections at once as its backlog is long, and
    # shortens that of the socket to it.
    await loop.create_server(
        lambda: ServerConnection(context), sock=sock, backlog=ACCEPT_BATCH
    )
    sock.listen(LISTEN_BACKLOG)


async def _listen_plain(
    address: HttpAddress,
    handler: Handler,
    connections: set[ServerConnection],
    memory: ConnectionMemory,
) -> None:
    context = ServerContext(
        handler,
        lambda: FIRST_LIMITS,
        RealTimer().now_s,
        lambda: False,
        connections,
        memory=memory,
    )
    await _listen(address, context)


def _ready_handler(vm: Vm, stopping: anyio.Event) -> Handler:
    was_ready = False

    async def handle(request: Request, responder: Responder) -> None:
        nonlocal was_ready
        is_fresh, is_loaded = vm.state.is_fresh(), vm.fleet.is_loaded
        is_ready = not stopping.is_set() and is_fresh and is_loaded
        if is_ready != was_ready:
            was_ready = is_ready
            log_change(
                "readiness changed",
                is_ready=is_ready,
                configuration_age_s=round(vm.state.age_s(), 2),
                is_stopping=stopping.is_set(),
                knows_servers=is_loaded,
            )
        await responder.respond(200 if is_ready else 503, [], b"")

    return handle


def _metrics_handler(metrics: Metrics) -> Handler:
    async def handle(request: Request, responder: Responder) -> None:
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        await responder.respond(200, headers, generate_latest(metrics.registry))

    return handle


def main(run: Callable[..., Awaitable[None]] = run_vm) -> None:
    """Read the settings and run the VM's process."""
    path = settings_path()
    if path.is_err():
        sys.exit(f"pond-vm: {path.err()}")
    settings = read_vm_settings(path.ok())
    if settings.is_err():
        sys.exit(f"pond-vm: {settings.err()}")
    log_handler = set_up_bounded_logs()
    anyio.run(run, settings.ok(), path.ok(), log_handler)
