"""Chooses the server for each attempt of a request, and waits until one takes it."""

import asyncio
from collections.abc import Callable
from typing import Final, final

from _pistachiopond.decisions.server_waits import (
    MAX_RETRY_AFTER_S,
    Obstacles,
    ShareWait,
    WaitPlan,
    plan_wait,
)
from _pistachiopond.decisions.start_estimate import Patience
from _pistachiopond.observe.logs import log_change
from _pistachiopond.schema.deployment import BackendServer
from _pistachiopond.vm.admission import Admitted
from _pistachiopond.vm.clock import boot_s
from _pistachiopond.vm.fleet import ModelRef, RankedServer
from _pistachiopond.vm.forward_dependencies import ForwardDependencies
from _pistachiopond.vm.pacing import NoRoom
from _pistachiopond.vm.refusals import RETRY_SOON_S, Refusal
from _pistachiopond.vm.server_places import Place
from _pistachiopond.vm.version_binding import VersionBinding

# A request for a model that no server has loaded waits for at most this share of the
# time left until its deadline, and for at most a share of the time that its caller is
# expected to wait for a first event: several times the latency objective, or the
# minimum below. Then the caller gets a 503 with Retry-After.
MODEL_WAIT_SHARE: Final = 0.6
MIN_CALLER_WAIT_S: Final = 2.0
CALLER_WAIT_OBJECTIVES: Final = 4.0
CALLER_WAIT_SHARE: Final = 0.6
# Callers also wait for a first event for this many of the longest allowed pauses.
CALLER_WAIT_GAPS: Final = 8.0
# A server that executes an order to load or unload a model refuses requests for about
# a hundred milliseconds.
ORDER_WAIT_S: Final = 0.12
# After this wait for a model, a server that has it and refuses this VM is known not to
# have crashed, so the request goes through another VM.
CRASH_KNOWN_S: Final = 0.8
# Longer waits for a model are logged.
LOGGED_WAIT_S: Final = 0.25


