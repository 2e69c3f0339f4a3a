"""Failure detection by gossip: decides which control daemons are alive.

Each daemon sends heartbeats to a bounded number of others: its successors on a ring
and, in turn, one daemon of each data centre. A daemon counts as alive while its beat, a
counter, increases, and the beat increases only while its services make progress.
Observations spread as rumours in the heartbeats. A higher beat always refutes a
suspicion, however it arrived, so a network cut between two daemons does not make either
dead as long as a third one receives heartbeats from both.
"""

import math
from collections.abc import Iterable
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.flapping import damping_after_change, is_damped
from _pistachiopond.decisions.member_ring import Ring, make_ring
from _pistachiopond.decisions.member_types import Identity, ListedDaemon, MemberRecord
from _pistachiopond.schema.heartbeat import (
    MAX_PEERS,
    MAX_RUMOURS,
    Heartbeat,
    PeerHint,
    Rumour,
)

SUSPECT_AFTER_S: Final = 3.0
DEAD_AFTER_S: Final = 7.0
# A beat received directly within this time outweighs rumours of suspicion or death.
DIRECT_EVIDENCE_S: Final = 3.0
# A silent daemon has ended once its VM has been missing from the list for this long.
LIST_GONE_S: Final = 60.0
FORGET_AFTER_S: Final = 120.0
DEAD_PROBE_PERIOD_TICKS: Final = 5


class _OutgoingRumour(NamedTuple):
    rumour: Rumour
    sends: int


