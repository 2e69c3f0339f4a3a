"""Estimates when a prompt starts at a server, and refuses those that start too late.

Load that this answers: more prompts than the servers of a model can start. They pile up
in the servers' own queues, where each waits until its caller leaves: the work of the
queue is lost, and urgent prompts wait behind it.

The leader knows each server's requests in progress and its slots, and members report
how many requests that were answered have ended there. While more requests are in
progress than the slots, each one that ends makes room for one that waits, so their rate
tells how long a queue takes. A prompt whose caller would leave before is refused at
once, with the time at which the queue is expected to be short enough.
"""

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.server_waits import MAX_RETRY_AFTER_S

# The rate at which requests end is averaged over this time with a queue: long enough
# for some answers at a server with few slots, short enough to follow the load.
SMOOTHING_S: Final = 4.0
# Nothing is refused before a server had a queue for this long, and so many requests
# ended there.
MIN_QUEUED_S: Final = 0.6
MIN_ENDED: Final = 5.0
# Two looks at a server that are further apart say nothing on the time in between.
MAX_LOOK_GAP_S: Final = 1.0
# A prompt is refused if its expected wait is longer than this share of the time until
# its caller leaves. The rest is a margin, since a refused caller can still return.
REFUSED_WAIT_SHARE: Final = 0.9
# While more urgent prompts go to the same servers, the others are refused from this
# share of the time until a more urgent one's caller leaves. With 0.4, more of the
# others are lost than urgent ones are saved; with 0.8, three times as many urgent ones.
YIELD_SHARE: Final = 0.6
YIELD_MEMORY_S: Final = 2.0
# None is refused whose expected wait is below this share of its objective: it is in
# time even if the rate is wrong by a factor of two.
CERTAIN_SHARE: Final = 0.5
# A refused caller should return when the wait is this share of its patience.
RETURN_WAIT_SHARE: Final = 0.2
# No later return than this is told, nor noted: callers that were told the longest time
# come back then whatever is ahead of them.
MAX_RETURN_S: Final = MAX_RETRY_AFTER_S
# One prompt of a customer on a route is let through if all were refused for this long,
# which bounds what a wrong estimate does, and shows whether it is wrong.
STARVATION_S: Final = 2.0
# State of servers and of routes that nothing was asked about for this long is dropped.
IDLE_TTL_S: Final = 10.0
# Bounds for what members report.
MAX_ENDED: Final = 10_000
MAX_ORIGINS: Final = 10_000
MAX_RANK: Final = 9


class QueueView(NamedTuple):
    """A server that could run a prompt.

    Attributes
    ----------
    server_id : str
        The server's name.
    load : float
        The requests that it has from all VMs.
    slots : int
        The number of requests that it runs concurrently.
    prefill_s : float
        The expected prefill time of the prompt; 0 if it is unknown.
    """

    server_id: str
    load: float
    slots: int
    prefill_s: float


class Patience(NamedTuple):
    """How long a prompt's caller waits.

    Attributes
    ----------
    give_up_s : float
        The time from now until it leaves.
    objective_s : float
        The time from now until the first event is late.
    rank : int
        The urgency; 0 is the most urgent.
    origin : str
        Its route and customer, none of which is refused for too long.
    """

    give_up_s: float
    objective_s: float
    rank: int
    origin: str


class _Server:
    """What is known of one start of a server."""

    __slots__ = (
        "ended",
        "looked_s",
        "new_ended",
        "queued_s",
        "returns_s",
        "started_ms",
        "urgent",
    )

    def __init__(self, started_ms: int, now_s: float) -> None:
        self.started_ms = started_ms
        self.looked_s = now_s
        self.queued_s = 0.0
        self.ended = 0.0
        self.new_ended = 0.0
        self.returns_s: list[float] = []
        # By rank, for how long the last prompt's caller waits, and when it came.
        self.urgent: dict[int, tuple[float, float]] = {}


