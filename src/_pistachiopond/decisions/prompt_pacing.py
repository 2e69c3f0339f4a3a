"""Paces prompts, so that the streams of a server do not pause while it reads them.

A server reads prompts in large pieces between the tokens of its streams. When several
prompts reach it within a short time, all streams there pause until they are read. So
the leader keeps for each server how long it will be reading what was sent to it, and
lets VMs send prompts at most that much ahead. Load: bursts of prompts at few replicas
of a model, such as requests that have waited for a load and are released together.
"""

from collections import deque
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.server_choice import load_cost

# Of its time a server may read prompts; the rest is for the tokens of its streams,
# which take over three times as long then.
READING_SHARE: Final = 0.65
# Of the longest pause that a route allows: a server may have this much to read. The
# rest is for the tokens of one event at the pace above.
AHEAD_SHARE: Final = 0.2
# A server that has a second more to read than another is taken only where the other is
# fuller by this part of its slots.
READING_COST_PER_S: Final = 8.0
# Longer than the period of reports with the most VMs.
FORGOTTEN_S: Final = 5.0
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
    """A server that may get a prompt.

    Attributes
    ----------
    server_id : str
        Its name.
    read_s : float
        How long it will read the prompt; 0 where that is not known.
    slots : int
        Requests that it runs at a time.
    bias : float
        What its load is seen as more for this request, as a part of its slots.
    """

    server_id: str
    read_s: float
    slots: int
    bias: float


class PromptTerms(NamedTuple):
    """What a prompt's route allows.

    Attributes
    ----------
    gap_aim_s : float
        The longest pause between events.
    most_s : float
        How long the prompt may be held back.
    """

    gap_aim_s: float
    most_s: float


class Paced(NamedTuple):
    """Where a prompt is to go, by its place in the question, and how soon."""

    place: int
    wait_s: float


@final
class PromptPace:
    """What each server has got of late, and until when it will be reading."""

    def __init__(self) -> None:
        self._read_until_s: dict[str, float] = {}
        self._sent_s: dict[str, deque[float]] = {}

    def book(
        self,
        places: Sequence[PromptPlace],
        terms: PromptTerms,
        load: Mapping[str, float],
        period_s: float,
        now_s: float,
    ) -> Paced:
        """Return where and when to send a prompt.

        Parameters
        ----------
        places : sequence of PromptPlace
            Servers that may get it, the preferred first; at least one.
        terms : PromptTerms
            What its route allows.
        load : mapping of str to float
            Requests at each server, as VMs have reported them.
        period_s : float
            Between two reports of a VM.
        now_s : float
            The time in seconds.
        """
        ahead_s = terms.gap_aim_s * AHEAD_SHARE
        left = [self._left_s(place.server_id, now_s) for place in places]

        def cost(number: int) -> float:
            place = places[number]
            at_server = load.get(place.server_id, 0.0)
            at_server += self._unreported(place.server_id, period_s, now_s)
            filled = (at_server + 1.0) / max(1, place.slots)
            return load_cost(filled) + place.bias + READING_COST_PER_S * left[number]

        number = min(range(len(places)), key=cost)
        chosen = places[number]
        # More than what can be held back is not booked, so that nobody waits for it.
        until_s = now_s + left[number]
        self._read_until_s[chosen.server_id] = min(
            until_s + chosen.read_s / READING_SHARE, now_s + ahead_s + terms.most_s
        )
        self._sent_s.setdefault(chosen.server_id, deque()).append(now_s)
        wait_s = max(0.0, left[number] - ahead_s)
        return Paced(number, min(wait_s, terms.most_s))

    def forget_old(self, now_s: float) -> None:
        """Forget the servers that have got nothing of late."""
        for name, until_s in list(self._read_until_s.items()):
            sent = self._sent_s.get(name)
            if until_s <= now_s and (not sent or now_s - sent[-1] > FORGOTTEN_S):
                del self._read_until_s[name]
                self._sent_s.pop(name, None)

    def _left_s(self, server_id: str, now_s: float) -> float:
        return max(0.0, self._read_until_s.get(server_id, now_s) - now_s)

    def _unreported(self, server_id: str, period_s: float, now_s: float) -> float:
        """Return about how many prompts were sent that no report has shown yet."""
        sent = self._sent_s.get(server_id)
        if not sent:
            return 0.0
        while sent and now_s - sent[0] >= period_s:
            sent.popleft()
        # Reports come at any moment of a period, so the older half is in most of them.
        return sum(1.0 - (now_s - at_s) / period_s for at_s in sent)
