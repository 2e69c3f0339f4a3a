"""Places at servers that name a rate: asked for by a VM, dealt by the leader."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.leadership import Leadership
from _pistachiopond.decisions.server_rates import (
    PLACE_VALID_S,
    RECHECK_S,
    UNPROVED_SHARE,
    DealtPlace,
    OwnPlaces,
    PlaceDealer,
    first_own_place,
)
from _pistachiopond.observe.logs import log_change
from _pistachiopond.schema.deployment import BackendServer, Incarnation
from _pistachiopond.schema.place_messages import (
    ColdServer,
    PlaceReply,
    PlaceRequest,
    ServerRate,
)
from _pistachiopond.vm.clock import boot_s
from _pistachiopond.vm.fleet import Fleet

# The leader replies within some milliseconds. Without a reply in this time the request
# is treated as if there were no leader.
REPLY_TIMEOUT_S: Final = 0.1
# Callers that are refused until the end of a cold phase come back within this time.
RETURN_SPREAD_S: Final = 0.3
# Of more cold servers than this, a request asks for a place at some drawn at random.
# They nearly always have one that is as early as the first of all, and the leader's
# work for a question grows with the servers in it: 56 us for 6, 118 us for 22.
MAX_ASKED: Final = 4


class Place(NamedTuple):
    """The permission to send one request to a server, or the lack of one.

    Attributes
    ----------
    server : BackendServer or None
        None if no server that names a rate takes the request in time.
    starts_s : float
        When the request may be sent, or when its caller may come back.
    expires_s : float
        Until when it may be sent.
    is_limit_end : bool
        Whether this is the end of the server's limit instead of a place. All servers
        may then be chosen from anew.
    """

    server: BackendServer | None
    starts_s: float
    expires_s: float
    is_limit_end: bool = False


@final
class ServerPlaces:
    """A VM's side: asks the leader for places, or takes its own without a leader.

    Attributes
    ----------
    counts : Counter
        Places by source, ``leader`` or ``own``, and outcome, ``taken`` or ``lacking``.
    """

    def __init__(
        self,
        fleet: Fleet,
        send: Callable[[PlaceRequest], bool],
        member_count: Callable[[], int],
    ) -> None:
        """Start without places.

        Parameters
        ----------
        fleet : Fleet
            The backend servers and their rates.
        send : callable
            Sends a request to the leader; returns False if none deals places.
        member_count : callable
            Returns the number of VMs; 0 if unknown.
        """
        self._fleet = fleet
        self._send = send
        self._member_count = member_count
        self._rng = random.Random()
        self._own = OwnPlaces(random.Random())
        self._pending: dict[int, asyncio.Future[PlaceReply]] = {}
        self._number = 0
        self._no_place_until_s: dict[str, float] = {}
        self.counts: Counter[tuple[str, str]] = Counter()

    def may_ask(self, service: str) -> bool:
        """Return whether there may be a place for a request that does not wait."""
        return boot_s() >= self._no_place_until_s.get(service, float("-inf"))

    async def take(
        self,
        servers: Sequence[BackendServer],
        most_s: float,
        rank: int,
        customer: str = "",
    ) -> Place:
        """Return a place at one of the servers, or when there may be one.

        Parameters
        ----------
        servers : sequence of BackendServer
            Those that can run the request; all name a rate.
        most_s : float
            How long the request may wait.
        rank : int
            Its urgency, 0 for the most urgent.
        customer : str
            Its customer; empty if there is none.
        """
        asked_s = boot_s()
        rates: dict[Incarnation, float] = {}
        for server in servers:
            rate_per_s = self._fleet.rates.rate_per_s(server.incarnation(), asked_s)
            if rate_per_s is not None:
                rates[server.incarnation()] = rate_per_s
        if not rates:
            # The rates have ended since the servers were chosen.
            return Place(servers[0], asked_s, asked_s + PLACE_VALID_S)
        source = "leader"
        cold = self._cold(rates, asked_s)
        dealt = await self._ask(rates, most_s, rank, customer if cold else None)
        if dealt is None:
            source, members = "own", self._member_count()
            dealt = first_own_place(self._own, rates, members, most_s, asked_s, cold)
        self.counts[source, "lacking" if dealt.server is None else "taken"] += 1
        if dealt.server is None and most_s <= 0.0:
            pause_s = min(RECHECK_S, dealt.wait_s)
            self._no_place_until_s[servers[0].service] = asked_s + pause_s
        ends = self._place_at_end(servers, dealt, most_s) if cold else None
        if ends is not None:
            return ends
        by_incarnation = {server.incarnation(): server for server in servers}
        server = None if dealt.server is None else by_incarnation[dealt.server]
        if server is not None:
            # At most as many lines as the servers take requests.
            log_change(
                "place at a server with a rate",
                server=server.server_id,
                rate_per_s=rates[server.incarnation()],
                wait_s=round(dealt.wait_s, 3),
                source=source,
            )
        # The wait began when the reply came. The permission counts from the question,
        # so that a reply that was delayed is not used late.
        expires_s = asked_s + dealt.wait_s + PLACE_VALID_S
        return Place(server, boot_s() + dealt.wait_s, expires_s)

    def _cold(
        self, rates: dict[Incarnation, float], now_s: float
    ) -> frozenset[Incarnation]:
        known = self._fleet.rates
        return frozenset(
            item for item in rates if known.cold_until_s(item, now_s) is not None
        )

    def _place_at_end(
        self, servers: Sequence[BackendServer], dealt: DealtPlace, most_s: float
    ) -> Place | None:
        """Return the first end of a limit, if it comes before what was dealt.

        The end also bounds the time after which a refused caller comes back. Callers
        that come back then are spread, since the leader did not deal their times.
        """
        now_s, rates = boot_s(), self._fleet.rates
        ends = [
            (end_s, server.server_id, server)
            for server in servers
            if (end_s := rates.limit_end_s(server.incarnation(), now_s)) is not None
        ]
        if not ends:
            return None
        end_s, _, server = min(ends, key=lambda item: item[:2])
        if dealt.wait_s <= end_s - now_s and dealt.server is not None:
            return None
        if 0.0 < end_s - now_s <= most_s:
            return Place(server, end_s, float("-inf"), is_limit_end=True)
        if dealt.server is None and most_s > 0.0:
            returns_s = end_s + self._rng.uniform(0.0, RETURN_SPREAD_S)
            if returns_s < now_s + dealt.wait_s:
                return Place(None, returns_s, returns_s)
        return None

    async def _ask(
        self,
        rates: dict[Incarnation, float],
        most_s: float,
        rank: int,
        customer: str | None,
    ) -> DealtPlace | None:
        self._number += 1
        number = self._number
        if customer is not None and len(rates) > MAX_ASKED:
            rates = dict(self._rng.sample(list(rates.items()), MAX_ASKED))
        known = [(*incarnation, rate) for incarnation, rate in rates.items()]
        request: PlaceRequest = {
            "number": number,
            "servers": known,
            "most_s": round(most_s, 3),
            "rank": rank,
        }
        if customer is not None:
            request["customer"] = customer
        if not self._send(request):
            return None
        received = self._pending[number] = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                reply = await received
        except TimeoutError:
            return None
        finally:
            del self._pending[number]
        index = reply["index"]
        return DealtPlace(None if index < 0 else known[index][:2], reply["wait_s"])

    def take_reply(self, reply: PlaceReply) -> None:
        """Pass the leader's reply to the request that waits for it."""
        pending = self._pending.get(reply["number"])
        if pending is not None and not pending.done():
            pending.set_result(reply)


