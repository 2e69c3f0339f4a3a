"""Keeps requests away from servers that asked for a pause.

Load that this answers: a server that is overloaded for a moment turns requests away
and says for how long it wants none from this VM. Sending to it all the same prolongs
the overload. The requests that have waited for the end of a pause would together
overload the server again, so after a pause the number of requests in progress there
may only rise gradually.
"""

from typing import Final, NamedTuple, final

from _pistachiopond.schema.deployment import Incarnation

# Bound on a pause, longer than a server needs to recover without a restart.
MAX_PAUSE_S: Final = 600.0
# After a pause, this VM's requests at the server rise to its slots within this time.
RAMP_S: Final = 1.0
# How often a request that waits for a place in the ramp looks again.
RAMP_CHECK_S: Final = 0.05


class PauseWait(NamedTuple):
    """What to do with a request whose servers have all asked for a pause.

    Attributes
    ----------
    until_s : float or None
        When to look for a server again; None to refuse the request now.
    retry_after_s : float
        The time until the first pause ends, for a refusal.
    """

    until_s: float | None
    retry_after_s: float


@final
class ServerPauses:
    """The pauses that servers asked this VM for, by incarnation."""

    def __init__(self) -> None:
        self._until_s: dict[Incarnation, float] = {}

    def begin(self, incarnation: Incarnation, pause_s: float, now_s: float) -> bool:
        """Record that a server wants no requests; return whether it had no pause.

        Parameters
        ----------
        incarnation : tuple of (str, int)
            The server's name and start time.
        pause_s : float
            For how long; bounded by `MAX_PAUSE_S`.
        now_s : float
            The time in seconds.
        """
        was_paused = self.is_paused(incarnation, now_s)
        until_s = now_s + min(MAX_PAUSE_S, pause_s)
        # A shorter pause in a later answer does not withdraw the longer one.
        known_s = self._until_s.get(incarnation, until_s)
        self._until_s[incarnation] = max(known_s, until_s)
        return not was_paused

    def is_paused(self, incarnation: Incarnation, now_s: float) -> bool:
        """Return whether the server's pause has not ended."""
        return now_s < self._until_s.get(incarnation, float("-inf"))

    def may_send(
        self, incarnation: Incarnation, running: int, slots: int, now_s: float
    ) -> bool:
        """Return whether the server may get another request now.

        Parameters
        ----------
        incarnation : tuple of (str, int)
            The server's name and start time.
        running : int
            The requests of this VM in progress at the server.
        slots : int
            The number of requests that the server runs concurrently.
        now_s : float
            The time in seconds.
        """
        until_s = self._until_s.get(incarnation)
        if until_s is None:
            return True
        if now_s < until_s:
            return False
        since_s = now_s - until_s
        return since_s >= RAMP_S or running < 1 + slots * since_s / RAMP_S

    def resume_s(self, incarnation: Incarnation, now_s: float) -> float | None:
        """Return when the server takes requests again, if it does not take all now."""
        until_s = self._until_s.get(incarnation)
        if until_s is None or now_s >= until_s + RAMP_S:
            return None
        return max(until_s, now_s + RAMP_CHECK_S)

    def paused(self, now_s: float) -> frozenset[str]:
        """Return the names of the servers whose pause has not ended."""
        return frozenset(
            name for (name, _), until_s in self._until_s.items() if now_s < until_s
        )

    def drop_ended(self, now_s: float) -> None:
        """Remove pauses that no longer matter."""
        for incarnation, until_s in list(self._until_s.items()):
            if now_s >= until_s + RAMP_S:
                del self._until_s[incarnation]


def plan_pause_wait(resume_s: float, latest_start_s: float, now_s: float) -> PauseWait:
    """Decide whether a request waits for the first pause to end.

    Parameters
    ----------
    resume_s : float
        When the first of its servers takes requests again.
    latest_start_s : float
        When the request must be sent at the latest, for its caller to get the answer.
    now_s : float
        The time in seconds.
    """
    until_s = resume_s if resume_s <= latest_start_s else None
    return PauseWait(until_s, max(0.0, resume_s - now_s))
