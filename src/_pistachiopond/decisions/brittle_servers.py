"""Keeps the requests that brittle servers must turn away below the servers' limit.

Load that this answers: at times the servers of a service announce that they crash if
they have to turn away more than a few requests within a second, while fewer requests
than usual may wait there. Callers send more than the service can run, or the requests
of all VMs that see a free slot in the same old report arrive there together.

VMs know the load of their peers only as of the last report, so each keeps to a share of
the service's slots: what it uses on average, and its part of what nobody uses. The sum
of the shares is the service's target, whatever the demand. Requests beyond the share
wait at the VM, or are refused there.
"""

import math
import random
from collections.abc import Sequence
from typing import Final, NamedTuple, final

from _pistachiopond.schema.deployment import Incarnation

# The target for the requests in progress at a server is its slots less this multiple of
# the standard deviation of that number. The second is for requests that last longer
# than a report period, so that VMs learn of the others' requests in time.
HEADROOM_DEVIATIONS: Final = 0.8
SEEN_HEADROOM_DEVIATIONS: Final = 0.6
# With a lower limit the headroom is larger: by this share, divided by the limit.
LIMIT_HEADROOM: Final = 1.5
# The target for a server is at most this multiple of its average load plus this part of
# its full target. So a server that has crashed, which runs nothing but is registered
# for some time, does not add to the load of the others, and one that has started gets
# more requests gradually.
MAX_GROWTH: Final = 2.0
MIN_TARGET_SHARE: Final = 0.25
# Each VM's part of a server is a whole number of requests and a fraction, for which it
# has one more request for a part of the time. The variance of that is 1/4 at most.
MAX_VARIANCE_PER_VM: Final = 0.25
# Time constant of the averages of load, in report periods, and its minimum in seconds.
AVERAGE_PERIODS: Final = 2.5
MIN_AVERAGE_S: Final = 0.5
# Time constant of the mean duration of requests, of which a VM may have one a second.
DURATION_AVERAGE_S: Final = 10.0
# The part of each share that is divided equally again at each reply, so that a VM whose
# demand rises gets as much as the others.
REDIVIDED_SHARE: Final = 0.25
# Peers' load older than this many report periods, or the minimum in seconds, is not
# used; each VM then keeps to an equal share.
MAX_LOAD_AGE_PERIODS: Final = 3.0
MIN_MAX_LOAD_AGE_S: Final = 1.5
# If all VMs are refused repeatedly, their pauses keep the refusals per second at this
# share of the server's limit.
REFUSAL_SHARE: Final = 0.5
MIN_REFUSAL_PAUSE_S: Final = 0.5
# With the most VMs and a limit of one request a second.
MAX_REFUSAL_PAUSE_S: Final = 600.0
# Pauses are spread by this share of their length, so that they do not end together.
PAUSE_SPREAD: Final = 0.5
# A server that takes no connection or does not answer is left out for this time.
UNREACHABLE_PAUSE_S: Final = 1.0
# A server that has started gets its full part of the requests after this time.
RAMP_S: Final = 3.0
# How long a service counts as brittle after its last brittle server is gone, longer
# than a server needs to restart.
SERVICE_MEMORY_S: Final = 20.0
# Bounds on the time until a request that waits for a place looks again.
MIN_CHECK_S: Final = 0.01
MAX_CHECK_S: Final = 0.1


class ServerState(NamedTuple):
    """A server of a brittle service, and the load that this VM knows of.

    Attributes
    ----------
    incarnation : tuple of (str, int)
        The server's name and start time.
    slots : int
        The number of requests that it runs concurrently.
    own_load : int
        The requests of this VM in progress there.
    peer_load : int
        The requests of all other VMs, as of the leader's last reply.
    """

    incarnation: Incarnation
    slots: int
    own_load: int
    peer_load: int