@final
class StartEstimates:
    """The leader's estimates for all servers, and what it has refused by them.

    Attributes
    ----------
    counts : Counter of str
        Prompts that were ``refused``, and ``let_through`` after the longest time for
        which all of a customer's prompts on a route are refused.
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._servers: dict[str, _Server] = {}
        self._refused_since_s: dict[str, float] = {}
        self._swept_s = float("-inf")

    def record_ended(self, ended: Mapping[str, int]) -> None:
        """Add a member's count of the requests that ended at each server."""
        for name, count in ended.items():
            server = self._servers.get(name)
            if server is not None and 0 <= count <= MAX_ENDED:
                server.new_ended += count

    def refuse(
        self,
        views: Sequence[QueueView],
        patience: Patience,
        started_ms: Mapping[str, int],
        now_s: float,
    ) -> float | None:
        """Return None for a prompt that may start in time, or when to return.

        Parameters
        ----------
        views : sequence of QueueView
            All servers that can run it; at least one.
        patience : Patience
            How long its caller waits.
        started_ms : mapping of str to int
            The start time of each server.
        now_s : float
            The time in seconds.
        """
        self._forget_old(now_s)
        waits_s = [
            (self._wait_s(view, started_ms.get(view.server_id, 0), now_s), view)
            for view in views
        ]
        shortest_s, view = min(waits_s, key=lambda item: item[0])
        server = self._servers[view.server_id]
        limit_s = self._limit_s(server, patience, now_s)
        if not shortest_s > limit_s:
            self._refused_since_s.pop(patience.origin, None)
            return None
        if len(self._refused_since_s) < MAX_ORIGINS:
            self._refused_since_s.setdefault(patience.origin, now_s)
        since_s = self._refused_since_s.get(patience.origin, now_s)
        if now_s - since_s >= STARVATION_S:
            self._refused_since_s[patience.origin] = now_s
            self.counts["let_through"] += 1
            return None
        self.counts["refused"] += 1
        # Those told to return before are ahead of it.
        server.returns_s = [at_s for at_s in server.returns_s if at_s > now_s]
        ahead_s = len(server.returns_s) / _rate_per_s(server)
        return_s = ahead_s + shortest_s - RETURN_WAIT_SHARE * patience.give_up_s
        if return_s >= MAX_RETURN_S:
            return MAX_RETURN_S
        server.returns_s.append(now_s + return_s)
        return return_s

    def _limit_s(self, server: _Server, patience: Patience, now_s: float) -> float:
        """Return the longest expected wait with which a prompt is not refused."""
        limit_s = REFUSED_WAIT_SHARE * patience.give_up_s
        own_rank = min(max(0, patience.rank), MAX_RANK)
        for rank, (give_up_s, at_s) in server.urgent.items():
            if rank < own_rank and now_s - at_s < YIELD_MEMORY_S:
                limit_s = min(limit_s, YIELD_SHARE * give_up_s)
        server.urgent[own_rank] = (patience.give_up_s, now_s)
        return max(limit_s, CERTAIN_SHARE * patience.objective_s)

    def _wait_s(self, view: QueueView, started_ms: int, now_s: float) -> float:
        """Return how long a prompt waits for its first event; less if unsure."""
        server = self._servers.get(view.server_id)
        if server is None or server.started_ms != started_ms:
            server = self._servers[view.server_id] = _Server(started_ms, now_s)
        has_queue = view.load > view.slots
        self._look(server, now_s, has_queue=has_queue)
        is_known = server.queued_s >= MIN_QUEUED_S and server.ended >= MIN_ENDED
        if not has_queue or not is_known:
            return 0.0
        return (view.load - view.slots) / _rate_per_s(server) + view.prefill_s

    def _look(self, server: _Server, now_s: float, *, has_queue: bool) -> None:
        """Count the time since the last look, if the server had a queue."""
        elapsed_s = now_s - server.looked_s
        if not has_queue or elapsed_s > MAX_LOOK_GAP_S:
            server.new_ended = 0.0
        else:
            kept = max(0.0, 1.0 - elapsed_s / SMOOTHING_S)
            server.queued_s = server.queued_s * kept + elapsed_s
            server.ended = server.ended * kept + server.new_ended
            server.new_ended = 0.0
        server.looked_s = now_s

    def _forget_old(self, now_s: float) -> None:
        if now_s - self._swept_s < IDLE_TTL_S:
            return
        self._swept_s = now_s
        for name, server in list(self._servers.items()):
            if now_s - server.looked_s > IDLE_TTL_S:
                del self._servers[name]
        for origin, since_s in list(self._refused_since_s.items()):
            if now_s - since_s > IDLE_TTL_S:
                del self._refused_since_s[origin]


def _rate_per_s(server: _Server) -> float:
    return server.ended / server.queued_s
