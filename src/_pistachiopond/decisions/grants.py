"""The entry daemon's side of limits: what it holds, reserves and draws.

Tokens are usable only until their grant expires, counted from before the draw was
sent, so that the holder of the pool always counts them for longer than that.
"""

from typing import Final, NamedTuple, final

from _pistachiopond.decisions.holds import (
    DemandRate,
    Hold,
    Part,
    settle_parts,
    spend_parts,
    take_parts,
)
from _pistachiopond.decisions.pools import Draw, DrawAnswer, DrawWant, GrantedTotal
from _pistachiopond.schema.limits import LimitsView, PoolSource

DRAW_PERIOD_S: Final = 4.0
DRAW_TIMEOUT_S: Final = 0.5
RENEW_BEFORE_S: Final = 5.0
SOURCE_DOWN_S: Final = 1.0
SHORT_LIMIT_S: Final = 0.5
SCARCE_PERIOD_S: Final = 0.5
AHEAD_S: Final = 4.0
SCARCE_AHEAD_S: Final = 0.5
SCARCE_MEMORY_S: Final = 10.0
SCARCE_SHARE: Final = 0.3
SURPLUS_FACTOR: Final = 2.0
LEAST_NOTE_TOKENS: Final = 16.0


class PlannedDraw(NamedTuple):
    """A draw that is to be sent now.

    Attributes
    ----------
    pool, address : str
        Whose tokens and the control daemon to ask.
    draw : Draw
        The message.
    """

    pool: str
    address: str
    draw: Draw


class Shortage(NamedTuple):
    """Why a reservation was not possible.

    Attributes
    ----------
    missing_tokens : float
        How many more would have been needed.
    retry_after_s : float
        When they can be had.
    is_reachable : bool
        False when no pool of the customer could be reached of late.
    said_short_s : float
        When the pool that said so longest ago said that it has no more; minus
        infinity while one that can be reached has not said so.
    """

    missing_tokens: float
    retry_after_s: float
    is_reachable: bool
    said_short_s: float


class _Reserved(NamedTuple):
    customer: str
    parts: tuple[Part, ...]
    noted_tokens: float


@final
class _Pool:
    def __init__(self, source: PoolSource) -> None:
        self.source = source
        self.epoch = 0
        self.sequence = 0
        self.in_flight: Draw | None = None
        self.sent_s = float("-inf")
        self.down_until_s = float("-inf")
        self.holds: dict[str, Hold] = {}
        self.short_until_s: dict[str, float] = {}
        self.retry_at_s: dict[str, float] = {}
        self.said_short_s: dict[str, float] = {}

    def is_busy(self, now_s: float) -> bool:
        return self.in_flight is not None and now_s < self.sent_s + DRAW_TIMEOUT_S

    def has_more(self, customer: str, now_s: float) -> bool:
        if customer not in self.source.customers or now_s < self.down_until_s:
            return False
        return now_s >= self.short_until_s.get(customer, float("-inf"))


