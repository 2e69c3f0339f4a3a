"""The service ``views``: builds the view that entry daemons watch."""

from typing import Any, Final, NamedTuple, final

import anyio
from anyio.abc import TaskStatus
from prometheus_client import Counter, Gauge

from _pistachiopond.control.configuration import ConfigFollower
from _pistachiopond.control.engines import Engines
from _pistachiopond.control.gossip import UNKNOWN_AGE_S, GossipState
from _pistachiopond.decisions.views import ViewInput, has_changed, make_view
from _pistachiopond.kernel.service import Kernel, Service, UnknownServiceError
from _pistachiopond.kernel.timer import Timer, every
from _pistachiopond.schema.codec import to_json
from _pistachiopond.schema.limits import LimitsView
from _pistachiopond.schema.revision import Revision
from _pistachiopond.schema.routing import RoutingView
from _pistachiopond.schema.suspects import SuspectView
from _pistachiopond.transport.generated.pond_pb2 import View

TICK_S: Final = 0.5
RESEND_PERIOD_S: Final = 1.0

CHANGED_PARTS: Final = Counter(
    "pond_view_parts", "Parts of views that changed", ["part"]
)
WATCHERS: Final = Gauge("pond_view_watchers", "Entry daemons that watch")


class Parts(NamedTuple):
    """The parts of a view, each with the number of the change that set it.

    Attributes
    ----------
    revision, routing, suspects, limits : bytes
        JSON; empty until the part exists.
    numbers : tuple of int
        For each part, the number of its last change.
    """

    revision: bytes = b""
    routing: bytes = b""
    suspects: bytes = b""
    limits: bytes = b""
    numbers: tuple[int, int, int, int] = (0, 0, 0, 0)


@final
class Views:
    """The current view, and the event that is set when it changes."""

    def __init__(self, kernel: Kernel, timer: Timer) -> None:
        self._kernel = kernel
        self._timer = timer
        self._follower = kernel.find("config-follower", ConfigFollower)
        self._engines = kernel.find("engines", Engines)
        self._gossip = kernel.find("exchange", GossipState)
        self._sequence = 0
        self._change_number = 0
        self._revision: Revision | None = None
        self.routing: RoutingView | None = None
        self.parts = Parts()
        self.changed = anyio.Event()
        self.is_closed = False

    def refresh(self) -> None:
        """Rebuild the parts, and notify watchers if any of them changed."""
        new_parts = self._build_parts()
        old_parts = self.parts
        self._change_number += 1
        numbers = tuple(
            old_number if old == new else self._change_number
            for old, new, old_number in zip(
                old_parts[:4], new_parts[:4], old_parts.numbers, strict=True
            )
        )
        if numbers == old_parts.numbers:
            return
        for name, old, new in zip(
            Parts._fields, old_parts[:4], new_parts[:4], strict=False
        ):
            if old != new:
                CHANGED_PARTS.labels(name).inc()
        self.parts = new_parts._replace(numbers=numbers)
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    def close(self) -> None:
        """End all watches, so that entry daemons switch to another control daemon."""
        self.is_closed = True
        self._notify_watchers()

    def _build_parts(self) -> Parts:
        return Parts(
            self._revision_json(),
            self._routing_json(),
            to_json(self._suspects()).encode(),
            to_json(self._limits()).encode(),
        )

    def _revision_json(self) -> bytes:
        revision = self._follower.revision()
        if revision is self._revision or revision is None:
            return self.parts.revision
        # A snapshot changes only `covers_offset`; that alone is not sent to watchers.
        old_revision = self._revision
        self._revision = revision
        if old_revision is not None and old_revision._replace(covers_offset=-1) == (
            revision._replace(covers_offset=-1)
        ):
            return self.parts.revision
        return to_json(revision).encode()

    def _routing_json(self) -> bytes:
        revision = self._follower.revision()
        if revision is None:
            return b""
        now_s = self._timer.now_s()
        facts = ViewInput(
            revision.manifest,
            self._engines.newest(),
            frozenset(self._gossip.leaving(now_s)),
            frozenset(self._gossip.drains.replicas),
        )
        view = make_view(facts, self._sequence + 1, now_s)
        if not has_changed(self.routing, view):
            return self.parts.routing
        self._sequence += 1
        self.routing = view
        return to_json(view).encode()

    def _suspects(self) -> SuspectView:
        try:
            handler: Any = self._kernel.find("crashes", object)
        except UnknownServiceError:
            return SuspectView()
        return handler.view()

    def _limits(self) -> LimitsView:
        try:
            handler: Any = self._kernel.find("limits", object)
        except UnknownServiceError:
            return LimitsView()
        return handler.view()

    def message(self, seen: tuple[int, int, int, int] | None) -> View:
        """Return the message with the parts that changed after `seen`.

        Parameters
        ----------
        seen : tuple of int or None
            The change numbers of the parts that the watcher has; None for a new
            watcher.
        """
        parts = self.parts
        seen_numbers = seen or (-1, -1, -1, -1)
        freshness = self._follower.freshness()
        unseen = [
            part if number > seen_number else b""
            for part, number, seen_number in zip(
                parts[:4], parts.numbers, seen_numbers, strict=True
            )
        ]
        return View(
            revision_json=unseen[0],
            routing_json=unseen[1],
            suspects_json=unseen[2],
            limits_json=unseen[3],
            fresh_age_s=min(freshness.fresh_age_s, UNKNOWN_AGE_S),
            keys_closed=freshness.keys_closed,
        )


def make_views_service(timer: Timer) -> Service:
    """Return the service ``views``."""

    async def run(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
        views = Views(kernel, timer)
        gossip = kernel.find("exchange", GossipState)

        async def on_tick(now_s: float) -> None:
            gossip.record_progress("views", now_s)
            views.refresh()

        async with anyio.create_task_group() as group:
            group.start_soon(every, timer, TICK_S, on_tick)
            group.start_soon(_refresh_on_revision_change, views, kernel)
            group.start_soon(_refresh_on_engine_change, views, kernel)
            task_status.started(views)
            await kernel.stop_event("views").wait()
            views.close()
            group.cancel_scope.cancel()

    return Service("views", run)


async def _refresh_on_revision_change(views: Views, kernel: Kernel) -> None:
    follower = kernel.find("config-follower", ConfigFollower)
    while True:
        await follower.changed.wait()
        views.refresh()


async def _refresh_on_engine_change(views: Views, kernel: Kernel) -> None:
    engines = kernel.find("engines", Engines)
    while True:
        await engines.changed.wait()
        views.refresh()