@final
class MemberTable:
    """One daemon's view of the control daemons, and its part in the gossip."""

    def __init__(
        self, me: Identity, first_peers: Iterable[str], started_s: float
    ) -> None:
        self.me = me
        self._started_s = started_s
        self._known: dict[str, MemberRecord] = {}
        self._outgoing: dict[str, _OutgoingRumour] = {}
        self._missing_since_s: dict[str, float] = {}
        self._queried: set[str] = set()
        self._tick = 0
        self._beat = 0
        self._ring: Ring | None = None
        self._probed: set[str] = set()
        self._dead: set[str] = set()
        self._to_verify: list[str] = []
        for address in first_peers:
            if address != me.address:
                self._add(Identity(address, "", ""), started_s)

    # -- input -------------------------------------------------------------------

    def take_list(self, listed: Iterable[ListedDaemon], now_s: float) -> None:
        """Update from the platform's list of daemons, which may be out of date."""
        by_address = {item.address: item for item in listed}
        for address, item in by_address.items():
            if address == self.me.address:
                continue
            member = self._known.get(address)
            if member is None:
                member = self._add(Identity(address, item.data_centre, ""), now_s)
            identity = member.identity
            if not identity.data_centre:
                identity = identity._replace(data_centre=item.data_centre)
            self._set(
                member._replace(
                    identity=identity, is_listed=True, is_leaving=item.is_leaving
                )
            )
        for address, member in list(self._known.items()):
            if address not in by_address and member.is_listed:
                self._set(member._replace(is_listed=False))
        self._note_missing(by_address.keys(), now_s)

    def _note_missing(self, present: Iterable[str], now_s: float) -> None:
        present = set(present)
        for address in self._queried | self._known.keys():
            if address in present:
                self._missing_since_s.pop(address, None)
            else:
                self._missing_since_s.setdefault(address, now_s)

    def take_heartbeat(self, heartbeat: Heartbeat, now_s: float) -> None:
        """Process a received heartbeat or the reply to one."""
        if heartbeat.address == self.me.address:
            return
        self._take_direct_beat(
            Identity(heartbeat.address, heartbeat.data_centre, heartbeat.incarnation),
            heartbeat.beat,
            now_s,
        )
        for rumour in heartbeat.rumours[:MAX_RUMOURS]:
            self._take_rumour(rumour, now_s)
        for hint in heartbeat.peers[:MAX_PEERS]:
            if hint.address not in self._known and hint.address != self.me.address:
                self._add(Identity(hint.address, hint.data_centre, ""), now_s)

    def _take_direct_beat(self, identity: Identity, beat: int, now_s: float) -> None:
        member = self._known.get(identity.address)
        if member is None:
            member = self._add(identity, now_s)
        if member.identity.incarnation != identity.incarnation:
            member = self._start_incarnation(member, identity, now_s)
        if beat <= member.beat:
            return
        self._set(member._replace(direct_s=now_s))
        self._advance_beat(identity.address, beat, now_s)

    def _start_incarnation(
        self, member: MemberRecord, identity: Identity, now_s: float
    ) -> MemberRecord:
        restarted = member._replace(
            identity=identity, beat=0, since_s=now_s, direct_s=float("-inf")
        )
        self._set(restarted)
        return restarted

    def _advance_beat(self, address: str, beat: int, now_s: float) -> None:
        member = self._known[address]
        standing_before = member.standing
        damping = member.damping
        if standing_before == "dead":
            damping = damping_after_change(damping, now_s)
        should_spread = standing_before != "alive" or member.beat == 0
        self._set(
            member._replace(
                beat=beat,
                beat_s=now_s,
                standing="alive",
                probed_since_s=None,
                damping=damping,
            )
        )
        if should_spread:
            self._queue_rumour(address)

    def _take_rumour(self, rumour: Rumour, now_s: float) -> None:
        if rumour.address == self.me.address:
            self._refute(rumour)
            return
        member = self._known.get(rumour.address)
        if member is None:
            if rumour.standing == "dead":
                return
            identity = Identity(rumour.address, rumour.data_centre, rumour.incarnation)
            member = self._add(identity, now_s)
        if rumour.incarnation > member.identity.incarnation:
            identity = Identity(rumour.address, rumour.data_centre, rumour.incarnation)
            member = self._start_incarnation(member, identity, now_s)
        if rumour.incarnation != member.identity.incarnation:
            return
        self._apply_rumour(rumour, member, now_s)

    def _apply_rumour(self, rumour: Rumour, member: MemberRecord, now_s: float) -> None:
        if rumour.beat > member.beat and rumour.standing == "alive":
            self._advance_beat(rumour.address, rumour.beat, now_s)
            return
        if rumour.standing == "alive" or rumour.standing == member.standing:
            return
        has_direct_evidence = now_s - member.direct_s <= DIRECT_EVIDENCE_S
        if rumour.beat < member.beat or has_direct_evidence:
            # Refutes the rumour with this daemon's newer observation.
            self._queue_rumour(rumour.address)
        elif rumour.standing == "dead":
            self._mark_dead(member._replace(beat=rumour.beat), now_s)
        elif rumour.address not in self._to_verify:
            self._to_verify.append(rumour.address)

    def _refute(self, rumour: Rumour) -> None:
        is_about_me = rumour.incarnation == self.me.incarnation
        if is_about_me and rumour.standing != "alive" and rumour.beat <= self._beat:
            own = Rumour(*self.me, beat=self._beat, standing="alive")
            self._outgoing[self.me.address] = _OutgoingRumour(own, 0)

    # -- time --------------------------------------------------------------------

    def tick(self, now_s: float, *, makes_progress: bool) -> list[str]:
        """Update all standings, and return the addresses to send heartbeats to now.

        Parameters
        ----------
        now_s : float
            The time by this daemon's clock.
        makes_progress : bool
            Whether this daemon's own services make progress; if not, its beat does
            not increase.
        """
        self._tick += 1
        if makes_progress:
            self._beat += 1
        self._update_standings(now_s)
        targets = self._targets()
        for address in targets:
            member = self._known[address]
            if member.probed_since_s is None:
                self._set(member._replace(probed_since_s=now_s))
        return targets

    def _update_standings(self, now_s: float) -> None:
        for address in sorted(self._dead):
            self._forget_if_old(address, self._known[address], now_s)
        for address in sorted(self._probed):
            self._update_probed(self._known[address], now_s)

    def _update_probed(self, member: MemberRecord, now_s: float) -> None:
        if member.probed_since_s is None:
            return
        silent_s = now_s - max(member.probed_since_s, member.beat_s)
        if silent_s >= DEAD_AFTER_S:
            self._mark_dead(member, now_s)
        elif silent_s >= SUSPECT_AFTER_S and member.standing == "alive":
            self._set(member._replace(standing="suspected"))
            self._queue_rumour(member.identity.address)

    def _mark_dead(self, member: MemberRecord, now_s: float) -> None:
        self._set(
            member._replace(
                standing="dead", damping=damping_after_change(member.damping, now_s)
            )
        )
        self._queue_rumour(member.identity.address)

    def _forget_if_old(self, address: str, member: MemberRecord, now_s: float) -> None:
        if not member.is_listed and now_s - member.beat_s > FORGET_AFTER_S:
            del self._known[address]
            self._outgoing.pop(address, None)
            self._dead.discard(address)
            self._probed.discard(address)
            self._ring = None

    def _targets(self) -> list[str]:
        chosen = self._ring_peers()
        centre = self._centre_peer()
        if centre is not None:
            chosen.append(centre)
        if self._to_verify:
            chosen.append(self._to_verify.pop(0))
        if self._tick % DEAD_PROBE_PERIOD_TICKS == 0:
            chosen += self._dead_peer()
        return [item for item in dict.fromkeys(chosen) if item in self._known]

    def _ring_peers(self) -> list[str]:
        return list(self._ring_order().following)

    def _ring_order(self) -> Ring:
        if self._ring is None:
            centre_of = {
                address: member.identity.data_centre
                for address, member in self._known.items()
                if address not in self._dead
            }
            self._ring = make_ring(self.me.address, centre_of)
        return self._ring

    def _centre_peer(self) -> str | None:
        centres = self._ring_order().centres
        if not centres:
            return None
        peers = centres[self._tick % len(centres)]
        # A different peer in each round, so that one unresponsive peer does not cut off
        # the data centre.
        return peers[self._tick // len(centres) % len(peers)]

    def _dead_peer(self) -> list[str]:
        dead = sorted(self._dead)
        if not dead:
            return []
        return [dead[self._tick // DEAD_PROBE_PERIOD_TICKS % len(dead)]]

    # -- output ------------------------------------------------------------------

    @property
    def beat(self) -> int:
        """Return this daemon's own beat."""
        return self._beat

    def rumours(self) -> tuple[Rumour, ...]:
        """Return the rumours for one heartbeat, the least often sent first."""
        max_sends = 3 + math.ceil(math.log2(len(self._known) + 2))
        order = sorted(self._outgoing.items(), key=lambda item: item[1].sends)
        chosen = order[:MAX_RUMOURS]
        for address, item in chosen:
            if item.sends + 1 >= max_sends:
                del self._outgoing[address]
            else:
                self._outgoing[address] = item._replace(sends=item.sends + 1)
        return tuple(item.rumour for _, item in chosen)

    def peer_hints(self) -> tuple[PeerHint, ...]:
        """Return a few other daemons, rotating through all of them."""
        ring = self._ring_order().order
        if not ring:
            return ()
        start = self._tick * MAX_PEERS % len(ring)
        chosen = (ring[start:] + ring[:start])[:MAX_PEERS]
        return tuple(
            PeerHint(item, self._known[item].identity.data_centre) for item in chosen
        )

    # -- queries -----------------------------------------------------------------

    def members(self, now_s: float) -> tuple[Identity, ...]:
        """Return the daemons that may be assigned work, including this one."""
        others = [
            member.identity
            for member in self._known.values()
            if member.standing != "dead"
            and not member.is_leaving
            and member.identity.incarnation
            and not is_damped(member.damping, now_s)
        ]
        return (self.me, *others)

    def known(self) -> tuple[MemberRecord, ...]:
        """Return the records of all other daemons, for the status page."""
        return tuple(self._known.values())

    def data_centres(self) -> frozenset[str]:
        """Return the data centres of other daemons that are not dead."""
        return self._ring_order().names

    def ended_since_s(self, address: str, incarnation: str) -> float | None:
        """Return since when an incarnation is known to have ended; None if it is not.

        It has ended when its address replies as another incarnation. It also counts as
        ended `LIST_GONE_S` after the platform stopped listing its VM, if it is dead or
        unknown here; the returned time may then still be in the future.
        """
        if (address, incarnation) == (self.me.address, self.me.incarnation):
            return None
        if address == self.me.address:
            return self._started_s
        self._queried.add(address)
        member = self._known.get(address)
        if member is not None and member.direct_s > float("-inf"):
            if member.identity.incarnation != incarnation:
                return member.since_s
        missing_s = self._missing_since_s.get(address)
        is_silent = member is None or member.standing == "dead"
        if missing_s is not None and is_silent:
            return missing_s + LIST_GONE_S
        return None

    # -- bookkeeping -------------------------------------------------------------

    def _add(self, identity: Identity, now_s: float) -> MemberRecord:
        member = MemberRecord(identity, beat_s=now_s, since_s=now_s)
        self._set(member)
        return member

    def _set(self, member: MemberRecord) -> None:
        address = member.identity.address
        before = self._known.get(address)
        is_dead = member.standing == "dead"
        centre = member.identity.data_centre
        if before is None or (address in self._dead) != is_dead:
            self._ring = None
        elif before.identity.data_centre != centre:
            self._ring = None
        self._known[address] = member
        _set_contained(self._dead, address, is_in=is_dead)
        is_probed = member.probed_since_s is not None and not is_dead
        _set_contained(self._probed, address, is_in=is_probed)

    def _queue_rumour(self, address: str) -> None:
        member = self._known[address]
        if not member.identity.incarnation:
            return
        rumour = Rumour(*member.identity, beat=member.beat, standing=member.standing)
        self._outgoing[address] = _OutgoingRumour(rumour, 0)


def _set_contained(members: set[str], name: str, *, is_in: bool) -> None:
    if is_in:
        members.add(name)
    else:
        members.discard(name)
