"""Keeps what callers make a VM's process hold within the memory of its machine."""

import asyncio
import os
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Final, NamedTuple, final

from prometheus_client import Counter

from _pistachiopond.decisions.memory_budget import (
    RETRY_AFTER_S,
    MemoryAccount,
    budget_bytes,
    choose_relief,
    choose_silent,
    max_caller_connections,
)
from _pistachiopond.http1.messages import RawHeaders, RequestHead
from _pistachiopond.http1.server import ConnectionMemory, ServerConnection
from _pistachiopond.observe.containment import contained
from _pistachiopond.observe.logs import log_change
from _pistachiopond.observe.metrics import Metrics
from _pistachiopond.platform.requests import decode_request, refusal_headers
from _pistachiopond.schema.vm_settings import VmSettings
from _pistachiopond.vm.configuration_state import ConfigurationState
from _pistachiopond.vm.relay_messages import VERDICT_HEADER, verdict_of

# Bodies that find no room are looked at together, after this time, and so that it takes
# about a tenth of the process's time at most. One look takes 5 to 7 ms of a full core
# with 719 connections, and 21 to 26 ms with 5,000.
RELIEF_DELAY_S: Final = 0.05
RELIEF_TIME_SHARE: Final = 0.1
# Counted of one look, which a standstill of the machine can prolong.
MAX_RELIEF_S: Final = 0.05
# After a standstill of this process, what callers have sent is read before anyone is
# taken for stopped.
STANDSTILL_S: Final = 1.0
# Of callers' share of connections, this part is closed at a time, so that new ones do
# not look at all connections each.
CLOSED_PART: Final = 16
# If no connection was silent, new ones are closed at once for this time.
NONE_SILENT_S: Final = 0.25
LOG_PERIOD_S: Final = 1.0
STATM_PATH: Final = Path("/proc/self/statm")


class ReliefMetrics(NamedTuple):
    """Metrics of connections that gave way.

    Attributes
    ----------
    closed : Counter
        Connections closed, by reason.
    refused : Counter
        Requests refused with 503, by reason.
    """

    closed: Counter
    refused: Counter


