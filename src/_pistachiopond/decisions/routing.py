"""Chooses the backend server for a request.

Scores are seconds of expected delay: the work that is already there, the prompt
tokens that its prefix cache saves, the distance. A few servers are compared, not
all: two at random from the daemon's own subset, those believed to hold the
prompt's prefix, and the prefix's home. The home is a hash that all daemons agree
on, so that requests with a common prefix meet on one server although no daemon
knows what the others sent; it is passed over when it is busier than others by
more than the prefix saves.
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

# Each arrival with a prefix asks for the weight of every candidate.
_weight: Final = lru_cache(maxsize=200_000)(score)


class Place(NamedTuple):
    """Where something stands."""

    data_centre: str
    region: str


def make_subset(
    daemon: str, servers: Sequence[str], here: Place, place_of: Callable[[str], Place]
) -> tuple[str, ...]:
    """Return the servers that this daemon uses first.

    Nearer ones go first, and among equals a hash of the daemon's name decides,
    so that the subsets of all daemons cover all servers evenly. Servers of other
    regions are left out when enough stand in the daemon's own.
    """

    def key(server: str) -> tuple[int, int]:
        return (_distance(here, place_of(server)), -_weight(daemon, server))

    local = [s for s in servers if place_of(s).region == here.region]
    pool = local if len(local) >= MIN_LOCAL_SERVERS else servers
    return tuple(sorted(pool, key=key)[:SUBSET_SIZE])


def distance_s(here: Place, there: Place) -> float:
    """Return the extra delay of using a server at that place, in seconds."""
    return (0.0, OTHER_DATA_CENTRE_S, OTHER_REGION_S)[_distance(here, there)]


def _distance(here: Place, there: Place) -> int:
    if here.data_centre == there.data_centre:
        return 0
    return 1 if here.region == there.region else 2


@final
class PrefixMap:
    """Which servers are believed to hold which prompt prefixes.

    It learns from the engines' events, which come late and with gaps, and from
    what this daemon sent where.
    """

    def __init__(self) -> None:
        self._holders: OrderedDict[str, tuple[str, ...]] = OrderedDict()

    def learn(self, prefix_ids: Iterable[str], server: str) -> None:
        """Note that the server holds these prefixes."""
        for prefix_id in prefix_ids:
            known = self._holders.pop(prefix_id, ())
            others = tuple(name for name in known if name != server)
            self._holders[prefix_id] = (server, *others)[:MAX_PREFIX_HOLDERS]
        while len(self._holders) > MAX_KNOWN_PREFIXES:
            self._holders.popitem(last=False)

    def forget_server(self, server: str) -> None:
        """Note that the server has lost its cache."""
        for prefix_id, known in list(self._holders.items()):
            if server in known:
                self._holders[prefix_id] = tuple(n for n in known if n != server)

    def cached_tokens(self, prefix_ids: Sequence[str]) -> dict[str, int]:
        """Return, for each holder, how many prompt tokens it need not compute."""
        found: dict[str, int] = {}
        for count, prefix_id in enumerate(prefix_ids, start=1):
            for server in self._holders.get(prefix_id, ()):
                found[server] = count * BLOCK_TOKENS
        return found


def prefix_home(prefix_ids: Sequence[str], servers: Sequence[str]) -> str | None:
    """Return the server on which requests with this first block meet."""
    if not prefix_ids or not servers:
        return None
    first = prefix_ids[0]
    return max(servers, key=lambda server: _weight(first, server))


def choose_server(
    subset: Sequence[str],
    others: Sequence[str],
    favoured: Sequence[str],
    cost_s: Callable[[str], float],
    has_room: Callable[[str], bool],
    rng: random.Random,
) -> str | None:
    """Return the cheapest of a few servers that have room, or None.

    Parameters
    ----------
    subset : sequence of str
        The daemon's own servers for the target; two of them are drawn.
    others : sequence of str
        All servers for the target, used when the subset has no room.
    favoured : sequence of str
        Servers that are always compared, such as holders of the prefix.
    cost_s : callable
        The expected delay on a server, in seconds.
    has_room : callable
        Whether a server may take one more attempt.
    rng : random.Random
        Seeded by the caller.
    """
    options = [server for server in favoured if has_room(server)]
    free = [server for server in subset if has_room(server)]
    if not free and not options:
        free = [server for server in others if has_room(server)]
    options += rng.sample(free, 2) if len(free) > 2 else free
    if not options:
        return None
    return min(options, key=lambda server: (cost_s(server), server))
