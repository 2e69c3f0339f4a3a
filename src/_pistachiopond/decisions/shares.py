"""Which customers use more than their fair share at present.

Such a customer leaves a part of each server's window free, so that a request of
another finds room at once instead of waiting for one of its requests to end.
"""

import math
from collections.abc import Callable
from typing import Final, final

USE_DECAY_S: Final = 10.0
OVER_FACTOR: Final = 2.0
FORGET_TOKENS: Final = 1.0


@final
class UseShares:
    """The decaying use of each customer, in tokens."""

    def __init__(self, weight_of: Callable[[str], float]) -> None:
        self._weight_of = weight_of
        self._use: dict[str, float] = {}
        self._at_s = 0.0

    def add(self, customer: str, tokens: float, now_s: float) -> None:
        """Note work that starts for the customer."""
        self._decay(now_s)
        self._use[customer] = self._use.get(customer, 0.0) + tokens

    def is_over(self, customer: str, now_s: float) -> bool:
        """Return whether the customer is well above its share of recent use.

        A customer that is alone is never over its share.
        """
        self._decay(now_s)
        total = sum(self._use.values())
        weights = sum(self._weight_of(name) for name in self._use)
        if total <= 0.0 or weights <= 0.0:
            return False
        fair = total * self._weight_of(customer) / weights
        return self._use.get(customer, 0.0) > OVER_FACTOR * fair

    def _decay(self, now_s: float) -> None:
        passed_s = now_s - self._at_s
        if passed_s <= 0.0:
            return
        self._at_s = now_s
        kept = math.exp(-passed_s / USE_DECAY_S)
        self._use = {
            name: tokens * kept
            for name, tokens in self._use.items()
            if tokens * kept > FORGET_TOKENS
        }
