"""Paces prompts, so that the streams of a server do not pause while it reads them.

A server reads prompts in large pieces between the tokens of its streams. When several
prompts reach it within a short time, all streams there pause until they are read. So
the leader keeps for each server how long it will be reading what was sent to it, and
lets VMs send prompts at most that much ahead. Load: bursts of prompts at few replicas
of a model, such as requests that have waited for a load and are released together.
"""

from collections.abc import Sequence
from typing import Final, NamedTuple, final

# Of its time a server may read prompts; the rest is for the tokens of its streams,
# which take over three times as long then.
READING_SHARE: Final = 0.65
# Of the longest pause that a route allows: a server may have this much to read. The
# rest is for the tokens of one event at the pace above.
AHEAD_SHARE: Final = 0.2
# Prompts are read slower than a server can, when others wait before them, and faster,
# where it has kept a part of them; this part of the prompts is read slower.
RATE_QUANTILE: Final = 0.5
# A step of the estimate, as a part of it.
RATE_STEP: Final = 0.04
# Prompts that are read before the estimate is used.
FIRST_SAMPLES: Final = 8
# Weight of the newest prompt in the mean length.
LENGTH_WEIGHT: Final = 0.05


@final
class ReadRate:
    """How fast one server reads prompts, from the times of first events."""

    def __init__(self) -> None:
        self._tokens_per_s = 0.0
        self._mean_tokens = 0.0
        self._samples = 0

    def took(self, tokens: int, seconds: float) -> None:
        """Take a prompt into account that was read.

        Parameters
        ----------
        tokens : int
            Its length.
        seconds : float
            From its sending to the first event.
        """
        self._mean_tokens += LENGTH_WEIGHT * (tokens - self._mean_tokens)
        # Short prompts show the time for other things than reading.
        if tokens < self._mean_tokens or seconds <= 0.0:
            return
        rate = tokens / seconds
        self._samples += 1
        if self._samples == 1:
            self._tokens_per_s = rate
        elif rate > self._tokens_per_s:
            self._tokens_per_s *= 1.0 + RATE_STEP * RATE_QUANTILE
        else:
            self._tokens_per_s *= 1.0 - RATE_STEP * (1.0 - RATE_QUANTILE)

    def duration_s(self, tokens: int) -> float:
        """Return how long the server reads a prompt; 0 where that is not known."""
        if self._samples < FIRST_SAMPLES:
            return 0.0
        return tokens / self._tokens_per_s


class PromptPlace(NamedTuple):
    """A server that may get a prompt, and how long it will read it."""

    server_id: str
    read_s: float


class Paced(NamedTuple):
    """Where a prompt is to go, by its place in the question, and how soon."""

    place: int
    wait_s: float


@final
class PromptPace:
    """Until when each server will be reading."""

    def __init__(self) -> None:
        self._read_until_s: dict[str, float] = {}

    def book(
        self,
        places: Sequence[PromptPlace],
        gap_aim_s: float,
        most_s: float,
        now_s: float,
    ) -> Paced:
        """Return where and when to send a prompt.

        Parameters
        ----------
        places : sequence of PromptPlace
            Servers that may get it, the preferred first; at least one.
        gap_aim_s : float
            The longest pause that its route allows.
        most_s : float
            How long it may be held back.
        now_s : float
            The time in seconds.
        """
        ahead_s = gap_aim_s * AHEAD_SHARE
        waits = [
            max(0.0, self._read_until_s.get(place.server_id, now_s) - now_s - ahead_s)
            for place in places
        ]
        number = min(range(len(waits)), key=waits.__getitem__)
        chosen, wait_s = places[number], min(waits[number], most_s)
        until_s = max(self._read_until_s.get(chosen.server_id, now_s), now_s)
        # More than what can be held back is not booked, so that nobody waits for it.
        self._read_until_s[chosen.server_id] = min(
            until_s + chosen.read_s / READING_SHARE, now_s + ahead_s + most_s
        )
        return Paced(number, wait_s)

    def forget_old(self, now_s: float) -> None:
        """Forget the servers that have nothing left to read."""
        self._read_until_s = {
            name: until_s
            for name, until_s in self._read_until_s.items()
            if until_s > now_s
        }
