"""Counts of what is in progress, by key."""

from typing import TypeVar

K = TypeVar("K")


def increase(counts: dict[K, int], key: K) -> None:
    """Count one more."""
    counts[key] = counts.get(key, 0) + 1


def decrease(counts: dict[K, int], key: K) -> None:
    """Count one less; a key with none left is dropped.

    Raises
    ------
    KeyError
        When none was counted.
    """
    left = counts[key] - 1
    if left > 0:
        counts[key] = left
    else:
        del counts[key]
