"""The entry daemon's side of rate limits: draws, holds and reserves tokens.

Tokens are usable only until their grant expires. The lifetime is counted from before
the draw was sent, so the holder of the pool always counts the grant for longer.
"""

from typing import Final, NamedTuple, final

from _pistachiopond.decisions.held_grants import (
    DemandRate,
    HeldGrant,
    Part,
    settle_parts,
    spend_parts,
    take_parts,
)
from _pistachiopond.decisions.pools import Draw, DrawItem, DrawReply, GrantedTotal
from _pistachiopond.schema.limits import LimitsView, PoolSource

DRAW_PERIOD_S: Final = 4.0
DRAW_TIMEOUT_S: Final = 0.5
RENEW_BEFORE_S: Final = 5.0
UNREACHABLE_PAUSE_S: Final = 1.0
MAX_SHORT_PAUSE_S: Final = 0.5
SCARCE_DRAW_PERIOD_S: Final = 0.5
PREFETCH_S: Final = 4.0
SCARCE_PREFETCH_S: Final = 0.5
SCARCE_MEMORY_S: Final = 10.0
SCARCE_POOL_SHARE: Final = 0.3
SURPLUS_FACTOR: Final = 2.0
MIN_USAGE_NOTE_TOKENS: Final = 16.0


class PlannedDraw(NamedTuple):
    """A draw to send now.

    Attributes
    ----------
    pool, address : str
        The pool, and the address of the control daemon that holds it.
    draw : Draw
        The message to send.
    """

    pool: str
    address: str
    draw: Draw


class Shortage(NamedTuple):
    """Why a reservation failed.

    Attributes
    ----------
    missing_tokens : float
        The number of tokens that were missing.
    retry_after_s : float
        The earliest time, from now, at which a pool expects to have them.
    is_reachable : bool
        False if no pool of the customer has been reachable recently.
    oldest_short_reply_s : float
        Each reachable pool has replied that it is short of tokens at this time or
        later; minus infinity if one of them has not.
    """

    missing_tokens: float
    retry_after_s: float
    is_reachable: bool
    oldest_short_reply_s: float


class _Reserved(NamedTuple):
    customer: str
    parts: tuple[Part, ...]
    noted_tokens: float


@final
class _PoolState:
    def __init__(self, source: PoolSource) -> None:
        self.source = source
        self.epoch = 0
        self.sequence = 0
        self.in_flight: Draw | None = None
        self.sent_s = float("-inf")
        self.unreachable_until_s = float("-inf")
        self.held_grants: dict[str, HeldGrant] = {}
        self.short_until_s: dict[str, float] = {}
        self.retry_at_s: dict[str, float] = {}
        self.short_reply_s: dict[str, float] = {}

    def is_busy(self, now_s: float) -> bool:
        return self.in_flight is not None and now_s < self.sent_s + DRAW_TIMEOUT_S

    def has_more(self, customer: str, now_s: float) -> bool:
        if customer not in self.source.customers or now_s < self.unreachable_until_s:
            return False
        return now_s >= self.short_until_s.get(customer, float("-inf"))


