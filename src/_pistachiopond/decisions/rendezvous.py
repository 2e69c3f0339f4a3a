"""Rendezvous hashing: the same order of candidates in every process."""

import hashlib
from collections.abc import Iterable


def score(key: str, candidate: str) -> int:
    """Return the weight of `candidate` for `key`; the highest goes first."""
    digest = hashlib.blake2b(f"{key}\0{candidate}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def ranked(key: str, candidates: Iterable[str]) -> list[str]:
    """Return `candidates` in their order for `key`, the first choice first."""
    return sorted(candidates, key=lambda item: (score(key, item), item), reverse=True)


def rank_of(key: str, candidate: str, candidates: Iterable[str]) -> int:
    """Return how many of `candidates` come before `candidate` for `key`."""
    own = (score(key, candidate), candidate)
    return sum(1 for item in candidates if (score(key, item), item) > own)
