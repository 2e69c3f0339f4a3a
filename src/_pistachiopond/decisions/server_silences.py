"""Tells a server that sends nothing for a moment from one that has stopped.

A sound server may be silent for about a second and go on. A request that this VM gives
up meanwhile says nothing about the server's health, but a server that has stopped
begins in the same way. So a silent server is used last, and a request that was given
up counts as a failure only once the silence has lasted longer than that, or if the
server answered others of this VM's requests in the meantime.
"""

import math
from collections.abc import Collection
from typing import Final, final

from _pistachiopond.decisions.failure_kinds import FailureKind
from _pistachiopond.schema.deployment import Incarnation

# A sound server is silent for no longer than this.
MAX_SOUND_SILENCE_S: Final = 1.5
# Time between two requests that find out whether a server is still silent.
PROBE_PERIOD_S: Final = 0.5
# A request that cannot be given up is sent to a silent server only when nothing else
# was sent for this long.
LATE_PROBE_S: Final = 5.0
# After a silence, this VM's requests at the server rise to its slots within this time.
RAMP_S: Final = 1.0


@final
class _ServerState:
    def __init__(self, now_s: float) -> None:
        self.heard_s = -math.inf
        self.silent_since_s = now_s
        self.last_sent_s = now_s
        self.is_suspected = False
        self.resumed_s = -math.inf


@final
class ServerSilences:
    """Which servers may have stopped, by incarnation.

    A server is suspected from the first request that this VM gives up without a byte
    from the server, until the next byte.
    """

    def __init__(self) -> None:
        self._states: dict[Incarnation, _ServerState] = {}

    def request_sent(
        self, incarnation: Incarnation, now_s: float, *, is_only: bool
    ) -> None:
        """Record that a request is sent to a server.

        Parameters
        ----------
        incarnation : tuple of (str, int)
            The server's name and start time.
        now_s : float
            The time in seconds.
        is_only : bool
            Whether this VM has no other request in progress at the server.
        """
        state = self._states.get(incarnation)
        if state is None:
            state = self._states[incarnation] = _ServerState(now_s)
        if is_only and not state.is_suspected:
            # The server had nothing to send until now.
            state.silent_since_s = now_s
        state.last_sent_s = now_s

    def bytes_received(self, incarnation: Incarnation, now_s: float) -> None:
        """Record that a server has sent something on any connection."""
        state = self._states.get(incarnation)
        if state is None:
            return
        state.heard_s = state.silent_since_s = now_s
        if state.is_suspected:
            state.is_suspected = False
            state.resumed_s = now_s

    def request_given_up(
        self, incarnation: Incarnation, waited_s: float, now_s: float
    ) -> FailureKind | None:
        """Record that a request got no response head in time.

        Parameters
        ----------
        incarnation : tuple of (str, int)
            The server's name and start time.
        waited_s : float
            The time since the request was sent, in seconds.
        now_s : float
            The time in seconds.

        Returns
        -------
        {"timeout", "silent"} or None
            The kind of failure to count: ``timeout`` if the server has sent something
            in the second half of that time, ``silent`` if it has stopped, None if it
            may go on.
        """
        state = self._states.get(incarnation)
        if state is None:
            return "timeout"
        if now_s - state.heard_s <= waited_s / 2:
            return "timeout"
        if not state.is_suspected:
            # Before, the server may have had nothing to send.
            state.silent_since_s = max(state.silent_since_s, now_s - waited_s)
        state.is_suspected = True
        if now_s - state.silent_since_s <= MAX_SOUND_SILENCE_S:
            return None
        return "silent"

    def may_send(
        self,
        incarnation: Incarnation,
        running: int,
        slots: int,
        now_s: float,
        *,
        can_give_up: bool,
    ) -> bool:
        """Return whether a server should get a request that others can take as well.

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
        can_give_up : bool
            Whether the request goes to another server if this one is still silent.
        """
        state = self._states.get(incarnation)
        if state is None:
            return True
        if state.is_suspected:
            if now_s - state.silent_since_s < MAX_SOUND_SILENCE_S:
                return False
            pause_s = PROBE_PERIOD_S if can_give_up else LATE_PROBE_S
            return now_s - state.last_sent_s >= pause_s
        since_s = now_s - state.resumed_s
        return since_s >= RAMP_S or running < 1 + slots * since_s / RAMP_S

    def heard_s(self, incarnation: Incarnation) -> float:
        """Return when the server last sent something; minus infinity if unknown."""
        state = self._states.get(incarnation)
        return -math.inf if state is None else state.heard_s

    def keep_only(self, present: Collection[Incarnation]) -> None:
        """Forget all servers but these."""
        for incarnation in self._states.keys() - present:
            del self._states[incarnation]
