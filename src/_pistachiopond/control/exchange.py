"""What the services of one control daemon put into heartbeats and take from them.

Services write what they know here, and the membership service carries it. So none
of them needs to know another's task or socket.
"""

from typing import Final, NamedTuple, final

from _pistachiopond.schema.heartbeat import (
    MAX_HINTS,
    MAX_LEAVING,
    MAX_STATEMENTS,
    DrainNotice,
    LogStatement,
    OwnerHint,
)

STALL_AFTER_S: Final = 10.0
LEAVING_HEARD_S: Final = 30.0
UNKNOWN_AGE_S: Final = 1e9


class HeardStatement(NamedTuple):
    """A statement, and when the request that it answers was sent."""

    statement: LogStatement
    asked_s: float


@final
class Exchange:
    """News of this daemon and from its peers."""

    def __init__(self) -> None:
        self.own: LogStatement | None = None
        self.drains = DrainNotice()
        self._progress_s: dict[str, float] = {}
        self._heard: dict[str, HeardStatement] = {}
        self._owners: dict[str, OwnerHint] = {}
        self._leaving_s: dict[str, float] = {}
        self._seen_leaving_s: dict[str, float] = {}
        self._turn = 0

    def note_progress(self, service: str, now_s: float) -> None:
        """Say that a service has just gone round its loop."""
        self._progress_s[service] = now_s

    def makes_progress(self, now_s: float) -> bool:
        """Return whether every service that ever said so went round lately."""
        return all(
            now_s - seen_s <= STALL_AFTER_S for seen_s in self._progress_s.values()
        )

    def take_statement(self, statement: LogStatement, asked_s: float) -> None:
        """Take what a peer said of itself or passed on; the newest counts."""
        heard = HeardStatement(statement, asked_s - statement.age_s)
        known = self._heard.get(statement.address)
        if known is None or heard.asked_s > known.asked_s:
            self._heard[statement.address] = heard

    def statements(self, now_s: float) -> tuple[HeardStatement, ...]:
        """Return what was heard within the last while, at most one of each peer."""
        self._heard = {
            key: item
            for key, item in self._heard.items()
            if now_s - item.asked_s <= LEAVING_HEARD_S
        }
        return tuple(self._heard.values())

    def statements_to_pass(self, now_s: float) -> tuple[LogStatement, ...]:
        """Return the newest statement of each data centre, with its age."""
        newest: dict[str, HeardStatement] = {}
        for item in self.statements(now_s):
            centre = item.statement.data_centre
            if centre not in newest or item.asked_s > newest[centre].asked_s:
                newest[centre] = item
        return tuple(
            item.statement._replace(age_s=max(0.0, now_s - item.asked_s))
            for item in list(newest.values())[:MAX_STATEMENTS]
        )

    def take_owner(self, hint: OwnerHint) -> None:
        """Take news of a shard's holder; the highest epoch counts."""
        known = self._owners.get(hint.shard)
        if known is None or hint.epoch > known.epoch:
            self._owners[hint.shard] = hint

    def owner(self, shard: str) -> OwnerHint | None:
        """Return who holds the shard, as far as peers and this daemon know."""
        return self._owners.get(shard)

    def owners_to_pass(self) -> tuple[OwnerHint, ...]:
        """Return a few owners, others each time."""
        hints = sorted(self._owners.values())
        if not hints:
            return ()
        start = self._turn * MAX_HINTS % len(hints)
        self._turn += 1
        return tuple((hints[start:] + hints[:start])[:MAX_HINTS])

    def note_leaving(self, server: str, now_s: float, *, seen_here: bool) -> None:
        """Take note of a sign that a backend server is leaving.

        Parameters
        ----------
        server : str
            Its name.
        now_s : float
            When the sign came.
        seen_here : bool
            Only such signs are passed on; a passed one would never lapse.
        """
        self._leaving_s[server] = now_s
        if seen_here:
            self._seen_leaving_s[server] = now_s

    def leaving(self, now_s: float) -> tuple[str, ...]:
        """Return the servers of which there was a sign lately."""
        self._leaving_s = _recent(self._leaving_s, now_s)
        return tuple(sorted(self._leaving_s))

    def leaving_to_pass(self, now_s: float) -> tuple[str, ...]:
        """Return those of which this daemon saw a sign itself, in bounded number."""
        self._seen_leaving_s = _recent(self._seen_leaving_s, now_s)
        return tuple(sorted(self._seen_leaving_s))[:MAX_LEAVING]

    def take_drains(self, notice: DrainNotice) -> None:
        """Take a list of draining replicas; the newest counts."""
        key = (notice.epoch, notice.sequence)
        if key > (self.drains.epoch, self.drains.sequence):
            self.drains = notice


def _recent(seen_s: dict[str, float], now_s: float) -> dict[str, float]:
    return {
        key: at_s for key, at_s in seen_s.items() if now_s - at_s <= LEAVING_HEARD_S
    }
