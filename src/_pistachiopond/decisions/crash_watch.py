"""Suspects as one dispatcher knows them: the fleet's list and its own sightings.

Its own sightings count at once, before the fleet's list can have come, so that a
request whose server has just crashed is retried on probation only.
"""

from typing import Final, final

from _pistachiopond.decisions.dispatch_types import Action, AttemptFailed, TellCrash
from _pistachiopond.schema.suspects import CrashReport, SuspectView
from _pistachiopond.schema.verdict import Verdict

OWN_SIGHTING_S: Final = 60.0
OWN_REFUSAL_S: Final = 60.0
SAME_CRASH_S: Final = 2.0


@final
class CrashWatch:
    """The suspects that one dispatcher must treat apart."""

    def __init__(self, daemon: str) -> None:
        self._daemon = daemon
        self._fleet: dict[str, tuple[bool, float]] = {}
        self._own: dict[str, float] = {}
        self._own_refused: dict[str, float] = {}
        self._crashed_at_s: dict[str, float] = {}
        self._count = 0

    def received(self, view: SuspectView, now_s: float) -> None:
        """Replace the fleet's list."""
        self._fleet = {
            suspect.fingerprint: (
                suspect.standing == "refused",
                now_s + suspect.expires_in_s,
            )
            for suspect in view.suspects
        }

    def is_refused(self, fingerprint: str, now_s: float) -> bool:
        """Return whether the request must not run."""
        if self._own_refused.get(fingerprint, now_s) > now_s:
            return True
        is_refused, until_s = self._fleet.get(fingerprint, (False, now_s))
        return is_refused and now_s < until_s

    def is_suspect(self, fingerprint: str, now_s: float) -> bool:
        """Return whether the request runs only apart from other suspects."""
        if self._own.get(fingerprint, now_s) > now_s:
            return True
        return self._fleet.get(fingerprint, (False, now_s))[1] > now_s

    def cleared(self, fingerprint: str) -> None:
        """Note that the request ran to its end."""
        self._own.pop(fingerprint, None)

    def failed(
        self,
        server: str,
        event: AttemptFailed,
        running: tuple[str, ...],
        on_probation: tuple[str, ...],
        now_s: float,
    ) -> list[Action]:
        """Note a failed attempt, which may be a sign of a crash.

        Parameters
        ----------
        server : str
            Where it ran.
        event : AttemptFailed
            How it failed.
        running, on_probation : tuple of str
            The fingerprints of this daemon's requests that ran there.
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
            self._own[fingerprint] = now_s + OWN_SIGHTING_S
        for fingerprint in on_probation:
            self._own_refused[fingerprint] = now_s + OWN_REFUSAL_S
        self._count += 1
        crash_id = f"{server}/{self._daemon}/{self._count}"
        return [TellCrash(CrashReport(crash_id, server, running, on_probation))]

    def _expire(self, now_s: float) -> None:
        for server, crashed_s in list(self._crashed_at_s.items()):
            if now_s - crashed_s >= SAME_CRASH_S:
                del self._crashed_at_s[server]
        for known in (self._own, self._own_refused):
            for fingerprint in [f for f, until_s in known.items() if until_s <= now_s]:
                del known[fingerprint]
