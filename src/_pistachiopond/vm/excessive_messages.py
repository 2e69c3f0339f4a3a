"""Counts and logs the messages that exceed a bound."""

from collections.abc import Callable

from _pistachiopond.http1.message_bounds import Excess
from _pistachiopond.http1.messages import HttpAddress
from _pistachiopond.observe.logs import log_change
from _pistachiopond.observe.metrics import Metrics
from _pistachiopond.vm.peer_lines import LineExcessKind, ReportLineExcess

RecordExcess = Callable[[HttpAddress, Excess], None]


def ignore_excess_at(address: HttpAddress, excess: Excess) -> None:
    """Ignore a bound that a response has exceeded."""


def make_excess_recorder(metrics: Metrics) -> RecordExcess:
    """Return a function that records a response which exceeds a bound."""
    counter = metrics.counter(
        "pond_excessive_responses", "Responses that exceeded a bound.", ("kind",)
    )

    def record(address: HttpAddress, excess: Excess) -> None:
        counter.labels(excess.kind).inc()
        log_change(
            "response exceeds a bound",
            address=f"{address.ip}:{address.port}",
            kind=excess.kind,
            detail=excess.detail,
        )

    return record


def make_request_excess_recorder(metrics: Metrics) -> Callable[[Excess], None]:
    """Return a function that records a caller's request which exceeds a bound."""
    counter = metrics.counter(
        "pond_excessive_requests", "Requests that exceeded a bound.", ("kind",)
    )

    def record(excess: Excess) -> None:
        counter.labels(excess.kind).inc()
        log_change("request exceeds a bound", kind=excess.kind, detail=excess.detail)

    return record


def make_line_excess_recorder(metrics: Metrics) -> ReportLineExcess:
    """Return a function that counts VMs' lines that exceed a bound.

    The line that ends the connection is logged by the VM that closes it.
    """
    counter = metrics.counter(
        "pond_excessive_peer_lines",
        "Other VMs' lines that exceeded a bound.",
        ("kind",),
    )

    def record(kind: LineExcessKind) -> None:
        counter.labels(kind).inc()

    return record