@final
class DealtPlaces:
    """The leader's side: keeps the rates that VMs tell, and deals places."""

    def __init__(
        self,
        fleet: Fleet,
        leadership: Leadership,
    ) -> None:
        """Start with nothing dealt.

        Parameters
        ----------
        fleet : Fleet
            The backend servers and their rates.
        leadership : Leadership
            Whether this VM leads.
        """
        self._fleet = fleet
        self._leadership = leadership
        self._dealer = PlaceDealer()
        self._fence = -1

    def take_rates(self, rates: list[ServerRate]) -> list[ServerRate]:
        """Record what a member says of servers' rates; return what is new."""
        self._follow_claim()
        changed = [
            (name, started_ms, rate_per_s)
            for name, started_ms, rate_per_s in rates
            if self._fleet.record_rate((name, started_ms), rate_per_s, "member")
        ]
        self._begin(rates)
        return changed

    def take_cold(self, cold: list[ColdServer]) -> list[ColdServer]:
        """Record what a member says of cold servers; return what is new."""
        self._follow_claim()
        return take_cold(self._fleet, cold, "member")

    def cold(self) -> list[ColdServer]:
        """Return which servers are cold, and for how much longer."""
        return encode_cold(self._fleet)

    def rates(self) -> list[ServerRate]:
        """Return what is known of servers' rates."""
        self._follow_claim()
        return encode_rates(self._fleet)

    def _begin(self, rates: Sequence[ServerRate | ColdServer]) -> None:
        now_s = boot_s()
        for name, started_ms, _ in rates:
            rate_per_s = self._fleet.rates.rate_per_s((name, started_ms), now_s)
            if rate_per_s is not None:
                self._dealer.begin((name, started_ms), rate_per_s, now_s)

    def deal(self, request: PlaceRequest, *, may_deal_all: bool) -> PlaceReply:
        """Reply to a member's request.

        Parameters
        ----------
        request : PlaceRequest
            What the member asks for.
        may_deal_all : bool
            Whether no other VM may deal places of the same servers.
        """
        now_s = boot_s()
        self._follow_claim()
        self._dealer.forget_old(now_s)
        rates: dict[Incarnation, float] = {}
        for name, started_ms, told_per_s in request["servers"]:
            own_per_s = self._fleet.rates.rate_per_s((name, started_ms), now_s)
            rates[name, started_ms] = told_per_s if own_per_s is None else own_per_s
        share = 1.0 if may_deal_all else UNPROVED_SHARE
        known = self._fleet.rates
        cold = [item for item in rates if known.cold_until_s(item, now_s) is not None]
        for incarnation in cold:
            self._dealer.begin_cold(incarnation, now_s)
        dealt = self._dealer.deal(
            rates,
            request["most_s"],
            request["rank"],
            share,
            now_s,
            customer=request.get("customer", ""),
            cold=cold,
        )
        index = -1 if dealt.server is None else list(rates).index(dealt.server)
        return {
            "number": request["number"],
            "index": index,
            "wait_s": round(dealt.wait_s, 4),
        }

    def charge(self, server: BackendServer) -> None:
        """Count an order or a report request that this VM sends to a server."""
        now_s, incarnation = boot_s(), server.incarnation()
        rate_per_s = self._fleet.rates.rate_per_s(incarnation, now_s)
        if rate_per_s is not None:
            self._follow_claim()
            self._dealer.charge(incarnation, rate_per_s, now_s)

    def _follow_claim(self) -> None:
        """Begin anew with each claim, since others may have dealt in between."""
        claim = self._leadership.claim
        fence = -1 if claim is None else claim.fence
        if fence != self._fence:
            if not self._leadership.is_renewal_of(self._fence):
                self._dealer = PlaceDealer()
                log_change("places of servers with a rate dealt anew", fence=fence)
            self._fence = fence
            self._begin(encode_rates(self._fleet))
            self._begin(encode_cold(self._fleet))


def encode_rates(fleet: Fleet) -> list[ServerRate]:
    """Return what a VM knows of servers' rates, in the form in which VMs send it."""
    return [
        (*incarnation, rate_per_s)
        for incarnation, rate_per_s in fleet.rates.statements().items()
    ]


def encode_cold(fleet: Fleet) -> list[ColdServer]:
    """Return which servers are cold, in the form in which VMs send it."""
    return [
        (*incarnation, round(remaining_s, 3))
        for incarnation, remaining_s in fleet.rates.cold(boot_s()).items()
    ]


def take_cold(
    fleet: Fleet, cold: Sequence[ColdServer], source: str
) -> list[ColdServer]:
    """Record what another VM says of cold servers; return what is new.

    What it says of servers that this VM does not know is ignored, since their entries
    say it as well.
    """
    changed = []
    for name, started_ms, remaining_s in cold:
        server = fleet.current((name, started_ms))
        if server is not None and fleet.record_cold(
            server.incarnation(), server.service, remaining_s, source
        ):
            changed.append((name, started_ms, remaining_s))
    return changed
