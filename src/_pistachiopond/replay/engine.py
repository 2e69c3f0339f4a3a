"""A fake engine: continuous batching as a flow, and a prefix cache.

All running sequences advance together, at a pace that falls with their number, so
one number, the tokens that each has advanced, moves the whole batch. Prompts are
computed one after the other, and slow the batch meanwhile.
"""

import heapq
import math
from collections import OrderedDict
from collections.abc import Callable
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.routing import BLOCK_TOKENS
from _pistachiopond.replay.parameters import EngineParameters

PROGRESS_TOKENS: Final = 16
NEVER: Final = math.inf


class Job(NamedTuple):
    """One attempt as the engine sees it."""

    job_id: str
    priority: int
    prompt_tokens: int
    output_tokens: int
    prefix_ids: tuple[str, ...]


class Notice(NamedTuple):
    """Something that the engine's answer shows to the entry daemon.

    Attributes
    ----------
    kind : str
        ``first_token``, ``progress`` or ``finished``.
    tokens : int
        Generated since the last notice.
    """

    kind: str
    job_id: str
    tokens: int


@final
class FakeEngine:
    """One engine on the virtual clock; `advance` must be called in order."""

    def __init__(self, parameters: EngineParameters) -> None:
        self._parameters = parameters
        self._now_s = 0.0
        self._advanced = 0.0
        self._order = 0
        self._waiting: list[tuple[int, int, Job]] = []
        self._prefilling: Job | None = None
        self._prefill_left = 0.0
        self._running: dict[str, tuple[Job, float]] = {}
        self._milestones: list[tuple[float, int, str, int, bool]] = []
        self._cache: OrderedDict[str, None] = OrderedDict()
        self.on_cached: Callable[[str], None] | None = None
        self.slowness = 1.0
        self.generated_tokens = 0.0
        self.prefilled_tokens = 0.0

    @property
    def running(self) -> int:
        """How many sequences generate tokens."""
        return len(self._running)

    def queued_tokens(self) -> float:
        """Return the work that waits or runs, as the engine reports it."""
        waiting = sum(
            job.prompt_tokens + job.output_tokens for *_, job in self._waiting
        )
        if self._prefilling is not None:
            waiting += int(self._prefill_left) + self._prefilling.output_tokens
        left = sum(
            job.output_tokens - (self._advanced - start)
            for job, start in self._running.values()
        )
        return waiting + max(0.0, left)

    def prefill_backlog_s(self) -> float:
        """Return how long the prompts that wait will take to compute."""
        tokens = sum(job.prompt_tokens for *_, job in self._waiting)
        return (tokens + self._prefill_left) / self._prefill_rate()

    def load(self) -> int:
        """Return how many jobs wait or run."""
        return len(self._waiting) + len(self._running) + (self._prefilling is not None)

    def submit(self, job: Job) -> None:
        """Take a job at the present time."""
        self._order += 1
        heapq.heappush(self._waiting, (job.priority, self._order, job))
        self._start_prefill()

    def cancel(self, job_id: str) -> None:
        """Drop a job, wherever it stands."""
        if self._running.pop(job_id, None) is not None:
            return
        if self._prefilling is not None and self._prefilling.job_id == job_id:
            self._prefilling = None
            self._start_prefill()
            return
        self._waiting = [item for item in self._waiting if item[2].job_id != job_id]
        heapq.heapify(self._waiting)

    def next_change_s(self) -> float:
        """Return when something will happen if no job comes or goes."""
        gap_s = self._gap_s()
        when_s = NEVER
        self._drop_cancelled()
        if self._milestones:
            left = self._milestones[0][0] - self._advanced
            when_s = self._now_s + max(0.0, left) * gap_s
        if self._prefilling is not None:
            left_s = self._prefill_left / self._prefill_rate()
            when_s = min(when_s, self._now_s + left_s)
        return when_s

    def advance(self, now_s: float) -> list[Notice]:
        """Move to that time and return what became visible, in order."""
        notices: list[Notice] = []
        while True:
            change_s = self.next_change_s()
            if change_s > now_s:
                break
            self._flow(change_s)
            notices += self._complete()
        self._flow(now_s)
        return notices

    def cached_blocks(self, prefix_ids: tuple[str, ...]) -> int:
        """Return how many leading blocks of the prompt are cached."""
        count = 0
        for prefix_id in prefix_ids:
            if prefix_id not in self._cache:
                break
            count += 1
        return count

    def _gap_s(self) -> float:
        parameters = self._parameters
        gap_s = parameters.gap_base_s + parameters.gap_per_sequence_s * len(
            self._running
        )
        if self._prefilling is not None:
            gap_s *= parameters.prefill_slowdown
        return gap_s * self.slowness

    def _prefill_rate(self) -> float:
        return self._parameters.prefill_tokens_per_s / self.slowness

    def _flow(self, until_s: float) -> None:
        passed_s = max(0.0, until_s - self._now_s)
        if self._running:
            tokens = passed_s / self._gap_s()
            self._advanced += tokens
            self.generated_tokens += tokens * len(self._running)
        if self._prefilling is not None:
            done = passed_s * self._prefill_rate()
            self.prefilled_tokens += min(done, self._prefill_left)
            self._prefill_left = max(0.0, self._prefill_left - done)
        self._now_s = max(self._now_s, until_s)

    def _complete(self) -> list[Notice]:
        if self._prefilling is not None and self._prefill_left <= 1e-6:
            return [self._end_prefill(self._prefilling)]
        if not self._milestones:
            return []
        at, _, job_id, tokens, is_last = heapq.heappop(self._milestones)
        self._advanced = max(self._advanced, at)
        if not is_last:
            return [Notice("progress", job_id, tokens)]
        del self._running[job_id]
        self._start_prefill()
        return [Notice("finished", job_id, tokens)]

    def _end_prefill(self, job: Job) -> Notice:
        self._prefilling = None
        self._remember(job.prefix_ids)
        self._running[job.job_id] = (job, self._advanced)
        first = min(PROGRESS_TOKENS, job.output_tokens)
        if first < job.output_tokens:
            self._milestone(first, job.job_id, first, False)
        else:
            first = 0
        self._milestone(job.output_tokens, job.job_id, job.output_tokens - first, True)
        self._start_prefill()
        return Notice("first_token", job.job_id, 0)

    def _milestone(self, after: int, job_id: str, tokens: int, is_last: bool) -> None:
        self._order += 1
        at = self._advanced + after
        heapq.heappush(self._milestones, (at, self._order, job_id, tokens, is_last))

    def _drop_cancelled(self) -> None:
        while self._milestones and self._milestones[0][2] not in self._running:
            heapq.heappop(self._milestones)

    def _start_prefill(self) -> None:
        if self._prefilling is not None or not self._waiting:
            return
        if len(self._running) >= self._parameters.max_running:
            return
        job = heapq.heappop(self._waiting)[2]
        cached = self.cached_blocks(job.prefix_ids) * BLOCK_TOKENS
        self._prefilling = job
        self._prefill_left = float(max(1, job.prompt_tokens - cached))

    def _remember(self, prefix_ids: tuple[str, ...]) -> None:
        for prefix_id in prefix_ids:
            if prefix_id in self._cache:
                self._cache.move_to_end(prefix_id)
                continue
            self._cache[prefix_id] = None
            if self.on_cached is not None:
                self.on_cached(prefix_id)
        while len(self._cache) > self._parameters.cache_blocks:
            self._cache.popitem(last=False)