def target_load(slots: int, member_count: int, limit: float, *, is_seen: bool) -> float:
    """Return the number of requests in progress that all VMs together aim at.

    Parameters
    ----------
    slots : int
        The number of requests that the server runs concurrently.
    member_count : int
        The number of VMs.
    limit : float
        The refusals within a second beyond which the server crashes.
    is_seen : bool
        Whether requests last longer than a report period.
    """
    deviations = SEEN_HEADROOM_DEVIATIONS if is_seen else HEADROOM_DEVIATIONS
    deviations *= 1.0 + LIMIT_HEADROOM / max(1.0, limit)
    # Requests of many VMs that have a small part each arrive at random.
    variance = min(float(slots), MAX_VARIANCE_PER_VM * member_count)
    return max(0.5 * slots, slots - deviations * math.sqrt(variance))


def refusal_pause_s(limit: float, member_count: int, drawn: float) -> float:
    """Return for how long a VM sends nothing to a server after one refusal.

    Parameters
    ----------
    limit : float
        The refusals within a second beyond which the server crashes.
    member_count : int
        The number of VMs.
    drawn : float
        A random number from 0 to 1.
    """
    pause_s = member_count / max(REFUSAL_SHARE, limit * REFUSAL_SHARE)
    return _spread(min(MAX_REFUSAL_PAUSE_S, pause_s), drawn)


def _spread(pause_s: float, drawn: float) -> float:
    return pause_s * (1.0 + PAUSE_SPREAD * (drawn - 0.5))


class _Notice(NamedTuple):
    limit: float | None
    since_s: float


@final
class BrittleNotices:
    """Which servers have announced that they are brittle.

    A server that has not answered since another one of its service announced it counts
    as brittle too, since the servers of a service are brittle at the same time.
    """

    def __init__(self) -> None:
        self._by_server: dict[str, dict[Incarnation, _Notice]] = {}
        self._by_service: dict[str, _Notice] = {}

    def record(
        self, service: str, incarnation: Incarnation, limit: float | None, now_s: float
    ) -> bool:
        """Record what an answer of a server says; return whether that is a change.

        Parameters
        ----------
        service : str
            The server's service.
        incarnation : tuple of (str, int)
            The server's name and start time.
        limit : float or None
            The refusals within a second beyond which the server crashes; None if the
            answer does not announce it as brittle.
        now_s : float
            The time in seconds.
        """
        servers = self._by_server.get(service)
        if servers is None:
            if limit is None:
                return False
            servers = self._by_server[service] = {}
        before = servers.get(incarnation)
        servers[incarnation] = _Notice(limit, now_s)
        if limit is not None:
            self._by_service[service] = _Notice(limit, now_s)
        elif all(notice.limit is None for notice in servers.values()):
            del self._by_server[service]
            del self._by_service[service]
        return (None if before is None else before.limit) != limit

    def limit_of(self, service: str, incarnation: Incarnation) -> float | None:
        """Return the limit that holds for a server, or None if it is not brittle."""
        of_service = self._by_service.get(service)
        if of_service is None:
            return None
        own = self._by_server[service].get(incarnation)
        return of_service.limit if own is None else own.limit

    def services(self) -> dict[str, float]:
        """Return the services with brittle servers, with their newest limit."""
        return {
            service: notice.limit
            for service, notice in self._by_service.items()
            if notice.limit is not None
        }

    def announced(self) -> set[Incarnation]:
        """Return the servers whose last answer announced them as brittle."""
        return {
            incarnation
            for servers in self._by_server.values()
            for incarnation, notice in servers.items()
            if notice.limit is not None
        }

    def keep_only(self, present: set[Incarnation], now_s: float) -> None:
        """Drop the servers that are gone.

        A service is remembered as brittle for some time after the last of its brittle
        servers, which is mostly back then.
        """
        for service, servers in list(self._by_server.items()):
            for incarnation in [item for item in servers if item not in present]:
                del servers[incarnation]
            is_announced = any(notice.limit is not None for notice in servers.values())
            since_s = self._by_service[service].since_s
            if not is_announced and now_s - since_s >= SERVICE_MEMORY_S:
                del self._by_server[service]
                del self._by_service[service]


