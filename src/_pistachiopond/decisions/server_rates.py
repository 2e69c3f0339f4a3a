"""Keeps servers within the rate of requests that they name for all VMs together.

Load that this answers: a server in need names a rate of a few requests a second, for as
long as it says so, while callers of all VMs go on sending as before. An equal part of
such a rate is less than one request a minute at a VM of a large fleet, and one request
at once from each VM is more than the server takes in minutes.

So the leader deals single places in time: a VM asks for each request that no other
server takes, and gets a server and the time to send. What was dealt lapses soon, so a
VM that was delayed or paused does not use it later. A VM without a leader sends in
times of its own, of which the VMs together have a small part of the rate.

A server that has just started, or whose caches are lost, is cold: it takes the rate
that the configuration states for its service until a time that is known beforehand.
After a release, or when a data centre comes back, all servers of a service are cold at
once. Their places are dealt in the same way, and the limit ends with the cold phase.
"""

import math
import random
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.place_shares import PlaceGroup, PlaceShares
from _pistachiopond.schema.deployment import Incarnation

# A server that names a lower rate, 0 included, still gets this one: only its answers
# tell that it no longer names a rate.
MIN_RATE_PER_S: Final = 0.05
# Above this rate, a message for each request would cost the leader more than the rate
# protects. Such a server is bounded by its slots.
MAX_RATE_PER_S: Final = 500.0
# When a server no longer names a rate, its rate doubles in this time, until it is more
# than callers send to one server.
RISE_DOUBLING_S: Final = 0.5
RISE_S: Final = 3.0
# The part of a rate that a leader deals while a predecessor may still deal all of it,
# and the part that VMs without a leader take. With the whole rate they make up less
# than operators tolerate, 1.5 times the rate.
UNPROVED_SHARE: Final = 0.3
LEADERLESS_SHARE: Final = 0.15
# Places that were not used, of a server's rate, that may be used at once.
MAX_SAVED_PLACES: Final = 1.0
# A place is usable for this time. Longer than a connection takes to be opened.
PLACE_VALID_S: Final = 0.3
# A new leader or a newly named rate deals its first place after a place's time, but at
# most so much later.
MAX_FIRST_PLACE_S: Final = 2.0
# A less urgent request may wait for a shorter time, so that under overload the more
# urgent ones get the places, unless its rank has had none for this time.
STARVED_S: Final = 3.0
# Callers that are refused are told to come back one after the other, but after no
# longer than this.
MAX_RETURN_S: Final = 3.0
# A server whose answers this VM has not seen for this time gets a place also while
# others take the request, to find out whether it still names a rate.
RECHECK_S: Final = 2.0
# How long the times of a server are kept after the last place.
MEMORY_S: Final = 60.0
# The window in which a VM without a leader may send one request.
OWN_WINDOW_S: Final = 0.5
# Bound on the servers whose last own time is remembered.
MAX_USED: Final = 1_000
# Operators tolerate 5 requests a second at a cold server beyond 1.5 times its rate. VMs
# without a leader take some of them, on top of their part of the rate, but together no
# more than this part of it. With 0.3, places of two leaders and of VMs without one,
# all used late, came to 30 requests in a second at a rate of 16, and 29 are allowed.
COLD_OWN_EXTRA_PER_S: Final = 0.8
MAX_COLD_OWN_SHARE: Final = 0.2
# A server that says that it stays cold for longer is asked again.
MAX_COLD_S: Final = 60.0
# The end of a cold phase is told to other VMs again when it moves by more than this:
# more than the delays with which entries are read, less than the time between two
# entries, so that a server which stays cold is followed.
COLD_MOVE_S: Final = 0.6


class _Named(NamedTuple):
    per_s: float
    ended_s: float | None
    heard_s: float


class _Cold(NamedTuple):
    service: str
    until_s: float
    is_assumed: bool


def no_cold_rate(service: str) -> float:
    """Return that being cold does not matter for the service's servers."""
    return 0.0


