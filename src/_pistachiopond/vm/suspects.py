"""Requests that may have crashed their backend servers, as one VM knows them."""

import hashlib
from collections.abc import Mapping
from typing import Final, final

from _pistachiopond.decisions.crash_counts import Cutoff
from _pistachiopond.http1.messages import Request
from _pistachiopond.schema.caller_request import CallerRequest
from _pistachiopond.schema.deployment import BackendServer
from _pistachiopond.schema.peer_messages import SuspectList
from _pistachiopond.vm.clock import boot_s

# A new leader hears again of what was seen within this time.
REMEMBERED_S: Final = 60.0
MOST_REMEMBERED: Final = 1_000
FINGERPRINT_BYTES: Final = 16


def make_fingerprint(request: Request, caller: CallerRequest) -> str:
    """Return what all tries of one request have in common, and no other request."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (request.head.target, (caller.key or "").encode(), request.body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


@final
class Suspects:
    """What this VM has seen, and what the leader has made of all VMs' reports."""

    def __init__(self) -> None:
        self._seen: dict[Cutoff, float] = {}
        self._new_cutoffs: set[Cutoff] = set()
        self._new_cleared: set[str] = set()
        self._watched: frozenset[str] = frozenset()
        self._refused_until_s: dict[str, float] = {}

    def is_empty(self) -> bool:
        """Return whether no request is suspected."""
        return not self._watched

    def has_refused(self) -> bool:
        """Return whether any request must not run."""
        return bool(self._refused_until_s)

    def cut_off(self, fingerprint: str, server: BackendServer) -> None:
        """Note that a server ended the connection before a whole answer."""
        if len(self._seen) >= MOST_REMEMBERED:
            self._forget_old()
        if len(self._seen) >= MOST_REMEMBERED:
            # As many at once are an outage, not one request.
            return
        cutoff = Cutoff(fingerprint, *server.incarnation())
        self._seen[cutoff] = boot_s()
        self._new_cutoffs.add(cutoff)

    def succeeded(self, fingerprint: str) -> None:
        """Note that a request ran to its end."""
        if fingerprint in self._watched:
            self._new_cleared.add(fingerprint)

    def refused_for_s(self, fingerprint: str) -> float:
        """Return for how long a request must not run; 0 where it may."""
        until_s = self._refused_until_s.get(fingerprint)
        return 0.0 if until_s is None else max(0.0, until_s - boot_s())

    def take_news(self) -> tuple[list[Cutoff], list[str]]:
        """Return what was cut off and what is cleared since the last call."""
        cutoffs, self._new_cutoffs = sorted(self._new_cutoffs), set()
        cleared, self._new_cleared = sorted(self._new_cleared), set()
        return cutoffs, cleared

    def leader_changed(self) -> None:
        """Tell again what a new leader cannot know."""
        self._forget_old()
        self._new_cutoffs = set(self._seen)

    def _forget_old(self) -> None:
        now_s = boot_s()
        self._seen = {
            cutoff: seen_s
            for cutoff, seen_s in self._seen.items()
            if now_s - seen_s < REMEMBERED_S
        }

    def take_list(self, plain: SuspectList) -> None:
        """Replace the leader's list, and forget what it has cleared."""
        refused: Mapping[str, float] = plain["refused"]
        now_s = boot_s()
        cleared = set(plain["cleared"])
        for cutoff in [c for c in self._seen if c.fingerprint in cleared]:
            del self._seen[cutoff]
        self._watched = frozenset(plain["watched"])
        self._refused_until_s = {
            fingerprint: now_s + for_s for fingerprint, for_s in refused.items()
        }