@final
class HeldMemory:
    """The account of one process, and what it does when the account is short.

    Parameters
    ----------
    settings : VmSettings
        The limits of the machine.
    state : ConfigurationState
        Knows the customers' keys.
    connections : set of ServerConnection
        Of callers and of other VMs that pass requests on.
    plain_connections : set of ServerConnection
        Of other clients.
    now_s : callable
        The monotonic time.
    metrics : Metrics
        The metrics of the process.
    """

    def __init__(
        self,
        settings: VmSettings,
        state: ConfigurationState,
        connections: set[ServerConnection],
        plain_connections: set[ServerConnection],
        now_s: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        budget = budget_bytes(settings.memory_bytes)
        self.account = MemoryAccount(budget, settings.memory_bytes)
        self._max_callers = max_caller_connections(settings.max_descriptors)
        self._state = state
        self._connections = connections
        self._plain_connections = plain_connections
        self._now_s = now_s
        self._metrics = _register_metrics(metrics, self.account)
        self._has_waiting = False
        self._is_relief_due = False
        self._relief_s = 0.0
        self._ticked_s = now_s()
        self._none_silent_until_s = 0.0
        self._logged_s = float("-inf")
        self._unlogged = {"closed": 0, "refused": 0}

    def for_callers(self) -> ConnectionMemory:
        """Return the account for the listener of callers, whose number is bounded."""
        return self.for_others()._replace(may_open=self._may_open)

    def for_others(self) -> ConnectionMemory:
        """Return the account for another listener."""
        return ConnectionMemory(
            self.account,
            may_open=lambda: True,
            on_wait=self._on_wait,
            on_release=self._on_release,
            refusal_headers=self._refusal_headers,
            customer_of=self._customer_of,
        )

    def tick(self) -> None:
        """Compare the estimate with the resident memory, and relieve the account."""
        now_s = self._now_s()
        was_standing = now_s - self._ticked_s > STANDSTILL_S
        self._ticked_s = now_s
        self.account.record_resident(_resident_bytes())
        if not was_standing:
            self._relieve()

    def _refusal_headers(self, head: RequestHead) -> RawHeaders:
        """Return the headers of a refusal with 503, and count it."""
        reason = "exceeded" if self.account.is_exceeded() else "no_room"
        self._metrics.refused.labels(reason).inc()
        self._log(refused=1)
        decoded = decode_request(head)
        attempt_id = "" if decoded.is_err() else decoded.ok().attempt_id
        headers = refusal_headers(attempt_id, RETRY_AFTER_S)
        # Another VM that passed the request on may then send it elsewhere.
        return [*headers, (VERDICT_HEADER, verdict_of(503))]

    def _customer_of(self, head: RequestHead) -> str:
        """Return the customer whose key a request has; empty for an unknown key."""
        decoded = decode_request(head)
        table = self._state.table
        if decoded.is_err() or table is None:
            return ""
        key = decoded.ok().key
        customer = None if key is None else table.customer_of(key)
        return "" if customer is None else customer.name

    def _on_wait(self) -> None:
        self._has_waiting = True
        self._relieve_soon()

    def _on_release(self) -> None:
        if self._has_waiting:
            self._relieve_soon()

    def _relieve_soon(self) -> None:
        if not self._is_relief_due:
            self._is_relief_due = True
            loop = asyncio.get_running_loop()
            delay_s = max(RELIEF_DELAY_S, self._relief_s / RELIEF_TIME_SHARE)
            loop.call_later(delay_s, self._relieve_later)

    def _relieve_later(self) -> None:
        self._is_relief_due = False
        self._relieve()

    def _relieve(self) -> None:
        if not self._has_waiting and self.account.room().all_bytes >= 0:
            return
        began_s = self._now_s()
        self._relieve_now(began_s)
        self._relief_s = min(MAX_RELIEF_S, self._now_s() - began_s)

    def _relieve_now(self, now_s: float) -> None:
        all_connections = [*self._connections, *self._plain_connections]
        self._give_room(all_connections)
        held = [(x, x.holding()) for x in all_connections]
        relief = choose_relief(
            [holding for _, holding in held], self.account.room(), now_s
        )
        for position in relief.closed:
            connection, holding = held[position]
            with contained("maintenance", step="give_way"):
                connection.give_way()
            self._metrics.closed.labels(holding.phase).inc()
        for position in relief.refused:
            with contained("maintenance", step="refuse_for_memory"):
                held[position][0].refuse_for_memory()
        if relief.closed or relief.refused:
            self._log(closed=len(relief.closed))
            self._give_room(all_connections)
        self._has_waiting = any(x.awaits_room() for x in all_connections)

    def _give_room(self, connections: Iterable[ServerConnection]) -> None:
        """Let bodies that wait go on, those that have waited longest first."""
        held = [(x.holding().since_s, x) for x in connections if x.awaits_room()]
        for _, connection in sorted(held, key=lambda item: item[0]):
            with contained("maintenance", step="take_room"):
                connection.take_room()

    def _may_open(self) -> bool:
        """Return whether a caller may have another connection."""
        most = self._max_callers
        if most is None or len(self._connections) < most:
            return True
        now_s = self._now_s()
        chosen: list[int] = []
        if now_s >= self._none_silent_until_s:
            connections = list(self._connections)
            holdings = [connection.holding() for connection in connections]
            chosen = choose_silent(holdings, max(1, most // CLOSED_PART), now_s)
            for position in chosen:
                self._connections.discard(connections[position])
                connections[position].give_way()
            self._metrics.closed.labels("silent").inc(len(chosen))
        if not chosen:
            self._none_silent_until_s = max(
                self._none_silent_until_s, now_s + NONE_SILENT_S
            )
            self._metrics.closed.labels("no_descriptor").inc()
        self._log(closed=max(1, len(chosen)))
        return bool(chosen)

    def _log(self, closed: int = 0, refused: int = 0) -> None:
        """Write one line a second at most about connections that gave way."""
        self._unlogged["closed"] += closed
        self._unlogged["refused"] += refused
        now_s = self._now_s()
        if now_s - self._logged_s < LOG_PERIOD_S:
            return
        log_change(
            "connections gave way",
            **self._unlogged,
            connections=len(self._connections),
            body_bytes=self.account.reserved_bytes,
            other_bytes=self.account.other_bytes,
            free_bytes=int(self.account.room().all_bytes),
        )
        self._logged_s = now_s
        self._unlogged = {"closed": 0, "refused": 0}


def _register_metrics(metrics: Metrics, account: MemoryAccount) -> ReliefMetrics:
    metrics.gauge(
        "pond_held_body_bytes",
        "Memory held or reserved for callers' bodies.",
        lambda: account.reserved_bytes,
    )
    metrics.gauge(
        "pond_held_other_bytes",
        "Memory held for connections beside bodies.",
        lambda: account.other_bytes,
    )
    metrics.gauge(
        "pond_held_free_bytes",
        "Memory left for bodies.",
        lambda: account.room().all_bytes,
    )
    return ReliefMetrics(
        metrics.counter(
            "pond_connections_given_way",
            "Connections closed for lack of memory or descriptors.",
            ("reason",),
        ),
        metrics.counter(
            "pond_memory_refusals",
            "Requests refused for lack of memory.",
            ("reason",),
        ),
    )


def _resident_bytes() -> int:
    """Return the resident memory of this process; 0 if it is unknown."""
    try:
        pages = int(STATM_PATH.read_text("ascii").split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")
