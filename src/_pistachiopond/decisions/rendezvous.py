"""Rendezvous hashing: every process ranks candidates for a key in the same order."""

import hashlib
from collections.abc import Iterable


def score(key: str, candidate: str) -> int:
    """Return the score of `candidate` for `key`; the highest score ranks first."""
    digest = hashlib.blake2b(f"{key}\0{candidate}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def ranked(key: str, candidates: Iterable[str]) -> list[str]:
    """Return `candidates` ranked for `key`, the best first."""
    return sorted(candidates, key=lambda item: (score(key, item), item), reverse=True)


def rank_of(key: str, candidate: str, candidates: Iterable[str]) -> int:
    """Return how many of `candidates` rank before `candidate` for `key`."""
    own = (score(key, candidate), candidate)
    return sum(1 for item in candidates if (score(key, item), item) > own)
