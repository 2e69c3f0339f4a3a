"""The service ``engines``: asks each model engine for its state.

Every 2 s, and more often while orders to it are under way.

At most a few questions are open at a time, and none waits longer than its limit,
so that servers which do not answer delay no others.
"""

from collections.abc import Mapping
from typing import Any, Final, final

import anyio
import httpx
from anyio.abc import TaskGroup, TaskStatus
from prometheus_client import Counter

from _pistachiopond.control.exchange import Exchange
from _pistachiopond.control.ports import Configuration, Ownership
from _pistachiopond.decisions.engine_feed import (
    LOST_AFTER_S,
    FeedSink,
    newest_reports,
)
from _pistachiopond.decisions.memory import Report
from _pistachiopond.decisions.ownership import server_shard
from _pistachiopond.kernel.service import Kernel, Service
from _pistachiopond.kernel.timer import Timer, every
from _pistachiopond.schema.codec import from_plain
from _pistachiopond.schema.engine import EngineState
from _pistachiopond.schema.engine_feed import FeedMessage
from _pistachiopond.schema.manifest import BackendServer

TICK_S: Final = 0.125
POLL_PERIOD_S: Final = 2.0
HURRIED_PERIOD_S: Final = 0.25
POLL_TIMEOUT_S: Final = 2.0
POLLS_PER_S: Final = 20
OPEN_POLLS: Final = 16

SERVERS_SHARD: Final = server_shard("")

POLLS: Final = Counter("pond_engine_polls", "Questions to engines", ["result"])


