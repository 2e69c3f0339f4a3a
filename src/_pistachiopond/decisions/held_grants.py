"""One grant from the view of the entry daemon that uses it, and the demand rate."""

import math
from collections.abc import Iterable
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.pools import DrawItem

DEMAND_DECAY_S: Final = 5.0
MIN_DEMAND_PER_S: Final = 0.1
MIN_CHANGE_TOKENS: Final = 0.5


@final
class HeldGrant:
    """The unspent and reserved tokens of a grant, and its cumulative totals."""

    def __init__(self, customer: str, grant_id: int) -> None:
        self.customer = customer
        self.grant_id = grant_id
        self.expires_s = float("-inf")
        self.unspent_tokens = 0.0
        self.reserved_tokens = 0.0
        self._granted = 0.0
        self._spent = 0.0
        self._returned = 0.0
        self._reported_total = 0.0
        self._is_answered = False

    def draw_item(self, more_tokens: float) -> DrawItem:
        """Return the draw item that reports the totals and requests `more_tokens`."""
        target_tokens = self.unspent_tokens + self.reserved_tokens + more_tokens
        self._reported_total = self._spent + self._returned
        return DrawItem(
            self.customer, self.grant_id, target_tokens, self._spent, self._returned
        )

    def apply_granted(self, granted_tokens: float, expires_s: float) -> None:
        """Apply the holder's total; what exceeds the known total is new and unspent."""
        self._is_answered = True
        added = max(0.0, granted_tokens - self._granted)
        self._granted += added
        self.unspent_tokens += added
        self.expires_s = max(self.expires_s, expires_s)

    def take(self, tokens: float) -> None:
        """Move unspent tokens to the reserved ones."""
        self.unspent_tokens -= tokens
        self.reserved_tokens += tokens

    def settle(self, reserved_tokens: float, used_tokens: float) -> None:
        """Charge the used part of a reservation; the rest becomes unspent again."""
        self.reserved_tokens -= reserved_tokens
        self._spent += used_tokens
        self.unspent_tokens += reserved_tokens - used_tokens

    def give_back(self, tokens: float) -> None:
        """Return unspent tokens; the next draw reports them to the holder."""
        self.unspent_tokens -= tokens
        self._returned += tokens

    def needs_draw(self, renew_until_s: float) -> bool:
        """Return whether the totals have changed or held tokens need renewal."""
        change = self._spent + self._returned - self._reported_total
        if change > MIN_CHANGE_TOKENS:
            return True
        held = self.unspent_tokens + self.reserved_tokens
        return held > MIN_CHANGE_TOKENS and self.expires_s < renew_until_s

    def is_expired(self, now_s: float) -> bool:
        """Return whether the grant was made and has expired."""
        return self._is_answered and now_s >= self.expires_s


class Part(NamedTuple):
    """The part of a reservation that is taken from one grant."""

    held_grant: HeldGrant
    tokens: float


def take_parts(
    held_grants: Iterable[HeldGrant], tokens: float
) -> tuple[Part, ...] | None:
    """Reserve tokens from several grants; return None if they do not suffice."""
    parts = []
    for held_grant in held_grants:
        part = min(tokens, held_grant.unspent_tokens)
        if part > 0.0:
            parts.append(Part(held_grant, part))
            tokens -= part
    if tokens > 0.0:
        return None
    for held_grant, part in parts:
        held_grant.take(part)
    return tuple(parts)


def settle_parts(parts: Iterable[Part], used_tokens: float, now_s: float) -> float:
    """Settle each part; return the usage beyond the reservation.

    Unused tokens of an expired grant are lost, since the holder already counts them as
    spent.
    """
    for held_grant, tokens in parts:
        used = min(tokens, used_tokens)
        used_tokens -= used
        is_expired = now_s >= held_grant.expires_s
        held_grant.settle(tokens, tokens if is_expired else used)
    return used_tokens


def spend_parts(parts: Iterable[Part], tokens: float) -> tuple[tuple[Part, ...], float]:
    """Charge part of a reservation; return the remaining parts and the tokens spent."""
    kept = []
    spent = 0.0
    for held_grant, reserved in parts:
        part = min(tokens - spent, reserved)
        held_grant.settle(part, part)
        spent += part
        kept.append(Part(held_grant, reserved - part))
    return tuple(kept), spent


class _Rate(NamedTuple):
    per_s: float
    updated_s: float


@final
class DemandRate:
    """Exponentially decaying rate of reserved tokens per second, by customer."""

    def __init__(self) -> None:
        self._rates: dict[str, _Rate] = {}

    def add(self, customer: str, tokens: float, now_s: float) -> None:
        """Record a reservation."""
        per_s = self.per_s(customer, now_s) + tokens / DEMAND_DECAY_S
        self._rates[customer] = _Rate(per_s, now_s)

    def per_s(self, customer: str, now_s: float) -> float:
        """Return the rate; 0 once it has decayed below the minimum."""
        rate = self._rates.get(customer)
        if rate is None:
            return 0.0
        decay = math.exp(-(now_s - rate.updated_s) / DEMAND_DECAY_S)
        per_s = rate.per_s * decay
        return per_s if per_s >= MIN_DEMAND_PER_S else 0.0

    def customers(self) -> set[str]:
        """Return the customers that have made reservations."""
        return set(self._rates)
