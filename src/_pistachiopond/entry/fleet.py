"""What this daemon last heard from a control daemon, and who wants to know.

A daemon without any control daemon goes on with the last state, but for keys: when
nothing has been heard for `KEYS_BOUND_S`, keyed routes are closed.
"""

from collections.abc import Callable
from typing import Final, NamedTuple, final

from _pistachiopond.entry.index import ManifestIndex, make_index
from _pistachiopond.kernel.timer import Timer
from _pistachiopond.schema.limits import LimitsView
from _pistachiopond.schema.revision import Revision
from _pistachiopond.schema.routing import RoutingView
from _pistachiopond.schema.suspects import SuspectView

KEYS_BOUND_S: Final = 10.0


class FleetState(NamedTuple):
    """The last state that was heard of.

    Attributes
    ----------
    revision, index : Revision and ManifestIndex, or None
        The configuration in force; None before the first view.
    routing : RoutingView or None
        The backend servers; None before the first view.
    suspects : SuspectView
        Requests that may crash servers.
    limits : LimitsView
        Where to draw tokens.
    says_closed : bool
        Whether the control daemon can't vouch for the revision.
    heard_s : float or None
        When the last view came; None before the first.
    """

    revision: Revision | None = None
    index: ManifestIndex | None = None
    routing: RoutingView | None = None
    suspects: SuspectView = SuspectView()
    limits: LimitsView = LimitsView()
    says_closed: bool = True
    heard_s: float | None = None


class ViewParts(NamedTuple):
    """One message of a control daemon, decoded; None where nothing changed."""

    revision: Revision | None
    routing: RoutingView | None
    suspects: SuspectView | None
    limits: LimitsView | None
    says_closed: bool


Watcher = Callable[[FleetState, frozenset[str]], None]


@final
class Fleet:
    """The service ``fleet``: the state and those who are told of its changes."""

    def __init__(self, timer: Timer) -> None:
        self._timer = timer
        self._watchers: list[Watcher] = []
        self.state = FleetState()

    def subscribe(self, watcher: Watcher) -> None:
        """Call `watcher` with the present state and at each change.

        It is called with the names of the fields that changed, and must return
        at once.
        """
        self._watchers.append(watcher)
        watcher(self.state, frozenset(FleetState._fields))

    def apply(self, parts: ViewParts) -> None:
        """Take in a message of a control daemon.

        A revision that covers less of the log than the one in force comes from a
        daemon that lags behind, and changes nothing.
        """
        fresh: dict[str, object] = {"heard_s": self._timer.now_s()}
        if parts.revision is not None and self._is_newer(parts.revision):
            fresh["revision"] = parts.revision
            fresh["index"] = make_index(parts.revision)
        for name in ("routing", "suspects", "limits"):
            value = getattr(parts, name)
            if value is not None:
                fresh[name] = value
        if parts.says_closed != self.state.says_closed:
            fresh["says_closed"] = parts.says_closed
        self.state = self.state._replace(**fresh)
        changed = frozenset(fresh) - {"heard_s"}
        if changed:
            for watcher in self._watchers:
                watcher(self.state, changed)

    def keys_closed(self) -> bool:
        """Return whether keyed routes must refuse now."""
        state = self.state
        if state.heard_s is None or state.says_closed:
            return True
        return self._timer.now_s() - state.heard_s > KEYS_BOUND_S

    def _is_newer(self, revision: Revision) -> bool:
        current = self.state.revision
        return current is None or revision.covers_offset > current.covers_offset
