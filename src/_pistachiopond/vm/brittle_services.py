"""The shares that a VM has of the services whose servers announced a crash limit."""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Final, final

from _pistachiopond.decisions.attempt_policy import AttemptKind
from _pistachiopond.decisions.brittle_servers import (
    MAX_LOAD_AGE_PERIODS,
    MIN_MAX_LOAD_AGE_S,
    BrittleNotices,
    ServerState,
    ServiceShare,
)
from _pistachiopond.observe.logs import log_change
from _pistachiopond.schema.deployment import BackendServer, Incarnation
from _pistachiopond.vm.clock import boot_s
from _pistachiopond.vm.counts import decrease, increase

# How often the equal share of a VM without a leader follows the servers.
EQUAL_SHARE_PERIOD_S: Final = 0.5

ServerStates = Callable[[str], Sequence[ServerState]]


@final
class BrittleServices:
    """Decides when a request may be sent to a service with brittle servers.

    Attributes
    ----------
    refusal_count : int
        The requests that brittle servers have refused to this VM.
    """

    def __init__(self, server_states: ServerStates) -> None:
        """Start without any brittle service.

        Parameters
        ----------
        server_states : callable
            Returns the servers of a service that take requests, with their load.
        """
        self._server_states = server_states
        self._notices = BrittleNotices()
        self._shares: dict[str, ServiceShare] = {}
        self._load_updated_s: dict[str, float] = {}
        self._own_load: dict[str, int] = {}
        self._waiting: dict[str, dict[int, asyncio.Future[None]]] = {}
        self._wait_number = 0
        self._member_count = 1
        self._period_s = 0.0
        self._rng = random.Random()
        self.refusal_count = 0

    # Updates.

    def record_answer(
        self, server: BackendServer, crash_limit: int | None, now_s: float
    ) -> None:
        """Record whether an answer of a server announces a crash limit.

        Parameters
        ----------
        server : BackendServer
            The server that answered.
        crash_limit : int or None
            The refusals within a second beyond which it crashes; None if it announced
            none.
        now_s : float
            The time in seconds.
        """
        service = server.service
        if self._notices.record(service, server.incarnation(), crash_limit, now_s):
            log_change(
                "server's crash limit changed",
                server=server.server_id,
                service=service,
                crash_limit=crash_limit,
            )
        self._follow_notices(now_s)

    def keep_only(self, present: set[Incarnation], now_s: float) -> None:
        """Drop what is known of servers that are gone."""
        self._notices.keep_only(present, now_s)
        self._follow_notices(now_s)

    def load_updated(self, member_count: int, period_s: float, now_s: float) -> None:
        """Apply the load in a reply of the leader.

        Parameters
        ----------
        member_count : int
            The number of VMs.
        period_s : float
            The time between two replies.
        now_s : float
            The time in seconds.
        """
        self._member_count = member_count
        self._period_s = period_s
        for service in self._shares:
            self._update_load(service, now_s)

    def request_started(self, server: BackendServer) -> None:
        """Count a request that is sent to a server."""
        increase(self._own_load, server.service)
        share = self._shares.get(server.service)
        if share is not None:
            share.request_started(boot_s())

    def request_ended(
        self,
        server: BackendServer,
        kind: AttemptKind | None,
        *,
        is_cut_off: bool,
        has_answered: bool,
        is_late: bool,
    ) -> None:
        """Stop counting a request.

        Parameters
        ----------
        server : BackendServer
            The server that it was sent to.
        kind : str or None
            How it failed; None if it did not, or was cancelled.
        is_cut_off : bool
            Whether the server ended the connection before its answer was complete.
        has_answered : bool
            Whether the head of an answer came.
        is_late : bool
            Whether the request's deadline has passed.
        """
        service, now_s = server.service, boot_s()
        decrease(self._own_load, service)
        share = self._shares.get(service)
        if share is None:
            return
        incarnation = server.incarnation()
        limit = self._notices.limit_of(service, incarnation)
        if kind == "not_run" and limit is not None:
            self.refusal_count += 1
            pause_s = share.request_refused(incarnation, limit, now_s)
            log_change(
                "server with a crash limit refused",
                server=server.server_id,
                crash_limit=limit,
                pause_s=round(pause_s, 2),
                share=round(share.share, 2),
            )
        elif kind == "connect" or is_cut_off:
            share.request_failed(incarnation, now_s)
        elif kind in ("withdrawn", "not_here", "not_run"):
            share.request_withdrawn(now_s)
        elif has_answered:
            share.request_ended(incarnation, now_s)
        elif kind is None and not is_late:
            # The caller left, so the server had no time to answer.
            share.request_withdrawn(now_s)
        else:
            share.request_given_up(incarnation, now_s)
        self._wake_first(service)

    # Queries.

    def is_limited(self, service: str) -> bool:
        """Return whether requests to the service need a place in this VM's share."""
        return service in self._shares

    def announced(self) -> set[Incarnation]:
        """Return the servers whose last answer announced a crash limit."""
        return self._notices.announced()

    def rank(
        self, service: str, servers: Sequence[ServerState], now_s: float
    ) -> list[Incarnation]:
        """Return the servers that a request may be sent to, the preferred first.

        Parameters
        ----------
        service : str
            The service; `is_limited` holds.
        servers : sequence of ServerState
            The servers that can run the request.
        now_s : float
            The time in seconds.
        """
        share = self._shares[service]
        age_limit_s = max(MIN_MAX_LOAD_AGE_S, MAX_LOAD_AGE_PERIODS * self._period_s)
        if now_s - self._load_updated_s[service] > age_limit_s:
            # Without a leader's reply the load of the peers is not known.
            share.use_equal_share(self._server_states(service), now_s)
            self._load_updated_s[service] = now_s - age_limit_s + EQUAL_SHARE_PERIOD_S
        return share.rank(servers, now_s) if share.may_send(now_s) else []

    def expected_wait_s(self, service: str) -> float:
        """Return how long a request waits that begins to wait now."""
        waiting = len(self._waiting.get(service, ()))
        return self._shares[service].expected_wait_s(waiting, boot_s())

    def paused_for_s(self, service: str) -> float:
        """Return for how long no server of the service may be sent a request."""
        return self._shares[service].paused_for_s(boot_s())

    async def wait(self, service: str, until_s: float) -> None:
        """Wait until there may be a place, but at most until `until_s`."""
        now_s = boot_s()
        check_s = min(until_s, self._shares[service].check_again_s(now_s))
        self._wait_number += 1
        number = self._wait_number
        woken = asyncio.get_running_loop().create_future()
        waiting = self._waiting.setdefault(service, {})
        waiting[number] = woken
        try:
            async with asyncio.timeout(max(0.0, check_s - now_s)):
                await woken
        except TimeoutError:
            return
        finally:
            del waiting[number]

    def _wake_first(self, service: str) -> None:
        for woken in self._waiting.get(service, {}).values():
            if not woken.done():
                woken.set_result(None)
                return

    def _update_load(self, service: str, now_s: float) -> None:
        self._shares[service].set_load(
            self._server_states(service), self._member_count, self._period_s, now_s
        )
        self._load_updated_s[service] = now_s

    def _follow_notices(self, now_s: float) -> None:
        limited = self._notices.services()
        for service, limit in limited.items():
            if service not in self._shares:
                own_load = self._own_load.get(service, 0)
                self._shares[service] = ServiceShare(own_load, now_s, self._rng)
                self._shares[service].set_limit(limit)
                self._update_load(service, now_s)
                log_change(
                    "service limited, its servers have a crash limit", service=service
                )
            self._shares[service].set_limit(limit)
        for service in [name for name in self._shares if name not in limited]:
            del self._shares[service]
            del self._load_updated_s[service]
            log_change("service no longer limited", service=service)
