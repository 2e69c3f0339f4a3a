"""The service ``engines``: polls each model engine for its state.

The period is 2 s, longer with many servers, and 0.25 s for servers with orders under
way. The number of open polls and the time that each may take are limited, so that
servers which do not answer do not delay the others.
"""

from collections.abc import Mapping
from typing import Any, Final, final

import anyio
import httpx
from anyio.abc import TaskGroup, TaskStatus
from prometheus_client import Counter

from _pistachiopond.clients.reply_client import (
    MAX_ENGINE_REPLY_BYTES,
    make_reply_client,
)
from _pistachiopond.control.gossip import GossipState
from _pistachiopond.control.ports import Configuration, Ownership
from _pistachiopond.decisions.engine_feed import (
    LOST_AFTER_S,
    FeedReceiver,
    newest_reports,
)
from _pistachiopond.decisions.memory import EngineReport
from _pistachiopond.decisions.ownership import server_shard
from _pistachiopond.kernel.service import Kernel, Service
from _pistachiopond.kernel.timer import Timer, every
from _pistachiopond.schema.codec import from_plain
from _pistachiopond.schema.engine import EngineState
from _pistachiopond.schema.engine_feed import FeedMessage
from _pistachiopond.schema.manifest import BackendServer

TICK_S: Final = 0.125
POLL_PERIOD_S: Final = 2.0
BUSY_POLL_PERIOD_S: Final = 0.25
POLL_TIMEOUT_S: Final = 2.0
MAX_POLLS_PER_S: Final = 20
MAX_OPEN_POLLS: Final = 16

SERVERS_SHARD: Final = server_shard("")

POLLS: Final = Counter("pond_engine_polls", "Questions to engines", ["result"])


