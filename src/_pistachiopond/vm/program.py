"""Puts the parts of a VM's process together and runs them until it is stopped."""

import asyncio
import gc
import secrets
import sys
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Final, NamedTuple

import anyio
from prometheus_client import generate_latest

from _pistachiopond.decisions.leadership import Leadership
from _pistachiopond.decisions.rendezvous import score
from _pistachiopond.decisions.retry_share import RetryShare
from _pistachiopond.decisions.route_table import HASH_RANGE
from _pistachiopond.decisions.usage import UsageTaker
from _pistachiopond.http1.messages import HttpAddress, Request
from _pistachiopond.http1.server import (
    Handler,
    Responder,
    ServerConnection,
    ServerParts,
)
from _pistachiopond.kernel.timer import RealTimer, every
from _pistachiopond.observe.bounded import BoundedLines, set_up_bounded_logs
from _pistachiopond.observe.logs import log_change
from _pistachiopond.observe.metrics import Metrics
from _pistachiopond.platform.settings import read_vm_settings, settings_path
from _pistachiopond.platform.store import (
    OPERATOR_TOPIC,
    SERVERS_TOPIC,
    make_store_client,
)
from _pistachiopond.schema.vm_settings import VmBounds, VmSettings
from _pistachiopond.vm.admission import Admission
from _pistachiopond.vm.fleet import Fleet, WantedModel
from _pistachiopond.vm.follow import FollowedTopic, TopicFollower
from _pistachiopond.vm.forward import ForwardParts
from _pistachiopond.vm.front import Front, FrontMetrics
from _pistachiopond.vm.hub import Hub, HubParts
from _pistachiopond.vm.lead import LeadService
from _pistachiopond.vm.link import LeaderLink, LinkParts
from _pistachiopond.vm.placer import Placer, PlacerParts
from _pistachiopond.vm.pools import ServerPools
from _pistachiopond.vm.relay import TopicShelf, TopicView
from _pistachiopond.vm.settings_watch import SettingsWatch, watch_signals
from _pistachiopond.vm.state import FIRST_LIMITS, ConfigurationState
from _pistachiopond.vm.stop import Stopping
from _pistachiopond.vm.store_calls import make_store_call
from _pistachiopond.vm.suspects import Suspects

METRICS_PORT: Final = 9464
LOG_FLUSH_S: Final = 0.1
TIDY_S: Final = 0.25
LISTEN_BACKLOG: Final = 512
# Every heartbeat of a server is a record, so reading each at once would cost a call
# for each of them.
TOPICS: Final = (
    FollowedTopic(OPERATOR_TOPIC, 0.0),
    FollowedTopic(SERVERS_TOPIC, 0.2),
)
# VMs below these lead only where there is no other.
STRONG_CORES: Final = 0.8
STRONG_LINK_MBPS: Final = 50.0


class Vm(NamedTuple):
    """The parts of one process."""

    settings: VmSettings
    state: ConfigurationState
    fleet: Fleet
    pools: ServerPools
    usage: UsageTaker
    retries: RetryShare
    link: LeaderLink
    lead: LeadService
    hub: Hub
    placer: Placer
    suspects: Suspects
    front: Front
    followers: tuple[TopicFollower, ...]
    metrics: Metrics
    stopping: Stopping


def make_vm(settings: VmSettings, metrics: Metrics) -> Vm:
    """Return the parts for a new start of the process."""
    timer = RealTimer()
    incarnation = secrets.token_hex(8)
    state = ConfigurationState(settings.bounds.revoke_s)
    fleet = Fleet(settings.data_centre, settings.heartbeat_s, settings.bounds.drain_s)
    pools = ServerPools(timer.now_s)
    usage = UsageTaker()
    suspects = Suspects()
    retries = RetryShare(settings.bounds.retry_ratio, settings.bounds.retry_reserve)
    leadership = Leadership(incarnation, _preference(settings))

    shelves = {
        OPERATOR_TOPIC: TopicShelf(TopicView(state.apply, state.reached)),
        SERVERS_TOPIC: TopicShelf(TopicView(fleet.apply, fleet.reached)),
    }

    def load_s(wanted: WantedModel) -> float:
        known = state.deployment()
        service = None if known is None else known.services.get(wanted.service)
        engine = None if service is None else service.engine
        model = None if engine is None else engine.models.get(wanted.model)
        return 0.0 if model is None or wanted.adapter else model.load_s

    link = LeaderLink(
        LinkParts(
            settings.name, fleet, usage, retries, state.customers, shelves, suspects
        ),
        leadership,
    )
    store = make_store_client(make_store_call(settings.store_address, timer.now_s))
    lead = LeadService(
        store,
        leadership,
        settings,
        incarnation,
        link.has_resigned,
        link.is_refused,
        link.claim_changed,
        link.members,
    )
    placer = Placer(
        PlacerParts(settings.name, leadership, fleet, pools, state.deployment)
    )
    hub = Hub(
        HubParts(
            leadership,
            state.customers,
            placer.held,
            placer.wake,
            shelves,
            fleet.incarnations,
        )
    )
    placer.hub = hub
    for topic, shelf in shelves.items():
        shelf.on_change = partial(hub.push_records, topic)
    stopping = Stopping(settings.bounds.stop_grace_s, timer.now_s)
    admission = Admission(state, usage, link, stopping)
    forward_parts = ForwardParts(
        fleet=fleet,
        pools=pools,
        wants=link.wants,
        retries=retries,
        refund=admission.refund,
        stopping=stopping,
        load_s=load_s,
        suspects=suspects,
        pacing=link.pacing,
    )
    front = Front(admission, forward_parts, FrontMetrics.make(metrics))
    followers = tuple(
        TopicFollower(store, topic, shelves[topic.name], link.is_relayed, link.spare_s)
        for topic in TOPICS
    )
    return Vm(
        settings=settings,
        state=state,
        fleet=fleet,
        pools=pools,
        usage=usage,
        retries=retries,
        link=link,
        lead=lead,
        hub=hub,
        placer=placer,
        suspects=suspects,
        front=front,
        followers=followers,
        metrics=metrics,
        stopping=stopping,
    )


