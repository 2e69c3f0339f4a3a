"""The share of a service's requests that may get a second attempt."""

from typing import Final

# Operators accept at most this share of a service's requests as second attempts: they
# come out of the retry budget, whose ratio is 0.2.
MAX_HEDGE_SHARE: Final = 0.2


def parse_hedge_share(value: object) -> float | None:
    """Return a share of requests that may be hedged; None if it is not valid."""
    if isinstance(value, bool) or not isinstance(value, str | int | float):
        return None
    try:
        share = float(value)
    except (ValueError, OverflowError):
        return None
    return share if 0.0 <= share <= MAX_HEDGE_SHARE else None