@final
class GrantBook:
    """All grants of one entry daemon.

    Parameters
    ----------
    entry_id : str
        Unique for each start of the process.
    """

    def __init__(self, entry_id: str) -> None:
        self._entry_id = entry_id
        self._pools: dict[str, _Pool] = {}
        self._older_holds: list[Hold] = []
        self._next_id = 1
        self._reserved: dict[int, _Reserved] = {}
        self._waiting: dict[str, float] = {}
        self._debts: dict[str, float] = {}
        self._demand = DemandRate()
        self._scarce_until_s: dict[str, float] = {}
        self._is_closing = False

    def set_sources(self, view: LimitsView) -> None:
        """Take over where pools are; grants of a pool outlive a change of holder."""
        pools = {source.pool: source for source in view.sources}
        for name in [name for name in self._pools if name not in pools]:
            self._older_holds.extend(self._pools.pop(name).holds.values())
        self._pools = {
            name: self._pools.get(name) or _Pool(source)
            for name, source in pools.items()
        }
        for name, source in pools.items():
            self._pools[name].source = source

    def reserve(self, customer: str, tokens: float, now_s: float) -> int | Shortage:
        """Set tokens aside, from as many grants as it takes.

        Parameters
        ----------
        customer : str
            Whose tokens.
        tokens : float
            The most that the request may use.
        now_s : float
            The present time, which is the time of admission.

        Returns
        -------
        int or Shortage
            A reservation's number, or what is missing.
        """
        debt = self._debts.get(customer, 0.0)
        parts = take_parts(self._usable(customer, now_s), tokens + debt)
        if parts is None:
            return self._shortage(customer, tokens + debt, now_s)
        if debt:
            parts, _ = spend_parts(parts, self._debts.pop(customer))
        self._demand.add(customer, tokens, now_s)
        reservation_id = self._take_id()
        self._reserved[reservation_id] = _Reserved(customer, parts, 0.0)
        return reservation_id

    def settle(self, reservation_id: int, used_tokens: float, now_s: float) -> None:
        """Count what a request used and free the rest.

        Usage above the reservation is charged before the customer's next one.
        """
        reserved = self._reserved.pop(reservation_id, None)
        if reserved is None:
            return
        left = max(0.0, used_tokens - reserved.noted_tokens)
        excess = settle_parts(reserved.parts, left, now_s)
        if excess > 0.0:
            customer = reserved.customer
            self._debts[customer] = self._debts.get(customer, 0.0) + excess

    def note_used(self, reservation_id: int, used_tokens: float) -> None:
        """Count what a running request has certainly used so far.

        What may still come back of a reservation keeps the customer's bucket from
        filling, so a long answer should not hold all of it until its end.
        """
        reserved = self._reserved.get(reservation_id)
        if reserved is None:
            return
        if used_tokens < reserved.noted_tokens + LEAST_NOTE_TOKENS:
            return
        parts, spent = spend_parts(reserved.parts, used_tokens - reserved.noted_tokens)
        noted = reserved.noted_tokens + spent
        self._reserved[reservation_id] = _Reserved(reserved.customer, parts, noted)

    def set_waiting(self, customer: str, tokens: float) -> None:
        """Say how many tokens requests are waiting for at this moment."""
        if tokens > 0.0:
            self._waiting[customer] = tokens
        else:
            self._waiting.pop(customer, None)

    def plan_draws(self, now_s: float) -> list[PlannedDraw]:
        """Return the draws to send now; each is taken to be on its way."""
        self._forget_expired(now_s)
        wishes = self._wishes(now_s)
        planned = []
        for pool in self._pools.values():
            if pool.is_busy(now_s) or now_s < pool.down_until_s:
                continue
            wants = self._wants(pool, wishes.get(pool.source.pool, {}), now_s)
            if wants:
                planned.append(self._send(pool, wants, now_s))
        return planned

    def on_answer(self, planned: PlannedDraw, answer: DrawAnswer, now_s: float) -> None:
        """Take in an answer; one to an older draw changes nothing."""
        pool = self._pools.get(planned.pool)
        if pool is None or pool.in_flight is not planned.draw:
            return
        pool.in_flight = None
        # What has expired must not come to life again by a late answer: its holder
        # may have counted it as spent before it granted anew under the same name.
        self._forget_expired(now_s)
        if answer.epoch != pool.epoch:
            self._change_epoch(pool, answer.epoch, planned.draw)
        for grant in answer.grants:
            hold = pool.holds.get(grant.customer)
            if hold is not None and hold.grant_id == grant.grant_id:
                hold.take_in(grant.granted_tokens, pool.sent_s + answer.lifetime_s)
                _note_shortness(pool, grant, now_s)
        self._part_from_ended(pool, planned.draw, answer)

    def _part_from_ended(self, pool: _Pool, draw: Draw, answer: DrawAnswer) -> None:
        """Draw no more on grants that the holder does not know any longer."""
        known = {grant.grant_id for grant in answer.grants}
        for want in draw.wants:
            hold = pool.holds.get(want.customer)
            if hold is None or hold.grant_id != want.grant_id:
                continue
            if want.grant_id not in known or want.hold_tokens <= 0.0:
                self._older_holds.append(pool.holds.pop(want.customer))

    def on_failure(self, planned: PlannedDraw, now_s: float) -> None:
        """Leave a pool alone for a moment that did not answer or is not held."""
        pool = self._pools.get(planned.pool)
        if pool is None or pool.in_flight is not planned.draw:
            return
        pool.in_flight = None
        pool.down_until_s = now_s + SOURCE_DOWN_S

    def give_back(self) -> None:
        """Return everything unspent and wish for no more, for a graceful shutdown."""
        self._is_closing = True
        for pool in self._pools.values():
            pool.sent_s = float("-inf")
            for hold in pool.holds.values():
                hold.give_back(hold.unspent_tokens)

    def held_tokens(self, customer: str, now_s: float) -> float:
        """Return what could be reserved at this moment."""
        return sum(hold.unspent_tokens for hold in self._usable(customer, now_s))

    def _take_id(self) -> int:
        self._next_id += 1
        return self._next_id

    def _usable(self, customer: str, now_s: float) -> list[Hold]:
        older = [hold for hold in self._older_holds if hold.customer == customer]
        held = (pool.holds.get(customer) for pool in self._pools.values())
        return [
            hold
            for hold in (*older, *held)
            if hold is not None and now_s < hold.expires_s
        ]

    def _forget_expired(self, now_s: float) -> None:
        self._older_holds = [h for h in self._older_holds if now_s < h.expires_s]
        for pool in self._pools.values():
            pool.holds = {
                customer: hold
                for customer, hold in pool.holds.items()
                if not hold.is_over(now_s)
            }

    def _shortage(self, customer: str, tokens: float, now_s: float) -> Shortage:
        missing = tokens - self.held_tokens(customer, now_s)
        pools = [p for p in self._pools.values() if customer in p.source.customers]
        reachable = [pool for pool in pools if now_s >= pool.down_until_s]
        waits_s = (pool.retry_at_s.get(customer, now_s) - now_s for pool in reachable)
        said_s = (p.said_short_s.get(customer, float("-inf")) for p in reachable)
        return Shortage(
            missing,
            max(0.0, min(waits_s, default=0.0)),
            bool(reachable),
            min(said_s, default=float("-inf")),
        )

    def _wishes(self, now_s: float) -> dict[str, dict[str, float]]:
        """Return by pool and customer what is to be held beyond the present."""
        wishes: dict[str, dict[str, float]] = {}
        if self._is_closing:
            return wishes
        held_of = {name for pool in self._pools.values() for name in pool.holds}
        for customer in held_of | self._demand.customers() | set(self._waiting):
            waiting = self._waiting.get(customer, 0.0)
            is_scarce = self._is_scarce(customer, now_s)
            ahead_s = SCARCE_AHEAD_S if is_scarce else AHEAD_S
            ahead = self._demand.per_s(customer, now_s) * ahead_s
            wanted = waiting + ahead + self._debts.get(customer, 0.0)
            held = self.held_tokens(customer, now_s)
            self._note_scarcity(customer, now_s)
            pool = self._best_pool(customer, now_s)
            if pool is None:
                continue
            if wanted > held:
                wishes.setdefault(pool.source.pool, {})[customer] = wanted - held
            elif held > SURPLUS_FACTOR * wanted:
                self._give_back_surplus(customer, held - wanted, now_s)
        return wishes

    def _note_scarcity(self, customer: str, now_s: float) -> None:
        """Remember that many pools are short: hold little and report spending soon."""
        pools = [p for p in self._pools.values() if customer in p.source.customers]
        short = sum(1 for pool in pools if not pool.has_more(customer, now_s))
        if short and short >= SCARCE_SHARE * len(pools):
            self._scarce_until_s[customer] = now_s + SCARCE_MEMORY_S

    def _is_scarce(self, customer: str, now_s: float) -> bool:
        return now_s < self._scarce_until_s.get(customer, float("-inf"))

    def _best_pool(self, customer: str, now_s: float) -> _Pool | None:
        usable = (p for p in self._pools.values() if p.has_more(customer, now_s))
        return next(usable, None)

    def _give_back_surplus(self, customer: str, tokens: float, now_s: float) -> None:
        for pool in self._pools.values():
            hold = pool.holds.get(customer)
            if hold is not None and not pool.is_busy(now_s):
                part = min(tokens, hold.unspent_tokens)
                hold.give_back(part)
                tokens -= part

    def _wants(
        self, pool: _Pool, wishes: dict[str, float], now_s: float
    ) -> tuple[DrawWant, ...]:
        is_scarce = any(self._is_scarce(customer, now_s) for customer in pool.holds)
        period_s = SCARCE_PERIOD_S if is_scarce else DRAW_PERIOD_S
        is_due = now_s >= pool.sent_s + period_s
        is_urgent = any(customer in self._waiting for customer in wishes)
        if not (is_due or is_urgent):
            return ()
        for customer in wishes:
            if customer not in pool.holds:
                pool.holds[customer] = Hold(customer, self._take_id())
        return tuple(
            hold.want(wishes.get(customer, 0.0))
            for customer, hold in pool.holds.items()
            if customer in wishes or hold.needs_draw(now_s + RENEW_BEFORE_S)
        )

    def _send(
        self, pool: _Pool, wants: tuple[DrawWant, ...], now_s: float
    ) -> PlannedDraw:
        pool.sequence += 1
        pool.sent_s = now_s
        draw = Draw(self._entry_id, pool.sequence, pool.epoch, wants)
        pool.in_flight = draw
        return PlannedDraw(pool.source.pool, pool.source.address, draw)

    def _change_epoch(self, pool: _Pool, epoch: int, draw: Draw) -> None:
        """Keep what another holder granted, but say no more of it."""
        is_first = pool.epoch == 0 and draw.epoch == 0
        pool.epoch = epoch
        if not is_first:
            self._older_holds.extend(pool.holds.values())
            pool.holds = {}


def _note_shortness(pool: _Pool, grant: GrantedTotal, now_s: float) -> None:
    if grant.retry_after_s > 0.0:
        pause_s = min(grant.retry_after_s, SHORT_LIMIT_S)
        pool.short_until_s[grant.customer] = now_s + pause_s
        pool.retry_at_s[grant.customer] = now_s + grant.retry_after_s
        pool.said_short_s[grant.customer] = now_s
    else:
        pool.short_until_s.pop(grant.customer, None)
        pool.retry_at_s.pop(grant.customer, None)
        pool.said_short_s.pop(grant.customer, None)
