"""Chooses the backend server for a request.

The cost of a server is the expected delay in seconds: the time for its queued work,
minus the prefill time that its prefix cache saves, plus the network delay. Only a few
servers are compared: two chosen at random from the daemon's subset, those believed to
have the prompt's prefix cached, and the preferred server of the prefix. The preferred
server is chosen by rendezvous hashing, which all daemons agree on. So requests with a
common prefix go to the same server although no daemon knows what the others sent.
Another server is used if the preferred one is busier by more than the prefix saves.
"""

import random
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from functools import lru_cache
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.rendezvous import score

BLOCK_TOKENS: Final = 64
PREFILL_TOKENS_PER_S: Final = 20_000.0
OTHER_DATA_CENTRE_S: Final = 0.002
OTHER_REGION_S: Final = 0.050
SUBSET_SIZE: Final = 12
MIN_LOCAL_SERVERS: Final = 2
MAX_KNOWN_PREFIXES: Final = 20_000
MAX_PREFIX_HOLDERS: Final = 4

# Each request with a prefix needs the score of every candidate.
_cached_score: Final = lru_cache(maxsize=200_000)(score)


class Place(NamedTuple):
    """The location of a server or daemon."""

    data_centre: str
    region: str


def make_subset(
    daemon: str, servers: Sequence[str], here: Place, place_of: Callable[[str], Place]
) -> tuple[str, ...]:
    """Return the subset of servers that this daemon prefers.

    Nearer servers come first. Servers at equal distance are ordered by a hash with
    the daemon's name, so that the subsets of all daemons cover all servers evenly.
    Servers of other regions are left out if the daemon's own region has at least
    `MIN_LOCAL_SERVERS`.
    """

    def key(server: str) -> tuple[int, int]:
        return (_distance(here, place_of(server)), -_cached_score(daemon, server))

    local = [s for s in servers if place_of(s).region == here.region]
    candidates = local if len(local) >= MIN_LOCAL_SERVERS else servers
    return tuple(sorted(candidates, key=key)[:SUBSET_SIZE])


def distance_s(here: Place, there: Place) -> float:
    """Return the network delay to a server at that location, in seconds."""
    return (0.0, OTHER_DATA_CENTRE_S, OTHER_REGION_S)[_distance(here, there)]


def _distance(here: Place, there: Place) -> int:
    if here.data_centre == there.data_centre:
        return 0
    return 1 if here.region == there.region else 2


@final
class PrefixMap:
    """Maps prompt prefixes to the servers that are believed to have them cached.

    It is built from the engines' cache events, which are delayed and incomplete, and
    from the requests that this daemon sent to each server.
    """

    def __init__(self) -> None:
        self._holders: OrderedDict[str, tuple[str, ...]] = OrderedDict()

    def learn(self, prefix_ids: Iterable[str], server: str) -> None:
        """Record that the server has cached these prefixes."""
        for prefix_id in prefix_ids:
            known = self._holders.pop(prefix_id, ())
            others = tuple(name for name in known if name != server)
            self._holders[prefix_id] = (server, *others)[:MAX_PREFIX_HOLDERS]
        while len(self._holders) > MAX_KNOWN_PREFIXES:
            self._holders.popitem(last=False)

    def forget_server(self, server: str) -> None:
        """Remove a server that has lost its cache."""
        for prefix_id, known in list(self._holders.items()):
            if server in known:
                self._holders[prefix_id] = tuple(n for n in known if n != server)

    def cached_tokens(self, prefix_ids: Sequence[str]) -> dict[str, int]:
        """Return the number of prompt tokens that each server has cached."""
        found: dict[str, int] = {}
        for count, prefix_id in enumerate(prefix_ids, start=1):
            for server in self._holders.get(prefix_id, ()):
                found[server] = count * BLOCK_TOKENS
        return found


def preferred_server(prefix_ids: Sequence[str], servers: Sequence[str]) -> str | None:
    """Return the server that all daemons prefer for prompts with this first block."""
    if not prefix_ids or not servers:
        return None
    first = prefix_ids[0]
    return max(servers, key=lambda server: _cached_score(first, server))


def choose_server(
    subset: Sequence[str],
    others: Sequence[str],
    affinity_servers: Sequence[str],
    cost_s: Callable[[str], float],
    has_room: Callable[[str], bool],
    rng: random.Random,
) -> str | None:
    """Return the cheapest of a few servers that have room, or None.

    Parameters
    ----------
    subset : sequence of str
        The daemon's subset of the target's servers; two of them are sampled.
    others : sequence of str
        All servers of the target, used if no other server has room.
    affinity_servers : sequence of str
        Servers that are always compared, such as those that cache the prefix.
    cost_s : callable
        Returns the expected delay on a server, in seconds.
    has_room : callable
        Returns whether a server may take one more attempt.
    rng : random.Random
        Random number generator, seeded by the caller.
    """
    candidates = [server for server in affinity_servers if has_room(server)]
    available = [server for server in subset if has_room(server)]
    if not available and not candidates:
        available = [server for server in others if has_room(server)]
    candidates += rng.sample(available, 2) if len(available) > 2 else available
    if not candidates:
        return None
    return min(candidates, key=lambda server: (cost_s(server), server))
