"""A discrete-event loop on virtual time."""

import heapq
from collections.abc import Callable
from typing import final


@final
class EventLoop:
    """Calls functions at virtual times; calls for one time run in scheduling order."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.event_count = 0
        self._call_number = 0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []

    def call_at(self, when_s: float, call: Callable[[], None]) -> None:
        """Schedule a call at that time, or now if the time has passed."""
        self._call_number += 1
        heapq.heappush(self._heap, (max(when_s, self.now_s), self._call_number, call))

    def call_after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Schedule a call after that delay in seconds."""
        self.call_at(self.now_s + delay_s, call)

    def call_every(
        self, period_s: float, until_s: float, call: Callable[[], None]
    ) -> None:
        """Schedule a call once per period until that time, first after a period."""

        def tick() -> None:
            call()
            if self.now_s + period_s <= until_s:
                self.call_after(period_s, tick)

        self.call_after(period_s, tick)

    def run(self, until_s: float) -> None:
        """Run the calls that are due up to and at that time."""
        while self._heap and self._heap[0][0] <= until_s:
            when_s, _, call = heapq.heappop(self._heap)
            self.now_s = when_s
            self.event_count += 1
            call()
