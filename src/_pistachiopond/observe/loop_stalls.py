"""Measures for how long the event loop ran nothing else, or the process stood still."""

from collections.abc import Callable
from typing import Final, final

from _pistachiopond.observe.logs import log_warning
from _pistachiopond.observe.metrics import Metrics

# Callers notice a pause of this length.
LOGGED_STALL_S: Final = 0.25


@final
class LoopStalls:
    """Compares the time of periodic ticks with the time at which they were due."""

    def __init__(
        self, metrics: Metrics, period_s: float, processor_s: Callable[[], float]
    ) -> None:
        """Start before the first tick.

        Parameters
        ----------
        metrics : Metrics
            Receives the histogram.
        period_s : float
            The time from one tick to the next.
        processor_s : callable
            Returns the processor time that the process has used.
        """
        self._histogram = metrics.histogram(
            "pond_event_loop_stalls", "By how much periodic tasks were late."
        )
        self._period_s = period_s
        self._processor_s = processor_s
        self._ticked_s: float | None = None
        self._used_s = 0.0

    def tick(self, now_s: float) -> None:
        """Record by how much a tick is late, and log a long stall."""
        used_s = self._processor_s()
        if self._ticked_s is not None:
            late_s = max(0.0, now_s - self._ticked_s - self._period_s)
            self._histogram.record_s(late_s)
            if late_s >= LOGGED_STALL_S:
                # With as much processor time the process was computing, with little
                # it was suspended or had no processor.
                log_warning(
                    "event loop stood still",
                    for_s=round(late_s, 3),
                    processor_s=round(used_s - self._used_s, 3),
                )
        self._ticked_s, self._used_s = now_s, used_s
