"""Simulates an engine with continuous batching: one task steps the whole batch."""

import heapq
import itertools
from typing import Final, NamedTuple, final

import anyio
from anyio.streams.memory import MemoryObjectSendStream

from _pistachiopond.kernel.timer import Timer

# Speed of each role relative to that of a "mixed" engine.
ROLE_PREFILL_SPEED_FACTORS: Final = {"mixed": 1.0, "prefill": 2.0, "decode": 0.5}
ROLE_DECODE_SPEED_FACTORS: Final = {"mixed": 1.0, "prefill": 0.5, "decode": 1.2}


class BatchTiming(NamedTuple):
    """Speed and capacity of an engine.

    Attributes
    ----------
    prefill_tokens_per_s : float
        Rate at which prompt tokens that are not cached are processed.
    token_gap_s : float
        Time between two tokens of a request, in a nearly empty batch.
    batch_slowdown : float
        Relative increase of the time between tokens when the batch is full.
    max_batch : int
        Maximum number of running requests; others wait in the queue.
    max_queue : int
        Maximum number of queued requests; beyond it, requests are rejected.
    """

    prefill_tokens_per_s: float = 8_000.0
    token_gap_s: float = 0.015
    batch_slowdown: float = 0.5
    max_batch: int = 32
    max_queue: int = 1_000


class Job(NamedTuple):
    """One request that the batcher schedules.

    Jobs with a smaller `priority` run first.

    Attributes
    ----------
    prefill_tokens : int
        Prompt tokens that must be processed, because they are not cached.
    first_index, end_index : int
        The range of token indices to generate; `end_index` is not in it.
    output : MemoryObjectSendStream
        Receives the index of each token when it is generated; closed at the end.
    """

    job_id: int
    priority: int
    prefill_tokens: int
    first_index: int
    end_index: int
    output: MemoryObjectSendStream[int]


class EngineLoad(NamedTuple):
    """Requests in the batch and in the queue, and their remaining tokens."""

    running: int
    queued: int
    running_tokens: int
    queued_tokens: int


@final
class Batcher:
    """The queue and the batch of one engine."""

    def __init__(self, timing: BatchTiming, timer: Timer) -> None:
        self._timing = timing
        self._timer = timer
        self._queue: list[tuple[int, int, Job]] = []
        self._submission_numbers = itertools.count()
        self._running: dict[int, Job] = {}
        self._next_index: dict[int, int] = {}
        self._cancelled: set[int] = set()
        self._wake = anyio.Event()
        self.role = "mixed"

    def submit(self, job: Job) -> None:
        """Add a request to the queue."""
        heapq.heappush(self._queue, (job.priority, next(self._submission_numbers), job))
        self._wake.set()

    def cancel(self, job_id: int) -> None:
        """Remove a request from the batch or from the queue."""
        if self._running.pop(job_id, None) is not None:
            self._next_index.pop(job_id, None)
            return
        if any(entry[2].job_id == job_id for entry in self._queue):
            self._cancelled.add(job_id)

    def is_full(self) -> bool:
        """Return whether the queue is full, so that new requests are rejected."""
        return len(self._queue) - len(self._cancelled) >= self._timing.max_queue

    def load(self) -> EngineLoad:
        """Return the current load."""
        waiting = [
            job for _, _, job in self._queue if job.job_id not in self._cancelled
        ]
        running_tokens = sum(
            job.end_index - self._next_index[job_id]
            for job_id, job in self._running.items()
        )
        queued_tokens = sum(
            job.prefill_tokens + job.end_index - job.first_index for job in waiting
        )
        return EngineLoad(
            len(self._running), len(waiting), running_tokens, queued_tokens
        )

    async def run(self) -> None:
        """Step the batch until the task is cancelled."""
        while True:
            if not self._queue and not self._running:
                self._wake = anyio.Event()
                await self._wake.wait()
            started_s = self._timer.now_s()
            prefill_tokens = self._admit()
            step_s = self._step_duration_s(prefill_tokens)
            await self._timer.sleep_until(started_s + step_s)
            self._emit_tokens()

    def _admit(self) -> int:
        prefill_tokens = 0
        while self._queue and len(self._running) < self._timing.max_batch:
            _, _, job = heapq.heappop(self._queue)
            if job.job_id in self._cancelled:
                self._cancelled.discard(job.job_id)
                continue
            self._running[job.job_id] = job
            self._next_index[job.job_id] = job.first_index
            prefill_tokens += job.prefill_tokens
        return prefill_tokens

    def _step_duration_s(self, prefill_tokens: int) -> float:
        timing = self._timing
        batch_fill = len(self._running) / timing.max_batch
        gap_s = timing.token_gap_s * (1.0 + timing.batch_slowdown * batch_fill)
        prefill_s = prefill_tokens / timing.prefill_tokens_per_s
        return (
            gap_s / ROLE_DECODE_SPEED_FACTORS[self.role]
            + prefill_s / ROLE_PREFILL_SPEED_FACTORS[self.role]
        )

    def _emit_tokens(self) -> None:
        for job_id, job in list(self._running.items()):
            index = self._next_index[job_id]
            if index < job.end_index:
                _send_index(job, index)
                self._next_index[job_id] = index + 1
            if index + 1 >= job.end_index:
                job.output.close()
                self.cancel(job_id)


def _send_index(job: Job, index: int) -> None:
    try:
        job.output.send_nowait(index)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        job.output.close()
