"""Holds the state last received from a control daemon, and notifies listeners.

Without any control daemon, this daemon continues with the last state, except for API
keys: if no view was received for `KEYS_MAX_AGE_S`, requests on keyed routes (those
that need an API key) are refused, since a key may have been withdrawn meanwhile.
"""

from collections.abc import Callable
from typing import Final, NamedTuple, final

from _pistachiopond.entry.index import ManifestIndex, make_index
from _pistachiopond.kernel.timer import Timer
from _pistachiopond.schema.limits import LimitsView
from _pistachiopond.schema.revision import Revision
from _pistachiopond.schema.routing import RoutingView
from _pistachiopond.schema.suspects import SuspectView

KEYS_MAX_AGE_S: Final = 10.0


class FleetState(NamedTuple):
    """The last state received.

    Attributes
    ----------
    revision, index : Revision and ManifestIndex, or None
        The current configuration and its lookup tables; None before the first view.
    routing : RoutingView or None
        The backend servers; None before the first view.
    suspects : SuspectView
        Requests suspected of crashing servers.
    limits : LimitsView
        The pools from which tokens are reserved.
    says_closed : bool
        Whether the control daemon cannot confirm that the revision is current, so
        that no API key can be verified.
    heard_s : float or None
        When the last view was received; None before the first.
    """

    revision: Revision | None = None
    index: ManifestIndex | None = None
    routing: RoutingView | None = None
    suspects: SuspectView = SuspectView()
    limits: LimitsView = LimitsView()
    says_closed: bool = True
    heard_s: float | None = None


class ViewUpdate(NamedTuple):
    """A decoded message of a control daemon; None for what has not changed."""

    revision: Revision | None
    routing: RoutingView | None
    suspects: SuspectView | None
    limits: LimitsView | None
    says_closed: bool


FleetListener = Callable[[FleetState, frozenset[str]], None]


@final
class Fleet:
    """The service ``fleet``: the current state and the listeners to its changes."""

    def __init__(self, timer: Timer) -> None:
        self._timer = timer
        self._listeners: list[FleetListener] = []
        self.state = FleetState()

    def subscribe(self, listener: FleetListener) -> None:
        """Call `listener` with the current state now, and again on each change.

        Its second argument is the names of the fields that changed. It must not
        block.
        """
        self._listeners.append(listener)
        listener(self.state, frozenset(FleetState._fields))

    def apply(self, update: ViewUpdate) -> None:
        """Apply a message of a control daemon and notify the listeners.

        A revision is applied only if it covers more of the log than the current one;
        one that covers less comes from a control daemon that lags behind.
        """
        changes: dict[str, object] = {"heard_s": self._timer.now_s()}
        if update.revision is not None and self._is_newer(update.revision):
            changes["revision"] = update.revision
            changes["index"] = make_index(update.revision)
        for name in ("routing", "suspects", "limits"):
            value = getattr(update, name)
            if value is not None:
                changes[name] = value
        if update.says_closed != self.state.says_closed:
            changes["says_closed"] = update.says_closed
        self.state = self.state._replace(**changes)
        changed = frozenset(changes) - {"heard_s"}
        if changed:
            for listener in self._listeners:
                listener(self.state, changed)

    def keys_closed(self) -> bool:
        """Return whether requests on routes that need an API key must be refused."""
        state = self.state
        if state.heard_s is None or state.says_closed:
            return True
        return self._timer.now_s() - state.heard_s > KEYS_MAX_AGE_S

    def _is_newer(self, revision: Revision) -> bool:
        current = self.state.revision
        return current is None or revision.covers_offset > current.covers_offset
