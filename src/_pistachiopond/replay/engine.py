"""A fake engine: a fluid model of continuous batching, and a prefix cache.

All running sequences generate tokens at the same rate, which falls as their number
grows. The whole batch therefore advances by a single number: the tokens that a
sequence would have generated since the start of the simulation. Prompts are
computed (prefilled) one at a time and slow the batch meanwhile.
"""

import heapq
import math
from collections import OrderedDict
from collections.abc import Callable
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.routing import BLOCK_TOKENS
from _pistachiopond.replay.parameters import EngineParameters

# The engine reports progress once, after this many tokens, and then at the end.
PROGRESS_TOKENS: Final = 16
NEVER: Final = math.inf


class Job(NamedTuple):
    """An attempt of a request, as submitted to the engine."""

    job_id: str
    priority: int
    prompt_tokens: int
    output_tokens: int
    prefix_ids: tuple[str, ...]


class JobEvent(NamedTuple):
    """An event of a job that the entry daemon sees in the engine's response.

    Attributes
    ----------
    kind : str
        ``first_token``, ``progress`` or ``finished``.
    tokens : int
        Tokens generated since the job's previous event.
    """

    kind: str
    job_id: str
    tokens: int


@final
class FakeEngine:
    """One engine on virtual time; `advance` must be called with ascending times."""

    def __init__(self, parameters: EngineParameters) -> None:
        self._parameters = parameters
        self._now_s = 0.0
        # Tokens that a sequence running from the start would have generated.
        self._batch_position = 0.0
        self._sequence_number = 0
        # (priority, sequence number, job)
        self._waiting: list[tuple[int, int, Job]] = []
        self._prefilling: Job | None = None
        self._prefill_tokens_left = 0.0
        # Each job with the batch position at which it began to generate.
        self._running: dict[str, tuple[Job, float]] = {}
        # (batch position, sequence number, job id, tokens to report, is last)
        self._milestones: list[tuple[float, int, str, int, bool]] = []
        # Ordered from the least to the most recently used block.
        self._cache: OrderedDict[str, None] = OrderedDict()
        self.on_cached: Callable[[str], None] | None = None
        self.slowdown_factor = 1.0
        self.generated_tokens = 0.0
        self.prefilled_tokens = 0.0

    @property
    def running(self) -> int:
        """Number of sequences that generate tokens."""
        return len(self._running)

    def queued_tokens(self) -> float:
        """Return the tokens of waiting and running work, as the engine reports it."""
        waiting = sum(
            job.prompt_tokens + job.output_tokens for *_, job in self._waiting
        )
        if self._prefilling is not None:
            waiting += int(self._prefill_tokens_left) + self._prefilling.output_tokens
        left = sum(
            job.output_tokens - (self._batch_position - start)
            for job, start in self._running.values()
        )
        return waiting + max(0.0, left)

    def prefill_backlog_s(self) -> float:
        """Return how long computing the outstanding prompts will take."""
        tokens = sum(job.prompt_tokens for *_, job in self._waiting)
        return (tokens + self._prefill_tokens_left) / self._prefill_rate()

    def job_count(self) -> int:
        """Return the number of jobs that wait or run."""
        return len(self._waiting) + len(self._running) + (self._prefilling is not None)

    def submit(self, job: Job) -> None:
        """Add a job at the current time."""
        self._sequence_number += 1
        heapq.heappush(self._waiting, (job.priority, self._sequence_number, job))
        self._start_prefill()

    def cancel(self, job_id: str) -> None:
        """Remove a job, whether it waits, is being prefilled or runs."""
        if self._running.pop(job_id, None) is not None:
            return
        if self._prefilling is not None and self._prefilling.job_id == job_id:
            self._prefilling = None
            self._start_prefill()
            return
        self._waiting = [item for item in self._waiting if item[2].job_id != job_id]
        heapq.heapify(self._waiting)

    def next_change_s(self) -> float:
        """Return the time of the next event if no job is added or cancelled."""
        gap_s = self._token_gap_s()
        when_s = NEVER
        self._drop_cancelled()
        if self._milestones:
            left = self._milestones[0][0] - self._batch_position
            when_s = self._now_s + max(0.0, left) * gap_s
        if self._prefilling is not None:
            left_s = self._prefill_tokens_left / self._prefill_rate()
            when_s = min(when_s, self._now_s + left_s)
        return when_s

    def advance(self, now_s: float) -> list[JobEvent]:
        """Move to that time and return the events up to it, in order."""
        events: list[JobEvent] = []
        while True:
            change_s = self.next_change_s()
            if change_s > now_s:
                break
            self._generate_until(change_s)
            events += self._complete_next()
        self._generate_until(now_s)
        return events

    def cached_blocks(self, prefix_ids: tuple[str, ...]) -> int:
        """Return how many leading blocks of the prompt are cached."""
        count = 0
        for prefix_id in prefix_ids:
            if prefix_id not in self._cache:
                break
            count += 1
        return count

    def _token_gap_s(self) -> float:
        parameters = self._parameters
        gap_s = parameters.gap_base_s + parameters.gap_per_sequence_s * len(
            self._running
        )
        if self._prefilling is not None:
            gap_s *= parameters.prefill_slowdown
        return gap_s * self.slowdown_factor

    def _prefill_rate(self) -> float:
        return self._parameters.prefill_tokens_per_s / self.slowdown_factor

    def _generate_until(self, until_s: float) -> None:
        """Advance at constant rates; no event may lie before that time."""
        passed_s = max(0.0, until_s - self._now_s)
        if self._running:
            tokens = passed_s / self._token_gap_s()
            self._batch_position += tokens
            self.generated_tokens += tokens * len(self._running)
        if self._prefilling is not None:
            done = passed_s * self._prefill_rate()
            self.prefilled_tokens += min(done, self._prefill_tokens_left)
            self._prefill_tokens_left = max(0.0, self._prefill_tokens_left - done)
        self._now_s = max(self._now_s, until_s)

    def _complete_next(self) -> list[JobEvent]:
        """Complete the prefill if it is done, else the next milestone."""
        if self._prefilling is not None and self._prefill_tokens_left <= 1e-6:
            return [self._finish_prefill(self._prefilling)]
        if not self._milestones:
            return []
        position, _, job_id, tokens, is_last = heapq.heappop(self._milestones)
        self._batch_position = max(self._batch_position, position)
        if not is_last:
            return [JobEvent("progress", job_id, tokens)]
        del self._running[job_id]
        self._start_prefill()
        return [JobEvent("finished", job_id, tokens)]

    def _finish_prefill(self, job: Job) -> JobEvent:
        self._prefilling = None
        self._cache_prefix(job.prefix_ids)
        self._running[job.job_id] = (job, self._batch_position)
        progress_tokens = min(PROGRESS_TOKENS, job.output_tokens)
        if progress_tokens < job.output_tokens:
            self._add_milestone(progress_tokens, job.job_id, progress_tokens, False)
        else:
            progress_tokens = 0
        self._add_milestone(
            job.output_tokens, job.job_id, job.output_tokens - progress_tokens, True
        )
        self._start_prefill()
        return JobEvent("first_token", job.job_id, 0)

    def _add_milestone(
        self, after: int, job_id: str, tokens: int, is_last: bool
    ) -> None:
        """Add an event of the job after it has generated that many more tokens."""
        self._sequence_number += 1
        position = self._batch_position + after
        heapq.heappush(
            self._milestones, (position, self._sequence_number, job_id, tokens, is_last)
        )

    def _drop_cancelled(self) -> None:
        """Drop leading milestones whose job was cancelled."""
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
        self._prefill_tokens_left = float(max(1, job.prompt_tokens - cached))

    def _cache_prefix(self, prefix_ids: tuple[str, ...]) -> None:
        """Add the prompt's blocks to the cache and evict the least recently used."""
        for prefix_id in prefix_ids:
            if prefix_id in self._cache:
                self._cache.move_to_end(prefix_id)
                continue
            self._cache[prefix_id] = None
            if self.on_cached is not None:
                self.on_cached(prefix_id)
        while len(self._cache) > self._parameters.cache_blocks:
            self._cache.popitem(last=False)
