"""Requests that this VM suspects of having crashed their backend servers."""

import hashlib
from collections.abc import Mapping
from typing import Final, final

from _pistachiopond.decisions.crash_counts import LostConnection
from _pistachiopond.http1.messages import Request
from _pistachiopond.schema.deployment import BackendServer
from _pistachiopond.schema.peer_messages import SuspectList
from _pistachiopond.vm.clock import boot_s
from _pistachiopond.vm.part_watch import PartWatch

# Lost connections are kept for this long, to be reported again to a new leader.
LOST_CONNECTION_RETENTION_S: Final = 60.0
MAX_LOST_CONNECTIONS: Final = 1_000
FINGERPRINT_BYTES: Final = 16


def make_fingerprint(request: Request, customer: str) -> str:
    """Return a digest that is the same for all retries of one request only.

    Parameters
    ----------
    request : Request
        The caller's request.
    customer : str
        The customer's name, which stays when its keys change; empty on open routes.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (request.head.target, customer.encode(), request.body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


@final
class Suspects:
    """Lost connections seen by this VM, and the leader's list from all reports.

    Attributes
    ----------
    parts : PartWatch
        The parts of prompts that crash servers, whatever else a request holds.
    """

    def __init__(self) -> None:
        self.parts = PartWatch()
        self._lost_seen_s: dict[LostConnection, float] = {}
        self._new_lost: set[LostConnection] = set()
        self._new_cleared: set[str] = set()
        self._watched: frozenset[str] = frozenset()
        self._refused_until_s: dict[str, float] = {}

    def is_empty(self) -> bool:
        """Return whether the leader suspects no request."""
        return not self._watched

    def has_refused(self) -> bool:
        """Return whether the leader's list refuses any request."""
        return bool(self._refused_until_s)

    def refused_count(self) -> int:
        """Return the number of requests that are refused."""
        return len(self._refused_until_s)

    def record_lost_connection(self, fingerprint: str, server: BackendServer) -> None:
        """Record that a server closed the connection before completing its response."""
        if len(self._lost_seen_s) >= MAX_LOST_CONNECTIONS:
            self._forget_old_lost()
        if len(self._lost_seen_s) >= MAX_LOST_CONNECTIONS:
            # So many lost connections are due to an outage, not to one bad request.
            return
        lost = LostConnection(fingerprint, *server.incarnation())
        self._lost_seen_s[lost] = boot_s()
        self._new_lost.add(lost)

    def record_success(self, fingerprint: str) -> None:
        """Record that a request ran to its end without a crash."""
        if fingerprint in self._watched:
            self._new_cleared.add(fingerprint)

    def refused_for_s(self, fingerprint: str) -> float:
        """Return for how long a request is still refused; 0 if it may run."""
        until_s = self._refused_until_s.get(fingerprint)
        return 0.0 if until_s is None else max(0.0, until_s - boot_s())

    def take_changes(self) -> tuple[list[LostConnection], list[str]]:
        """Return the new lost connections and cleared requests since the last call."""
        lost_connections, self._new_lost = sorted(self._new_lost), set()
        cleared, self._new_cleared = sorted(self._new_cleared), set()
        return lost_connections, cleared

    def leader_changed(self) -> None:
        """Queue all recent lost connections for the report to a new leader."""
        self._forget_old_lost()
        self._new_lost = set(self._lost_seen_s)
        self.parts.leader_changed()

    def _forget_old_lost(self) -> None:
        now_s = boot_s()
        self._lost_seen_s = {
            lost: seen_s
            for lost, seen_s in self._lost_seen_s.items()
            if now_s - seen_s < LOST_CONNECTION_RETENTION_S
        }

    def apply_list(self, plain: SuspectList) -> None:
        """Apply the leader's list; drop lost connections of requests that it clears."""
        self.parts.apply_list(plain)
        refused: Mapping[str, float] = plain["refused"]
        now_s = boot_s()
        cleared = set(plain["cleared"])
        for lost in [c for c in self._lost_seen_s if c.fingerprint in cleared]:
            del self._lost_seen_s[lost]
        self._watched = frozenset(plain["watched"])
        self._refused_until_s = {
            fingerprint: now_s + for_s for fingerprint, for_s in refused.items()
        }