@final
class GrantClient:
    """The grants and reservations of one entry daemon.

    Parameters
    ----------
    entry_id : str
        Unique for each start of the process.
    """

    def __init__(self, entry_id: str) -> None:
        self._entry_id = entry_id
        self._pools: dict[str, _PoolState] = {}
        self._retired_grants: list[HeldGrant] = []
        self._next_id = 1
        self._reserved: dict[int, _Reserved] = {}
        self._waiting: dict[str, float] = {}
        self._debts: dict[str, float] = {}
        self._demand = DemandRate()
        self._scarce_until_s: dict[str, float] = {}
        self._is_closing = False

    def set_sources(self, view: LimitsView) -> None:
        """Update the pools and their holders.

        Grants stay usable when their pool is removed or its holder changes.
        """
        pools = {source.pool: source for source in view.sources}
        for name in [name for name in self._pools if name not in pools]:
            self._retired_grants.extend(self._pools.pop(name).held_grants.values())
        self._pools = {
            name: self._pools.get(name) or _PoolState(source)
            for name, source in pools.items()
        }
        for name, source in pools.items():
            self._pools[name].source = source

    def reserve(self, customer: str, tokens: float, now_s: float) -> int | Shortage:
        """Reserve tokens, from several grants if necessary.

        Parameters
        ----------
        customer : str
            The customer whose tokens are reserved.
        tokens : float
            The maximum that the request may use.
        now_s : float
            The current time, which is the time of admission.

        Returns
        -------
        int or Shortage
            The reservation's ID, or what is missing.
        """
        debt = self._debts.get(customer, 0.0)
        parts = take_parts(self._usable(customer, now_s), tokens + debt)
        if parts is None:
            return self._shortage(customer, tokens + debt, now_s)
        if debt:
            parts, _ = spend_parts(parts, self._debts.pop(customer))
        self._demand.add(customer, tokens, now_s)
        reservation_id = self._allocate_id()
        self._reserved[reservation_id] = _Reserved(customer, parts, 0.0)
        return reservation_id

    def settle(self, reservation_id: int, used_tokens: float, now_s: float) -> None:
        """Charge what a request used and free the rest of its reservation.

        Usage above the reservation is added to the customer's next reservation.
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
        """Charge what a running request has used so far.

        Reserved tokens count as outstanding and keep the customer's bucket from
        refilling, so a long response should not keep all of its reservation until its
        end.
        """
        reserved = self._reserved.get(reservation_id)
        if reserved is None:
            return
        if used_tokens < reserved.noted_tokens + MIN_USAGE_NOTE_TOKENS:
            return
        parts, spent = spend_parts(reserved.parts, used_tokens - reserved.noted_tokens)
        noted = reserved.noted_tokens + spent
        self._reserved[reservation_id] = _Reserved(reserved.customer, parts, noted)

    def set_waiting(self, customer: str, tokens: float) -> None:
        """Set the number of tokens that requests are currently waiting for."""
        if tokens > 0.0:
            self._waiting[customer] = tokens
        else:
            self._waiting.pop(customer, None)

    def plan_draws(self, now_s: float) -> list[PlannedDraw]:
        """Return the draws to send now, and mark them as in flight."""
        self._forget_expired(now_s)
        to_draw = self._tokens_to_draw(now_s)
        planned = []
        for pool in self._pools.values():
            if pool.is_busy(now_s) or now_s < pool.unreachable_until_s:
                continue
            items = self._draw_items(pool, to_draw.get(pool.source.pool, {}), now_s)
            if items:
                planned.append(self._send(pool, items, now_s))
        return planned

    def on_reply(self, planned: PlannedDraw, reply: DrawReply, now_s: float) -> None:
        """Process the reply to a draw; ignore replies to older draws."""
        pool = self._pools.get(planned.pool)
        if pool is None or pool.in_flight is not planned.draw:
            return
        pool.in_flight = None
        # A late reply must not revive an expired grant: the holder may have counted
        # its tokens as spent before it granted new ones under the same ID.
        self._forget_expired(now_s)
        if reply.epoch != pool.epoch:
            self._change_epoch(pool, reply.epoch, planned.draw)
        for grant in reply.grants:
            held_grant = pool.held_grants.get(grant.customer)
            if held_grant is not None and held_grant.grant_id == grant.grant_id:
                held_grant.apply_granted(
                    grant.granted_tokens, pool.sent_s + reply.lifetime_s
                )
                _record_shortfall(pool, grant, now_s)
        self._retire_ended_grants(pool, planned.draw, reply)

    def _retire_ended_grants(
        self, pool: _PoolState, draw: Draw, reply: DrawReply
    ) -> None:
        """Stop renewing grants that the holder no longer knows or that hold nothing."""
        known = {grant.grant_id for grant in reply.grants}
        for item in draw.items:
            held_grant = pool.held_grants.get(item.customer)
            if held_grant is None or held_grant.grant_id != item.grant_id:
                continue
            if item.grant_id not in known or item.hold_tokens <= 0.0:
                self._retired_grants.append(pool.held_grants.pop(item.customer))

    def on_failure(self, planned: PlannedDraw, now_s: float) -> None:
        """Pause draws on a pool that did not reply or has no holder."""
        pool = self._pools.get(planned.pool)
        if pool is None or pool.in_flight is not planned.draw:
            return
        pool.in_flight = None
        pool.unreachable_until_s = now_s + UNREACHABLE_PAUSE_S

    def return_unspent(self) -> None:
        """Return all unspent tokens and request no more, for a graceful shutdown."""
        self._is_closing = True
        for pool in self._pools.values():
            pool.sent_s = float("-inf")
            for held_grant in pool.held_grants.values():
                held_grant.give_back(held_grant.unspent_tokens)

    def held_tokens(self, customer: str, now_s: float) -> float:
        """Return the number of tokens that can be reserved now."""
        return sum(
            held_grant.unspent_tokens for held_grant in self._usable(customer, now_s)
        )

    def _allocate_id(self) -> int:
        self._next_id += 1
        return self._next_id

    def _usable(self, customer: str, now_s: float) -> list[HeldGrant]:
        older = [
            held_grant
            for held_grant in self._retired_grants
            if held_grant.customer == customer
        ]
        held = (pool.held_grants.get(customer) for pool in self._pools.values())
        return [
            held_grant
            for held_grant in (*older, *held)
            if held_grant is not None and now_s < held_grant.expires_s
        ]

    def _forget_expired(self, now_s: float) -> None:
        self._retired_grants = [h for h in self._retired_grants if now_s < h.expires_s]
        for pool in self._pools.values():
            pool.held_grants = {
                customer: held_grant
                for customer, held_grant in pool.held_grants.items()
                if not held_grant.is_expired(now_s)
            }

    def _shortage(self, customer: str, tokens: float, now_s: float) -> Shortage:
        missing = tokens - self.held_tokens(customer, now_s)
        pools = [p for p in self._pools.values() if customer in p.source.customers]
        reachable = [pool for pool in pools if now_s >= pool.unreachable_until_s]
        waits_s = (pool.retry_at_s.get(customer, now_s) - now_s for pool in reachable)
        short_replies_s = (
            p.short_reply_s.get(customer, float("-inf")) for p in reachable
        )
        return Shortage(
            missing,
            max(0.0, min(waits_s, default=0.0)),
            bool(reachable),
            min(short_replies_s, default=float("-inf")),
        )

    def _tokens_to_draw(self, now_s: float) -> dict[str, dict[str, float]]:
        """Return, by pool and customer, the tokens to draw beyond those held."""
        to_draw: dict[str, dict[str, float]] = {}
        if self._is_closing:
            return to_draw
        known_customers = {
            name for pool in self._pools.values() for name in pool.held_grants
        }
        for customer in known_customers | self._demand.customers() | set(self._waiting):
            waiting = self._waiting.get(customer, 0.0)
            is_scarce = self._is_scarce(customer, now_s)
            prefetch_s = SCARCE_PREFETCH_S if is_scarce else PREFETCH_S
            prefetch = self._demand.per_s(customer, now_s) * prefetch_s
            wanted = waiting + prefetch + self._debts.get(customer, 0.0)
            held = self.held_tokens(customer, now_s)
            self._update_scarcity(customer, now_s)
            pool = self._first_pool_with_more(customer, now_s)
            if pool is None:
                continue
            if wanted > held:
                to_draw.setdefault(pool.source.pool, {})[customer] = wanted - held
            elif held > SURPLUS_FACTOR * wanted:
                self._give_back_surplus(customer, held - wanted, now_s)
        return to_draw

    def _update_scarcity(self, customer: str, now_s: float) -> None:
        """Enter the scarce mode for a customer if many of its pools are short.

        In this mode the daemon prefetches less and reports spending more often.
        """
        pools = [p for p in self._pools.values() if customer in p.source.customers]
        short_count = sum(1 for pool in pools if not pool.has_more(customer, now_s))
        if short_count and short_count >= SCARCE_POOL_SHARE * len(pools):
            self._scarce_until_s[customer] = now_s + SCARCE_MEMORY_S

    def _is_scarce(self, customer: str, now_s: float) -> bool:
        return now_s < self._scarce_until_s.get(customer, float("-inf"))

    def _first_pool_with_more(self, customer: str, now_s: float) -> _PoolState | None:
        usable = (p for p in self._pools.values() if p.has_more(customer, now_s))
        return next(usable, None)

    def _give_back_surplus(self, customer: str, tokens: float, now_s: float) -> None:
        for pool in self._pools.values():
            held_grant = pool.held_grants.get(customer)
            if held_grant is not None and not pool.is_busy(now_s):
                part = min(tokens, held_grant.unspent_tokens)
                held_grant.give_back(part)
                tokens -= part

    def _draw_items(
        self, pool: _PoolState, to_draw: dict[str, float], now_s: float
    ) -> tuple[DrawItem, ...]:
        is_scarce = any(
            self._is_scarce(customer, now_s) for customer in pool.held_grants
        )
        period_s = SCARCE_DRAW_PERIOD_S if is_scarce else DRAW_PERIOD_S
        is_due = now_s >= pool.sent_s + period_s
        is_urgent = any(customer in self._waiting for customer in to_draw)
        if not (is_due or is_urgent):
            return ()
        for customer in to_draw:
            if customer not in pool.held_grants:
                pool.held_grants[customer] = HeldGrant(customer, self._allocate_id())
        return tuple(
            held_grant.draw_item(to_draw.get(customer, 0.0))
            for customer, held_grant in pool.held_grants.items()
            if customer in to_draw or held_grant.needs_draw(now_s + RENEW_BEFORE_S)
        )

    def _send(
        self, pool: _PoolState, items: tuple[DrawItem, ...], now_s: float
    ) -> PlannedDraw:
        pool.sequence += 1
        pool.sent_s = now_s
        draw = Draw(self._entry_id, pool.sequence, pool.epoch, items)
        pool.in_flight = draw
        return PlannedDraw(pool.source.pool, pool.source.address, draw)

    def _change_epoch(self, pool: _PoolState, epoch: int, draw: Draw) -> None:
        """Keep grants of the previous holder usable, but stop reporting on them."""
        is_first_reply = pool.epoch == 0 and draw.epoch == 0
        pool.epoch = epoch
        if not is_first_reply:
            self._retired_grants.extend(pool.held_grants.values())
            pool.held_grants = {}


def _record_shortfall(pool: _PoolState, grant: GrantedTotal, now_s: float) -> None:
    if grant.retry_after_s > 0.0:
        pause_s = min(grant.retry_after_s, MAX_SHORT_PAUSE_S)
        pool.short_until_s[grant.customer] = now_s + pause_s
        pool.retry_at_s[grant.customer] = now_s + grant.retry_after_s
        pool.short_reply_s[grant.customer] = now_s
    else:
        pool.short_until_s.pop(grant.customer, None)
        pool.retry_at_s.pop(grant.customer, None)
        pool.short_reply_s.pop(grant.customer, None)