@final
class Engines:
    """What the engines last said."""

    def __init__(self, timer: Timer, exchange: Exchange) -> None:
        self._timer = timer
        self._exchange = exchange
        self._reports: dict[str, Report] = {}
        self._asked_s: dict[str, float] = {}
        self._open: set[str] = set()
        self._limiter = anyio.CapacityLimiter(OPEN_POLLS)
        self._hurried: frozenset[str] = frozenset()
        self._sink = FeedSink()
        self._period_s = POLL_PERIOD_S
        self.changed = anyio.Event()

    def now_s(self) -> float:
        """Return the time by this daemon's clock."""
        return self._timer.now_s()

    def hurry(self, servers: frozenset[str]) -> None:
        """Ask these servers more often: orders to them are under way."""
        self._hurried = servers

    def reports(self) -> Mapping[str, Report]:
        """Return the newest report of each engine that ever answered this daemon.

        Orders are given by these alone.
        """
        return self._reports

    def newest(self) -> Mapping[str, Report]:
        """Return the newest report of each engine, this daemon's or one fed."""
        return newest_reports(self._reports, self._sink.reports())

    def begin_feed(self) -> None:
        """Start to follow another control daemon's reports."""
        self._sink.begin()

    def take_feed(self, message: FeedMessage) -> None:
        """Take reports that another control daemon passes on."""
        now_s = self._timer.now_s()
        news = self._sink.take(message, now_s)
        for fed in news:
            if fed.state.leaving:
                self._exchange.note_leaving(fed.server, now_s, seen_here=False)
        if news:
            self._tell()

    def lost_after_s(self) -> float:
        """Return from which age on a report says nothing any more."""
        return max(LOST_AFTER_S, 3.0 * self._period_s)

    def age_s(self, server: str) -> float:
        """Return how long ago the engine was asked for its newest report."""
        report = self._reports.get(server)
        return float("inf") if report is None else self._timer.now_s() - report.asked_s

    def due(
        self, servers: tuple[BackendServer, ...], *, is_holder: bool
    ) -> list[BackendServer]:
        """Return the servers to be asked now; many are asked less often each.

        The holder of the servers' shard asks all; others ask those of which the
        feed tells them nothing new.
        """
        now_s = self._timer.now_s()
        self._period_s = max(POLL_PERIOD_S, len(servers) / POLLS_PER_S)
        return [
            server
            for server in servers
            if server.name not in self._open
            and self._is_due(server.name, now_s)
            and (is_holder or not self._is_fed(server.name, now_s))
        ]

    def _is_due(self, name: str, now_s: float) -> bool:
        period_s = HURRIED_PERIOD_S if name in self._hurried else self._period_s
        return now_s - self._asked_s.get(name, float("-inf")) >= period_s

    def _is_fed(self, name: str, now_s: float) -> bool:
        report = self._sink.reports().get(name)
        return report is not None and now_s - report.asked_s <= self.lost_after_s()

    def keep_only(self, names: frozenset[str]) -> None:
        """Forget engines that the manifest does not list any more."""
        for name in self._reports.keys() - names:
            del self._reports[name]
        self._sink.keep_only(names)

    async def poll(self, http: httpx.AsyncClient, server: BackendServer) -> None:
        """Ask one engine, and keep its answer."""
        async with self._limiter:
            asked_s = self._timer.now_s()
            self._asked_s[server.name] = asked_s
            state = await _ask(http, server)
            self._open.discard(server.name)
        POLLS.labels("failed" if state is None else "answered").inc()
        if state is None:
            return
        before = self._reports.get(server.name)
        if before is not None and before.asked_s >= asked_s:
            return
        self._reports[server.name] = Report(state, asked_s)
        if state.leaving:
            self._exchange.note_leaving(server.name, asked_s, seen_here=True)
        if before is None or _is_news(before.state, state):
            self._tell()

    def _tell(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    def start_due(
        self,
        group: TaskGroup,
        http: httpx.AsyncClient,
        servers: tuple[BackendServer, ...],
        *,
        is_holder: bool,
    ) -> None:
        """Begin asking those that are due."""
        for server in self.due(servers, is_holder=is_holder):
            self._open.add(server.name)
            group.start_soon(self.poll, http, server)


def _is_news(before: EngineState, after: EngineState) -> bool:
    return (
        before.models != after.models
        or before.leaving != after.leaving
        or before.incarnation != after.incarnation
    )


async def _ask(http: httpx.AsyncClient, server: BackendServer) -> EngineState | None:
    try:
        response = await http.get(f"{server.url}/state", timeout=POLL_TIMEOUT_S)
        response.raise_for_status()
        plain = response.json()
    except (httpx.HTTPError, ValueError):
        return None
    return from_plain(EngineState, _known_fields(plain)).ok()


def _known_fields(plain: Any) -> Any:
    """Leave out what later engines may add, at each level that is read."""
    if not isinstance(plain, dict):
        return plain
    kept = {name: plain[name] for name in EngineState._fields if name in plain}
    kept["models"] = [_pick(item, _MODEL_FIELDS) for item in plain.get("models", ())]
    for model in kept["models"]:
        model["adapters"] = [
            _pick(item, _ADAPTER_FIELDS) for item in model.get("adapters", ())
        ]
    kept["orders"] = [_pick(item, _ORDER_FIELDS) for item in plain.get("orders", ())]
    return kept


_MODEL_FIELDS: Final = ("name", "version", "memory_mb", "state", "adapters")
_ADAPTER_FIELDS: Final = ("name", "memory_mb", "state")
_ORDER_FIELDS: Final = ("fencing_number", "order_number", "state")


def _pick(plain: Any, fields: tuple[str, ...]) -> Any:
    if not isinstance(plain, dict):
        return plain
    return {name: plain[name] for name in fields if name in plain}


def engine_servers(configuration: Configuration) -> tuple[BackendServer, ...]:
    """Return the backend servers that run a model engine."""
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
        exchange = kernel.find("exchange", Exchange)
        ownership = kernel.find("ownership", Ownership)
        engines = Engines(timer, exchange)
        limits = httpx.Limits(max_keepalive_connections=OPEN_POLLS * 4)
        async with (
            httpx.AsyncClient(limits=limits, trust_env=False) as http,
            anyio.create_task_group() as group,
        ):

            async def on_tick(now_s: float) -> None:
                servers = engine_servers(configuration)
                engines.keep_only(frozenset(server.name for server in servers))
                is_holder = ownership.holding(SERVERS_SHARD) is not None
                engines.start_due(group, http, servers, is_holder=is_holder)

            group.start_soon(every, timer, TICK_S, on_tick)
            task_status.started(engines)
            await kernel.stop_event("engines").wait()
            group.cancel_scope.cancel()

    return Service("engines", run)