@final
class ServiceShare:
    """The share that one VM has of the slots of one brittle service."""

    def __init__(self, own_load: int, now_s: float, rng: random.Random) -> None:
        """Start with the load at present.

        Parameters
        ----------
        own_load : int
            The requests of this VM in progress at the service's servers.
        now_s : float
            The time in seconds.
        rng : random.Random
            Draws when this VM may send, where its share is less than one request.
        """
        self._rng = rng
        self._own_load = own_load
        self._own_average = float(own_load)
        self._updated_s = now_s
        self._total_average: float | None = None
        self._total_s = now_s
        self._target = 0.0
        self._server_targets: dict[Incarnation, float] = {}
        self._members = 1
        self._limit = 1.0
        self._period_s = 0.0
        self._share = 0.0
        # Place-seconds used and requests ended, both decaying.
        self._used_s = 0.0
        self._ended = 0.0
        self._credit_s = 0.0
        self._server_averages: dict[Incarnation, float] = {}
        self._open: dict[Incarnation, float] = {}
        self._first_seen_s: dict[Incarnation, float] = {}
        self._paused_until_s: dict[Incarnation, float] = {}
        # Servers that have run no request of this VM since they refused one, or did not
        # answer one. They get one at a time.
        self._probed: set[Incarnation] = set()

    # Updates.

    def set_limit(self, limit: float) -> None:
        """Set the refusals within a second beyond which the servers crash."""
        self._limit = limit

    def request_started(self, now_s: float) -> None:
        """Count a request that is sent."""
        self._advance(now_s)
        if self._own_load >= math.floor(self._usable_share(now_s)):
            self._credit_s -= self.duration_s()
        self._own_load += 1

    def request_ended(self, incarnation: Incarnation, now_s: float) -> None:
        """Stop counting a request that a server has run."""
        self._stop_counting(now_s)
        self._probed.discard(incarnation)
        self._ended += 1.0

    def request_given_up(self, incarnation: Incarnation, now_s: float) -> None:
        """Stop counting a request that a server did not answer in time.

        The server may have refused it, or may do so later.
        """
        self._stop_counting(now_s)
        self._pause_unreachable(incarnation, now_s)
        self._probed.add(incarnation)
        self._ended += 1.0

    def request_refused(
        self, incarnation: Incarnation, limit: float, now_s: float
    ) -> float:
        """Record that a server turned a request away.

        Returns the time until this VM sends to the server again, in seconds.
        """
        self._stop_counting(now_s)
        self._lose_place()
        drawn = self._rng.random()
        pause_s = refusal_pause_s(limit, self._members, drawn)
        # Requests sent before the first refusal arrives may all be refused, and each
        # counts towards the server's limit.
        begins_s = max(now_s, self._paused_until_s.get(incarnation, now_s))
        until_s = max(
            begins_s + min(pause_s, 1.0 / max(1.0, limit)),
            now_s + max(pause_s, _spread(MIN_REFUSAL_PAUSE_S, drawn)),
        )
        self._paused_until_s[incarnation] = until_s
        self._probed.add(incarnation)
        return until_s - now_s

    def request_failed(self, incarnation: Incarnation, now_s: float) -> None:
        """Record that a server took no connection, or broke it; it may have crashed."""
        self._stop_counting(now_s)
        self._lose_place()
        self._own_average = max(0.0, self._own_average - 1.0)
        self._pause_unreachable(incarnation, now_s)

    def _pause_unreachable(self, incarnation: Incarnation, now_s: float) -> None:
        until_s = now_s + _spread(UNREACHABLE_PAUSE_S, self._rng.random())
        known_s = self._paused_until_s.get(incarnation, until_s)
        self._paused_until_s[incarnation] = max(until_s, known_s)

    def request_withdrawn(self, now_s: float) -> None:
        """Stop counting a request that says nothing about the server.

        It was not sent after all, or its caller left before an answer was due.
        """
        self._stop_counting(now_s)

    def _stop_counting(self, now_s: float) -> None:
        self._advance(now_s)
        self._own_load = max(0, self._own_load - 1)

    def _lose_place(self) -> None:
        """Leave the place unused until the next reply.

        The requests of a crashed server must not move to the others at once.
        """
        self._share = max(0.0, self._share - 1.0)

    def set_load(
        self,
        servers: Sequence[ServerState],
        member_count: int,
        period_s: float,
        now_s: float,
    ) -> None:
        """Apply the load as of a reply of the leader.

        Parameters
        ----------
        servers : list of ServerState
            The service's servers that take requests.
        member_count : int
            The number of VMs.
        period_s : float
            The time between two replies.
        now_s : float
            The time in seconds.
        """
        self._advance(now_s)
        self._members = max(1, member_count)
        self._period_s = period_s
        total = sum(server.own_load + server.peer_load for server in servers)
        weight = 1.0
        if self._total_average is not None:
            weight = 1.0 - math.exp(-(now_s - self._total_s) / self._average_s())
        else:
            self._total_average = 0.0
        self._total_average += weight * (total - self._total_average)
        self._total_s = now_s
        self._set_server_loads(servers, weight, now_s)
        self._set_targets(servers)
        self._set_share()

    def use_equal_share(self, servers: Sequence[ServerState], now_s: float) -> None:
        """Keep to an equal part, since the load of the peers is not known."""
        self._advance(now_s)
        self._set_targets(servers)
        self._total_average = None
        self._share = self._target / self._members
        self._open.clear()

    def _set_targets(self, servers: Sequence[ServerState]) -> None:
        is_seen = self.duration_s() > self._period_s
        targets = {}
        for server in servers:
            target = target_load(
                server.slots, self._members, self._limit, is_seen=is_seen
            )
            average = self._server_averages.get(server.incarnation, target)
            limit = MAX_GROWTH * average + MIN_TARGET_SHARE * target
            targets[server.incarnation] = min(target, limit)
        self._server_targets = targets
        self._target = sum(self._server_targets.values())

    def _set_server_loads(
        self,
        servers: Sequence[ServerState],
        weight: float,
        now_s: float,
    ) -> None:
        is_first = not self._first_seen_s
        turnovers = self._period_s / max(self.duration_s(), 1e-3)
        averages, opened, first_seen_s = {}, {}, {}
        for server in servers:
            key = server.incarnation
            load = float(server.own_load + server.peer_load)
            before = self._server_averages.get(key, load if is_first else 0.0)
            averages[key] = before + weight * (load - before)
            # The VMs that see this load send about as many requests until the next
            # reply as end until then; with fewer free slots than that, a part of the
            # VMs sends none. Where requests end within a period, an old load says
            # nothing about the present one.
            if turnovers < 1.0:
                free = max(0.0, server.slots - load)
                opened[key] = min(1.0, free / (1.0 + load * turnovers))
            else:
                opened[key] = 1.0
            default_s = now_s - RAMP_S if is_first else now_s
            first_seen_s[key] = self._first_seen_s.get(key, default_s)
        self._server_averages = averages
        self._first_seen_s = first_seen_s
        self._probed &= averages.keys()
        self._open = {
            key: part for key, part in opened.items() if self._rng.random() < part
        }
        for key, until_s in list(self._paused_until_s.items()):
            if now_s >= until_s:
                del self._paused_until_s[key]

    def _set_share(self) -> None:
        total = self._total_average
        assert total is not None
        scale = min(1.0, self._target / total) if total > 0.0 else 1.0
        kept = scale * (1.0 - REDIVIDED_SHARE)
        divided = self._target - kept * total
        self._share = kept * self._own_average + divided / self._members

    def _advance(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        decay = math.exp(-elapsed_s / self._average_s())
        self._own_average += (1.0 - decay) * (self._own_load - self._own_average)
        slow_decay = math.exp(-elapsed_s / DURATION_AVERAGE_S)
        self._used_s = self._used_s * slow_decay + self._own_load * elapsed_s
        self._ended *= slow_decay
        share = self._usable_share(now_s)
        part = share - math.floor(share)
        self._credit_s = min(self.duration_s(), self._credit_s + part * elapsed_s)

    def _average_s(self) -> float:
        return max(MIN_AVERAGE_S, AVERAGE_PERIODS * self._period_s)

    # Queries.

    def duration_s(self) -> float:
        """Return the mean time that a request is in progress."""
        if self._ended < 0.5:
            return self._used_s if self._used_s > 0.0 else 0.0
        return self._used_s / self._ended

    @property
    def share(self) -> float:
        """The number of requests that this VM may have in progress on average."""
        return self._share

    def may_send(self, now_s: float) -> bool:
        """Return whether this VM may send one more request to the service."""
        self._advance(now_s)
        whole = math.floor(self._usable_share(now_s))
        if self._own_load < whole:
            return True
        return self._own_load == whole and self._credit_s >= self.duration_s()

    def _usable_share(self, now_s: float) -> float:
        """Return the share without the part at servers that have a pause."""
        if not self._paused_until_s or self._target <= 0.0:
            return self._share
        paused = sum(
            self._server_targets.get(key, 0.0)
            for key, until_s in self._paused_until_s.items()
            if now_s < until_s
        )
        return self._share * (1.0 - paused / self._target)

    def weight(self, server: ServerState, now_s: float) -> float:
        """Return the relative share of the requests for a server, 0 for none."""
        key = server.incarnation
        if now_s < self._paused_until_s.get(key, float("-inf")):
            return 0.0
        if self._total_average is not None and key in self._first_seen_s:
            if key not in self._open:
                return 0.0
        # Each server gets its part of this VM's share only.
        # A server that has just been seen, or that leaves, gets a small part.
        target = self._server_targets.get(key, MIN_TARGET_SHARE * server.slots)
        part = target / max(self._target, 1e-3)
        most = 1 if key in self._probed else math.ceil(self._share * part)
        if server.own_load >= most:
            return 0.0
        known = self._server_averages.get(key, 0.0)
        elapsed_s = now_s - self._first_seen_s.get(key, now_s)
        ramp = max(0.1, min(1.0, elapsed_s / RAMP_S))
        return ramp * max(0.1 * server.slots, 2.0 * server.slots - known)

    def rank(self, servers: Sequence[ServerState], now_s: float) -> list[Incarnation]:
        """Return the servers that the next request may go to, the preferred first.

        The requests of this VM are spread evenly, and the rest is left to chance, so
        that VMs that know the same load do not prefer the same server.
        """
        ranked = []
        for server in servers:
            weight = self.weight(server, now_s)
            if weight > 0.0:
                drawn = self._rng.expovariate(weight)
                ranked.append((server.own_load / server.slots, drawn, server))
        return [server.incarnation for _, _, server in sorted(ranked)]

    def check_again_s(self, now_s: float) -> float:
        """Return when a request that waits for a place should look again.

        It should also look when a request of this VM ends.
        """
        share = self._usable_share(now_s)
        lacking_s = self.duration_s() - self._credit_s
        rate = share - math.floor(share)
        wait_s = lacking_s / rate if rate > 0.0 else MAX_CHECK_S
        return now_s + min(MAX_CHECK_S, max(MIN_CHECK_S, wait_s))

    def expected_wait_s(self, waiting: int, now_s: float) -> float:
        """Return how long requests wait for a place behind others.

        Parameters
        ----------
        waiting : int
            The number of this VM's requests that wait already.
        now_s : float
            The time in seconds.
        """
        wait_s = (waiting + 1) * self.duration_s() / max(self._share, 1e-3)
        return max(wait_s, self.paused_for_s(now_s))

    def paused_for_s(self, now_s: float) -> float:
        """Return the time until the first pause ends, 0 unless all servers have one."""
        paused = self._paused_until_s
        if not paused or not paused.keys() >= self._server_targets.keys():
            return 0.0
        return max(0.0, min(paused.values()) - now_s)
