"""Finds customers that recently used more than their fair share of tokens.

The dispatcher keeps part of each server's concurrency window free of the requests of
such a customer, so that a request of another customer starts at once instead of
waiting for one of them to end.
"""

import math
from collections.abc import Callable
from typing import Final, final

USAGE_DECAY_S: Final = 10.0
OVER_SHARE_FACTOR: Final = 2.0
MIN_TRACKED_TOKENS: Final = 1.0


@final
class RecentUsage:
    """Exponentially decaying token usage per customer."""

    def __init__(self, weight_of: Callable[[str], float]) -> None:
        self._weight_of = weight_of
        self._usage: dict[str, float] = {}
        self._updated_s = 0.0

    def add(self, customer: str, tokens: float, now_s: float) -> None:
        """Record the tokens of a request that starts."""
        self._decay(now_s)
        self._usage[customer] = self._usage.get(customer, 0.0) + tokens

    def is_over_share(self, customer: str, now_s: float) -> bool:
        """Return whether the customer's recent usage far exceeds its fair share.

        That is `OVER_SHARE_FACTOR` times its weighted share of all usage. A customer
        with no others beside it never exceeds its share.
        """
        self._decay(now_s)
        total = sum(self._usage.values())
        weights = sum(self._weight_of(name) for name in self._usage)
        if total <= 0.0 or weights <= 0.0:
            return False
        fair_tokens = total * self._weight_of(customer) / weights
        return self._usage.get(customer, 0.0) > OVER_SHARE_FACTOR * fair_tokens

    def _decay(self, now_s: float) -> None:
        elapsed_s = now_s - self._updated_s
        if elapsed_s <= 0.0:
            return
        self._updated_s = now_s
        decay = math.exp(-elapsed_s / USAGE_DECAY_S)
        self._usage = {
            name: tokens * decay
            for name, tokens in self._usage.items()
            if tokens * decay > MIN_TRACKED_TOKENS
        }
