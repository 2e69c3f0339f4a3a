"""Decides which control daemons are alive, from heartbeats to a bounded few.

Each daemon sends heartbeats to the next ones on a ring and to one of each data
centre in turn. A daemon lives while its beat grows, and the beat grows only while
its services make progress. What one sees, the others learn as rumours: a higher
beat always refutes a suspicion, whichever way it came, so that a cut between two
daemons does not make either dead while a third hears both.
"""

import math
from collections.abc import Iterable
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.flapping import add_change, is_damped
from _pistachiopond.decisions.member_ring import Ring, make_ring
from _pistachiopond.decisions.member_types import Identity, Known, ListedDaemon
from _pistachiopond.schema.heartbeat import (
    MAX_PEERS,
    MAX_RUMOURS,
    Heartbeat,
    PeerHint,
    Rumour,
)

SUSPECT_AFTER_S: Final = 3.0
DEAD_AFTER_S: Final = 7.0
DIRECT_EVIDENCE_S: Final = 3.0
LIST_GONE_S: Final = 60.0
FORGET_AFTER_S: Final = 120.0
DEAD_PROBE_PERIOD_TICKS: Final = 5


class _Spread(NamedTuple):
    rumour: Rumour
    sends: int


@final
class Fleet:
    """One daemon's knowledge of all the others."""

    def __init__(
        self, me: Identity, first_peers: Iterable[str], started_s: float
    ) -> None:
        self.me = me
        self._started_s = started_s
        self._known: dict[str, Known] = {}
        self._spread: dict[str, _Spread] = {}
        self._missing_since_s: dict[str, float] = {}
        self._asked_about: set[str] = set()
        self._tick = 0
        self._beat = 0
        self._ring: Ring | None = None
        self._probed: set[str] = set()
        self._dead: set[str] = set()
        self._to_check: list[str] = []
        for address in first_peers:
            if address != me.address:
                self._add(Identity(address, "", ""), started_s)

    # -- what comes in -----------------------------------------------------------

    def take_list(self, listed: Iterable[ListedDaemon], now_s: float) -> None:
        """Take the platform's list; it may lag behind the truth."""
        by_address = {item.address: item for item in listed}
        for address, item in by_address.items():
            if address == self.me.address:
                continue
            known = self._known.get(address)
            if known is None:
                known = self._add(Identity(address, item.data_centre, ""), now_s)
            identity = known.identity
            if not identity.data_centre:
                identity = identity._replace(data_centre=item.data_centre)
            self._set(
                known._replace(
                    identity=identity, is_listed=True, is_leaving=item.is_leaving
                )
            )
        for address, known in list(self._known.items()):
            if address not in by_address and known.is_listed:
                self._set(known._replace(is_listed=False))
        self._note_missing(by_address.keys(), now_s)

    def _note_missing(self, present: Iterable[str], now_s: float) -> None:
        present = set(present)
        for address in self._asked_about | self._known.keys():
            if address in present:
                self._missing_since_s.pop(address, None)
            else:
                self._missing_since_s.setdefault(address, now_s)

    def take_heartbeat(self, heartbeat: Heartbeat, now_s: float) -> None:
        """Take a heartbeat, or the answer to one."""
        if heartbeat.address == self.me.address:
            return
        self._hear(
            Identity(heartbeat.address, heartbeat.data_centre, heartbeat.incarnation),
            heartbeat.beat,
            now_s,
        )
        for rumour in heartbeat.rumours[:MAX_RUMOURS]:
            self._take_rumour(rumour, now_s)
        for hint in heartbeat.peers[:MAX_PEERS]:
            if hint.address not in self._known and hint.address != self.me.address:
                self._add(Identity(hint.address, hint.data_centre, ""), now_s)

    def _hear(self, identity: Identity, beat: int, now_s: float) -> None:
        known = self._known.get(identity.address)
        if known is None:
            known = self._add(identity, now_s)
        if known.identity.incarnation != identity.incarnation:
            known = self._restart(known, identity, now_s)
        if beat <= known.beat:
            return
        self._set(known._replace(direct_s=now_s))
        self._rise(identity.address, beat, now_s)

    def _restart(self, known: Known, identity: Identity, now_s: float) -> Known:
        fresh = known._replace(
            identity=identity, beat=0, since_s=now_s, direct_s=float("-inf")
        )
        self._set(fresh)
        return fresh

    def _rise(self, address: str, beat: int, now_s: float) -> None:
        known = self._known[address]
        was = known.standing
        damping = known.damping
        if was == "dead":
            damping = add_change(damping, now_s)
        news = was != "alive" or known.beat == 0
        self._set(
            known._replace(
                beat=beat,
                beat_s=now_s,
                standing="alive",
                probed_since_s=None,
                damping=damping,
            )
        )
        if news:
            self._tell(address)

    def _take_rumour(self, rumour: Rumour, now_s: float) -> None:
        if rumour.address == self.me.address:
            self._refute(rumour)
            return
        known = self._known.get(rumour.address)
        if known is None:
            if rumour.standing == "dead":
                return
            identity = Identity(rumour.address, rumour.data_centre, rumour.incarnation)
            known = self._add(identity, now_s)
        if rumour.incarnation > known.identity.incarnation:
            identity = Identity(rumour.address, rumour.data_centre, rumour.incarnation)
            known = self._restart(known, identity, now_s)
        if rumour.incarnation != known.identity.incarnation:
            return
        self._weigh(rumour, known, now_s)

    def _weigh(self, rumour: Rumour, known: Known, now_s: float) -> None:
        if rumour.beat > known.beat and rumour.standing == "alive":
            self._rise(rumour.address, rumour.beat, now_s)
            return
        if rumour.standing == "alive" or rumour.standing == known.standing:
            return
        hears_it = now_s - known.direct_s <= DIRECT_EVIDENCE_S
        if rumour.beat < known.beat or hears_it:
            self._tell(rumour.address)
        elif rumour.standing == "dead":
            self._die(known._replace(beat=rumour.beat), now_s)
        elif rumour.address not in self._to_check:
            self._to_check.append(rumour.address)

    def _refute(self, rumour: Rumour) -> None:
        is_about_me = rumour.incarnation == self.me.incarnation
        if is_about_me and rumour.standing != "alive" and rumour.beat <= self._beat:
            own = Rumour(*self.me, beat=self._beat, standing="alive")
            self._spread[self.me.address] = _Spread(own, 0)

    # -- time --------------------------------------------------------------------

    def tick(self, now_s: float, *, makes_progress: bool) -> list[str]:
        """Let time pass, and return whom to send a heartbeat now.

        Parameters
        ----------
        now_s : float
            By this daemon's clock.
        makes_progress : bool
            Whether this daemon's own services do; its beat stands still otherwise.
        """
        self._tick += 1
        if makes_progress:
            self._beat += 1
        self._judge(now_s)
        targets = self._targets()
        for address in targets:
            known = self._known[address]
            if known.probed_since_s is None:
                self._set(known._replace(probed_since_s=now_s))
        return targets

    def _judge(self, now_s: float) -> None:
        for address in sorted(self._dead):
            self._maybe_forget(address, self._known[address], now_s)
        for address in sorted(self._probed):
            self._judge_probed(self._known[address], now_s)

    def _judge_probed(self, known: Known, now_s: float) -> None:
        if known.probed_since_s is None:
            return
        silent_s = now_s - max(known.probed_since_s, known.beat_s)
        if silent_s >= DEAD_AFTER_S:
            self._die(known, now_s)
        elif silent_s >= SUSPECT_AFTER_S and known.standing == "alive":
            self._set(known._replace(standing="suspected"))
            self._tell(known.identity.address)

    def _die(self, known: Known, now_s: float) -> None:
        self._set(
            known._replace(standing="dead", damping=add_change(known.damping, now_s))
        )
        self._tell(known.identity.address)

    def _maybe_forget(self, address: str, known: Known, now_s: float) -> None:
        if not known.is_listed and now_s - known.beat_s > FORGET_AFTER_S:
            del self._known[address]
            self._spread.pop(address, None)
            self._dead.discard(address)
            self._probed.discard(address)
            self._ring = None

    def _targets(self) -> list[str]:
        chosen = self._ring_peers()
        centre = self._centre_peer()
        if centre is not None:
            chosen.append(centre)
        if self._to_check:
            chosen.append(self._to_check.pop(0))
        if self._tick % DEAD_PROBE_PERIOD_TICKS == 0:
            chosen += self._one_dead()
        return [item for item in dict.fromkeys(chosen) if item in self._known]

    def _ring_peers(self) -> list[str]:
        return list(self._ring_order().following)

    def _ring_order(self) -> Ring:
        if self._ring is None:
            centre_of = {
                address: known.identity.data_centre
                for address, known in self._known.items()
                if address not in self._dead
            }
            self._ring = make_ring(self.me.address, centre_of)
        return self._ring

    def _centre_peer(self) -> str | None:
        centres = self._ring_order().centres
        if not centres:
            return None
        peers = centres[self._tick % len(centres)]
        # Another one each time round, so that one deaf peer hides nothing.
        return peers[self._tick // len(centres) % len(peers)]

    def _one_dead(self) -> list[str]:
        dead = sorted(self._dead)
        if not dead:
            return []
        return [dead[self._tick // DEAD_PROBE_PERIOD_TICKS % len(dead)]]

    # -- what goes out -----------------------------------------------------------

    @property
    def beat(self) -> int:
        """Return this daemon's own beat."""
        return self._beat

    def rumours(self) -> tuple[Rumour, ...]:
        """Return the news for one heartbeat, the least told first."""
        limit = 3 + math.ceil(math.log2(len(self._known) + 2))
        order = sorted(self._spread.items(), key=lambda item: item[1].sends)
        chosen = order[:MAX_RUMOURS]
        for address, item in chosen:
            if item.sends + 1 >= limit:
                del self._spread[address]
            else:
                self._spread[address] = item._replace(sends=item.sends + 1)
        return tuple(item.rumour for _, item in chosen)

    def peer_hints(self) -> tuple[PeerHint, ...]:
        """Return a few other daemons, others each time."""
        ring = self._ring_order().order
        if not ring:
            return ()
        start = self._tick * MAX_PEERS % len(ring)
        chosen = (ring[start:] + ring[:start])[:MAX_PEERS]
        return tuple(
            PeerHint(item, self._known[item].identity.data_centre) for item in chosen
        )

    # -- what others ask ---------------------------------------------------------

    def members(self, now_s: float) -> tuple[Identity, ...]:
        """Return the daemons that may be given work, this one included."""
        others = [
            known.identity
            for known in self._known.values()
            if known.standing != "dead"
            and not known.is_leaving
            and known.identity.incarnation
            and not is_damped(known.damping, now_s)
        ]
        return (self.me, *others)

    def known(self) -> tuple[Known, ...]:
        """Return all that is known, for status."""
        return tuple(self._known.values())

    def data_centres(self) -> frozenset[str]:
        """Return where other daemons that are not dead stand."""
        return self._ring_order().names

    def gone_since_s(self, address: str, incarnation: str) -> float | None:
        """Return since when an incarnation is known to be gone for good, if so.

        Its address answers as another incarnation, or the platform has not listed
        its VM for `LIST_GONE_S` and nobody hears it.
        """
        if (address, incarnation) == (self.me.address, self.me.incarnation):
            return None
        if address == self.me.address:
            return self._started_s
        self._asked_about.add(address)
        known = self._known.get(address)
        if known is not None and known.direct_s > float("-inf"):
            if known.identity.incarnation != incarnation:
                return known.since_s
        missing_s = self._missing_since_s.get(address)
        is_silent = known is None or known.standing == "dead"
        if missing_s is not None and is_silent:
            return missing_s + LIST_GONE_S
        return None

    # -- keeping -----------------------------------------------------------------

    def _add(self, identity: Identity, now_s: float) -> Known:
        known = Known(identity, beat_s=now_s, since_s=now_s)
        self._set(known)
        return known

    def _set(self, known: Known) -> None:
        address = known.identity.address
        before = self._known.get(address)
        is_dead = known.standing == "dead"
        centre = known.identity.data_centre
        if before is None or (address in self._dead) != is_dead:
            self._ring = None
        elif before.identity.data_centre != centre:
            self._ring = None
        self._known[address] = known
        _put(self._dead, address, is_in=is_dead)
        is_probed = known.probed_since_s is not None and not is_dead
        _put(self._probed, address, is_in=is_probed)

    def _tell(self, address: str) -> None:
        known = self._known[address]
        if not known.identity.incarnation:
            return
        rumour = Rumour(*known.identity, beat=known.beat, standing=known.standing)
        self._spread[address] = _Spread(rumour, 0)


def _put(members: set[str], name: str, *, is_in: bool) -> None:
    if is_in:
        members.add(name)
    else:
        members.discard(name)
