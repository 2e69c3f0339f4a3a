"""Distributes engine reports from the shard holder to all other control daemons.

Only the holder of the servers' shard polls every engine each second. The others
receive the reports over a tree of control daemons with the holder at its root, and
poll an engine themselves only when its forwarded report is old. Forwarded reports are
used for routing and never as a basis for orders, because the time that a message was
in transit is unknown.
"""

from collections.abc import Iterable, Mapping
from typing import Final, final

from _pistachiopond.decisions.memory import EngineReport
from _pistachiopond.decisions.rendezvous import ranked
from _pistachiopond.schema.engine import EngineState
from _pistachiopond.schema.engine_feed import FeedMessage, ForwardedReport

FANOUT: Final = 8
LOST_AFTER_S: Final = 3.0
# Smaller changes of an engine's load are not forwarded.
LOAD_STEP_TOKENS: Final = 256.0
TREE_KEY: Final = "engine-feed"


def upstream_of(me: str, holder: str, members: Iterable[str]) -> str | None:
    """Return the address this daemon receives reports from; None for the holder.

    Parameters
    ----------
    me, holder : str
        Addresses of this daemon and of the shard's holder.
    members : iterable of str
        Addresses of daemons considered alive. Daemons may have different views for a
        while, which can form a loop; the age in each message reveals a loop or a
        parent without recent reports.
    """
    if me == holder:
        return None
    order = ranked(TREE_KEY, {*members, me} - {holder})
    position = order.index(me)
    if position < FANOUT:
        return holder
    return order[position // FANOUT - 1]


@final
class FeedSender:
    """Sending side of the feed to one follower, with the states sent so far."""

    def __init__(self) -> None:
        self._sent: dict[str, EngineState] = {}

    def next_message(
        self, reports: Mapping[str, EngineReport], now_s: float, lost_after_s: float
    ) -> FeedMessage:
        """Return the changes since the last message, and record them as sent.

        Parameters
        ----------
        reports : mapping of str to EngineReport
            The newest reports that this daemon has.
        now_s : float
            The time by this daemon's clock.
        lost_after_s : float
            Engines with older reports are listed as lost.
        """
        changed: list[ForwardedReport] = []
        lost: list[str] = []
        others_age_s = 0.0
        for server, report in sorted(reports.items()):
            age_s = max(0.0, now_s - report.asked_s)
            if age_s > lost_after_s:
                lost.append(server)
                self._sent.pop(server, None)
                continue
            state = report.state._replace(orders=())
            if is_changed(self._sent.get(server), state):
                self._sent[server] = state
                changed.append(ForwardedReport(server, state, round(age_s, 3)))
            else:
                others_age_s = max(others_age_s, age_s)
        return FeedMessage(tuple(changed), round(others_age_s, 3), tuple(lost))


def is_changed(before: EngineState | None, after: EngineState) -> bool:
    """Return whether the state changed by more than a small shift of load."""
    if before is None:
        return True
    load_change = abs(_load_tokens(before) - _load_tokens(after))
    return load_change >= LOAD_STEP_TOKENS or _without_load(before) != _without_load(
        after
    )


def _load_tokens(state: EngineState) -> float:
    return state.running_tokens + state.queued_tokens


def _without_load(state: EngineState) -> EngineState:
    return state._replace(
        running_tokens=0.0, queued_tokens=0.0, load_age_s=0.0, orders=()
    )


@final
class FeedReceiver:
    """Receiving side of the feed, with the newest forwarded reports."""

    def __init__(self) -> None:
        self._reports: dict[str, EngineReport] = {}
        self._confirmed: frozenset[str] = frozenset()

    def start_upstream(self) -> None:
        """Start with a new upstream, which has not confirmed any report yet."""
        self._confirmed = frozenset()

    def take_message(
        self, message: FeedMessage, now_s: float
    ) -> tuple[ForwardedReport, ...]:
        """Process a message, and return the reports that changed.

        Parameters
        ----------
        message : FeedMessage
            The next message of the stream.
        now_s : float
            When it arrived.
        """
        self._confirmed -= frozenset(message.lost)
        for server in self._confirmed:
            self._refresh(server, now_s - message.others_age_s)
        changed_reports = [
            forwarded
            for forwarded in message.changed
            if self._store_report(forwarded, now_s)
        ]
        self._confirmed |= frozenset(forwarded.server for forwarded in message.changed)
        return tuple(changed_reports)

    def _refresh(self, server: str, asked_s: float) -> None:
        report = self._reports[server]
        if asked_s > report.asked_s:
            self._reports[server] = report._replace(asked_s=asked_s)

    def _store_report(self, forwarded: ForwardedReport, now_s: float) -> bool:
        before = self._reports.get(forwarded.server)
        report = EngineReport(forwarded.state, now_s - forwarded.age_s)
        self._reports[forwarded.server] = report
        return before is None or is_changed(before.state, forwarded.state)

    def reports(self) -> Mapping[str, EngineReport]:
        """Return the newest forwarded report of each engine."""
        return self._reports

    def keep_only(self, names: frozenset[str]) -> None:
        """Drop engines that the manifest no longer lists."""
        for name in self._reports.keys() - names:
            del self._reports[name]
        self._confirmed &= names


def newest_reports(
    own: Mapping[str, EngineReport], forwarded: Mapping[str, EngineReport]
) -> dict[str, EngineReport]:
    """Return for each engine the newer of its own-polled and its forwarded report."""
    newest = dict(forwarded)
    for server, report in own.items():
        known = newest.get(server)
        if known is None or report.asked_s >= known.asked_s:
            newest[server] = report
    return newest
