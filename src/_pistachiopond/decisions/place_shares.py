"""Divides the places of cold servers among urgency ranks and customers.

Load that this answers: all servers of a service are cold at once, for some seconds, and
callers ask for several times the places that there are. Places that go to the most
urgent requests first would leave the others without any for the whole cold phase, and
places in the order of arrival would go to the customer that asks most.
"""

from collections import Counter
from typing import Final, NamedTuple, final

# Places are counted over this window and the one before it. A cold phase lasts some
# seconds, so a group that has had too few gets its part within it.
WINDOW_S: Final = 0.5


class PlaceGroup(NamedTuple):
    """Requests of one urgency rank and customer, 0 being the most urgent rank."""

    rank: int
    customer: str

    def weight(self) -> float:
        """Return the weight of the group's part of the places."""
        return 1.0 / (1.0 + max(0, self.rank))


@final
class PlaceShares:
    """The places that each group has had lately.

    The state is one number for each group that has asked within the last two windows.
    """

    def __init__(self) -> None:
        self._began_s = float("-inf")
        self._before: Counter[PlaceGroup] = Counter()
        self._now: Counter[PlaceGroup] = Counter()
        self._total = 0
        self._total_weight = 0.0

    def longest_wait_s(self, group: PlaceGroup, most_s: float, now_s: float) -> float:
        """Return how long a request of the group may wait for a place.

        A group that has had no more than its part may wait for all of `most_s`. Others
        may wait for half as long or less, so that they leave places at the end of the
        queue.

        Parameters
        ----------
        group : PlaceGroup
            The group of the request.
        most_s : float
            The longest time that the request itself may wait.
        now_s : float
            The time in seconds.
        """
        self._follow(now_s)
        if group not in self._now:
            if group not in self._before:
                self._total_weight += group.weight()
            self._now[group] = 0
        had = self._before[group] + self._now[group]
        if had * self._total_weight <= group.weight() * self._total * (1.0 + 1e-9):
            return most_s
        return most_s / (2.0 + max(0, group.rank))

    def count(self, group: PlaceGroup, now_s: float) -> None:
        """Count a place that the group has got."""
        self._follow(now_s)
        self._now[group] += 1
        self._total += 1

    def _follow(self, now_s: float) -> None:
        elapsed_s = now_s - self._began_s
        if elapsed_s < WINDOW_S:
            return
        self._before = self._now if elapsed_s < 2.0 * WINDOW_S else Counter()
        self._now = Counter()
        self._began_s = now_s
        self._total = self._before.total()
        self._total_weight = sum(group.weight() for group in self._before)
