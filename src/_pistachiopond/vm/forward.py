"""Forwards admitted requests to backend servers and relays the responses to callers."""

import asyncio
from functools import partial
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.attempt_policy import (
    AttemptState,
    SilentAttempt,
    final_step,
    may_retry,
    should_give_up,
)
from _pistachiopond.decisions.event_splitter import EventSplitter
from _pistachiopond.decisions.failure_kinds import FailureKind
from _pistachiopond.decisions.hedging import (
    HeadEstimate,
    HedgeSituation,
    withheld_reason,
)
from _pistachiopond.http1.messages import Request
from _pistachiopond.http1.server import ClientGoneError, Responder
from _pistachiopond.observe.containment import record_unexpected
from _pistachiopond.observe.logs import log_change
from _pistachiopond.platform.requests import EVENT_NUMBER_FIELDS
from _pistachiopond.schema.deployment import BackendServer
from _pistachiopond.vm.admission import Admitted
from _pistachiopond.vm.attempt import (
    DELIVERED,
    UNRECORDED,
    Attempt,
    Exchange,
    Outcome,
    write_response,
)
from _pistachiopond.vm.attempt_target import make_peer_target, make_server_target
from _pistachiopond.vm.clock import boot_s
from _pistachiopond.vm.forward_dependencies import ForwardDependencies
from _pistachiopond.vm.hedging import AttemptRace
from _pistachiopond.vm.part_watch import digest_parts, digest_request
from _pistachiopond.vm.peer_relays import Peer
from _pistachiopond.vm.refusals import RETRY_SOON_S, Refusal, send_refusal
from _pistachiopond.vm.server_selection import ServerSelection
from _pistachiopond.vm.suspects import make_fingerprint
from _pistachiopond.vm.version_binding import VersionBinding

# A request is passed on to at most this many other VMs. The second one is for a VM that
# has stopped or has itself lost its links to the servers a moment ago.
MAX_TRIED_PEERS: Final = 2
# A server from which nothing has come for this time, and for this share of the time
# since a request was sent, may have crashed with it.
MIN_SILENCE_S: Final = 0.2
MIN_SILENCE_SHARE: Final = 0.5


class RelayOrigin(NamedTuple):
    """What the VM that passed a request on has done about it.

    That VM has counted the request and charged its customer.

    Attributes
    ----------
    fingerprint : str
        The digest by which requests that crash servers are known.
    is_trial : bool
        Whether the leader has permitted that VM to try the request.
    """

    fingerprint: str
    is_trial: bool = False


async def forward(
    deps: ForwardDependencies,
    request: Request,
    admitted: Admitted,
    responder: Responder,
    origin: RelayOrigin | None = None,
) -> None:
    """Forward a request and relay its response, by the request's deadline.

    Parameters
    ----------
    deps : ForwardDependencies
        Dependencies shared by all requests.
    request : Request
        The caller's request.
    admitted : Admitted
        Its route, service, customer and deadline.
    responder : Responder
        Writes the response.
    origin : RelayOrigin or None
        Set if another VM has passed the request on; it is not passed on again.
    """
    forwarded = _ForwardedRequest(deps, request, admitted, responder, origin)
    try:
        async with asyncio.timeout_at(admitted.end_s) as timeout:
            deps.shutdown.request_timeouts.add(timeout)
            try:
                await forwarded.run()
            finally:
                deps.shutdown.request_timeouts.discard(timeout)
    except TimeoutError:
        await forwarded.handle_timeout()
    except ClientGoneError:
        raise
    except Exception as error:
        record_unexpected("request", error, request=admitted.caller.attempt_id)
        await forwarded.handle_unexpected()
    finally:
        forwarded.refund_if_not_run()
        forwarded.log_parts()
        forwarded.count_resumption()