@final
class Engines:
    """The newest state report of each engine."""

    def __init__(self, timer: Timer, gossip: GossipState) -> None:
        self._timer = timer
        self._gossip = gossip
        self._reports: dict[str, EngineReport] = {}
        self._polled_s: dict[str, float] = {}
        self._in_flight: set[str] = set()
        self._limiter = anyio.CapacityLimiter(MAX_OPEN_POLLS)
        self._busy_servers: frozenset[str] = frozenset()
        self._receiver = FeedReceiver()
        self._period_s = POLL_PERIOD_S
        self.changed = anyio.Event()

    def now_s(self) -> float:
        """Return the time by this daemon's clock."""
        return self._timer.now_s()

    def set_busy_servers(self, servers: frozenset[str]) -> None:
        """Set the servers with orders under way, which are polled more often."""
        self._busy_servers = servers

    def reports(self) -> Mapping[str, EngineReport]:
        """Return the newest report that this daemon itself got from each engine.

        Orders depend on these reports alone, never on reports that a peer forwarded.
        """
        return self._reports

    def newest(self) -> Mapping[str, EngineReport]:
        """Return the newest report of each engine, polled or forwarded by a peer."""
        return newest_reports(self._reports, self._receiver.reports())

    def reset_feed(self) -> None:
        """Prepare for a new feed of reports from another control daemon."""
        self._receiver.start_upstream()

    def apply_feed(self, message: FeedMessage) -> None:
        """Store reports that another control daemon forwards."""
        now_s = self._timer.now_s()
        updates = self._receiver.take_message(message, now_s)
        for report in updates:
            if report.state.leaving:
                self._gossip.record_leaving(report.server, now_s, is_first_hand=False)
        if updates:
            self._notify_changed()

    def lost_after_s(self) -> float:
        """Return the age beyond which a report no longer counts."""
        return max(LOST_AFTER_S, 3.0 * self._period_s)

    def age_s(self, server: str) -> float:
        """Return the age of the engine's newest report; infinite if there is none."""
        report = self._reports.get(server)
        return float("inf") if report is None else self._timer.now_s() - report.asked_s

    def due_servers(
        self, servers: tuple[BackendServer, ...], *, is_holder: bool
    ) -> list[BackendServer]:
        """Return the servers to poll now.

        The poll period grows with the number of servers, so that the total rate stays
        bounded. The holder of the servers' shard polls all servers; other daemons poll
        those for which the feed brings no recent report.
        """
        now_s = self._timer.now_s()
        self._period_s = max(POLL_PERIOD_S, len(servers) / MAX_POLLS_PER_S)
        return [
            server
            for server in servers
            if server.name not in self._in_flight
            and self._is_due(server.name, now_s)
            and (is_holder or not self._has_recent_feed_report(server.name, now_s))
        ]

    def _is_due(self, name: str, now_s: float) -> bool:
        period_s = BUSY_POLL_PERIOD_S if name in self._busy_servers else self._period_s
        return now_s - self._polled_s.get(name, float("-inf")) >= period_s

    def _has_recent_feed_report(self, name: str, now_s: float) -> bool:
        report = self._receiver.reports().get(name)
        return report is not None and now_s - report.asked_s <= self.lost_after_s()

    def keep_only(self, names: frozenset[str]) -> None:
        """Drop reports of engines that the manifest no longer lists."""
        for name in self._reports.keys() - names:
            del self._reports[name]
        self._receiver.keep_only(names)

    async def poll(self, http: httpx.AsyncClient, server: BackendServer) -> None:
        """Poll one engine and store its report."""
        async with self._limiter:
            sent_s = self._timer.now_s()
            self._polled_s[server.name] = sent_s
            state = await fetch_state(http, server)
            self._in_flight.discard(server.name)
        POLLS.labels("failed" if state is None else "answered").inc()
        if state is None:
            return
        before = self._reports.get(server.name)
        if before is not None and before.asked_s >= sent_s:
            return
        self._reports[server.name] = EngineReport(state, sent_s)
        if state.leaving:
            self._gossip.record_leaving(server.name, sent_s, is_first_hand=True)
        if before is None or _has_changed(before.state, state):
            self._notify_changed()

    def _notify_changed(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    def start_due_polls(
        self,
        group: TaskGroup,
        http: httpx.AsyncClient,
        servers: tuple[BackendServer, ...],
        *,
        is_holder: bool,
    ) -> None:
        """Start polls of the servers that are due."""
        for server in self.due_servers(servers, is_holder=is_holder):
            self._in_flight.add(server.name)
            group.start_soon(self.poll, http, server)


def _has_changed(before: EngineState, after: EngineState) -> bool:
    return (
        before.models != after.models
        or before.leaving != after.leaving
        or before.incarnation != after.incarnation
    )


async def fetch_state(
    http: httpx.AsyncClient, server: BackendServer
) -> EngineState | None:
    """Return an engine's report of its state; None if it gives none."""
    try:
        response = await http.get(f"{server.url}/state", timeout=POLL_TIMEOUT_S)
        response.raise_for_status()
        plain = response.json()
    except (httpx.HTTPError, ValueError):
        return None
    return from_plain(EngineState, _known_fields(plain)).ok()


def _known_fields(plain: Any) -> Any:
    """Drop fields that newer engines may have added, at each level that is read."""
    if not isinstance(plain, dict):
        return plain
    known_fields = {name: plain[name] for name in EngineState._fields if name in plain}
    known_fields["models"] = [
        _select_fields(item, _MODEL_FIELDS) for item in plain.get("models", ())
    ]
    for model in known_fields["models"]:
        model["adapters"] = [
            _select_fields(item, _ADAPTER_FIELDS) for item in model.get("adapters", ())
        ]
    known_fields["orders"] = [
        _select_fields(item, _ORDER_FIELDS) for item in plain.get("orders", ())
    ]
    return known_fields


_MODEL_FIELDS: Final = ("name", "version", "memory_mb", "state", "adapters")
_ADAPTER_FIELDS: Final = ("name", "memory_mb", "state")
_ORDER_FIELDS: Final = ("fencing_number", "order_number", "state")


def _select_fields(plain: Any, fields: tuple[str, ...]) -> Any:
    if not isinstance(plain, dict):
        return plain
    return {name: plain[name] for name in fields if name in plain}


def engine_servers(configuration: Configuration) -> tuple[BackendServer, ...]:
    """Return the manifest's backend servers that run a model engine."""
    revision = configuration.revision()
    if revision is None:
        return ()
    return tuple(
        server for server in revision.manifest.backend_servers if server.memory_mb > 0
    )


def make_engines_service(timer: Timer) -> Service:
    """Return the service ``engines``."""

    async def run(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
        configuration = kernel.find("configuration", Configuration)
        gossip = kernel.find("exchange", GossipState)
        ownership = kernel.find("ownership", Ownership)
        engines = Engines(timer, gossip)
        limits = httpx.Limits(max_keepalive_connections=MAX_OPEN_POLLS * 4)
        client = make_reply_client(MAX_ENGINE_REPLY_BYTES, limits=limits)
        async with (
            client as http,
            anyio.create_task_group() as group,
        ):

            async def on_tick(now_s: float) -> None:
                servers = engine_servers(configuration)
                engines.keep_only(frozenset(server.name for server in servers))
                is_holder = ownership.holding(SERVERS_SHARD) is not None
                engines.start_due_polls(group, http, servers, is_holder=is_holder)

            group.start_soon(every, timer, TICK_S, on_tick)
            task_status.started(engines)
            await kernel.stop_event("engines").wait()
            group.cancel_scope.cancel()

    return Service("engines", run)
