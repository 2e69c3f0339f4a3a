"""Collects statistics for metrics and for reports to the control daemon."""

from collections import Counter as Tally
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

MAX_UNREPORTED_CRASHES: Final = 64


class Timings(NamedTuple):
    """The durations of one response; None if no first output was measured."""

    first_output_s: float | None
    total_s: float


@final
class Observations:
    """Counts since the last report, and the metrics of the process."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self._arrived: Tally[str] = Tally()
        self._tokens: Tally[str] = Tally()
        self._answers: Tally[str] = Tally()
        self._failures: Tally[str] = Tally()
        self._leaving: set[str] = set()
        self._crashes: list[CrashReport] = []
        self._server_of: dict[tuple[str, int], str] = {}
        self._define_metrics()

    def _define_metrics(self) -> None:
        metrics = self.metrics
        self._requests = metrics.counter(
            "pond_entry_requests", "Requests that arrived.", ("route_kind",)
        )
        self._complete_responses = metrics.counter(
            "pond_entry_whole_answers", "Whole answers."
        )
        self._failed_requests = metrics.counter(
            "pond_entry_failures",
            "Requests without a whole answer.",
            ("code", "verdict"),
        )
        self._disconnects = metrics.counter(
            "pond_entry_callers_left", "Callers that left."
        )
        self._ended_attempts = metrics.counter(
            "pond_entry_attempts", "Attempts that ended.", ("outcome",)
        )
        self.excessive_responses = metrics.counter(
            "pond_entry_excessive_responses",
            "Responses of backend servers that exceeded a bound.",
            ("kind",),
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

    def register_load_gauges(
        self, requests: Callable[[], int], attempts: Callable[[], int]
    ) -> None:
        """Register gauges of the requests and attempts in progress."""
        self.metrics.gauge("pond_entry_open_requests", "Open requests.", requests)
        self.metrics.gauge("pond_entry_open_attempts", "Open attempts.", attempts)

    def count_request(self, facts: RequestFacts) -> None:
        """Count a request that was admitted."""
        self._requests.labels("plain" if facts.model is None else "engine").inc()
        name = facts.adapter or facts.model
        if name is not None:
            self._arrived[name] += 1
            self._tokens[name] += facts.prompt_tokens + facts.max_tokens

    def count_complete_response(self, timings: Timings, generated_tokens: int) -> None:
        """Count a complete response."""
        self._complete_responses.inc()
        self._generated.inc(generated_tokens)
        self.total.record_s(timings.total_s)
        if timings.first_output_s is not None:
            self.first_output.record_s(timings.first_output_s)

    def count_failure(self, failure: Failure) -> None:
        """Count a request that did not get a complete response."""
        self._failed_requests.labels(failure.code, failure.verdict.value).inc()

    def count_caller_disconnect(self) -> None:
        """Count a caller that closed its connection early."""
        self._disconnects.inc()

    def count_control_switch(self) -> None:
        """Count a change of control daemon."""
        self._switches.inc()

    def record_attempt_start(self, action: StartAttempt) -> None:
        """Remember which server an attempt was sent to."""
        self._server_of[action.request_id, action.attempt] = action.server

    def record_attempt_end(self, event: AttemptFinished | AttemptFailed) -> None:
        """Count the outcome of an attempt and attribute it to its server."""
        server = self._server_of.pop((event.request_id, event.attempt), None)
        if isinstance(event, AttemptFailed):
            self._ended_attempts.labels(event.kind).inc()
            tally = self._failures
        else:
            self._ended_attempts.labels("finished").inc()
            tally = self._answers
        if server is not None:
            tally[server] += 1

    def record_attempt_cancelled(self, request_id: str, attempt: int) -> None:
        """Count an attempt that was cancelled."""
        self._server_of.pop((request_id, attempt), None)
        self._ended_attempts.labels("cancelled").inc()

    def record_leaving_server(self, server: str) -> None:
        """Record that a server announced in a response that it is shutting down."""
        self._leaving.add(server)

    def record_crash(self, report: CrashReport) -> None:
        """Keep a crash for the next report; the oldest are dropped beyond a limit."""
        self._crashes.append(report)
        del self._crashes[:-MAX_UNREPORTED_CRASHES]

    def take_report(
        self, waiting: Mapping[str, int], is_ejected: Callable[[str], bool]
    ) -> EntryReport:
        """Return the counts since the last report, and reset them.

        Parameters
        ----------
        waiting : mapping
            The number of requests queued now, by model or adapter.
        is_ejected : callable
            Whether this daemon currently sends no requests to a server.
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
