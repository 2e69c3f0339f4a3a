"""Decides whether a control daemon's configuration is provably up to date.

A withdrawn key must stop working everywhere within seconds, so a daemon that cannot
prove that its configuration is recent closes the routes that need a key. The only
exception is a log outage in all data centres, during which no key can be withdrawn.
"""

from typing import Final, Literal, NamedTuple

# A proof no older than this keeps the routes that need a key open.
FRESH_LIMIT_S: Final = 5.0
# Without a recent proof, only peer statements younger than this count.
STATEMENT_LIMIT_S: Final = 5.0

Reason = Literal["own_read", "peer", "outage_for_all", "behind_peer", "unproved"]


class PeerStatement(NamedTuple):
    """A peer's statement about its configuration, and when it was requested.

    Attributes
    ----------
    address, data_centre : str
        The peer's address and data centre.
    fresh_age_s : float
        Age of the peer's own freshness proof when it replied; infinite for none.
    offset : int
        The last offset of ``config`` that the peer has processed.
    asked_s : float
        When this daemon sent the request to which the statement replies. Ages count
        from then, so that a delayed reply is never considered too recent.
    """

    address: str
    data_centre: str
    fresh_age_s: float
    offset: int
    asked_s: float


class FreshnessInputs(NamedTuple):
    """All inputs of the decision.

    Attributes
    ----------
    tail_read_s : float or None
        When this daemon sent its last read that reached the tail of ``config``
        with every record processed; None for never.
    offset : int
        The last offset that this daemon has processed; -1 for none.
    statements : tuple of PeerStatement
        The newest statement of each peer.
    live_data_centres : frozenset of str
        Data centres with live VMs other than this one, according to the platform's
        list and the heartbeats. Empty if this VM is alone; keyed routes then stay
        closed unless the daemon reads the log itself.
    """

    tail_read_s: float | None
    offset: int
    statements: tuple[PeerStatement, ...]
    live_data_centres: frozenset[str]


class Freshness(NamedTuple):
    """The decision.

    Attributes
    ----------
    fresh_age_s : float
        Age of the newest proof; infinite if there has been none.
    keys_closed : bool
        Whether routes that need a key must refuse requests.
    reason : str
        The reason for the decision, for counters and status.
    """

    fresh_age_s: float
    keys_closed: bool
    reason: Reason


def decide_freshness(inputs: FreshnessInputs, now_s: float) -> Freshness:
    """Return how recent the configuration is and whether keyed routes must close.

    Parameters
    ----------
    inputs : FreshnessInputs
        Times are on this daemon's clock.
    now_s : float
        The present time on the same clock.
    """
    own_age_s = _own_age_s(inputs, now_s)
    peer_age_s = _peer_age_s(inputs, now_s)
    fresh_age_s = min(own_age_s, peer_age_s)
    if own_age_s <= FRESH_LIMIT_S:
        return Freshness(fresh_age_s, False, "own_read")
    if peer_age_s <= FRESH_LIMIT_S:
        return Freshness(fresh_age_s, False, "peer")
    recent = _recent(inputs, now_s)
    if any(statement.offset > inputs.offset for statement in recent):
        return Freshness(fresh_age_s, True, "behind_peer")
    if _is_outage_for_all(inputs, recent):
        return Freshness(fresh_age_s, False, "outage_for_all")
    return Freshness(fresh_age_s, True, "unproved")


def _own_age_s(inputs: FreshnessInputs, now_s: float) -> float:
    if inputs.tail_read_s is None:
        return float("inf")
    return now_s - inputs.tail_read_s


def _peer_age_s(inputs: FreshnessInputs, now_s: float) -> float:
    # A peer's proof applies only if this daemon has every record that the peer has.
    ages_s = (
        statement.fresh_age_s + now_s - statement.asked_s
        for statement in inputs.statements
        if statement.offset <= inputs.offset
    )
    return min(ages_s, default=float("inf"))


def _recent(inputs: FreshnessInputs, now_s: float) -> tuple[PeerStatement, ...]:
    return tuple(
        statement
        for statement in inputs.statements
        if now_s - statement.asked_s <= STATEMENT_LIMIT_S
    )


def _is_outage_for_all(
    inputs: FreshnessInputs, recent: tuple[PeerStatement, ...]
) -> bool:
    # Freshness proofs pass from peer to peer, so one peer without a recent proof shows
    # that the peers it exchanges statements with have none either. A recent proof
    # anywhere means that the log is reachable, so there is no outage for all.
    if inputs.offset < 0 or not inputs.live_data_centres:
        return False
    if any(statement.fresh_age_s <= FRESH_LIMIT_S for statement in recent):
        return False
    reporting = {statement.data_centre for statement in recent}
    return inputs.live_data_centres <= reporting
