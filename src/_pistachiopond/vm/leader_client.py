"""The connection of each VM to the leader."""

import asyncio
from collections.abc import Callable
from typing import Any, Final, NamedTuple, final

from _pistachiopond.decisions.leader_contact import LeaderContact
from _pistachiopond.decisions.leader_silence import (
    REPLY_TIMEOUT_S,
    STEP_S,
    LeaderSilence,
)
from _pistachiopond.decisions.leadership import HANDOVER_S, Claim, Leadership
from _pistachiopond.decisions.server_crashes import MAX_REPORTED
from _pistachiopond.decisions.shared_limits import CustomerBalances
from _pistachiopond.decisions.shared_retry_budget import SharedRetryBudget
from _pistachiopond.decisions.stream_versions import STREAM_MEMORY_S
from _pistachiopond.http1.messages import HttpAddress, parse_address
from _pistachiopond.observe.containment import record_unexpected
from _pistachiopond.observe.logs import log_change, log_warning
from _pistachiopond.schema.deployment import CustomerSpec, Incarnation
from _pistachiopond.schema.peer_messages import (
    LeaderReply,
    LoadedModelsUpdate,
    MemberMessage,
    MemberReport,
    ModelWait,
    PacingRequest,
    RefusingUpdate,
    RelayedRecord,
    StreamOrigin,
    TrialRequest,
    WaitingAnswer,
    decode_line,
    encode_line,
)
from _pistachiopond.schema.place_messages import PlaceRequest
from _pistachiopond.vm.clock import boot_s
from _pistachiopond.vm.fleet import Fleet, LoadedModels, ModelRef
from _pistachiopond.vm.model_usage import ModelUsage
from _pistachiopond.vm.pacing import PromptPacing
from _pistachiopond.vm.peer_lines import (
    ExcessiveLinesError,
    LineReader,
    ReportLineExcess,
    describe_error,
    ignore_line_excess,
)
from _pistachiopond.vm.peer_relays import PeerRelays
from _pistachiopond.vm.server_places import (
    ServerPlaces,
    encode_cold,
    encode_rates,
    take_cold,
)
from _pistachiopond.vm.server_reach import ServerReach
from _pistachiopond.vm.stream_origins import RecordStoring, StreamOrigins
from _pistachiopond.vm.suspects import Suspects, encode_records
from _pistachiopond.vm.topic_cache import TopicCache, from_relayed

CONNECT_TIMEOUT_S: Final = 0.5
RECONNECT_PAUSE_S: Final = 0.1
INITIAL_REPORT_PERIOD_S: Final = 0.2
# Least pause between two requests for one customer's rate limit tokens.
MIN_TOKEN_REQUEST_PAUSE_S: Final = 0.01
# Bound on token requests over all VMs, for the case that all run short of the same
# customer's tokens at once.
MAX_TOKEN_REQUESTS_PER_S: Final = 600.0
# Bound on reads of a store that does not answer, over all VMs that have a leader.
MAX_STORE_RETRIES_PER_S: Final = 40.0
# A VM reads the store itself after this many report periods without a leader's reply
# that confirms the relayed topics.
RELAY_TIMEOUT_PERIODS: Final = 2.5
# A leader's count of the VMs is used for reserves only once it has replied for this
# long, since a new leader counts only those that have reported to it.
MEMBER_COUNT_SETTLE_S: Final = 2.0
# The highest count within this time is used for reserves, since the VMs on one side of
# a partition count only each other.
MEMBER_COUNT_MEMORY_S: Final = 60.0
MAX_LINE_BYTES: Final = 16 * 1024 * 1024


