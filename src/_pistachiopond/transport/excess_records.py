"""Counts and logs the messages of other processes that exceed a bound."""

from collections.abc import Callable
from typing import Final

from prometheus_client import Counter

from _pistachiopond.http1.message_bounds import Excess
from _pistachiopond.observe.logs import log_change

LOG_PERIOD_S: Final = 1.0

RecordExcess = Callable[[str, Excess], None]


def make_excess_recorder(counter: Counter, now_s: Callable[[], float]) -> RecordExcess:
    """Return a function that records a server's response which exceeds a bound.

    Each is counted; of each kind, at most one in `LOG_PERIOD_S` is logged.

    Parameters
    ----------
    counter : Counter
        Has the kind as its label.
    now_s : callable
        Returns the monotonic time in seconds.
    """
    next_log_s: dict[str, float] = {}

    def record(server: str, excess: Excess) -> None:
        counter.labels(excess.kind).inc()
        if now_s() < next_log_s.get(excess.kind, 0.0):
            return
        next_log_s[excess.kind] = now_s() + LOG_PERIOD_S
        log_change(
            "response exceeds a bound",
            server=server,
            kind=excess.kind,
            detail=excess.detail,
        )

    return record
