"""Small parts of a replay: daemons, attempts and customers' buckets."""

from typing import NamedTuple, Protocol, final

from _pistachiopond.decisions.dispatch_types import Action, Event
from _pistachiopond.decisions.routing import Place


class Decider(Protocol):
    """A dispatcher, or what stands in for it."""

    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Take an event and return actions."""
        ...


class Attempt(NamedTuple):
    """An attempt that is on its way or runs."""

    daemon: int
    request_id: str
    number: int
    server: str
    incarnation: int
    has_output: bool = False


@final
class Daemon:
    """One entry daemon of the replay."""

    def __init__(self, place: Place, decider: Decider) -> None:
        self.place = place
        self.decider = decider
        self.is_up = True
        self.listed = True


@final
class Bucket:
    """A customer's rate and burst as one perfect bucket."""

    def __init__(self, rate: float, burst: float) -> None:
        self._rate, self._burst, self._level, self._at_s = rate, burst, burst, 0.0

    def take(self, tokens: float, now_s: float) -> bool:
        """Take the tokens if they are there."""
        grown = self._level + self._rate * (now_s - self._at_s)
        self._level, self._at_s = min(self._burst, grown), now_s
        if self._level < tokens:
            return False
        self._level -= tokens
        return True
