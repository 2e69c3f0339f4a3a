"""Counts the crashes of backend servers that a request was running in.

The leader's part of refusing a request that crashes its servers: VMs say which
requests lost their server's connection, and a crash is certain once that incarnation
of the server is gone from the fleet. A broken connection alone accuses nobody.
"""

from collections.abc import Mapping
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.suspects import SuspectBook
from _pistachiopond.schema.suspects import CrashRecord, SuspectView

# The operators allow three more retries after the third crash.
CRASHES_TO_REFUSE: Final = 3
# A crashed server's entry is gone after three heartbeats, or its next start shows.
UNSETTLED_S: Final = 15.0
MOST_UNSETTLED: Final = 10_000


class Cutoff(NamedTuple):
    """A request whose server ended the connection before a whole answer.

    Attributes
    ----------
    fingerprint : str
        Digest of the request's content and its caller.
    server_id : str
        The backend server.
    started_ms : int
        Its incarnation.
    """

    fingerprint: str
    server_id: str
    started_ms: int


@final
class CrashCounts:
    """Which requests were running in how many crashes."""

    def __init__(self) -> None:
        self._book = SuspectBook(CRASHES_TO_REFUSE)
        self._unsettled: dict[Cutoff, float] = {}

    def cut_off(self, cutoff: Cutoff, now_s: float) -> None:
        """Take what a VM has seen; the same from several VMs counts once."""
        if len(self._unsettled) < MOST_UNSETTLED:
            self._unsettled.setdefault(cutoff, now_s)

    def cleared(self, fingerprint: str, now_s: float) -> None:
        """Note that the request ran to its end: it crashes no server."""
        self._book.apply(CrashRecord("cleared", "", (fingerprint,)), now_s)
        for cutoff in [c for c in self._unsettled if c.fingerprint == fingerprint]:
            del self._unsettled[cutoff]

    def settle(self, incarnations: Mapping[str, int], now_s: float) -> bool:
        """Count the crashes that have become certain.

        Parameters
        ----------
        incarnations : mapping of str to int
            The servers of the fleet, and when each was started.
        now_s : float
            The time in seconds.

        Returns
        -------
        bool
            Whether any was counted.
        """
        is_counted = False
        for cutoff, seen_s in list(self._unsettled.items()):
            if incarnations.get(cutoff.server_id) != cutoff.started_ms:
                crash_id = f"{cutoff.server_id}/{cutoff.started_ms}"
                record = CrashRecord("confirmed", crash_id, (cutoff.fingerprint,))
                self._book.apply(record, now_s)
                is_counted = True
            elif now_s - seen_s < UNSETTLED_S:
                continue
            del self._unsettled[cutoff]
        return is_counted

    def view(self, now_s: float) -> SuspectView:
        """Return all requests that were running in a crash."""
        return self._book.view(now_s)