async def run_vm(settings: VmSettings, path: Path, lines: BoundedLines) -> None:
    """Run the process until SIGTERM and the end of its requests.

    Parameters
    ----------
    settings : VmSettings
        As read at the start.
    path : Path
        Where newer settings appear.
    lines : BoundedLines
        The log lines that wait for standard output.
    """
    metrics = Metrics()
    vm = make_vm(settings, metrics)
    timer = RealTimer()
    stopping = anyio.Event()
    connections: set[ServerConnection] = set()
    metrics.gauge("pond_log_lines_dropped", "Dropped lines.", lambda: lines.dropped)
    metrics.gauge("pond_open_connections", "Of callers.", lambda: len(connections))
    metrics.gauge("pond_configuration_age_s", "Proof's age.", vm.state.age_s)

    watch = SettingsWatch(path, settings, partial(take_bounds, vm))

    async def flush(_: float) -> None:
        lines.flush_ready()

    async def tidy(now_s: float) -> None:
        for connection in list(connections):
            connection.check_time(now_s)
        deployment = vm.state.deployment()
        services = {} if deployment is None else deployment.services
        vm.pools.recover(TIDY_S)
        vm.pools.tidy(vm.fleet.servers, services, vm.link.members())
        vm.fleet.drop_lapsed()
        vm.hub.drop_silent()
        vm.hub.settle_crashes()
        vm.usage.cap(vm.state.customers())

    async with anyio.create_task_group() as group:
        group.start_soon(watch_signals, stopping, watch.ask)
        group.start_soon(watch.run)
        group.start_soon(every, timer, LOG_FLUSH_S, flush)
        group.start_soon(every, timer, TIDY_S, tidy)
        for work in (*[f.run for f in vm.followers], vm.link.run, vm.lead.run):
            group.start_soon(work)
        group.start_soon(vm.placer.run)
        group.start_soon(vm.hub.run, *settings.peer_address)
        await _listen(
            settings.caller_address,
            ServerParts(
                vm.front.handle,
                vm.state.limits,
                timer.now_s,
                stopping.is_set,
                connections,
            ),
        )
        await _listen_plain(settings.ready_address, _ready_handler(vm, stopping))
        metrics_address = HttpAddress(settings.ip, METRICS_PORT)
        await _listen_plain(metrics_address, _metrics_handler(metrics))
        gc.collect()
        gc.freeze()
        log_change("started", vm=settings.name, data_centre=settings.data_centre)
        await stopping.wait()
        log_change("stopping", grace_s=settings.bounds.stop_grace_s)
        vm.stopping.begin()
        await vm.lead.resign()
        await vm.stopping.drain(connections)
        log_change("stopped")
        lines.flush_ready()
        group.cancel_scope.cancel()


def take_bounds(vm: Vm, bounds: VmBounds) -> None:
    """Keep to other bounds from now on."""
    vm.state.set_revoke_s(bounds.revoke_s)
    vm.fleet.set_drain_s(bounds.drain_s)
    vm.stopping.set_grace_s(bounds.stop_grace_s)
    vm.retries.set_bounds(bounds.retry_ratio, bounds.retry_reserve)


def _preference(settings: VmSettings) -> float:
    is_strong = (
        settings.cpu_cores >= STRONG_CORES and settings.link_mbps >= STRONG_LINK_MBPS
    )
    drawn = score("leader", settings.name) / HASH_RANGE / 2.0
    return drawn if is_strong else 0.5 + drawn


async def _listen(address: HttpAddress, parts: ServerParts) -> None:
    loop = asyncio.get_running_loop()
    await loop.create_server(
        lambda: ServerConnection(parts),
        *address,
        backlog=LISTEN_BACKLOG,
        reuse_address=True,
    )


async def _listen_plain(address: HttpAddress, handler: Handler) -> None:
    parts = ServerParts(
        handler, lambda: FIRST_LIMITS, RealTimer().now_s, lambda: False, set()
    )
    await _listen(address, parts)


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
        await responder.answer(200 if is_ready else 503, [], b"")

    return handle


def _metrics_handler(metrics: Metrics) -> Handler:
    async def handle(request: Request, responder: Responder) -> None:
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        await responder.answer(200, headers, generate_latest(metrics.registry))

    return handle


def main(run: Callable[..., Awaitable[None]] = run_vm) -> None:
    """Read the settings and run the process."""
    path = settings_path()
    if path.is_err():
        sys.exit(f"pond-vm: {path.err()}")
    settings = read_vm_settings(path.ok())
    if settings.is_err():
        sys.exit(f"pond-vm: {settings.err()}")
    lines = set_up_bounded_logs()
    anyio.run(run, settings.ok(), path.ok(), lines)