@final
class NamedRates:
    """The rates that servers name in their answers, by incarnation.

    A server that is cold has the rate of its service until its cold phase ends. If it
    names a rate as well, the lower one holds.

    Attributes
    ----------
    cold_rate_per_s : callable
        Returns the requests per second that a cold server of a service takes; 0 if
        being cold does not matter.
    """

    def __init__(self) -> None:
        self._rates: dict[Incarnation, _Named] = {}
        self._cold: dict[Incarnation, _Cold] = {}
        self.cold_rate_per_s: Callable[[str], float] = no_cold_rate

    def record(
        self, incarnation: Incarnation, rate_per_s: float | None, now_s: float
    ) -> bool:
        """Record the rate in an answer, or in a message of another VM.

        Parameters
        ----------
        incarnation : tuple of (str, int)
            The server's name and start time.
        rate_per_s : float or None
            The requests per second; None if the answer names no rate.
        now_s : float
            The time in seconds.

        Returns
        -------
        bool
            Whether this is new.
        """
        known = self._rates.get(incarnation)
        if rate_per_s is None:
            if known is None or known.ended_s is not None:
                return False
            self._rates[incarnation] = known._replace(ended_s=now_s)
            return True
        self._rates[incarnation] = _Named(rate_per_s, None, now_s)
        return known is None or known[:2] != (rate_per_s, None)

    def record_cold(
        self,
        incarnation: Incarnation,
        service: str,
        remaining_s: float,
        now_s: float,
        *,
        can_end: bool = False,
        is_assumed: bool = False,
    ) -> bool:
        """Record for how much longer a server stays cold.

        Parameters
        ----------
        incarnation : tuple of (str, int)
            The server's name and start time.
        service : str
            The service that it runs.
        remaining_s : float
            The time from now on; at most `MAX_COLD_S` counts.
        now_s : float
            The time in seconds.
        can_end : bool
            Whether 0 ends a cold phase. An entry may have been written before an
            answer that said more.
        is_assumed : bool
            Whether the server has not said so itself. What it says replaces this.

        Returns
        -------
        bool
            Whether other VMs should be told. What does not matter by the configuration
            is recorded too, since the configuration may be read later.
        """
        matters = self.cold_rate_per_s(service) > 0.0
        until_s = now_s + min(MAX_COLD_S, max(0.0, remaining_s))
        known = self._cold.get(incarnation)
        if remaining_s <= 0.0 and (known is None or known.until_s <= now_s):
            return False
        if known is not None and until_s < known.until_s:
            is_over = can_end and remaining_s <= 0.0 and known.until_s > now_s
            if not is_over and (is_assumed or not known.is_assumed):
                return False
            self._cold[incarnation] = _Cold(service, until_s, is_assumed)
            return matters and (is_over or known.until_s - until_s > COLD_MOVE_S)
        self._cold[incarnation] = _Cold(service, until_s, is_assumed)
        is_moved = known is None or until_s - known.until_s > COLD_MOVE_S
        return matters and is_moved

    def cold_until_s(self, incarnation: Incarnation, now_s: float) -> float | None:
        """Return when the server's cold phase ends; None if it is not cold."""
        cold = self._cold.get(incarnation)
        if cold is None or now_s >= cold.until_s:
            return None
        return cold.until_s if self.cold_rate_per_s(cold.service) > 0.0 else None

    def limit_end_s(self, incarnation: Incarnation, now_s: float) -> float | None:
        """Return when all limits on the server's rate end, if that is known.

        None if the server names a rate, or has none.
        """
        if self._named_rate_per_s(incarnation, now_s) is not None:
            return None
        return self.cold_until_s(incarnation, now_s)

    def cold(self, now_s: float) -> dict[Incarnation, float]:
        """Return for how much longer each cold server stays cold."""
        return {
            incarnation: until_s - now_s
            for incarnation in self._cold
            if (until_s := self.cold_until_s(incarnation, now_s)) is not None
        }

    def is_empty(self) -> bool:
        """Return whether no server names a rate or is cold, or has been lately."""
        return not self._rates and not self._cold

    def is_unheard(self, incarnation: Incarnation, now_s: float) -> bool:
        """Return whether nothing has told this VM lately that the rate still holds."""
        named = self._rates.get(incarnation)
        return named is not None and now_s - named.heard_s >= RECHECK_S

    def is_limited(self, incarnation: Incarnation, now_s: float) -> bool:
        """Return whether requests to the server need a place."""
        return not self.is_empty() and self.rate_per_s(incarnation, now_s) is not None

    def rate_per_s(self, incarnation: Incarnation, now_s: float) -> float | None:
        """Return the rate in force; None if there is none.

        After the server has ceased to name its rate, it rises until it ends. The rate
        of a cold server ends at once.
        """
        named_per_s = self._named_rate_per_s(incarnation, now_s)
        cold = self._cold.get(incarnation)
        if cold is None or now_s >= cold.until_s:
            return named_per_s
        cold_per_s = self.cold_rate_per_s(cold.service)
        if not 0.0 < cold_per_s <= MAX_RATE_PER_S:
            return named_per_s
        cold_per_s = max(MIN_RATE_PER_S, cold_per_s)
        return cold_per_s if named_per_s is None else min(cold_per_s, named_per_s)

    def _named_rate_per_s(self, incarnation: Incarnation, now_s: float) -> float | None:
        named = self._rates.get(incarnation)
        if named is None:
            return None
        per_s = max(MIN_RATE_PER_S, named.per_s)
        if named.ended_s is not None:
            elapsed_s = now_s - named.ended_s
            if elapsed_s >= RISE_S:
                return None
            per_s *= 2.0 ** (elapsed_s / RISE_DOUBLING_S)
        return per_s if per_s <= MAX_RATE_PER_S else None

    def named(self) -> dict[Incarnation, float]:
        """Return the rates that servers name at present."""
        return {
            incarnation: named.per_s
            for incarnation, named in self._rates.items()
            if named.ended_s is None
        }

    def statements(self) -> dict[Incarnation, float | None]:
        """Return what was recorded last of each server."""
        return {
            incarnation: named.per_s if named.ended_s is None else None
            for incarnation, named in self._rates.items()
        }

    def keep_only(self, present: Collection[Incarnation], now_s: float) -> None:
        """Drop rates of servers that have gone, and rates that have ended."""
        for incarnation, cold in list(self._cold.items()):
            if now_s >= cold.until_s or incarnation not in present:
                del self._cold[incarnation]
        for incarnation, named in list(self._rates.items()):
            has_ended = named.ended_s is not None and now_s - named.ended_s >= RISE_S
            if has_ended or incarnation not in present:
                del self._rates[incarnation]