@final
class ServerSelection:
    """The servers that one request may be sent to, and its waits for them.

    Attributes
    ----------
    tried : set of str
        Servers that the request has been sent to.
    lack : str
        Why no server takes the request, for the log.
    """

    def __init__(
        self,
        deps: ForwardDependencies,
        admitted: Admitted,
        binding: VersionBinding | None,
        *,
        is_last_server: Callable[[], bool],
        has_peer: Callable[[], bool],
        is_refused: Callable[[], bool],
    ) -> None:
        """Prepare for a request.

        Parameters
        ----------
        deps : ForwardDependencies
            Dependencies shared by all requests.
        admitted : Admitted
            Its route, service, customer and deadline.
        binding : VersionBinding or None
            The software version that it is bound to; None for other requests than
            resumable streams.
        is_last_server : callable
            Returns whether the next server is the last that may run the request.
        has_peer : callable
            Returns whether another VM may take the request.
        is_refused : callable
            Returns whether the request must reach no server any more.
        """
        self._deps = deps
        self._admitted = admitted
        self._binding = binding
        self._is_last_server = is_last_server
        self._has_peer = has_peer
        self._is_refused = is_refused
        caller = admitted.caller
        self.model_ref = ModelRef(admitted.service, caller.model, caller.adapter)
        self._prompt_id = caller.prompt[0].part_id if caller.prompt else None
        self._arrival_s = asyncio.get_running_loop().time()
        self._latest_wait_s: float | None = None
        self._retry_after_s: float | None = None
        self._has_waited = False
        self._has_no_room = False
        self._place: Place | None = None
        self._lacks_place = False
        self.tried: set[str] = set()
        self.lack = "no server available"

    async def choose(self, *, was_refused: bool) -> BackendServer | None:
        """Return the server for the next attempt, or None if there is none.

        Parameters
        ----------
        was_refused : bool
            Whether a server has said that it did not run the request.
        """
        while not (self._is_refused() or self._has_no_room):
            self._place, self._lacks_place = None, False
            ranked = self._rank(frozenset(self.tried))
            limited = self._rank_limited(frozenset(self.tried))
            asked = self._places_to_ask_for(ranked, limited)
            if asked:
                server = await self._take_place(asked, can_wait=not ranked)
                if server is not None:
                    return server
            if not ranked:
                plan = self._plan_wait()
                if plan.step == "pause" or (
                    plan.step == "share" and not self._needs_place()
                ):
                    await self._wait(plan)
                    continue
                if plan.step == "refuse" or limited:
                    return None
                found = await self._wait_for_model(was_refused=was_refused)
                if found is None:
                    continue
                ranked = found
            if not ranked:
                return None
            server = await self._pace(ranked, can_refuse=not limited)
            if server is not None:
                return server
        return None

    async def _pace(
        self, ranked: list[RankedServer], *, can_refuse: bool
    ) -> BackendServer | None:
        """Return the server to send to now; None if all are to be ranked again.

        None also if there is no room at them before the caller leaves.
        """
        if not self.model_ref.model:
            return ranked[0].server
        server = await self._deps.pacing.choose_server(
            ranked,
            self._admitted.caller,
            self._admitted.route,
            self._arrival_s,
            self._patience() if can_refuse and not self.tried else None,
        )
        if isinstance(server, NoRoom):
            self._has_no_room = True
            self.lack = "no start expected before the caller leaves"
            return_s = max(RETRY_SOON_S, server.return_s)
            self._retry_after_s = min(MAX_RETRY_AFTER_S, return_s)
            return None
        if self._may_use(server):
            return server
        # It asked for a pause or said that it leaves while the prompt was delayed.
        return None

    def _patience(self) -> Patience | None:
        """Return how long the caller waits for a stream; None for other requests."""
        route, customer = self._admitted.route, self._admitted.customer
        if route.kind != "stream":
            return None
        patience_s = max(
            MIN_CALLER_WAIT_S,
            CALLER_WAIT_OBJECTIVES * route.latency_objective_s,
            CALLER_WAIT_GAPS * route.gap_objective_s,
        )
        end_s = min(self._arrival_s + patience_s, self._admitted.end_s)
        return Patience(
            give_up_s=round(end_s - asyncio.get_running_loop().time(), 3),
            objective_s=route.latency_objective_s,
            rank=self._admitted.rank,
            origin=f"{route.name}/{customer.name if customer else ''}",
        )

    def may_send(self, server: BackendServer) -> bool:
        """Return whether the request may be sent to the chosen server now.

        Since it was chosen, the server may have asked for a pause, begun to leave or
        named a rate, its data centre may have been evacuated, a place may have expired,
        and the request may have been found to crash servers.
        """
        now_s = boot_s()
        if self._is_refused() or not self._deps.fleet.is_open(server):
            return False
        if not self._deps.fleet.rates.is_limited(server.incarnation(), now_s):
            return True
        place = self._place
        return place is not None and place.server == server and now_s < place.expires_s

    def _may_use(self, server: BackendServer) -> bool:
        """Return whether to send to the server that was chosen before a wait.

        Others that waited may have used up this VM's share of a brittle service.
        """
        return self.may_send(server) and self._deps.fleet.has_place(server)

    def _is_unlimited(self, server: BackendServer) -> bool:
        return not self._deps.fleet.rates.is_limited(server.incarnation(), boot_s())

    def _rank_limited(self, tried: frozenset[str]) -> list[RankedServer]:
        if self._deps.fleet.rates.is_empty():
            return []
        return self._rank(tried, has_rate=True)

    def _places_to_ask_for(
        self, ranked: list[RankedServer], limited: list[RankedServer]
    ) -> list[RankedServer]:
        """Return the servers with a limited rate at which to ask for a place.

        Those are all of them where no other server takes the request without a queue,
        and where it would tell whether a named rate still holds. Of those that are only
        cold, it is also the ones with less load than the other servers.
        """
        if not ranked or not limited:
            return limited
        if not self._deps.places.may_ask(self._admitted.service):
            return []
        fleet, now_s = self._deps.fleet, boot_s()
        first = ranked[0].server
        if fleet.load(first.server_id) >= first.slots or any(
            fleet.rates.is_unheard(item.server.incarnation(), now_s) for item in limited
        ):
            return limited
        cost = min(map(fleet.cost, ranked))
        return [
            item
            for item in limited
            if fleet.rates.limit_end_s(item.server.incarnation(), now_s) is not None
            and fleet.cost(item) < cost
        ]

    async def _take_place(
        self, limited: list[RankedServer], *, can_wait: bool
    ) -> BackendServer | None:
        """Wait for a place at one of these servers; None if that takes too long."""
        while limited:
            place = await self._ask_for_place(limited, can_wait=can_wait)
            if place.server is None:
                return None
            self._place = place
            if place.is_limit_end and self._is_unlimited(place.server):
                # Others have waited for the same time, so the least loaded is chosen.
                # What has waited for a place is not refused by an estimate as well.
                ranked = self._rank(frozenset(self.tried))
                if ranked:
                    server = await self._pace(ranked, can_refuse=False)
                    if server is not None:
                        return server
            elif self._may_use(place.server):
                return place.server
            log_change(
                "place at a server not used",
                request=self._admitted.caller.attempt_id,
                server=place.server.server_id,
                expired_s=round(boot_s() - max(place.starts_s, place.expires_s), 3),
            )
            # The limit may have been extended or ended meanwhile.
            limited = self._rank_limited(frozenset(self.tried))
        return None

    async def _ask_for_place(
        self, limited: list[RankedServer], *, can_wait: bool
    ) -> Place:
        """Ask for a place and wait until it begins."""
        most_s = max(0.0, self._left_to_wait_s()) if can_wait else 0.0
        servers = [item.server for item in limited]
        customer = self._admitted.customer
        place = await self._deps.places.take(
            servers,
            most_s,
            self._admitted.rank,
            "" if customer is None else customer.name,
        )
        if place.server is None:
            if can_wait:
                self._lacks_place = True
                self.lack = "no place within the rates that servers name"
                wait_s = place.starts_s - boot_s()
                self._retry_after_s = min(MAX_RETRY_AFTER_S, max(RETRY_SOON_S, wait_s))
            return place
        wait_s = place.starts_s - boot_s()
        if wait_s > 0.0:
            # Placement sees requests that wait for a place as ones for their model.
            with self._deps.model_usage.count_waiting(self.model_ref, self._version()):
                await asyncio.sleep(wait_s)
        return place

    def has_refusing_server(self) -> bool:
        """Return whether servers that refuse this VM could run the request."""
        return self._deps.fleet.has_refusing_server(self.model_ref, self._version())

    def has_healthy_server(self) -> bool:
        """Return whether another server in good health has room now."""
        return self._deps.fleet.has_healthy_server(self.model_ref, self.tried)

    def second_server(self) -> BackendServer | None:
        """Return the server for a second attempt beside the present one."""
        return self._deps.fleet.second_server(
            self.model_ref, frozenset(self.tried), self._prompt_id
        )

    def version_refusal(self) -> Refusal | None:
        """Return the refusal of a stream whose version has gone."""
        return None if self._binding is None else self._binding.gone()

    def retry_after_s(self) -> float:
        """Return the Retry-After: when a server is expected to take the request."""
        if self._retry_after_s is not None:
            return self._retry_after_s
        if not self.model_ref.model or self._deps.fleet.has_server_for(
            self.model_ref, self._version()
        ):
            return RETRY_SOON_S
        waited_s = asyncio.get_running_loop().time() - self._arrival_s
        model_load_s = self._deps.model_load_s(self.model_ref)
        return min(
            MAX_RETRY_AFTER_S, max(RETRY_SOON_S, model_load_s + RETRY_SOON_S - waited_s)
        )

    def _version(self) -> str | None:
        return None if self._binding is None else self._binding.version

    def _rank(
        self, tried: frozenset[str], *, has_rate: bool = False
    ) -> list[RankedServer]:
        def rank(version: str | None) -> list[RankedServer]:
            return self._deps.fleet.rank(
                self.model_ref,
                tried,
                self._prompt_id,
                version,
                can_give_up=self._admitted.route.kind == "safe"
                and not self._is_last_server(),
                has_rate=has_rate,
            )

        return rank(None) if self._binding is None else self._binding.rank(rank)

    def _are_all_evacuated(self) -> bool:
        service = self._admitted.service
        return self._deps.fleet.are_all_evacuated(service, self._version())

    def _needs_place(self) -> bool:
        """Return whether only a place would help a request that has got none.

        A share of a brittle service is then no use, whenever there is room in it.
        """
        return self._lacks_place and not any(
            self._is_unlimited(server)
            and self._deps.fleet.can_run(server, self.model_ref)
            for server in self._deps.fleet.staying_servers(self._admitted.service)
        )

    def _waits_for_share(self) -> bool:
        return self._deps.fleet.waits_for_place(self.model_ref, self._version())

    def _may_find_room(self) -> bool:
        """Return whether a server that has the model takes requests at times."""
        return self._waits_for_share() or bool(self._rank_limited(frozenset()))

    def _plan_wait(self) -> WaitPlan:
        fleet, service = self._deps.fleet, self._admitted.service
        if self._are_all_evacuated():
            self.lack = "all servers are in evacuated data centres"
            self._retry_after_s = RETRY_SOON_S
            return WaitPlan("refuse")
        share = None
        if self._waits_for_share():
            share = ShareWait(
                fleet.brittle.expected_wait_s(service),
                fleet.brittle.paused_for_s(service),
            )
        resume_s = fleet.resume_s(self.model_ref, self._version())
        now_s = boot_s()
        plan = plan_wait(
            Obstacles(resume_s, share),
            now_s + self._left_to_wait_s(),
            now_s,
            has_waited=self._has_waited,
        )
        if plan.step == "refuse":
            self._retry_after_s = max(RETRY_SOON_S, plan.retry_after_s)
        return plan

    async def _wait(self, plan: WaitPlan) -> None:
        if plan.step == "share":
            self._has_waited = True
            await self._deps.fleet.brittle.wait(self._admitted.service, plan.until_s)
        else:
            await asyncio.sleep(plan.until_s - boot_s())
        # The servers that refused the request did not run it.
        self.tried.clear()

    def _left_to_wait_s(self) -> float:
        """Return for how long the request may wait from now on.

        All waits but those for a model count together.
        """
        if self._latest_wait_s is None:
            self._latest_wait_s = self._latest_start_s()
        return self._latest_wait_s - asyncio.get_running_loop().time()

    def _latest_start_s(self) -> float:
        """Return until when the request may wait for a server."""
        loop = asyncio.get_running_loop()
        left_s = self._admitted.end_s - loop.time()
        latency_objective_s = self._admitted.route.latency_objective_s
        caller_wait_s = max(
            MIN_CALLER_WAIT_S, CALLER_WAIT_OBJECTIVES * latency_objective_s
        )
        return loop.time() + min(
            MODEL_WAIT_SHARE * left_s, CALLER_WAIT_SHARE * caller_wait_s
        )

    async def _wait_for_model(self, *, was_refused: bool) -> list[RankedServer] | None:
        """Wait until a server has the model.

        Returns the servers, an empty list after the longest wait, or None if a server
        has the model but needs a place.
        """
        if not self.model_ref.model or self.version_refusal() is not None:
            return []
        loop = asyncio.get_running_loop()
        wait_until_s = self._latest_start_s()
        fleet = self._deps.fleet
        began_s = loop.time()
        reach, service = self._deps.reach, self._admitted.service
        was_unreachable = reach.is_unreachable(service)
        if was_refused:
            # Earlier attempts did not run the request, and no other server can run it.
            # The servers with the model are probably busy with an order.
            await asyncio.sleep(min(ORDER_WAIT_S, wait_until_s - began_s))
        crash_known_s = min(wait_until_s, loop.time() + CRASH_KNOWN_S)
        with self._deps.model_usage.count_waiting(self.model_ref, self._version()):
            while loop.time() < wait_until_s:
                changed = fleet.changed
                ranked = self._rank(frozenset())
                if ranked or self._may_find_room() or self._are_all_evacuated():
                    self._log_wait(loop.time() - began_s)
                    self.tried.clear()
                    return ranked or None
                if reach.is_unreachable(service) and not was_unreachable:
                    return []
                if self.version_refusal() is not None or self._is_refused():
                    return []
                is_crash_known = loop.time() >= crash_known_s
                if is_crash_known and self.has_refusing_server() and self._has_peer():
                    return []
                look_again_s = wait_until_s if is_crash_known else crash_known_s
                try:
                    async with asyncio.timeout_at(look_again_s):
                        await changed.wait()
                except TimeoutError:
                    if loop.time() < look_again_s:
                        raise
        return []

    def _log_wait(self, waited_s: float) -> None:
        if waited_s > LOGGED_WAIT_S:
            log_change(
                "request waited for its model",
                request=self._admitted.caller.attempt_id,
                model=self.model_ref.model,
                adapter=self.model_ref.adapter,
                software_version=self._version(),
                seconds=round(waited_s, 3),
            )
