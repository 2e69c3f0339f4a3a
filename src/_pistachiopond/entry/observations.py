"""Counts what this daemon sees: for its metrics and for its control daemon."""

from collections import Counter as TallyOf
from collections.abc import Callable, Mapping
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.dispatch_types import (
    AttemptFailed,
    AttemptFinished,
    RequestFacts,
    StartAttempt,
)
from _pistachiopond.observe.metrics import Metrics
from _pistachiopond.schema.reports import (
    EntryReport,
    ModelDemand,
    ServerObservation,
)
from _pistachiopond.schema.suspects import CrashReport
from _pistachiopond.schema.verdict import Failure

MAX_KEPT_CRASHES: Final = 64


class Timings(NamedTuple):
    """The durations of one answer, in seconds; None where there was none."""

    first_output_s: float | None
    total_s: float


@final
class Observations:
    """The tallies since the last report, and the process's metrics."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self._arrived: TallyOf[str] = TallyOf()
        self._tokens: TallyOf[str] = TallyOf()
        self._answers: TallyOf[str] = TallyOf()
        self._failures: TallyOf[str] = TallyOf()
        self._leaving: set[str] = set()
        self._crashes: list[CrashReport] = []
        self._server_of: dict[tuple[str, int], str] = {}
        self._define()

    def _define(self) -> None:
        metrics = self.metrics
        self._requests = metrics.counter(
            "pond_entry_requests", "Requests that arrived.", ("route_kind",)
        )
        self._whole = metrics.counter("pond_entry_whole_answers", "Whole answers.")
        self._refused = metrics.counter(
            "pond_entry_failures",
            "Requests without a whole answer.",
            ("code", "verdict"),
        )
        self._left = metrics.counter("pond_entry_callers_left", "Callers that left.")
        self._ended = metrics.counter(
            "pond_entry_attempts", "Attempts that ended.", ("outcome",)
        )
        self._generated = metrics.counter(
            "pond_entry_generated_tokens", "Tokens handed to callers."
        )
        self._switches = metrics.counter(
            "pond_entry_control_switches", "Changes of control daemon."
        )
        self.first_output = metrics.histogram(
            "pond_entry_first_output_seconds", "From arrival to the first output."
        )
        self.between_outputs = metrics.histogram(
            "pond_entry_between_outputs_seconds", "From one output to the next."
        )
        self.total = metrics.histogram(
            "pond_entry_total_seconds", "From arrival to the end of the answer."
        )

    def watch_load(
        self, requests: Callable[[], int], attempts: Callable[[], int]
    ) -> None:
        """Show how much is under way, as gauges."""
        self.metrics.gauge("pond_entry_open_requests", "Open requests.", requests)
        self.metrics.gauge("pond_entry_open_attempts", "Open attempts.", attempts)

    def arrived(self, facts: RequestFacts) -> None:
        """Count a request that was admitted."""
        self._requests.labels("plain" if facts.model is None else "engine").inc()
        name = facts.adapter or facts.model
        if name is not None:
            self._arrived[name] += 1
            self._tokens[name] += facts.prompt_tokens + facts.max_tokens

    def answered(self, timings: Timings, generated_tokens: int) -> None:
        """Count a whole answer."""
        self._whole.inc()
        self._generated.inc(generated_tokens)
        self.total.record_s(timings.total_s)
        if timings.first_output_s is not None:
            self.first_output.record_s(timings.first_output_s)

    def refused(self, failure: Failure) -> None:
        """Count a request without a whole answer."""
        self._refused.labels(failure.code, failure.verdict.value).inc()

    def caller_left(self) -> None:
        """Count a caller that closed its connection early."""
        self._left.inc()

    def control_switched(self) -> None:
        """Count a change of control daemon."""
        self._switches.inc()

    def attempt_started(self, action: StartAttempt) -> None:
        """Remember which server an attempt went to."""
        self._server_of[action.request_id, action.attempt] = action.server

    def attempt_ended(self, event: AttemptFinished | AttemptFailed) -> None:
        """Count an attempt's outcome for its server."""
        server = self._server_of.pop((event.request_id, event.attempt), None)
        if isinstance(event, AttemptFailed):
            self._ended.labels(event.kind).inc()
            tally = self._failures
        else:
            self._ended.labels("finished").inc()
            tally = self._answers
        if server is not None:
            tally[server] += 1

    def attempt_cancelled(self, request_id: str, attempt: int) -> None:
        """Count an attempt that was given up."""
        self._server_of.pop((request_id, attempt), None)
        self._ended.labels("cancelled").inc()

    def leaving(self, server: str) -> None:
        """Note that a server's answer said that it is leaving."""
        self._leaving.add(server)

    def crash(self, report: CrashReport) -> None:
        """Keep a crash for the next report."""
        self._crashes.append(report)
        del self._crashes[:-MAX_KEPT_CRASHES]

    def take_report(
        self, waiting: Mapping[str, int], is_ejected: Callable[[str], bool]
    ) -> EntryReport:
        """Return what was counted since the last report, and start anew.

        Parameters
        ----------
        waiting : mapping
            Requests in the queue now, by model or adapter.
        is_ejected : callable
            Whether a server gets no work at present.
        """
        report = EntryReport(
            demand=tuple(
                ModelDemand(
                    name,
                    self._arrived[name],
                    float(self._tokens[name]),
                    waiting.get(name, 0),
                )
                for name in sorted({*self._arrived, *waiting})
            ),
            servers=tuple(
                ServerObservation(
                    server=name,
                    answers=self._answers[name],
                    failures=self._failures[name],
                    is_ejected=is_ejected(name),
                    says_leaving=name in self._leaving,
                )
                for name in sorted({*self._answers, *self._failures, *self._leaving})
            ),
            crashes=tuple(self._crashes),
        )
        self._arrived.clear()
        self._tokens.clear()
        self._answers.clear()
        self._failures.clear()
        self._leaving.clear()
        self._crashes.clear()
        return report