@final
class _ForwardedRequest:
    """One admitted request and the attempts to have it answered."""

    def __init__(
        self,
        deps: ForwardDependencies,
        request: Request,
        admitted: Admitted,
        responder: Responder,
        origin: RelayOrigin | None,
    ) -> None:
        self._deps = deps
        self._origin = origin
        self._admitted = admitted
        self._responder = responder
        self._tried_peers: set[Peer] = set()
        self._silences_counted: set[str] = set()
        self._has_failed_to_connect = False
        self._no_server_reason = "no server available"
        self._earlier_possible_runs = 0
        self._not_run_count = 0
        self._is_delivered = False
        self._refusal_code = ""
        self._is_trial = origin is not None and origin.is_trial
        self._parts: tuple[str, ...] | None = None
        self._known_fingerprint = None if origin is None else origin.fingerprint
        caller = admitted.caller
        is_stream = admitted.route.kind == "stream"
        self._is_resumable_stream = is_stream and admitted.route.is_resumable
        last_id = None
        self._binding: VersionBinding | None = None
        if self._is_resumable_stream:
            last_id = caller.resumed.last_event_id if caller.resumed else None
            self._binding = VersionBinding(
                admitted, deps.fleet, deps.origins, deps.resumptions
            )
        self._selection = ServerSelection(
            deps,
            admitted,
            self._binding,
            is_last_server=self._is_last_server,
            has_peer=lambda: self._choose_peer() is not None,
            is_refused=self._is_refused,
        )
        splitter = None
        if is_stream:
            splitter = EventSplitter(
                last_id, EVENT_NUMBER_FIELDS, is_resumable=self._is_resumable_stream
            )
        self._attempt: Attempt | None = None
        self._second: Attempt | None = None
        self._race: AttemptRace | None = None
        self._arrival_s = asyncio.get_running_loop().time()
        self._exchange = Exchange(
            request, admitted, responder, splitter, self._arrival_s, set(), []
        )

    async def run(self) -> None:
        """Try servers until one answers or no further attempt is allowed."""
        deps = self._deps
        refusal = await self._early_refusal()
        if refusal is not None:
            await self._refuse(refusal)
            return
        if self._origin is None:
            deps.retries.record_request(self._admitted.service)
            deps.hedging.record_request(self._admitted.service)
        has_reached_server = False
        while True:
            receiver = await self._next_receiver()
            if receiver is None:
                return
            if isinstance(receiver, Peer):
                outcome = await self._run_at_peer(receiver)
            else:
                receiver, outcome = await self._run_at_servers(receiver)
            if outcome.kind is None:
                self._is_delivered = True
                self._record_success(receiver)
                return
            self._is_trial &= not self._count_possible_runs()
            state = self._record_failure(receiver, outcome)
            if not may_retry(self._admitted.route, state):
                await self._finish(outcome)
                return
            # The operators' retry budget bounds repeated requests that reach servers;
            # failed connection attempts do not count.
            if outcome.kind not in ("connect", "withdrawn"):
                has_reached_server = True
            if has_reached_server and not deps.retries.spend(self._admitted.service):
                await self._finish(outcome._replace(detail="retry budget exhausted"))
                return

    async def _early_refusal(self) -> Refusal | None:
        """Return the refusal of a request that no server may be sent."""
        refusal = await self._crash_refusal()
        if refusal is None and self._binding is not None:
            refusal = self._binding.resolve()
        return refusal

    async def _crash_refusal(self) -> Refusal | None:
        """Return the refusal of a request that crashes servers, or whose parts do.

        Asked before each attempt, since crashes are found while requests wait.
        """
        refused_for_s = self._refused_for_s()
        if refused_for_s > 0.0:
            log_fields = {
                "service": self._admitted.service,
                "fingerprint": self._fingerprint(),
                "customer": self._customer_name(),
            }
            return Refusal(503, "crashes_servers", refused_for_s, log_fields)
        return await self._part_refusal()

    def _is_refused(self) -> bool:
        """Return whether the request has been found to crash servers."""
        if self._refused_for_s() > 0.0:
            return True
        watch = self._deps.suspects.parts
        if not watch.has_refused() or self._is_trial:
            return False
        return watch.block_of(self._shared_parts()) is not None

    def _refused_for_s(self) -> float:
        suspects = self._deps.suspects
        if not suspects.has_refused():
            return 0.0
        return suspects.refused_for_s(self._fingerprint())

    async def _part_refusal(self) -> Refusal | None:
        """Return the refusal of a request with a part that crashes servers."""
        watch = self._deps.suspects.parts
        if not watch.has_refused() or self._is_trial:
            return None
        block = watch.block_of(self._shared_parts())
        if block is None:
            return None
        if await watch.may_try(self._shared_parts()):
            self._is_trial = True
            log_change(
                "part tried",
                request=self._admitted.caller.attempt_id,
                part=block.part,
            )
            return None
        log_fields = {"service": self._admitted.service, "part": block.part}
        return Refusal(503, "part_crashes_servers", round(block.for_s, 1), log_fields)

    async def _finish_refused(self, refusal: Refusal) -> None:
        if self._count_possible_runs() or self._responder.has_started:
            # The refusal would promise that the request has not run.
            await self._finish(Outcome("not_run", refusal.code))
        else:
            await self._refuse(refusal)

    def _shared_parts(self) -> tuple[str, ...]:
        if self._parts is None:
            self._parts = digest_parts(self._admitted.caller)
        return self._parts

    def _record_sound_parts(self) -> None:
        self._deps.suspects.parts.record_sound(self._shared_parts())

    def _record_lost_parts(self, server: BackendServer) -> None:
        known = self._deps.fleet.servers.get(server.server_id)
        has_left = known is None or known.incarnation() != server.incarnation()
        # A server that leaves ends the connections that are still open.
        if has_left or known.is_leaving or not self._shared_parts():
            return
        request = digest_request(self._fingerprint(), self._admitted.caller)
        parts = self._shared_parts()
        self._deps.suspects.parts.record_lost(request, parts, server)

    def _fingerprint(self) -> str:
        if self._known_fingerprint is None:
            customer = self._customer_name() or ""
            self._known_fingerprint = make_fingerprint(self._exchange.request, customer)
        return self._known_fingerprint

    def _customer_name(self) -> str | None:
        customer = self._admitted.customer
        return None if customer is None else customer.name

    async def handle_timeout(self) -> None:
        """Answer a request whose deadline has passed."""
        log_fields = {
            "server_tries": len(self._selection.tried),
            "service": self._admitted.service,
        }
        if self._responder.has_started:
            log_change(
                "answer broken off",
                request=self._admitted.caller.attempt_id,
                reason="deadline exceeded",
                **log_fields,
            )
            self._responder.abort()
        elif self._count_possible_runs():
            await self._refuse(Refusal(504, "time_is_up", None, log_fields))
        else:
            await self._refuse(Refusal(503, "time_is_up", RETRY_SOON_S, log_fields))

    async def handle_unexpected(self) -> None:
        """Answer a request after an unexpected exception."""
        if self._responder.has_started:
            self._responder.abort()
        elif self._count_possible_runs():
            await self._refuse(Refusal(502, "unclear", None))
        else:
            await self._refuse(Refusal(503, "internal_error", RETRY_SOON_S))

    def refund_if_not_run(self) -> None:
        """Refund the rate limit tokens if certainly no server ran the request."""
        if self._origin is None and not self._count_possible_runs():
            self._deps.refund(self._admitted)

    def log_parts(self) -> None:
        """Log how a stream was put together, unless one attempt sent all of it."""
        parts = self._exchange.parts
        resumed = self._admitted.caller.resumed
        if len(parts) > 1 or (parts and resumed is not None):
            log_change(
                "stream made of several parts",
                request=self._admitted.caller.attempt_id,
                parts=[part._asdict() for part in parts],
                is_whole=self._is_delivered,
            )

    def count_resumption(self) -> None:
        """Count whether a stream that the caller took up again has gone on."""
        if not self._is_resumable_stream or self._admitted.caller.resumed is None:
            return
        parts = self._exchange.parts
        has_gone_on = self._is_delivered or any(
            part.last_id != part.after_id for part in parts
        )
        outcome = "went_on" if has_gone_on else self._refusal_code or "broken_off"
        self._deps.resumption_ends.labels(outcome).inc()

    def _count_possible_runs(self) -> int:
        """Return how many servers may have run the request."""
        present = (self._attempt, self._second)
        return self._earlier_possible_runs + sum(
            attempt is not None and attempt.may_have_run for attempt in present
        )

    def _is_last_server(self) -> bool:
        """Return whether the next server is the last that may run the request."""
        return self._count_possible_runs() + 1 >= self._admitted.route.max_servers

    async def _next_receiver(self) -> BackendServer | Peer | None:
        """Return the receiver of the next attempt, or None after ending the request."""
        receiver = await self._choose_receiver()
        refusal = await self._crash_refusal()
        if refusal is not None:
            await self._finish_refused(refusal)
            return None
        if receiver is None:
            await self._finish(Outcome("not_run", self._no_server_reason))
        return receiver

    async def _choose_receiver(self) -> BackendServer | Peer | None:
        """Return the server or the VM for the next attempt; None if there is none."""
        if self._deps.reach.is_unreachable(self._admitted.service):
            peer = self._choose_peer()
            # After VMs have refused, trying the unreachable servers would only use up
            # the caller's time.
            if peer is not None or self._tried_peers:
                return peer
        server = await self._selection.choose(was_refused=self._not_run_count > 0)
        self._no_server_reason = self._selection.lack
        is_unreachable = self._deps.reach.is_unreachable(self._admitted.service)
        is_cut_off = is_unreachable or self._selection.has_refusing_server()
        if server is None and (self._has_failed_to_connect or is_cut_off):
            return self._choose_peer()
        if server is not None and self._binding is not None:
            if not self._binding.may_start(server):
                self._no_server_reason = "version would be unrecorded"
                return None
        return server

    def _choose_peer(self) -> Peer | None:
        if self._origin is not None or len(self._tried_peers) >= MAX_TRIED_PEERS:
            return None
        return self._deps.relays.choose(self._admitted.service, self._tried_peers)

    async def _run_at_servers(
        self, server: BackendServer
    ) -> tuple[BackendServer, Outcome]:
        """Run an attempt, and a second one if it takes long and that is allowed.

        Returns the outcome and its server.
        """
        estimate = None
        # Requests of other VMs are counted and bounded there. A request whose first
        # attempt has failed has had its second one.
        if self._origin is None and self._attempt is None:
            estimate = self._deps.hedging.estimate(self._admitted)
        if estimate is None:
            return server, await self._run_attempt(server)
        race = self._race = AttemptRace(self._run_attempt)
        try:
            race.start(server)
            late_s = await race.wait_for_first(estimate.delay_s)
            has_answered = self._attempt is not None and self._attempt.has_answered
            if late_s is not None and not has_answered:
                self._start_second(race, estimate, late_s)
            return await race.wait(self._record_first_failure)
        finally:
            await race.close()
            self._race = None
            if len(race.servers) > 1:
                self._record_race(race, estimate)

    def _start_second(
        self, race: AttemptRace, estimate: HeadEstimate, late_s: float
    ) -> None:
        """Start a second attempt at another server, unless something forbids it."""
        deps, service = self._deps, self._admitted.service
        second = self._selection.second_server()
        reason = withheld_reason(
            HedgeSituation(
                late_s=late_s,
                time_left_s=self._admitted.end_s - asyncio.get_running_loop().time(),
                typical_s=estimate.typical_s,
                servers_run=self._count_possible_runs(),
                max_servers=self._admitted.route.max_servers,
                is_suspected=self._is_suspected(),
                is_unreachable=self._has_failed_to_connect
                or deps.reach.is_unreachable(service),
                has_waiting=deps.model_usage.has_waiting(service),
                utilisation=deps.fleet.utilisation(self._selection.model_ref),
                has_server=second is not None,
                has_share=deps.hedging.shares.has_hedge(service),
                has_retry_to_spare=deps.retries.has_retry_to_spare(service),
            )
        )
        if reason is not None or second is None:
            deps.hedging.withheld(reason or "no_server")
            return
        deps.hedging.shares.spend(service)
        deps.retries.spend(service)
        race.start(second)

    def _is_suspected(self) -> bool:
        if self._is_trial or self._is_refused():
            return True
        return self._deps.suspects.is_suspected(self._fingerprint())

    def _record_first_failure(self, server: BackendServer, outcome: Outcome) -> None:
        """Record an attempt that has failed while another one goes on.

        It counts for its server, not for the request.
        """
        left_s = self._admitted.end_s - asyncio.get_running_loop().time()
        self._record_server_failure(server, outcome, left_s)

    def _record_race(self, race: AttemptRace, estimate: HeadEstimate) -> None:
        first, second = race.servers
        outcome, saved_s, head_s = "failed", 0.0, None
        if race.winner is not None and race.won_s is not None:
            head_s = race.won_s - (race.sent_s or 0.0)
            outcome = "won" if race.winner == second.server_id else "lost"
            if outcome == "won":
                saved_s = self._deps.hedging.expected_rest_s(self._admitted, head_s)
        self._deps.hedging.ended(outcome, saved_s)
        log_change(
            "second attempt",
            request=self._admitted.caller.attempt_id,
            service=self._admitted.service,
            first=first.server_id,
            second=second.server_id,
            delay_s=round(estimate.delay_s, 3),
            outcome=outcome,
            head_s=None if head_s is None else round(head_s, 3),
            saved_s=round(saved_s, 3),
        )

    async def _run_attempt(self, server: BackendServer) -> Outcome:
        deps = self._deps
        name = server.server_id
        self._selection.tried.add(name)
        self._silences_counted.discard(name)
        is_last = self._is_last_server()
        race = self._race
        is_second = race is not None and len(race.servers) > 1
        attempt = Attempt(
            self._exchange,
            make_server_target(
                server,
                self._exchange.request,
                self._admitted,
                deps.pools,
                deps.fleet,
                deps.pacing.record_prefill,
                deps.reach.record_connect,
                partial(self._selection.may_send, server),
            ),
            load=deps.fleet.load(name),
            is_last=is_last,
            should_give_up=partial(self._should_give_up, server),
            on_sent=partial(self._record_sent, server),
            before_events=self._wait_until_recorded,
            on_sound=self._record_sound_parts,
            claim=(lambda kind: True) if race is None else partial(race.claim, name),
        )
        if is_second:
            self._second = attempt
        else:
            self._earlier_possible_runs = self._count_possible_runs()
            self._attempt, self._second = attempt, None
        deps.fleet.request_started(name)
        deps.fleet.brittle.request_started(server)
        deps.model_usage.request_started(self._selection.model_ref, name)
        outcome = DELIVERED
        has_ended = False
        sent_s = boot_s()
        try:
            outcome = await attempt.run()
            has_ended = outcome.waited_s is None
            return outcome
        finally:
            if not has_ended and attempt.may_have_run:
                self._record_if_silent(server, sent_s)
            deps.fleet.brittle.request_ended(
                server,
                outcome.kind,
                is_cut_off=outcome.is_cut_off,
                has_answered=attempt.has_answered,
                is_late=asyncio.get_running_loop().time() >= self._admitted.end_s,
            )
            deps.fleet.request_ended(name, has_answered=attempt.has_answered)
            deps.model_usage.request_ended(self._selection.model_ref, name)
            if has_ended and outcome.kind is None and attempt.head_after_s is not None:
                deps.hedging.record_head(self._admitted, attempt.head_after_s)
            elif not has_ended and attempt.may_have_run and not attempt.has_answered:
                # The head would have taken at least that long. Without this, the delay
                # would be learned from fast answers only.
                deps.hedging.record_head(self._admitted, boot_s() - sent_s)

    def _record_if_silent(self, server: BackendServer, sent_s: float) -> None:
        """Record that a request ends here while nothing comes from its server.

        The deadline has passed, the caller has left, or the attempt is given up. If the
        server turns out to have crashed, the request was running then, as one whose
        connection the server has ended.
        """
        known = self._deps.fleet.current(server.incarnation())
        if known is None or known.is_leaving:
            return
        now_s = boot_s()
        silent_s = now_s - max(sent_s, self._deps.fleet.heard_s(server.incarnation()))
        if silent_s < max(MIN_SILENCE_S, MIN_SILENCE_SHARE * (now_s - sent_s)):
            return
        log_change(
            "request unfinished at a silent server",
            request=self._admitted.caller.attempt_id,
            server=server.server_id,
            silent_s=round(silent_s, 3),
            fingerprint=self._fingerprint(),
        )
        self._deps.suspects.record_lost_connection(self._fingerprint(), server)

    def _should_give_up(self, server: BackendServer, waited_s: float) -> bool:
        """Return whether to end an attempt that has got no response head so far."""
        deps = self._deps
        service = self._admitted.service
        if self._race is not None and self._race.has_other(server.server_id):
            # The other attempt takes the place of one that would follow.
            self._record_silence(server, waited_s)
            return False
        left_s = self._admitted.end_s - asyncio.get_running_loop().time()
        silent = SilentAttempt(
            self._count_possible_runs(),
            left_s,
            has_other_receiver=self._has_other_receiver(),
            has_retry_budget=deps.retries.has_retry(service),
        )
        if should_give_up(self._admitted.route, silent):
            return True
        # Further requests avoid the server although this one stays.
        self._record_silence(server, waited_s)
        return False

    def _has_other_receiver(self) -> bool:
        is_unreachable = self._deps.reach.is_unreachable(self._admitted.service)
        if is_unreachable or self._has_failed_to_connect:
            if self._choose_peer() is not None:
                return True
        return not is_unreachable and self._selection.has_healthy_server()

    async def _run_at_peer(self, peer: Peer) -> Outcome:
        relays = self._deps.relays
        max_servers = self._admitted.route.max_servers
        self._tried_peers.add(peer)
        # The other VM replaces the record of an earlier attempt, which it has to know.
        if not await self._wait_until_recorded():
            return UNRECORDED
        self._earlier_possible_runs = self._count_possible_runs()
        self._second = None
        self._attempt = Attempt(
            self._exchange,
            make_peer_target(
                peer,
                self._exchange.request,
                self._admitted,
                relays,
                max_servers=max_servers - self._earlier_possible_runs,
                fingerprint=self._fingerprint(),
                is_trial=self._is_trial,
            ),
            load=0,
            # The other VM decides about further servers, so its answer is awaited.
            is_last=True,
            should_give_up=lambda waited_s: False,
            on_sent=lambda: None,
            before_events=self._wait_until_recorded,
            on_sound=lambda: None,
        )
        relays.request_started(peer)
        try:
            outcome = await self._attempt.run()
        finally:
            relays.request_ended(peer)
        if self._attempt.may_have_run:
            # The other VM may have tried as many servers as it was allowed to.
            self._earlier_possible_runs = max_servers
        self._deps.relayed.labels(outcome.kind or "answered").inc()
        log_change(
            "request passed on",
            request=self._admitted.caller.attempt_id,
            service=self._admitted.service,
            peer=peer.name(),
            outcome=outcome.kind or "answered",
        )
        return outcome

    def _record_sent(self, server: BackendServer) -> None:
        if self._race is not None:
            self._race.record_sent()
        if self._binding is not None:
            self._binding.started(server)

    async def _wait_until_recorded(self) -> bool:
        return self._binding is None or await self._binding.wait_until_recorded()

    def _record_success(self, receiver: BackendServer | Peer) -> None:
        deps = self._deps
        if self._binding is not None:
            self._binding.completed()
        if isinstance(receiver, Peer):
            return
        deps.fleet.ejector.succeeded(receiver.server_id)
        self._record_sound_parts()
        if not deps.suspects.is_empty():
            deps.suspects.record_success(self._fingerprint())

    def _record_failure(
        self, receiver: BackendServer | Peer, outcome: Outcome
    ) -> AttemptState:
        kind = outcome.kind
        assert kind is not None
        if kind in ("connect", "withdrawn", "not_run", "not_here"):
            self._not_run_count += 1
        if kind == "withdrawn" and not isinstance(receiver, Peer):
            # It was sent nothing, and is left out while it takes nothing.
            self._selection.tried.discard(receiver.server_id)
        if self._binding is not None:
            is_server = not isinstance(receiver, Peer)
            if self._responder.has_started:
                self._binding.events_delivered(receiver if is_server else None)
            else:
                self._binding.failed_without_event()
        if kind == "broken" and self._can_resume():
            # The caller has received only complete events, so another server can
            # resume the stream after the last one.
            kind = "unclear"
        loop = asyncio.get_running_loop()
        left_s = self._admitted.end_s - loop.time()
        if not isinstance(receiver, Peer):
            self._record_server_failure(receiver, outcome, left_s)
        return AttemptState(
            kind, self._count_possible_runs(), self._not_run_count, left_s
        )

    def _can_resume(self) -> bool:
        splitter = self._exchange.splitter
        if splitter is None or not self._is_resumable_stream:
            return False
        return not splitter.has_passed_last_id

    def _record_server_failure(
        self, server: BackendServer, outcome: Outcome, left_s: float
    ) -> None:
        if outcome.kind == "connect":
            self._has_failed_to_connect = True
        log_change(
            "attempt failed",
            request=self._admitted.caller.attempt_id,
            server=server.server_id,
            kind=outcome.kind,
            detail=outcome.detail,
            load=self._deps.fleet.load(server.server_id),
            left_s=round(left_s, 3),
            fingerprint=self._fingerprint() if outcome.is_cut_off else None,
            customer=self._customer_name(),
        )
        if outcome.is_cut_off:
            self._deps.suspects.record_lost_connection(self._fingerprint(), server)
            self._deps.reach.suspect([server.incarnation()])
            self._record_lost_parts(server)
        if outcome.waited_s is not None:
            self._record_silence(server, outcome.waited_s)
            return
        failure_kind = _FAILURE_KINDS.get(outcome.kind or "unclear")
        self._count_failure(server, failure_kind)

    def _record_silence(self, server: BackendServer, waited_s: float) -> None:
        if server.server_id in self._silences_counted:
            return
        failure_kind = self._deps.fleet.request_given_up(server, waited_s)
        if failure_kind is not None:
            self._silences_counted.add(server.server_id)
        self._count_failure(server, failure_kind)

    def _count_failure(
        self, server: BackendServer, failure_kind: FailureKind | None
    ) -> None:
        ejector = self._deps.fleet.ejector
        if failure_kind is not None and ejector.failed(
            server.server_id, failure_kind, boot_s()
        ):
            log_change("server ejected", server=server.server_id, last=failure_kind)

    async def _finish(self, outcome: Outcome) -> None:
        if self._origin is not None:
            # The VM that has passed the request on may begin the stream elsewhere.
            await self._wait_until_recorded()
        kind = outcome.kind or "unclear"
        if self._responder.has_started:
            kind = "broken"
        state = AttemptState(
            kind, self._count_possible_runs(), self._not_run_count, 0.0
        )
        next_step = final_step(state)
        log_fields: dict[str, object] = {
            "reason": outcome.detail,
            "service": self._admitted.service,
            "model": self._selection.model_ref.model,
            "adapter": self._selection.model_ref.adapter,
        }
        if next_step == "break_off":
            log_change(
                "answer broken off",
                request=self._admitted.caller.attempt_id,
                **log_fields,
            )
            self._responder.abort()
        elif next_step == "give_answer" and outcome.response is not None:
            await write_response(self._responder, outcome.response)
        elif next_step == "refuse":
            gone = self._selection.version_refusal()
            retry_after_s = self._selection.retry_after_s()
            await self._refuse(gone or Refusal(503, kind, retry_after_s, log_fields))
        else:
            # An earlier attempt may have run the request, whatever ended the last one.
            log_fields["last_attempt"] = kind
            await self._refuse(Refusal(502, "unclear", None, log_fields))

    async def _refuse(self, refusal: Refusal) -> None:
        self._refusal_code = refusal.code
        attempt_id = self._admitted.caller.attempt_id
        await send_refusal(self._responder, attempt_id, refusal)


_FAILURE_KINDS: Final[dict[str, FailureKind]] = {
    "connect": "connect",
    "not_run": "refused",
    "not_here": "refused",
    "failure": "server_error",
    "unclear": "reset",
    "broken": "reset",
}
