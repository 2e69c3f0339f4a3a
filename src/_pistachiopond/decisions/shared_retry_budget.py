"""One VM's part of the retry budget that all VMs share for a service."""

from typing import Final, final

# Part of the operators' bound that is used; the rest allows for uneven load over VMs.
BUDGET_SHARE_IN_USE: Final = 0.6


@final
class SharedRetryBudget:
    """A token bucket for each service: requests add to it, retries take from it."""

    def __init__(self, ratio: float, reserve: float) -> None:
        self._members = 1
        self._tokens: dict[str, float] = {}
        self.set_bounds(ratio, reserve)

    def set_bounds(self, ratio: float, reserve: float) -> None:
        """Replace the bounds."""
        self._ratio = ratio * BUDGET_SHARE_IN_USE
        self._reserve = reserve * BUDGET_SHARE_IN_USE

    def set_members(self, members: int) -> None:
        """Set the number of VMs that share the bounds."""
        self._members = max(1, members)

    def record_request(self, service: str) -> None:
        """Add the fraction of a retry that a request earns."""
        capacity = self._capacity()
        self._tokens[service] = min(
            capacity, self._tokens.get(service, capacity) + self._ratio
        )

    def has_retry(self, service: str) -> bool:
        """Return whether the budget allows a retry now."""
        return self._available(service) >= 1.0

    def has_retry_to_spare(self, service: str) -> bool:
        """Return whether the budget allows a retry and stays at least half full.

        Second attempts of requests that have not failed leave the rest to those that
        have. A budget of one retry must be full.
        """
        capacity = self._capacity()
        return self._available(service) >= min(capacity, 1.0 + capacity / 2.0)

    def spend(self, service: str) -> bool:
        """Take one retry from the budget; return whether there was one."""
        if not self.has_retry(service):
            return False
        self._tokens[service] = self._available(service) - 1.0
        return True

    def _available(self, service: str) -> float:
        return min(self._capacity(), self._tokens.get(service, self._capacity()))

    def _capacity(self) -> float:
        return max(1.0, self._reserve / self._members)
