"""Tracks requests suspected of crashing backend servers, for one dispatcher.

Combines the fleet-wide list with crashes that this dispatcher observed itself. The
latter count at once, before the fleet-wide list is updated, so that a request whose
server has just crashed is retried only on probation: no other suspect runs on the
same server.
"""

from typing import Final, final

from _pistachiopond.decisions.dispatch_types import Action, AttemptFailed, ReportCrash
from _pistachiopond.schema.suspects import CrashReport, SuspectView
from _pistachiopond.schema.verdict import Verdict

LOCAL_SUSPECT_S: Final = 60.0
LOCAL_REFUSAL_S: Final = 60.0
CRASH_DEDUP_S: Final = 2.0


@final
class CrashTracker:
    """The suspected and the refused requests, as known to one dispatcher."""

    def __init__(self, daemon: str) -> None:
        self._daemon = daemon
        self._fleet_suspects: dict[str, tuple[bool, float]] = {}
        self._local_suspects: dict[str, float] = {}
        self._local_refused: dict[str, float] = {}
        self._crashed_at_s: dict[str, float] = {}
        self._crash_count = 0

    def set_fleet_suspects(self, view: SuspectView, now_s: float) -> None:
        """Replace the fleet-wide list."""
        self._fleet_suspects = {
            suspect.fingerprint: (
                suspect.standing == "refused",
                now_s + suspect.expires_in_s,
            )
            for suspect in view.suspects
        }

    def is_refused(self, fingerprint: str, now_s: float) -> bool:
        """Return whether the request must not run."""
        if self._local_refused.get(fingerprint, now_s) > now_s:
            return True
        is_refused, until_s = self._fleet_suspects.get(fingerprint, (False, now_s))
        return is_refused and now_s < until_s

    def is_suspect(self, fingerprint: str, now_s: float) -> bool:
        """Return whether the request is suspected of crashing servers."""
        if self._local_suspects.get(fingerprint, now_s) > now_s:
            return True
        return self._fleet_suspects.get(fingerprint, (False, now_s))[1] > now_s

    def record_completed(self, fingerprint: str) -> None:
        """Clear the local suspicion of a request that completed."""
        self._local_suspects.pop(fingerprint, None)

    def failed(
        self,
        server: str,
        event: AttemptFailed,
        running: tuple[str, ...],
        on_probation: tuple[str, ...],
        now_s: float,
    ) -> list[Action]:
        """Record a failed attempt; report a crash if the failure looks like one.

        A connection reset counts as a crash, unless the attempt did not run.

        Parameters
        ----------
        server : str
            The backend server of the attempt.
        event : AttemptFailed
            The failure.
        running, on_probation : tuple of str
            Fingerprints of all of this daemon's requests that ran on the server, and
            of those that were already suspects.
        now_s : float
            The time in seconds.
        """
        if event.kind != "reset" or event.verdict is Verdict.NOT_RUN:
            return []
        self._expire(now_s)
        if server in self._crashed_at_s and not on_probation:
            return []
        self._crashed_at_s[server] = now_s
        for fingerprint in running:
            self._local_suspects[fingerprint] = now_s + LOCAL_SUSPECT_S
        for fingerprint in on_probation:
            self._local_refused[fingerprint] = now_s + LOCAL_REFUSAL_S
        self._crash_count += 1
        crash_id = f"{server}/{self._daemon}/{self._crash_count}"
        return [ReportCrash(CrashReport(crash_id, server, running, on_probation))]

    def _expire(self, now_s: float) -> None:
        for server, crashed_s in list(self._crashed_at_s.items()):
            if now_s - crashed_s >= CRASH_DEDUP_S:
                del self._crashed_at_s[server]
        for known in (self._local_suspects, self._local_refused):
            for fingerprint in [f for f, until_s in known.items() if until_s <= now_s]:
                del known[fingerprint]