class LeaderClientDependencies(NamedTuple):
    """The state that the client reports from and updates.

    Attributes
    ----------
    name : str
        The name of this VM.
    fleet : Fleet
        The servers, their load and loaded models.
    usage : CustomerBalances
        This VM's balances of customers' rate limits.
    retries : SharedRetryBudget
        This VM's part of the retry budget.
    customers : callable
        Returns the customers of the configuration in force.
    topic_caches : dict of str to TopicCache
        This VM's caches of the store's topics.
    suspects : Suspects
        Requests that may have crashed their servers.
    reach : ServerReach
        Says which services this VM cannot reach.
    relays : PeerRelays
        The other VMs that forward requests for such services.
    relay_address : HttpAddress
        Where this VM takes the requests of others.
    on_line_excess : callable
        Called when the leader's lines exceed a bound.
    """

    name: str
    fleet: Fleet
    usage: CustomerBalances
    retries: SharedRetryBudget
    customers: Callable[[], dict[str, CustomerSpec]]
    topic_caches: dict[str, TopicCache]
    suspects: Suspects
    reach: ServerReach
    relays: PeerRelays
    relay_address: HttpAddress
    on_line_excess: ReportLineExcess = ignore_line_excess


def make_model_wait(
    member: str, model_ref: ModelRef, software_version: str | None
) -> ModelWait:
    """Return the message that a request begins to wait for a model or adapter."""
    wait: ModelWait = {
        "member": member,
        "service": model_ref.service,
        "model": model_ref.model,
        "adapter": model_ref.adapter,
    }
    if software_version is not None:
        wait["software_version"] = software_version
    return wait


