"""The state that heartbeats carry between control daemons.

Services read and write it here, and the service ``fleet`` sends and receives it, so
that no service depends on another's task or connection.
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

STALL_TIMEOUT_S: Final = 10.0
GOSSIP_TTL_S: Final = 30.0
UNKNOWN_AGE_S: Final = 1e9


class ReceivedStatement(NamedTuple):
    """A peer's statement, dated by when the request for it was sent."""

    statement: LogStatement
    sent_s: float


@final
class GossipState:
    """What this daemon sends in heartbeats and what it has received from peers."""

    def __init__(self) -> None:
        self.own: LogStatement | None = None
        self.drains = DrainNotice()
        self._progress_s: dict[str, float] = {}
        self._statements: dict[str, ReceivedStatement] = {}
        self._owners: dict[str, OwnerHint] = {}
        self._leaving_s: dict[str, float] = {}
        self._first_hand_leaving_s: dict[str, float] = {}
        self._hint_round = 0

    def record_progress(self, service: str, now_s: float) -> None:
        """Record that a service has just completed an iteration of its loop."""
        self._progress_s[service] = now_s

    def makes_progress(self, now_s: float) -> bool:
        """Return whether each service that records progress did so recently."""
        return all(
            now_s - seen_s <= STALL_TIMEOUT_S for seen_s in self._progress_s.values()
        )

    def add_statement(self, statement: LogStatement, sent_s: float) -> None:
        """Store a statement from or through a peer, unless a newer one is known."""
        received = ReceivedStatement(statement, sent_s - statement.age_s)
        known = self._statements.get(statement.address)
        if known is None or received.sent_s > known.sent_s:
            self._statements[statement.address] = received

    def statements(self, now_s: float) -> tuple[ReceivedStatement, ...]:
        """Return the statements of the last `GOSSIP_TTL_S`, at most one per peer."""
        self._statements = {
            key: item
            for key, item in self._statements.items()
            if now_s - item.sent_s <= GOSSIP_TTL_S
        }
        return tuple(self._statements.values())

    def statements_to_forward(self, now_s: float) -> tuple[LogStatement, ...]:
        """Return the newest statement of each data centre, with its current age."""
        newest: dict[str, ReceivedStatement] = {}
        for item in self.statements(now_s):
            centre = item.statement.data_centre
            if centre not in newest or item.sent_s > newest[centre].sent_s:
                newest[centre] = item
        return tuple(
            item.statement._replace(age_s=max(0.0, now_s - item.sent_s))
            for item in list(newest.values())[:MAX_STATEMENTS]
        )

    def update_owner(self, hint: OwnerHint) -> None:
        """Store a shard's holder if its epoch is higher than the known one."""
        known = self._owners.get(hint.shard)
        if known is None or hint.epoch > known.epoch:
            self._owners[hint.shard] = hint

    def owner(self, shard: str) -> OwnerHint | None:
        """Return the shard's last known holder; None if none is known."""
        return self._owners.get(shard)

    def owners_to_forward(self) -> tuple[OwnerHint, ...]:
        """Return a bounded number of shard holders, rotating from call to call."""
        hints = sorted(self._owners.values())
        if not hints:
            return ()
        start = self._hint_round * MAX_HINTS % len(hints)
        self._hint_round += 1
        return tuple((hints[start:] + hints[:start])[:MAX_HINTS])

    def record_leaving(self, server: str, now_s: float, *, is_first_hand: bool) -> None:
        """Record a sign that a backend server is leaving.

        Parameters
        ----------
        server : str
            The backend server's name.
        now_s : float
            When the sign was received.
        is_first_hand : bool
            Whether this daemon got the sign from the platform, the server or an entry
            daemon. Only such signs are forwarded: peers would keep refreshing forwarded
            ones, which would then never expire.
        """
        self._leaving_s[server] = now_s
        if is_first_hand:
            self._first_hand_leaving_s[server] = now_s

    def leaving(self, now_s: float) -> tuple[str, ...]:
        """Return the servers with an unexpired sign of leaving."""
        self._leaving_s = _recent(self._leaving_s, now_s)
        return tuple(sorted(self._leaving_s))

    def leaving_to_forward(self, now_s: float) -> tuple[str, ...]:
        """Return a bounded number of servers with an unexpired first-hand sign."""
        self._first_hand_leaving_s = _recent(self._first_hand_leaving_s, now_s)
        return tuple(sorted(self._first_hand_leaving_s))[:MAX_LEAVING]

    def update_drains(self, notice: DrainNotice) -> None:
        """Store a list of draining replicas, unless a newer one is known."""
        key = (notice.epoch, notice.sequence)
        if key > (self.drains.epoch, self.drains.sequence):
            self.drains = notice


def _recent(seen_s: dict[str, float], now_s: float) -> dict[str, float]:
    return {key: at_s for key, at_s in seen_s.items() if now_s - at_s <= GOSSIP_TTL_S}
