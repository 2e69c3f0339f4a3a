"""A stand-in engine, which loses its models, batch, caches and orders on restart."""

import uuid
from pathlib import Path
from typing import Final, NamedTuple, final

import anyio
import httpx
from anyio.abc import TaskGroup, TaskStatus
from result import Err, Ok, Result

from _pistachiopond.clients.weight_store import WeightLoad, make_weight_store_client
from _pistachiopond.kernel.timer import Timer
from _pistachiopond.standin.batcher import Batcher, BatchTiming, EngineLoad
from _pistachiopond.standin.engine_types import StateReport
from _pistachiopond.standin.ledger import Ledger, MemoryEntry, RequestEntry
from _pistachiopond.standin.orders import LoadWeights, OrderExecutor
from _pistachiopond.standin.prefix_cache import PrefixCache
from _pistachiopond.standin.resident_models import ResidentModels

STORE_TIMEOUT_S: Final = 600.0


class EngineOptions(NamedTuple):
    """Options of one engine.

    Attributes
    ----------
    name : str
        The server's name in the manifest.
    memory_mb : int
        Accelerator memory. Loads beyond it succeed and are recorded in the ledger.
    store_url : str or None
        URL of the weight store; with None, loads take no time.
    checks_fencing : bool
        Whether orders with an old fencing number are rejected.
    load_lag_s : float
        Maximum age of the reported load.
    cache_blocks : int
        Capacity of the prefix cache, in blocks of the prompt.
    cache_event_lag_s, cache_event_gap : float
        Delay of cache events, and the probability that one is lost.
    resume_window_s : float
        How long an interrupted stream can be resumed.
    ledger_path : Path or None
        File to which the ledger is also written.
    """

    name: str
    memory_mb: int = 80_000
    store_url: str | None = None
    checks_fencing: bool = True
    load_lag_s: float = 0.5
    cache_blocks: int = 2_000
    cache_event_lag_s: float = 0.5
    cache_event_gap: float = 0.0
    resume_window_s: float = 10.0
    ledger_path: Path | None = None


class ResumableStream(NamedTuple):
    """An interrupted request, which can be resumed until it expires."""

    content_digest: str
    expires_s: float


@final
class Incarnation:
    """The state of an engine between two restarts; a restart discards it."""

    def __init__(
        self, options: EngineOptions, timing: BatchTiming, ledger: Ledger, timer: Timer
    ) -> None:
        self.incarnation_id = uuid.uuid4().hex
        self.resident_models = ResidentModels(self._record_memory)
        self.batcher = Batcher(timing, timer)
        self.cache = PrefixCache(
            options.cache_blocks, options.cache_event_lag_s, options.cache_event_gap
        )
        self.orders = OrderExecutor(
            self.resident_models,
            ledger,
            _make_weight_loader(options.store_url),
            timer,
            checks_fencing=options.checks_fencing,
        )
        self.resumable_streams: dict[str, ResumableStream] = {}
        self._memory_mb = options.memory_mb
        self._ledger = ledger

    def _record_memory(self, used_mb: int) -> None:
        is_overcommitted = used_mb > self._memory_mb
        entry = MemoryEntry(
            self.incarnation_id, used_mb, self._memory_mb, is_overcommitted
        )
        self._ledger.add(entry)


@final
class StandinEngine:
    """One engine, across all its restarts."""

    def __init__(
        self, options: EngineOptions, timing: BatchTiming, timer: Timer
    ) -> None:
        self.options = options
        self.timer = timer
        self.ledger = Ledger(options.ledger_path)
        self.leaving = False
        self.is_rejecting = False
        self._timing = timing
        self._restarted = anyio.Event()
        self._task_group: TaskGroup | None = None
        self.current = self._make_incarnation()
        self._load = EngineLoad(0, 0, 0, 0)
        self._load_sampled_s = timer.now_s()

    @property
    def task_group(self) -> TaskGroup:
        """The task group of the current incarnation."""
        assert self._task_group is not None
        return self._task_group

    def restart(self) -> None:
        """Discard all state and continue as a new incarnation.

        Requests that are running are recorded as crashed.
        """
        for position, entry in self.ledger.requests():
            if entry.outcome == "started":
                self.ledger.replace(position, entry._replace(outcome="crashed"))
        self.leaving = False
        self.is_rejecting = False
        self.current = self._make_incarnation()
        self._restarted.set()

    def reject_new_requests(self) -> None:
        """Reject new requests from now on."""
        self.is_rejecting = True

    def record_outcome(self, position: int, entry: RequestEntry) -> None:
        """Record how a request ended, unless the engine has restarted since."""
        if entry.incarnation == self.current.incarnation_id:
            self.ledger.replace(position, entry)

    def state(self) -> StateReport:
        """Return the engine's report about itself, for ``GET /state``."""
        now_s = self.timer.now_s()
        current = self.current
        return StateReport(
            self.options.name,
            current.incarnation_id,
            current.batcher.role,
            self.leaving,
            self.options.checks_fencing,
            self.options.memory_mb,
            current.resident_models.used_mb(),
            current.resident_models.report(),
            self._load.running,
            self._load.queued,
            self._load.running_tokens,
            self._load.queued_tokens,
            now_s - self._load_sampled_s,
            current.orders.highest_fencing_number,
            current.orders.recent(),
        )

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Run the current incarnation, and a new one after each restart."""
        is_first = True
        while True:
            self._restarted = anyio.Event()
            async with anyio.create_task_group() as group:
                self._task_group = group
                group.start_soon(self.current.batcher.run)
                group.start_soon(self._sample_load)
                if is_first:
                    task_status.started()
                    is_first = False
                await self._restarted.wait()
                group.cancel_scope.cancel()

    def _make_incarnation(self) -> Incarnation:
        return Incarnation(self.options, self._timing, self.ledger, self.timer)

    async def _sample_load(self) -> None:
        while True:
            self._load = self.current.batcher.load()
            self._load_sampled_s = self.timer.now_s()
            next_sample_s = self._load_sampled_s + self.options.load_lag_s
            await self.timer.sleep_until(next_sample_s)


def _make_weight_loader(store_url: str | None) -> LoadWeights:
    if store_url is None:
        return _load_immediately
    store = make_weight_store_client(httpx.AsyncClient(), store_url, STORE_TIMEOUT_S)

    async def load_weights(kind: str, name: str, memory_mb: int) -> Result[None, str]:
        load = WeightLoad("model" if kind == "model" else "adapter", name, memory_mb)
        load_result = await store.load(load)
        return (
            Err(load_result.unwrap_err().detail) if load_result.is_err() else Ok(None)
        )

    return load_weights


async def _load_immediately(kind: str, name: str, memory_mb: int) -> Result[None, str]:
    del kind, name, memory_mb
    await anyio.lowlevel.checkpoint()
    return Ok(None)
