"""One VM's part of the retries that all VMs may send to a service."""

from typing import Final, final

# Of the operators' bound, to leave room for uneven load over VMs.
USED_SHARE: Final = 0.6


@final
class RetryShare:
    """A token bucket for each service: requests earn, retries spend."""

    def __init__(self, ratio: float, reserve: float) -> None:
        self._members = 1
        self._left: dict[str, float] = {}
        self.set_bounds(ratio, reserve)

    def set_bounds(self, ratio: float, reserve: float) -> None:
        """Keep to other bounds from now on."""
        self._ratio = ratio * USED_SHARE
        self._reserve = reserve * USED_SHARE

    def set_members(self, members: int) -> None:
        """Note how many VMs share the bound."""
        self._members = max(1, members)

    def request(self, service: str) -> None:
        """Earn a part of a retry."""
        cap = self._cap()
        self._left[service] = min(cap, self._left.get(service, cap) + self._ratio)

    def spend(self, service: str) -> bool:
        """Take one retry, if there is one."""
        left = min(self._cap(), self._left.get(service, self._cap()))
        if left < 1.0:
            return False
        self._left[service] = left - 1.0
        return True

    def _cap(self) -> float:
        return max(1.0, self._reserve / self._members)