@final
class LeaderClient:
    """Sends reports to the leader and applies its messages."""

    def __init__(self, deps: LeaderClientDependencies, leadership: Leadership) -> None:
        self._deps = deps
        self._leadership = leadership
        self._reply_received = asyncio.Event()
        self._report_number = 0
        self._contact = LeaderContact()
        self._relayed_s = float("-inf")
        self._sent_s = 0.0
        self._connection_scope: asyncio.Timeout | None = None
        self._resigned_fence = -1
        self._refused_connection_fence = -1
        self._connected_fence = -1
        self._report_period_s = INITIAL_REPORT_PERIOD_S
        self._member_count = 1
        self._replies_since_s = float("inf")
        self._peak_member_count = 0
        self._peak_member_count_s = float("-inf")
        self._is_allocating = False
        self._tokens_reply_s = float("-inf")
        self._writer: asyncio.StreamWriter | None = None
        self._tokens_requested_s: dict[str, float] = {}
        deps.suspects.parts.set_sender(self._send_trial_request)
        self.model_usage = ModelUsage(self._send_model_wait)
        self.pacing = PromptPacing(deps.fleet, self._send_pacing_request)
        self._relays_origins = False
        self._origins_fence = -1
        self._stores_origins = False
        self._confirms_origins = False
        self._origins_stored_s = float("-inf")
        self._takes_refusals = False
        self._deals_places = False
        self.places = ServerPlaces(
            deps.fleet, self._send_place_request, self.reserve_member_count
        )
        deps.fleet.on_rate = self._send_rate
        deps.fleet.on_cold = self._send_cold
        self.origins = StreamOrigins(
            deps.fleet,
            self._send_origins,
            self.contact_age_s,
            self.member_count,
            self.record_storing,
        )

    def request_tokens(self, customer: str) -> None:
        """Request the tokens that the customer's waiting requests are short of.

        Does nothing if the last request for the customer is too recent.
        """
        now_s = boot_s()
        pause_s = max(
            MIN_TOKEN_REQUEST_PAUSE_S, self._member_count / MAX_TOKEN_REQUESTS_PER_S
        )
        if now_s - self._tokens_requested_s.get(customer, float("-inf")) < pause_s:
            return
        self._tokens_requested_s[customer] = now_s
        deps = self._deps
        usage = deps.usage.report_of(customer, now_s)
        message: MemberMessage = {
            "tokens": {
                "member": deps.name,
                "customer": customer,
                "usage": tuple(usage),
                "waiting": [
                    tuple(request) for request in deps.usage.waiting(customer, now_s)
                ],
            }
        }
        # A leader that has resigned still allocates while no member has left it.
        if self._writer is not None:
            self._writer.write(encode_line(message))

    def is_allocation_paused(self) -> bool:
        """Return whether no leader allocates this VM parts of the whole rates."""
        return self._writer is None or not self._is_allocating

    def allocation_wait_s(self) -> float:
        """Return how long it takes until a leader allocates parts of the whole rates.

        0 if one does. A new leader allocates only a part until it has taken over.
        """
        if not self.is_allocation_paused():
            return 0.0
        led_s = max(0.0, boot_s() - self._replies_since_s)
        return max(0.0, HANDOVER_S - led_s)

    def has_replied_since(self, at_s: float) -> bool:
        """Return whether the leader has replied on tokens since `at_s`, by `boot_s`."""
        return self._tokens_reply_s >= at_s

    def reserve_member_count(self) -> int:
        """Return the number of VMs that share the reserves; 0 if unknown."""
        return self._peak_member_count

    def _send_model_wait(
        self, model_ref: ModelRef, software_version: str | None
    ) -> None:
        wait = make_model_wait(self._deps.name, model_ref, software_version)
        self._send({"lack": wait})

    def _send_pacing_request(self, request: PacingRequest) -> bool:
        return self._send({"pace": request})

    def _send_trial_request(self, request: TrialRequest) -> bool:
        return self._send({"trial": request})

    def _send_place_request(self, request: PlaceRequest) -> bool:
        return self._deals_places and self._send({"place": request})

    def _send_rate(self, incarnation: Incarnation, rate_per_s: float | None) -> None:
        """Tell the leader, and by it all VMs, what a server has said of its rate."""
        if self._deals_places:
            self._send({"rates": [(*incarnation, rate_per_s)]})

    def _send_cold(self, incarnation: Incarnation, remaining_s: float) -> None:
        """Tell the leader, and by it all VMs, what a server has said of being cold."""
        if self._deals_places:
            cold = [(*incarnation, round(remaining_s, 3))]
            self._send({"rates": [], "cold": cold})

    def _send_origins(self, origins: list[StreamOrigin]) -> bool:
        # A leader that can't prove its lead still relays while it has all members.
        is_relayed = self._relays_origins and self._contact.reaches_all
        if self._writer is None or not is_relayed:
            return False
        self._writer.write(encode_line({"origins": origins}))
        return True

    def send_refusing(self) -> None:
        """Tell the leader now which servers refuse connections, if it takes that."""
        if self._takes_refusals:
            update: RefusingUpdate = {
                "member": self._deps.name,
                "refusing": self._refusing(),
            }
            self._send({"refusing": update})

    def _refusing(self) -> list[Incarnation]:
        return self._deps.reach.refusing()[-MAX_REPORTED:]

    def _send(self, message: MemberMessage) -> bool:
        """Send a message; return whether there is a connection to a live leader."""
        if self._writer is None or self._leadership.is_leader_lost():
            return False
        self._writer.write(encode_line(message))
        return True

    def member_count(self) -> int:
        """Return the number of VMs in the leader's last reply."""
        return self._member_count

    def reply_age_s(self) -> float:
        """Return the time since a reply of any VM that this one took for the leader."""
        return boot_s() - self._contact.replied_s

    def contact_age_s(self) -> float:
        """Return the time since a reply proved contact with all VMs."""
        return boot_s() - self._contact.reached_all_s

    def record_storing(self) -> RecordStoring:
        """Return what is known of the way of streams' records to the store."""
        return RecordStoring(
            self._stores_origins,
            boot_s() - self._origins_stored_s,
            self._confirms_origins,
        )

    def has_resigned(self) -> bool:
        """Return whether the known leader has replied that it no longer leads."""
        claim = self._leadership.claim
        return claim is not None and claim.fence == self._resigned_fence

    def is_connection_refused(self) -> bool:
        """Return whether the known leader's address refused the connection."""
        claim = self._leadership.claim
        return claim is not None and claim.fence == self._refused_connection_fence

    async def run(self) -> None:
        """Keep a connection to the leader until cancelled."""
        while True:
            claim = self._leadership.claim
            if claim is not None:
                await self._run_until_claim_changes(claim)
                if self._leadership.claim != claim:
                    continue
            self._leadership.leader_lost(boot_s())
            self._deps.fleet.peer_load.clear()
            await asyncio.sleep(RECONNECT_PAUSE_S)

    def claim_changed(self) -> None:
        """Connect to the new leader at once, without awaiting the old one's reply."""
        if self._connection_scope is not None:
            self._connection_scope.reschedule(asyncio.get_running_loop().time())

    async def _run_until_claim_changes(self, claim: Claim) -> None:
        try:
            async with asyncio.timeout(None) as self._connection_scope:
                await self._run_connection(claim)
        except TimeoutError:
            return
        finally:
            self._connection_scope = None

    async def _run_connection(self, claim: Claim) -> None:
        address = parse_address(claim.address)
        self._connected_fence = claim.fence
        self._is_allocating = False
        self._replies_since_s = float("inf")
        self._deps.suspects.leader_changed()
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    *address, limit=MAX_LINE_BYTES
                )
            self._writer = writer
            writer.write(encode_line(self._known_positions()))
            async with asyncio.TaskGroup() as group:
                reading = group.create_task(self._read_messages(reader))
                group.create_task(self._send_reports(writer, claim, reading))
        except (OSError, TimeoutError) as error:
            if isinstance(error, ConnectionRefusedError):
                self._refused_connection_fence = claim.fence
            self._connection_lost(claim, error)
        except ExceptionGroup as errors:
            _, rest = errors.split((OSError, TimeoutError, ValueError))
            if rest is not None:
                record_unexpected("peer_message", rest.exceptions[0])
            self._connection_lost(claim, errors.exceptions[0])
        finally:
            self._writer = None
            self._contact.disconnected()
            self._relays_origins = False
            self._takes_refusals = False
            self._deals_places = False
            if writer is not None:
                writer.transport.abort()

    async def _send_reports(
        self,
        writer: asyncio.StreamWriter,
        claim: Claim,
        reading: "asyncio.Task[None]",
    ) -> None:
        try:
            while self._leadership.claim == claim:
                self._report_number += 1
                self._reply_received.clear()
                self._sent_s = boot_s()
                writer.write(encode_line({"report": self._make_report()}))
                await self._await_reply()
                if self.has_resigned():
                    # The connection stays open until another VM's claim is seen: a
                    # leader that has resigned allocates only while no member leaves.
                    self._leadership.leader_lost(boot_s())
                await asyncio.sleep(self._report_period_s)
        finally:
            reading.cancel()

    async def _await_reply(self) -> None:
        """Wait for the reply to the last report; raise TimeoutError if it is lost."""
        silence = LeaderSilence(self._sent_s)
        while not self._reply_received.is_set():
            try:
                async with asyncio.timeout(STEP_S):
                    await self._reply_received.wait()
            except TimeoutError:
                if silence.is_lost(boot_s()):
                    raise

    async def _read_messages(self, reader: asyncio.StreamReader) -> None:
        lines = LineReader(reader, MAX_LINE_BYTES)
        while line := await lines.read():
            decoded = decode_line(line)
            if decoded.is_err():
                raise ValueError(f"malformed message of the leader: {decoded.err()}")
            try:
                self._apply_message(decoded.ok())
            except (AttributeError, LookupError, TypeError) as error:
                detail = f"malformed message of the leader: {describe_error(error)}"
                raise ValueError(detail) from error
        raise ConnectionResetError("the leader closed the connection")

    def _apply_message(self, message: dict[str, Any]) -> None:
        for plain in message.get("records", ()):
            self._apply_record(plain)
        for update in message.get("held", ()):
            self._apply_loaded_models(update)
        if "given" in message:
            self._add_tokens(message["given"])
        if "waiting" in message:
            self._take_waiting_answer(message["waiting"])
        if "paced" in message:
            self.pacing.take_reply(message["paced"])
        self._apply_rates(message)
        if "tried" in message:
            self._deps.suspects.parts.take_trial_reply(message["tried"])
        if "suspects" in message:
            self._deps.suspects.apply_list(message["suspects"])
        self._apply_origins(message)
        if "answer" in message:
            self._take_reply(message["answer"])

    def _apply_origins(self, message: dict[str, Any]) -> None:
        if "origins" in message:
            self.origins.apply_relayed(message["origins"])
        self.origins.apply_stored(
            (stream_id, version)
            for stream_id, version in message.get("origins_stored", ())
        )

    def _apply_rates(self, message: dict[str, Any]) -> None:
        for name, started_ms, rate_per_s in message.get("rates", ()):
            self._deps.fleet.record_rate((name, started_ms), rate_per_s, "leader")
        take_cold(self._deps.fleet, message.get("cold", ()), "leader")
        if "speeds" in message:
            self._deps.fleet.set_speeds(
                {(name, ms): speed for name, ms, speed in message["speeds"]}
            )
        if "placed" in message:
            self.places.take_reply(message["placed"])

    def _known_positions(self) -> MemberMessage:
        proofs = {
            topic: cache.proof() for topic, cache in self._deps.topic_caches.items()
        }
        return {
            "known": {topic: proof["next_offset"] for topic, proof in proofs.items()},
            "known_eras": {topic: proof["era"] for topic, proof in proofs.items()},
            "origins_age_s": min(STREAM_MEMORY_S, self.contact_age_s()),
        }

    def _make_report(self) -> MemberReport:
        deps = self._deps
        model_usage = self.model_usage
        lost_connections, cleared = deps.suspects.take_changes()
        lost_parts, sound_parts = deps.suspects.parts.take_report()
        report: MemberReport = {
            "member": deps.name,
            "number": self._report_number,
            "fence": self._connected_fence,
            "usage": {
                name: tuple(report)
                for name, report in deps.usage.reports(boot_s()).items()
            },
            "load": dict(deps.fleet.own_load),
            "models": model_usage.uses(),
            "runs": [
                (server, model, count)
                for (server, model), count in model_usage.running_at_servers.items()
            ],
            "doubtful": sorted(deps.fleet.ejected()),
            "cut_off": [tuple(lost) for lost in lost_connections],
            "cleared": cleared,
            "relay_address": "{}:{}".format(*deps.relay_address),
            "unreachable": sorted(deps.reach.unreachable()),
            "refusing": self._refusing(),
            "lost_parts": lost_parts,
            "sound_parts": sound_parts,
            "refused_parts": deps.suspects.parts.take_refusals(),
            "request_crashes": encode_records(deps.suspects.take_records()),
            "lists_waiting": True,
            "ended": deps.fleet.take_ended(),
            "speeds": [tuple(sample) for sample in deps.fleet.speed_samples.take()],
        }
        if self.origins.lacks_history():
            report["versions_known_s"] = self.origins.contact().known_s
        return report

    def _take_reply(self, reply: LeaderReply) -> None:
        if reply["number"] != self._report_number:
            return
        deps = self._deps
        now_s = boot_s()
        self._reply_received.set()
        if reply["leads"]:
            self._leadership.leader_replied(now_s)
        else:
            if self._resigned_fence != self._connected_fence:
                log_change("leader has given up the lead", fence=self._connected_fence)
            # The known claim may have changed since this connection was opened, so
            # the resignation is recorded for the claim that the connection is for.
            self._resigned_fence = self._connected_fence
        self._record_contact(reply, now_s)
        self._take_origins_reply(reply, now_s)
        self._takes_refusals = "to_check" in reply
        deals_places = reply.get("deals_places", False)
        if deals_places and not self._deals_places:
            # What this VM has learned while no leader took it.
            message: MemberMessage = {"rates": encode_rates(deps.fleet)}
            if cold := encode_cold(deps.fleet):
                message["cold"] = cold
            self._send(message)
        self._deals_places = deals_places
        deps.reach.suspect((name, ms) for name, ms in reply.get("to_check", ()))
        self._report_period_s = reply["period_s"]
        self._is_allocating = reply.get("is_allocating", reply["leads"])
        self._take_member_count(reply["members"], now_s)
        if reply["leads"] and not self._leadership.is_mine():
            self._take_proofs(reply)
        self._add_tokens(reply["given"])
        deps.usage.set_expected_waits(reply.get("room_s", {}), now_s)
        if reply["leads"]:
            deps.relays.set_peers(
                {
                    service: tuple(parse_address(address) for address in addresses)
                    for service, addresses in reply.get("relays", {}).items()
                }
            )
        deps.fleet.set_total_load(
            reply["load"], self._member_count, self._report_period_s
        )

    def _take_origins_reply(self, reply: LeaderReply, now_s: float) -> None:
        known_s = reply.get("origins_known_s")
        self._relays_origins = known_s is not None
        self._confirms_origins = "stores_origins" in reply
        # Builds that don't say write what they relay.
        self._stores_origins = reply.get("stores_origins", self._relays_origins)
        if self._stores_origins and reply["leads"]:
            self._origins_stored_s = now_s
        self.origins.set_oldest_known_s(known_s or 0.0)
        if "versions" in reply:
            self.origins.take_history(reply["versions"])
        if self._relays_origins and self._origins_fence != self._connected_fence:
            self._origins_fence = self._connected_fence
            self.origins.leader_changed()

    def _record_contact(self, reply: LeaderReply, now_s: float) -> None:
        is_changed = self._contact.record_reply(
            now_s,
            is_leading=reply["leads"],
            # A VM that does not lead allocates only while no member has left it.
            has_lost_none=reply.get("is_allocating", False),
            members=reply["members"],
        )
        if is_changed:
            log_change(
                "contact with all VMs changed",
                reaches_all=self._contact.reaches_all,
                fence=self._connected_fence,
                is_leading=reply["leads"],
                members=reply["members"],
            )

    def _take_member_count(self, members: int, now_s: float) -> None:
        # Members may have left a sender without contact, which forgets them in time.
        if not self._contact.reaches_all:
            return
        self._member_count = max(1, members)
        self._count_members(now_s)
        self._deps.retries.set_members(self._member_count)
        self._leadership.set_members(self._member_count)

    def _count_members(self, now_s: float) -> None:
        self._replies_since_s = min(self._replies_since_s, now_s)
        if now_s - self._replies_since_s < MEMBER_COUNT_SETTLE_S:
            return
        is_old = now_s - self._peak_member_count_s > MEMBER_COUNT_MEMORY_S
        if self._member_count >= self._peak_member_count or is_old:
            self._peak_member_count = self._member_count
            self._peak_member_count_s = now_s

    def _add_tokens(self, given: dict[str, float]) -> None:
        now_s = self._tokens_reply_s = boot_s()
        for name, amount in given.items():
            self._deps.usage.add(name, amount, now_s)

    def _take_waiting_answer(self, answer: WaitingAnswer) -> None:
        self._deps.usage.add_grants(
            answer["customer"],
            dict(answer["granted"]),
            dict(answer["waits_s"]),
            boot_s(),
        )

    def _apply_record(self, plain: RelayedRecord) -> None:
        cache = self._deps.topic_caches.get(plain["topic"])
        if cache is not None and not self._leadership.is_mine():
            cache.apply(from_relayed(plain))

    def _take_proofs(self, reply: LeaderReply) -> None:
        are_current = [
            cache.take_proof(reply["topics"][topic], self._sent_s)
            for topic, cache in self._deps.topic_caches.items()
            if topic in reply["topics"]
        ]
        if all(are_current):
            self._relayed_s = boot_s()

    def is_relayed(self) -> bool:
        """Return whether the leader relays the store's records to this VM."""
        limit_s = max(REPLY_TIMEOUT_S, RELAY_TIMEOUT_PERIODS * self._report_period_s)
        is_mine = self._leadership.is_mine()
        return not is_mine and boot_s() - self._relayed_s < limit_s

    def shared_retry_pause_s(self) -> float:
        """Return the least pause between this VM's reads of an unavailable store.

        The leader retries for all VMs that it replies to. The other VMs' own retries
        only matter where the leader alone is cut off from the store, so all of them
        together stay below a rate.
        """
        is_led = self.reply_age_s() < REPLY_TIMEOUT_S + self._report_period_s
        if self._leadership.is_mine() or not is_led:
            return 0.0
        return self._member_count / MAX_STORE_RETRIES_PER_S

    def _apply_loaded_models(self, update: LoadedModelsUpdate) -> None:
        models = {
            name: frozenset(adapters) for name, adapters in update["models"].items()
        }
        loaded = LoadedModels(update["started_ms"], models)
        self._deps.fleet.set_loaded_models(update["server"], loaded)

    def _connection_lost(self, claim: Claim, error: BaseException) -> None:
        if isinstance(error, ExcessiveLinesError):
            self._deps.on_line_excess(error.kind)
        self._deps.fleet.clear_loaded_models()
        log_warning(
            "leader does not answer",
            leader=claim.leader,
            fence=claim.fence,
            reason=describe_error(error),
        )
