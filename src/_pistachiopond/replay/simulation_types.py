"""Types of the simulator: entry daemons, attempts and customers' token buckets."""

from typing import NamedTuple, Protocol, final

from _pistachiopond.decisions.dispatch_types import Action, Event
from _pistachiopond.decisions.routing import Place


class EventHandler(Protocol):
    """A dispatcher, or the central queue that replaces all dispatchers."""

    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Process an event and return the resulting actions."""
        ...


class Attempt(NamedTuple):
    """An attempt that is on its way to a server or runs there."""

    daemon_index: int
    request_id: str
    number: int
    server: str
    incarnation: int
    has_output: bool = False


@final
class EntryDaemon:
    """One simulated entry daemon.

    Attributes
    ----------
    place : Place
        Its data centre and region.
    dispatcher : EventHandler
        Decides which server runs each of its requests, and when.
    is_up : bool
        False while the daemon is down.
    is_in_rotation : bool
        Whether the load balancer sends requests to it.
    """

    def __init__(self, place: Place, dispatcher: EventHandler) -> None:
        self.place = place
        self.dispatcher = dispatcher
        self.is_up = True
        self.is_in_rotation = True


@final
class TokenBucket:
    """A customer's rate limit, enforced exactly over all entry daemons."""

    def __init__(self, rate: float, burst: float) -> None:
        self._rate, self._burst, self._level, self._updated_s = rate, burst, burst, 0.0

    def try_take(self, tokens: float, now_s: float) -> bool:
        """Take the tokens and return True if the bucket holds enough."""
        refilled = self._level + self._rate * (now_s - self._updated_s)
        self._level, self._updated_s = min(self._burst, refilled), now_s
        if self._level < tokens:
            return False
        self._level -= tokens
        return True
