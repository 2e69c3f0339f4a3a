"""Counters by key that hold only keys with a positive count."""

from typing import TypeVar

K = TypeVar("K")


def increase(counts: dict[K, int], key: K) -> None:
    """Add one to the count of `key`."""
    counts[key] = counts.get(key, 0) + 1


def decrease(counts: dict[K, int], key: K) -> None:
    """Subtract one from the count of `key`, and remove the key at zero.

    Raises
    ------
    KeyError
        If `key` has no count.
    """
    left = counts[key] - 1
    if left > 0:
        counts[key] = left
    else:
        del counts[key]