class DealtPlace(NamedTuple):
    """The leader's reply to a request for a place.

    Attributes
    ----------
    server : tuple of (str, int) or None
        The server that the request may be sent to; None if the wait is too long.
    wait_s : float
        The time until then. Without a server, the time after which the caller may come
        back, or, for a request that does not wait, until there may be a place.
    """

    server: Incarnation | None
    wait_s: float


@final
class PlaceDealer:
    """The leader's schedule of requests to the servers that name a rate.

    Each server has the time of its next place, so the state is one number for each.
    """

    def __init__(self) -> None:
        self._next_s: dict[Incarnation, float] = {}
        self._dealt_s: dict[int, float] = {}
        self._return_s: dict[Incarnation, float] = {}
        self._shares = PlaceShares()

    def begin_cold(self, server: Incarnation, now_s: float) -> None:
        """Schedule the first place of a server that has become cold.

        It needs no wait: one request beyond the rate is within what cold servers take.
        """
        self._next_s.setdefault(server, now_s)

    def begin(self, server: Incarnation, rate_per_s: float, now_s: float) -> None:
        """Schedule the first place of a server that has begun to name a rate."""
        self._start_s(server, rate_per_s, now_s)

    def deal(
        self,
        rates: Mapping[Incarnation, float],
        most_s: float,
        rank: int,
        share: float,
        now_s: float,
        *,
        customer: str = "",
        cold: Collection[Incarnation] = (),
    ) -> DealtPlace:
        """Deal the first place of several servers.

        Parameters
        ----------
        rates : mapping of (str, int) to float
            The servers that can run the request, each with its rate per second.
        most_s : float
            The longest time that the request may wait.
        rank : int
            Its urgency, 0 for the most urgent.
        share : float
            The part of the rates to deal.
        now_s : float
            The time in seconds.
        customer : str
            The request's customer; empty if there is none.
        cold : collection of (str, int)
            The servers that are cold. Their places are divided among urgency ranks and
            customers, since a cold phase is too short to wait until it is over.
        """
        starts_s = {
            server: self._start_s(server, per_s * share, now_s)
            for server, per_s in rates.items()
        }
        group = PlaceGroup(rank, customer)
        first = min(starts_s, key=lambda server: starts_s[server])
        wait_s = max(0.0, starts_s[first] - now_s)
        period_s = 1.0 / (rates[first] * share)
        is_starved = now_s - self._dealt_s.setdefault(rank, now_s) >= STARVED_S
        if first in cold:
            limit_s = self._shares.longest_wait_s(group, most_s, now_s)
        else:
            limit_s = most_s if is_starved else most_s / (1.0 + max(0, rank))
        if wait_s > limit_s:
            if most_s <= 0.0:
                return DealtPlace(None, wait_s)
            # Callers that come back find a place each only one after the other.
            returns_s = max(starts_s[first], self._return_s.get(first, now_s))
            returns_s = min(now_s + MAX_RETURN_S, returns_s)
            self._return_s[first] = returns_s + period_s
            return DealtPlace(None, returns_s - now_s)
        self._dealt_s[rank] = now_s
        if first in cold:
            self._shares.count(group, now_s)
        self._next_s[first] = starts_s[first] + period_s
        return DealtPlace(first, wait_s)

    def charge(self, server: Incarnation, rate_per_s: float, now_s: float) -> None:
        """Count a message to a server that took no place, as an order."""
        start_s = self._start_s(server, rate_per_s, now_s)
        self._next_s[server] = start_s + 1.0 / rate_per_s

    def forget_old(self, now_s: float) -> None:
        """Drop servers for which nothing has been asked for some time."""
        for times in (self._next_s, self._return_s):
            for server, at_s in list(times.items()):
                if now_s - at_s > MEMORY_S:
                    del times[server]

    def _start_s(self, server: Incarnation, rate_per_s: float, now_s: float) -> float:
        """Return when the server's next place begins; in the past if one was saved."""
        period_s = 1.0 / rate_per_s
        next_s = self._next_s.setdefault(
            server, now_s + min(MAX_FIRST_PLACE_S, period_s)
        )
        return max(next_s, now_s - MAX_SAVED_PLACES * period_s)


