"""Passes engines' reports from the shard holder to all other control daemons.

Only the holder of the servers' shard asks every engine each second; the others
follow a tree of control daemons with the holder at its root, and ask an engine
themselves only when what they are told of it is old. A passed report is good for
routing and never for giving orders: how long a message was under way is not known.
"""

from collections.abc import Iterable, Mapping
from typing import Final, final

from _pistachiopond.decisions.memory import Report
from _pistachiopond.decisions.rendezvous import ranked
from _pistachiopond.schema.engine import EngineState
from _pistachiopond.schema.engine_feed import FedReport, FeedMessage

FANOUT: Final = 8
LOST_AFTER_S: Final = 3.0
LOAD_STEP_TOKENS: Final = 256.0
TREE_KEY: Final = "engine-feed"


def upstream_of(me: str, holder: str, members: Iterable[str]) -> str | None:
    """Return whom this daemon follows; None when it is the holder.

    Parameters
    ----------
    me, holder : str
        Addresses of this daemon and of the shard's holder.
    members : iterable of str
        Addresses that are believed to be alive. Daemons may believe different
        things for a while; the age in each message shows a loop or a stale parent.
    """
    if me == holder:
        return None
    order = ranked(TREE_KEY, {*members, me} - {holder})
    place = order.index(me)
    if place < FANOUT:
        return holder
    return order[place // FANOUT - 1]


@final
class FeedSource:
    """What one follower has been sent."""

    def __init__(self) -> None:
        self._sent: dict[str, EngineState] = {}

    def next_message(
        self, reports: Mapping[str, Report], now_s: float, lost_after_s: float
    ) -> FeedMessage:
        """Return what the follower lacks, and take note that it is being sent.

        Parameters
        ----------
        reports : mapping of str to Report
            The newest reports that this daemon has.
        now_s : float
            By this daemon's clock.
        lost_after_s : float
            Older reports are not passed on.
        """
        changed: list[FedReport] = []
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
                changed.append(FedReport(server, state, round(age_s, 3)))
            else:
                others_age_s = max(others_age_s, age_s)
        return FeedMessage(tuple(changed), round(others_age_s, 3), tuple(lost))


def is_changed(before: EngineState | None, after: EngineState) -> bool:
    """Return whether a follower needs to be told, small shifts of load apart."""
    if before is None:
        return True
    shift = abs(_load_tokens(before) - _load_tokens(after))
    return shift >= LOAD_STEP_TOKENS or _without_load(before) != _without_load(after)


def _load_tokens(state: EngineState) -> float:
    return state.running_tokens + state.queued_tokens


def _without_load(state: EngineState) -> EngineState:
    return state._replace(
        running_tokens=0.0, queued_tokens=0.0, load_age_s=0.0, orders=()
    )


@final
class FeedSink:
    """What this daemon has been told."""

    def __init__(self) -> None:
        self._reports: dict[str, Report] = {}
        self._told: frozenset[str] = frozenset()

    def begin(self) -> None:
        """Start on another upstream: only what that one sends counts from now."""
        self._told = frozenset()

    def take(self, message: FeedMessage, now_s: float) -> tuple[FedReport, ...]:
        """Take a message, and return the reports that are news to this daemon.

        Parameters
        ----------
        message : FeedMessage
            The next one of the stream.
        now_s : float
            When it came.
        """
        self._told -= frozenset(message.lost)
        for server in self._told:
            self._refresh(server, now_s - message.others_age_s)
        news = [fed for fed in message.changed if self._take_report(fed, now_s)]
        self._told |= frozenset(fed.server for fed in message.changed)
        return tuple(news)

    def _refresh(self, server: str, asked_s: float) -> None:
        report = self._reports[server]
        if asked_s > report.asked_s:
            self._reports[server] = report._replace(asked_s=asked_s)

    def _take_report(self, fed: FedReport, now_s: float) -> bool:
        before = self._reports.get(fed.server)
        report = Report(fed.state, now_s - fed.age_s)
        self._reports[fed.server] = report
        return before is None or is_changed(before.state, fed.state)

    def reports(self) -> Mapping[str, Report]:
        """Return the newest report of each engine that this daemon was told of."""
        return self._reports

    def keep_only(self, names: frozenset[str]) -> None:
        """Forget engines that the manifest does not list any more."""
        for name in self._reports.keys() - names:
            del self._reports[name]
        self._told &= names


def newest_reports(
    own: Mapping[str, Report], fed: Mapping[str, Report]
) -> dict[str, Report]:
    """Return for each engine the newer of this daemon's report and the one fed."""
    newest = dict(fed)
    for server, report in own.items():
        known = newest.get(server)
        if known is None or report.asked_s >= known.asked_s:
            newest[server] = report
    return newest
