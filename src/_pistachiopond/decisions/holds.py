"""One grant as the entry daemon that uses it sees it, and the demand for it."""

import math
from collections.abc import Iterable
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.pools import DrawWant

DEMAND_MEMORY_S: Final = 5.0
LEAST_DEMAND_PER_S: Final = 0.1
LEAST_CHANGE_TOKENS: Final = 0.5


@final
class Hold:
    """A grant's unspent and reserved tokens and its totals."""

    def __init__(self, customer: str, grant_id: int) -> None:
        self.customer = customer
        self.grant_id = grant_id
        self.expires_s = float("-inf")
        self.unspent_tokens = 0.0
        self.reserved_tokens = 0.0
        self._granted = 0.0
        self._spent = 0.0
        self._returned = 0.0
        self._told = 0.0
        self._is_answered = False

    def want(self, more_tokens: float) -> DrawWant:
        """Return what to tell the holder, wishing for `more_tokens` in addition."""
        hold = self.unspent_tokens + self.reserved_tokens + more_tokens
        self._told = self._spent + self._returned
        return DrawWant(self.customer, self.grant_id, hold, self._spent, self._returned)

    def take_in(self, granted_tokens: float, expires_s: float) -> None:
        """Add what the holder has granted beyond what was known."""
        self._is_answered = True
        added = max(0.0, granted_tokens - self._granted)
        self._granted += added
        self.unspent_tokens += added
        self.expires_s = max(self.expires_s, expires_s)

    def take(self, tokens: float) -> None:
        """Reserve tokens that are unspent."""
        self.unspent_tokens -= tokens
        self.reserved_tokens += tokens

    def settle(self, reserved_tokens: float, used_tokens: float) -> None:
        """Count what was used of a reservation; the rest is unspent again."""
        self.reserved_tokens -= reserved_tokens
        self._spent += used_tokens
        self.unspent_tokens += reserved_tokens - used_tokens

    def give_back(self, tokens: float) -> None:
        """Use these unspent tokens no more; the next draw says so."""
        self.unspent_tokens -= tokens
        self._returned += tokens

    def needs_draw(self, renew_until_s: float) -> bool:
        """Return whether totals have changed or what it holds needs renewal."""
        change = self._spent + self._returned - self._told
        if change > LEAST_CHANGE_TOKENS:
            return True
        held = self.unspent_tokens + self.reserved_tokens
        return held > LEAST_CHANGE_TOKENS and self.expires_s < renew_until_s

    def is_over(self, now_s: float) -> bool:
        """Return whether nothing of it can be used any more."""
        return self._is_answered and now_s >= self.expires_s


class Part(NamedTuple):
    """The part of a reservation that comes from one grant."""

    hold: Hold
    tokens: float


def take_parts(holds: Iterable[Hold], tokens: float) -> tuple[Part, ...] | None:
    """Reserve tokens from several grants, or none where they don't suffice."""
    parts = []
    for hold in holds:
        part = min(tokens, hold.unspent_tokens)
        if part > 0.0:
            parts.append(Part(hold, part))
            tokens -= part
    if tokens > 0.0:
        return None
    for hold, part in parts:
        hold.take(part)
    return tuple(parts)


def settle_parts(parts: Iterable[Part], used_tokens: float, now_s: float) -> float:
    """Settle each part; return the usage that no part covers.

    What a grant that has expired does not use is lost: its holder counts it as
    spent already.
    """
    for hold, tokens in parts:
        used = min(tokens, used_tokens)
        used_tokens -= used
        is_expired = now_s >= hold.expires_s
        hold.settle(tokens, tokens if is_expired else used)
    return used_tokens


def spend_parts(parts: Iterable[Part], tokens: float) -> tuple[tuple[Part, ...], float]:
    """Count tokens of a reservation as spent; return what is left and was spent."""
    kept = []
    spent = 0.0
    for hold, reserved in parts:
        part = min(tokens - spent, reserved)
        hold.settle(part, part)
        spent += part
        kept.append(Part(hold, reserved - part))
    return tuple(kept), spent


class _Rate(NamedTuple):
    per_s: float
    updated_s: float


@final
class DemandRate:
    """Tokens reserved per second by customer, averaged over some seconds."""

    def __init__(self) -> None:
        self._rates: dict[str, _Rate] = {}

    def add(self, customer: str, tokens: float, now_s: float) -> None:
        """Count a reservation."""
        per_s = self.per_s(customer, now_s) + tokens / DEMAND_MEMORY_S
        self._rates[customer] = _Rate(per_s, now_s)

    def per_s(self, customer: str, now_s: float) -> float:
        """Return the rate; 0 once it has faded."""
        rate = self._rates.get(customer)
        if rate is None:
            return 0.0
        faded = math.exp(-(now_s - rate.updated_s) / DEMAND_MEMORY_S)
        per_s = rate.per_s * faded
        return per_s if per_s >= LEAST_DEMAND_PER_S else 0.0

    def customers(self) -> set[str]:
        """Return all customers with a rate."""
        return set(self._rates)