@final
class OwnPlaces:
    """The times at which a VM without a leader may send a request to a server.

    Each VM draws where its times lie, so that those of all VMs are spread evenly. A
    time that was not used is lost, so what was saved by many VMs never adds up.
    """

    def __init__(self, rng: random.Random) -> None:
        self._drawn = rng.random()
        self._used_s: dict[Incarnation, float] = {}

    def next_s(
        self,
        server: Incarnation,
        rate_per_s: float,
        members: int,
        now_s: float,
        share: float = LEADERLESS_SHARE,
    ) -> float | None:
        """Return when this VM may send a request, now or later.

        Parameters
        ----------
        server : tuple of (str, int)
            The server's name and start time.
        rate_per_s : float
            Its rate, of all VMs together.
        members : int
            The number of VMs; 0 if it is not known, then there is no time.
        now_s : float
            The time in seconds.
        share : float
            The part of the rate that VMs without a leader take together.
        """
        if members <= 0:
            return None
        period_s = members / (rate_per_s * share)
        turn, since_s = divmod(now_s + self._drawn * period_s, period_s)
        if since_s >= min(OWN_WINDOW_S, period_s):
            turn += 1
        used_s = self._used_s.get(server)
        if used_s is not None:
            turn = max(turn, math.floor(used_s / period_s + self._drawn + 1e-9) + 1)
        return max(now_s, (turn - self._drawn) * period_s)

    def use(self, server: Incarnation, at_s: float) -> None:
        """Record that a request is sent at the time that `next_s` gave."""
        while len(self._used_s) >= MAX_USED:
            del self._used_s[next(iter(self._used_s))]
        self._used_s[server] = at_s


def cold_own_share(rate_per_s: float) -> float:
    """Return the part of a cold server's rate that VMs without a leader take."""
    share = LEADERLESS_SHARE + COLD_OWN_EXTRA_PER_S / rate_per_s
    return min(MAX_COLD_OWN_SHARE, share)


def first_own_place(
    own: OwnPlaces,
    rates: Mapping[Incarnation, float],
    members: int,
    most_s: float,
    now_s: float,
    cold: Collection[Incarnation] = (),
) -> DealtPlace:
    """Return this VM's first time at one of the servers, and use it.

    Parameters
    ----------
    own : OwnPlaces
        This VM's times.
    rates, most_s, now_s, cold
        As in `PlaceDealer.deal`.
    members : int
        As in `OwnPlaces.next_s`.
    """
    found: Sequence[tuple[float, Incarnation]] = [
        (next_s, server)
        for server, per_s in rates.items()
        if (
            next_s := own.next_s(
                server,
                per_s,
                members,
                now_s,
                cold_own_share(per_s) if server in cold else LEADERLESS_SHARE,
            )
        )
        is not None
    ]
    if not found:
        return DealtPlace(None, MAX_FIRST_PLACE_S)
    at_s, server = min(found)
    if at_s - now_s > most_s:
        return DealtPlace(None, at_s - now_s)
    own.use(server, at_s)
    return DealtPlace(server, at_s - now_s)
