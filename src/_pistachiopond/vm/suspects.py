"""Requests that this VM suspects of having crashed their backend servers."""

import hashlib
from collections.abc import Mapping
from typing import Final, final

from _pistachiopond.decisions.crash_counts import Cutoff
from _pistachiopond.http1.messages import Request
from _pistachiopond.schema.caller_request import CallerRequest
from _pistachiopond.schema.deployment import BackendServer
from _pistachiopond.schema.peer_messages import SuspectList
from _pistachiopond.vm.clock import boot_s

# Cut-off requests are kept for this long, to be reported again to a new leader.
CUTOFF_RETENTION_S: Final = 60.0
MAX_CUTOFFS: Final = 1_000
FINGERPRINT_BYTES: Final = 16


def make_fingerprint(request: Request, caller: CallerRequest) -> str:
    """Return a digest that is the same for all retries of one request only."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (request.head.target, (caller.key or "").encode(), request.body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


@final
class Suspects:
    """Cut-off requests seen by this VM, and the leader's list from all reports."""

    def __init__(self) -> None:
        self._cutoff_seen_s: dict[Cutoff, float] = {}
        self._new_cutoffs: set[Cutoff] = set()
        self._new_cleared: set[str] = set()
        self._watched: frozenset[str] = frozenset()
        self._refused_until_s: dict[str, float] = {}

    def is_empty(self) -> bool:
        """Return whether the leader suspects no request."""
        return not self._watched

    def has_refused(self) -> bool:
        """Return whether the leader's list refuses any request."""
        return bool(self._refused_until_s)

    def record_cutoff(self, fingerprint: str, server: BackendServer) -> None:
        """Record that a server closed the connection before its answer was complete."""
        if len(self._cutoff_seen_s) >= MAX_CUTOFFS:
            self._forget_old_cutoffs()
        if len(self._cutoff_seen_s) >= MAX_CUTOFFS:
            # So many cut-off requests at once are an outage, not one bad request.
            return
        cutoff = Cutoff(fingerprint, *server.incarnation())
        self._cutoff_seen_s[cutoff] = boot_s()
        self._new_cutoffs.add(cutoff)

    def record_success(self, fingerprint: str) -> None:
        """Record that a request ran to its end without a crash."""
        if fingerprint in self._watched:
            self._new_cleared.add(fingerprint)

    def refused_for_s(self, fingerprint: str) -> float:
        """Return for how long a request is still refused; 0 if it may run."""
        until_s = self._refused_until_s.get(fingerprint)
        return 0.0 if until_s is None else max(0.0, until_s - boot_s())

    def take_changes(self) -> tuple[list[Cutoff], list[str]]:
        """Return the requests cut off and the requests cleared since the last call."""
        cutoffs, self._new_cutoffs = sorted(self._new_cutoffs), set()
        cleared, self._new_cleared = sorted(self._new_cleared), set()
        return cutoffs, cleared

    def leader_changed(self) -> None:
        """Queue all recent cut-off requests for the report to a new leader."""
        self._forget_old_cutoffs()
        self._new_cutoffs = set(self._cutoff_seen_s)

    def _forget_old_cutoffs(self) -> None:
        now_s = boot_s()
        self._cutoff_seen_s = {
            cutoff: seen_s
            for cutoff, seen_s in self._cutoff_seen_s.items()
            if now_s - seen_s < CUTOFF_RETENTION_S
        }

    def apply_list(self, plain: SuspectList) -> None:
        """Apply the leader's list, and drop cut-off requests that it has cleared."""
        refused: Mapping[str, float] = plain["refused"]
        now_s = boot_s()
        cleared = set(plain["cleared"])
        for cutoff in [c for c in self._cutoff_seen_s if c.fingerprint in cleared]:
            del self._cutoff_seen_s[cutoff]
        self._watched = frozenset(plain["watched"])
        self._refused_until_s = {
            fingerprint: now_s + for_s for fingerprint, for_s in refused.items()
        }
