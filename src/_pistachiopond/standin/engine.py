"""A stand-in engine: residents, batch, caches and orders of one incarnation."""

import uuid
from pathlib import Path
from typing import Final, NamedTuple, final

import anyio
import httpx
from anyio.abc import TaskGroup, TaskStatus
from result import Err, Ok, Result

from _pistachiopond.clients.weightstore import WeightLoad, make_weight_store
from _pistachiopond.kernel.timer import Timer
from _pistachiopond.standin.batcher import Batcher, BatchTiming, Load
from _pistachiopond.standin.engine_types import StateReport
from _pistachiopond.standin.ledger import Ledger, MemoryEntry, RequestEntry
from _pistachiopond.standin.orders import FetchWeights, OrderDesk
from _pistachiopond.standin.prefix_cache import PrefixCache
from _pistachiopond.standin.residents import Residents

STORE_TIMEOUT_S: Final = 600.0


class EngineOptions(NamedTuple):
    """How one engine behaves.

    Attributes
    ----------
    name : str
        As in the manifest.
    memory_mb : int
        Accelerator memory.
    store_url : str or None
        The weight store; None loads at once.
    checks_fencing : bool
        Whether old fencing numbers are refused.
    load_lag_s : float
        How old the reported load is at most.
    cache_blocks : int
        Prompt blocks that are cached.
    cache_event_lag_s, cache_event_gap : float
        How late cache events are, and the share that is lost.
    resume_window_s : float
        How long a broken stream can be resumed.
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


class Broken(NamedTuple):
    """A stream whose connection closed before its end."""

    content_digest: str
    expires_s: float


@final
class Incarnation:
    """Everything that an engine loses when it restarts."""

    def __init__(
        self, options: EngineOptions, timing: BatchTiming, ledger: Ledger, timer: Timer
    ) -> None:
        self.identity = uuid.uuid4().hex
        self.residents = Residents(self._record_memory)
        self.batcher = Batcher(timing, timer)
        self.cache = PrefixCache(
            options.cache_blocks, options.cache_event_lag_s, options.cache_event_gap
        )
        self.orders = OrderDesk(
            self.residents,
            ledger,
            _make_fetch(options.store_url),
            timer,
            checks_fencing=options.checks_fencing,
        )
        self.broken: dict[str, Broken] = {}
        self._memory_mb = options.memory_mb
        self._ledger = ledger

    def _record_memory(self, used_mb: int) -> None:
        over = used_mb > self._memory_mb
        entry = MemoryEntry(self.identity, used_mb, self._memory_mb, over)
        self._ledger.add(entry)


@final
class StandinEngine:
    """One engine over all its incarnations."""

    def __init__(
        self, options: EngineOptions, timing: BatchTiming, timer: Timer
    ) -> None:
        self.options = options
        self.timer = timer
        self.ledger = Ledger(options.ledger_path)
        self.leaving = False
        self.refusing = False
        self._timing = timing
        self._restarted = anyio.Event()
        self._group: TaskGroup | None = None
        self.now = self._incarnate()
        self._load = Load(0, 0, 0, 0)
        self._load_taken_s = timer.now_s()

    @property
    def group(self) -> TaskGroup:
        """The tasks of the present incarnation."""
        assert self._group is not None
        return self._group

    def restart(self) -> None:
        """Lose everything and go on as a new incarnation."""
        for place, entry in self.ledger.requests():
            if entry.outcome == "started":
                self.ledger.replace(place, entry._replace(outcome="crashed"))
        self.leaving = False
        self.refusing = False
        self.now = self._incarnate()
        self._restarted.set()

    def refuse_new(self) -> None:
        """Take no new requests from now on."""
        self.refusing = True

    def end_request(self, place: int, entry: RequestEntry) -> None:
        """Record how a request of the present incarnation ended."""
        if entry.incarnation == self.now.identity:
            self.ledger.replace(place, entry)

    def state(self) -> StateReport:
        """Return what the engine says of itself."""
        now_s = self.timer.now_s()
        now = self.now
        return StateReport(
            self.options.name,
            now.identity,
            now.batcher.role,
            self.leaving,
            self.options.checks_fencing,
            self.options.memory_mb,
            now.residents.used_mb(),
            now.residents.report(),
            self._load.running,
            self._load.queued,
            self._load.running_tokens,
            self._load.queued_tokens,
            now_s - self._load_taken_s,
            now.orders.highest_fencing_number,
            now.orders.recent(),
        )

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Run one incarnation after the other."""
        is_first = True
        while True:
            self._restarted = anyio.Event()
            async with anyio.create_task_group() as group:
                self._group = group
                group.start_soon(self.now.batcher.run)
                group.start_soon(self._sample_load)
                if is_first:
                    task_status.started()
                    is_first = False
                await self._restarted.wait()
                group.cancel_scope.cancel()

    def _incarnate(self) -> Incarnation:
        return Incarnation(self.options, self._timing, self.ledger, self.timer)

    async def _sample_load(self) -> None:
        while True:
            self._load = self.now.batcher.load()
            self._load_taken_s = self.timer.now_s()
            wake_s = self._load_taken_s + self.options.load_lag_s
            await self.timer.sleep_until(wake_s)


def _make_fetch(store_url: str | None) -> FetchWeights:
    if store_url is None:
        return _fetch_at_once
    store = make_weight_store(httpx.AsyncClient(), store_url, STORE_TIMEOUT_S)

    async def fetch(kind: str, name: str, memory_mb: int) -> Result[None, str]:
        load = WeightLoad("model" if kind == "model" else "adapter", name, memory_mb)
        answer = await store.load(load)
        return Err(answer.unwrap_err().detail) if answer.is_err() else Ok(None)

    return fetch


async def _fetch_at_once(kind: str, name: str, memory_mb: int) -> Result[None, str]:
    del kind, name, memory_mb
    await anyio.lowlevel.checkpoint()
    return Ok(None)
