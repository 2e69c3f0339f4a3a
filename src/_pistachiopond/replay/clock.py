"""The event loop on the virtual clock."""

import heapq
from collections.abc import Callable
from typing import final


@final
class EventLoop:
    """Calls functions at virtual times, in the order of time and then of request."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.events = 0
        self._order = 0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []

    def at(self, when_s: float, call: Callable[[], None]) -> None:
        """Call the function at that time, or now if the time has passed."""
        self._order += 1
        heapq.heappush(self._heap, (max(when_s, self.now_s), self._order, call))

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Call the function after that delay in seconds."""
        self.at(self.now_s + delay_s, call)

    def every(self, period_s: float, until_s: float, call: Callable[[], None]) -> None:
        """Call the function once a period until that time."""

        def tick() -> None:
            call()
            if self.now_s + period_s <= until_s:
                self.after(period_s, tick)

        self.after(period_s, tick)

    def run(self, until_s: float) -> None:
        """Run until that time or until nothing is left."""
        while self._heap and self._heap[0][0] <= until_s:
            when_s, _, call = heapq.heappop(self._heap)
            self.now_s = when_s
            self.events += 1
            call()
