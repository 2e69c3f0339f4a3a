"""Requests that this VM suspects of having crashed their backend servers."""

import hashlib
from collections.abc import Iterable
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.crash_counts import LostConnection
from _pistachiopond.decisions.suspects import MAX_RECORDS, PROBATION_S, REFUSAL_S
from _pistachiopond.http1.messages import Request
from _pistachiopond.schema.deployment import BackendServer
from _pistachiopond.schema.peer_messages import RequestCrashes, SuspectList
from _pistachiopond.schema.suspects import RequestRecord
from _pistachiopond.vm.clock import boot_s
from _pistachiopond.vm.part_watch import PartWatch

# Lost connections are kept for this long, to be reported again to a new leader.
LOST_CONNECTION_RETENTION_S: Final = 60.0
MAX_LOST_CONNECTIONS: Final = 1_000
FINGERPRINT_BYTES: Final = 16


class _Record(NamedTuple):
    """What leaders have told of one request.

    Attributes
    ----------
    ids : tuple of str
        The crashes that count against it.
    refused_until_s : float
        Until when it must not run; in the past if it may.
    until_s : float
        When the crashes no longer count.
    """

    ids: tuple[str, ...]
    refused_until_s: float
    until_s: float


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
        self._records: dict[str, _Record] = {}
        self._has_refused_record = False
        # Requests that are refused until their crashes are known.
        self._held_until_s: dict[str, float] = {}
        self._has_new_leader = True
        self._is_first_list = True

    def is_empty(self) -> bool:
        """Return whether the leader suspects no request."""
        return not self._watched

    def has_refused(self) -> bool:
        """Return whether any request is refused, or was until a moment ago."""
        return self._has_refused_record or bool(self._held_until_s)

    def refused_count(self) -> int:
        """Return the number of requests that are refused."""
        names = {*self._records, *self._held_until_s}
        return sum(self.refused_for_s(name) > 0.0 for name in names)

    def is_suspected(self, fingerprint: str) -> bool:
        """Return whether a request may have been running when a server crashed."""
        if fingerprint in self._watched or fingerprint in self._records:
            return True
        if fingerprint in self._held_until_s:
            return True
        since_s = boot_s() - LOST_CONNECTION_RETENTION_S
        return any(
            lost.fingerprint == fingerprint and seen_s > since_s
            for lost, seen_s in self._lost_seen_s.items()
        )

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
        now_s = boot_s()
        record = self._records.get(fingerprint)
        refused_until_s = now_s if record is None else record.refused_until_s
        held_until_s = self._held_until_s.get(fingerprint, now_s)
        return max(0.0, refused_until_s - now_s, held_until_s - now_s)

    def tell_leader(self) -> None:
        """Have the records told to the present leader again."""
        self._has_new_leader = True

    def take_records(self) -> list[RequestRecord]:
        """Return what leaders have told of requests, once for each leader."""
        if not self._has_new_leader:
            return []
        self._has_new_leader = False
        self._forget_expired()
        now_s = boot_s()
        return [
            RequestRecord(name, max(0.0, known.refused_until_s - now_s), known.ids)
            for name, known in self._records.items()
        ]

    def learn(self, records: Iterable[RequestRecord]) -> None:
        """Add what a leader, or the store, tells of requests."""
        now_s = boot_s()
        for name, refused_for_s, ids in records:
            known = self._records.pop(name, None)
            refused_until_s = now_s + min(refused_for_s, REFUSAL_S)
            if known is not None:
                refused_until_s = max(refused_until_s, known.refused_until_s)
            self._records[name] = _Record(ids, refused_until_s, now_s + PROBATION_S)
        self._forget_expired()

    def _forget_expired(self) -> None:
        now_s = boot_s()
        kept = [
            (name, record)
            for name, record in self._records.items()
            if record.until_s > now_s
        ]
        self._records = dict(kept[-MAX_RECORDS:])
        self._has_refused_record = any(
            record.refused_until_s > now_s for record in self._records.values()
        )
        self._held_until_s = {
            name: until_s
            for name, until_s in self._held_until_s.items()
            if until_s > now_s
        }

    def take_changes(self) -> tuple[list[LostConnection], list[str]]:
        """Return the new lost connections and cleared requests since the last call."""
        lost_connections, self._new_lost = sorted(self._new_lost), set()
        cleared, self._new_cleared = sorted(self._new_cleared), set()
        return lost_connections, cleared

    def leader_changed(self) -> None:
        """Queue all recent lost connections for the report to a new leader."""
        self._forget_old_lost()
        self._new_lost = set(self._lost_seen_s)
        self._has_new_leader = True
        self._is_first_list = True
        self.parts.leader_changed()

    def _forget_old_lost(self) -> None:
        now_s = boot_s()
        self._lost_seen_s = {
            lost: seen_s
            for lost, seen_s in self._lost_seen_s.items()
            if now_s - seen_s < LOST_CONNECTION_RETENTION_S
        }

    def apply_list(self, plain: SuspectList) -> None:
        """Apply the leader's list; what it does not know stays refused here.

        A new leader may not have heard of it yet. Holds end with its second list.
        """
        self.parts.apply_list(plain)
        cleared = set(plain["cleared"])
        for lost in [c for c in self._lost_seen_s if c.fingerprint in cleared]:
            del self._lost_seen_s[lost]
        for fingerprint in cleared:
            self._records.pop(fingerprint, None)
            self._held_until_s.pop(fingerprint, None)
        self._watched = frozenset(plain["watched"])
        records = decode_records(plain.get("request_crashes", ()))
        self.learn(records)
        refused = {record.fingerprint for record in records if record.refused_for_s > 0}
        now_s = boot_s()
        held_until_s = {
            fingerprint: now_s + plain["refused"][fingerprint]
            for fingerprint in plain["refused"].keys() - refused
        }
        if self._is_first_list:
            held_until_s = self._held_until_s | held_until_s
        self._is_first_list = False
        self._held_until_s = held_until_s


def encode_records(records: Iterable[RequestRecord]) -> list[RequestCrashes]:
    """Return records as they are sent and stored."""
    return [(name, round(for_s, 1), list(ids)) for name, for_s, ids in records]


def decode_records(plain: Iterable[RequestCrashes]) -> list[RequestRecord]:
    """Return the records of a message.

    Raises
    ------
    ValueError or TypeError
        When a record cannot be read.
    """
    return [
        RequestRecord(str(name), float(for_s), tuple(map(str, ids)))
        for name, for_s, ids in plain
    ]
