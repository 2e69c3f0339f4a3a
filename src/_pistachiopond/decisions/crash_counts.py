"""Counts, for each request, the crashes of backend servers that were running it.

The leader uses the counts to refuse requests that crash servers. VMs report which
requests lost the connection to their server. A crash is confirmed once that
incarnation of the server is gone from the fleet; a lost connection alone is not
counted.

Where all servers of a service have crashed, that is known only when their entries
lapse, after the first of them are back. So a request whose crashes would be enough with
those that are not confirmed yet is held until they can be.
"""

from collections.abc import Callable, Mapping
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.suspects import SuspectTable
from _pistachiopond.schema.deployment import Incarnation
from _pistachiopond.schema.suspects import CrashRecord, RequestRecord, SuspectView

# The operators allow three more retries after the third crash.
CRASHES_TO_REFUSE: Final = 3
# An entry lapses after three missed heartbeats, of 1.2 s by default, and is read then.
ENTRY_LAPSE_S: Final = 4.6
# What a server has sent before it ended may come this much later.
LAST_BYTES_S: Final = 0.05
# The leader checks a server within 0.1 s, and again after 0.5 s. One of which it has
# heard nothing for this long may have crashed.
CHECK_S: Final = 0.7
# What is heard later may come from a new process at the server's address.
MAX_CHECK_S: Final = 2.0
# A crashed server disappears from the fleet after three missed heartbeats, or a new
# incarnation appears. A lost connection that is not confirmed by then is dropped.
CONFIRMATION_TIMEOUT_S: Final = 15.0
MAX_PENDING: Final = 10_000


class LostConnection(NamedTuple):
    """A request whose server closed the connection before a complete response.

    Attributes
    ----------
    fingerprint : str
        Digest of the request's content and its customer.
    server_id : str
        The backend server.
    started_ms : int
        The start time of the server, which identifies its incarnation.
    """

    fingerprint: str
    server_id: str
    started_ms: int

    def crash_id(self) -> str:
        """Return the id of the crash that this is if the server has crashed."""
        return f"{self.server_id}/{self.started_ms}"


class RequestCrash(NamedTuple):
    """A crash that was counted against a request, for the log.

    Attributes
    ----------
    lost : LostConnection
        The request and the server's incarnation.
    crashes : int
        The number of crashes that count against the request.
    after_s : float
        The time from the report of the lost connection.
    """

    lost: LostConnection
    crashes: int
    after_s: float


@final
class _Pending:
    """A lost connection whose cause is not known yet."""

    def __init__(self, seen_s: float) -> None:
        self.seen_s = seen_s
        # The last loss, and whether the server has been heard of since.
        self.lost_s = seen_s
        self.is_alive = False


@final
class CrashCounts:
    """Counts confirmed crashes by request."""

    def __init__(self, entry_lapse_s: float = ENTRY_LAPSE_S) -> None:
        """Initialise the counts without crashes.

        Parameters
        ----------
        entry_lapse_s : float
            The time after a crash in which the server's entry is gone.
        """
        self._entry_lapse_s = entry_lapse_s
        self._suspects = SuspectTable(CRASHES_TO_REFUSE)
        self._pending: dict[LostConnection, _Pending] = {}
        self._counted: list[RequestCrash] = []

    def record_lost_connection(self, lost: LostConnection, now_s: float) -> None:
        """Record a lost connection; the same one from several VMs counts once."""
        known = self._pending.get(lost)
        if known is not None and known.is_alive:
            known.lost_s, known.is_alive = now_s, False
        elif known is None and len(self._pending) < MAX_PENDING:
            self._pending[lost] = _Pending(now_s)

    def record_completed(self, fingerprint: str, now_s: float) -> None:
        """Clear a request that completed without crashing its server."""
        self._suspects.apply(CrashRecord("cleared", "", (fingerprint,)), now_s)
        for lost in [c for c in self._pending if c.fingerprint == fingerprint]:
            del self._pending[lost]

    def count_confirmed(self, incarnations: Mapping[str, int], now_s: float) -> bool:
        """Count the crashes that the current fleet confirms.

        Parameters
        ----------
        incarnations : mapping of str to int
            The start time of each server in the fleet.
        now_s : float
            The time in seconds.

        Returns
        -------
        bool
            Whether any crash was confirmed.
        """
        is_any_confirmed = False
        for lost, pending in list(self._pending.items()):
            seen_s = pending.seen_s
            if incarnations.get(lost.server_id) != lost.started_ms:
                record = CrashRecord("confirmed", lost.crash_id(), (lost.fingerprint,))
                self._suspects.apply(record, now_s)
                crashes = len(self._suspects.crash_ids(lost.fingerprint))
                self._counted.append(RequestCrash(lost, crashes, now_s - seen_s))
                is_any_confirmed = True
            elif now_s - seen_s < CONFIRMATION_TIMEOUT_S:
                continue
            del self._pending[lost]
        return is_any_confirmed

    def held(
        self, now_s: float, heard_s: Callable[[Incarnation], float]
    ) -> dict[str, float]:
        """Return the requests that are held, with the seconds until they may run.

        Parameters
        ----------
        now_s : float
            The time in seconds.
        heard_s : callable
            Returns when an incarnation was last heard of. One that is heard of soon
            after it has ended a connection is alive.
        """
        unconfirmed: dict[str, dict[str, float]] = {}
        for lost, pending in self._pending.items():
            heard_after_s = heard_s((lost.server_id, lost.started_ms)) - pending.lost_s
            if LAST_BYTES_S < heard_after_s <= MAX_CHECK_S:
                pending.is_alive = True
            is_checked = now_s - pending.lost_s >= CHECK_S
            left_s = pending.lost_s + self._entry_lapse_s - now_s
            if is_checked and left_s > 0.0 and not pending.is_alive:
                unconfirmed.setdefault(lost.fingerprint, {})[lost.crash_id()] = left_s
        held = {}
        for fingerprint, left_by_crash in unconfirmed.items():
            crash_ids = self._suspects.crash_ids(fingerprint).union(left_by_crash)
            if len(crash_ids) >= CRASHES_TO_REFUSE:
                held[fingerprint] = max(left_by_crash.values())
        return held

    def records(self, now_s: float) -> list[RequestRecord]:
        """Return what a new leader has to know."""
        return self._suspects.records(now_s)

    def adopt(self, record: RequestRecord, now_s: float) -> bool:
        """Add what an earlier leader knew; return whether this is new."""
        return self._suspects.adopt(record, now_s)

    def take_counted(self) -> list[RequestCrash]:
        """Return the crashes that were counted since the last call."""
        counted, self._counted = self._counted, []
        return counted

    def view(self, now_s: float) -> SuspectView:
        """Return all requests that were running during a confirmed crash."""
        return self._suspects.view(now_s)
