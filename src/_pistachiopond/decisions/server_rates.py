"""The rates of requests that servers name for all VMs together.

A server in need names a rate of a few requests a second in its answers, for as long as
it says so.
"""

from collections.abc import Collection
from typing import Final, NamedTuple, final

from _pistachiopond.schema.deployment import Incarnation

# A server that names a lower rate, 0 included, still gets this one: only its answers
# tell that it no longer names a rate.
MIN_RATE_PER_S: Final = 0.05
# Above this rate, a message for each request would cost the leader more than the rate
# protects. Such a server is bounded by its slots.
MAX_RATE_PER_S: Final = 500.0
# When a server no longer names a rate, its rate doubles in this time, until it is more
# than callers send to one server.
RISE_DOUBLING_S: Final = 0.5
RISE_S: Final = 3.0


class _Named(NamedTuple):
    per_s: float
    ended_s: float | None


@final
class NamedRates:
    """The rates that servers name in their answers, by incarnation."""

    def __init__(self) -> None:
        self._rates: dict[Incarnation, _Named] = {}

    def record(
        self, incarnation: Incarnation, rate_per_s: float | None, now_s: float
    ) -> bool:
        """Record the rate in an answer, or in a message of another VM.

        Parameters
        ----------
        incarnation : tuple of (str, int)
            The server's name and start time.
        rate_per_s : float or None
            The requests per second; None if the answer names no rate.
        now_s : float
            The time in seconds.

        Returns
        -------
        bool
            Whether this is new.
        """
        known = self._rates.get(incarnation)
        if rate_per_s is None:
            if known is None or known.ended_s is not None:
                return False
            self._rates[incarnation] = known._replace(ended_s=now_s)
            return True
        named = _Named(rate_per_s, None)
        self._rates[incarnation] = named
        return named != known

    def is_limited(self, incarnation: Incarnation, now_s: float) -> bool:
        """Return whether requests to the server need a place."""
        return bool(self._rates) and self.rate_per_s(incarnation, now_s) is not None

    def rate_per_s(self, incarnation: Incarnation, now_s: float) -> float | None:
        """Return the rate in force; None if there is none.

        After the server has ceased to name its rate, it rises until it ends.
        """
        named = self._rates.get(incarnation)
        if named is None:
            return None
        per_s = max(MIN_RATE_PER_S, named.per_s)
        if named.ended_s is not None:
            elapsed_s = now_s - named.ended_s
            if elapsed_s >= RISE_S:
                return None
            per_s *= 2.0 ** (elapsed_s / RISE_DOUBLING_S)
        return per_s if per_s <= MAX_RATE_PER_S else None

    def named(self) -> dict[Incarnation, float]:
        """Return the rates that servers name at present."""
        return {
            incarnation: named.per_s
            for incarnation, named in self._rates.items()
            if named.ended_s is None
        }

    def keep_only(self, present: Collection[Incarnation], now_s: float) -> None:
        """Drop rates of servers that have gone, and rates that have ended."""
        for incarnation, named in list(self._rates.items()):
            has_ended = named.ended_s is not None and now_s - named.ended_s >= RISE_S
            if has_ended or incarnation not in present:
                del self._rates[incarnation]
