"""Serves the connections of all member VMs to this one.

Every VM listens, but only the leader allocates tokens and sends records and loaded
models. The reply to a report states whether this VM leads.
"""

import asyncio
import math
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final, NamedTuple, final

from _pistachiopond.decisions.crash_counts import (
    ENTRY_LAPSE_S,
    CrashCounts,
    LostConnection,
)
from _pistachiopond.decisions.expected_returns import WaitingRequest
from _pistachiopond.decisions.leadership import HANDOVER_S, Leadership
from _pistachiopond.decisions.part_suspects import (
    LostRequest,
    PartChange,
    PartSuspects,
)
from _pistachiopond.decisions.prompt_pacing import (
    PacingLimits,
    PromptCandidate,
    PromptPacer,
)
from _pistachiopond.decisions.relay_choice import RelayMember, RelayRing
from _pistachiopond.decisions.server_crashes import MemberView
from _pistachiopond.decisions.server_speeds import ServerSpeeds, SpeedSample
from _pistachiopond.decisions.shared_limits import UsageAllocator, UsageReport
from _pistachiopond.decisions.start_estimate import (
    Patience,
    QueueView,
    StartEstimates,
)
from _pistachiopond.decisions.stream_versions import LEADER_CHANGE_S, MAX_RECORDS
from _pistachiopond.observe.containment import record_unexpected
from _pistachiopond.observe.logs import log_change, log_warning
from _pistachiopond.platform.store import KeyedRecord
from _pistachiopond.schema.deployment import CustomerSpec, Incarnation
from _pistachiopond.schema.peer_messages import (
    LeaderMessage,
    LeaderReply,
    LoadedModelsUpdate,
    MemberMessage,
    MemberReport,
    ModelWait,
    PacingReply,
    PacingRequest,
    RefusingUpdate,
    ServerSpeed,
    StreamOrigin,
    SuspectList,
    TokenRequest,
    WaitingAnswer,
    decode_line,
    encode_line,
)
from _pistachiopond.schema.place_messages import PlaceReply, PlaceRequest
from _pistachiopond.schema.store_position import StorePosition
from _pistachiopond.schema.suspects import RequestRecord
from _pistachiopond.vm.clock import boot_s
from _pistachiopond.vm.crash_watch import CrashWatch
from _pistachiopond.vm.peer_lines import (
    ExcessiveLinesError,
    LineReader,
    ReportLineExcess,
    describe_error,
    ignore_line_excess,
)
from _pistachiopond.vm.report_totals import Totals, add_wait, sum_reports
from _pistachiopond.vm.server_places import DealtPlaces
from _pistachiopond.vm.stream_origins import RecordBatch, StreamOrigins
from _pistachiopond.vm.suspects import decode_records, encode_records
from _pistachiopond.vm.topic_cache import TopicCache, to_relayed

# Members that have not reported for this long are removed, and their connections are
# closed.
MEMBER_TIMEOUT_S: Final = 10.0
# The leader sets the report period so that all members together send about this many
# reports a second.
MAX_REPORTS_PER_S: Final = 250.0
# Summing the members' reports takes about 0.02 ms per member. Reusing the sums for
# this long per member keeps the summing below a twentieth of the processor time.
MAX_TOTALS_AGE_PER_MEMBER_S: Final = 0.0005
# Members that have reported within this time count as connected.
RECENT_REPORT_S: Final = 1.0
MIN_REPORT_PERIOD_S: Final = 0.2
MAX_LINE_BYTES: Final = 4 * 1024 * 1024
# A connection whose member has left more than this unread is closed. The first line to
# a member has the whole state.
MAX_UNREAD_BYTES: Final = 16 * 1024 * 1024


class LeaderServerDependencies(NamedTuple):
    """Dependencies of the leader's server.

    Attributes
    ----------
    leadership : Leadership
        Whether this VM leads.
    customers : callable
        Returns the customers of the configuration in force.
    loaded_models : callable
        Returns the models loaded on all engine servers.
    on_model_wait : callable
        Called when requests wait for a model, or a server may have crashed.
    topic_caches : dict of str to TopicCache
        This VM's caches of the store's topics.
    incarnations : callable
        Returns the start time of each server that is not known to have crashed.
    crash_watch : CrashWatch or None
        Decides which servers have crashed; None looks for none.
    origins : StreamOrigins or None
        Relayed to all members; None relays nothing.
    on_line_excess : callable
        Called when a member's lines exceed a bound.
    part_changes : callable
        Called with the kind of each change of the refused parts of prompts.
    places : DealtPlaces or None
        Deals places at servers that name a rate; None deals none.
    entry_lapse_s : float
        The time after a server's crash in which its entry is gone.
    store_streams : callable
        Called with the streams' versions that are relayed, to keep them in the store.
    stores_streams : callable or None
        Returns whether nothing keeps them from being written there soon; None if
        nothing says when the store has them.
    speeds : callable
        Returns the servers' speeds that an earlier leader told.
    """

    leadership: Leadership
    customers: Callable[[], dict[str, CustomerSpec]]
    loaded_models: Callable[[], list[LoadedModelsUpdate]]
    on_model_wait: Callable[[], None]
    topic_caches: dict[str, TopicCache]
    incarnations: Callable[[], dict[str, int]]
    origins: StreamOrigins | None = None
    on_line_excess: ReportLineExcess = ignore_line_excess
    crash_watch: CrashWatch | None = None
    part_changes: Callable[[str], None] = lambda _: None
    places: DealtPlaces | None = None
    entry_lapse_s: float = ENTRY_LAPSE_S
    store_streams: Callable[[list[StreamOrigin]], None] = lambda _: None
    stores_streams: Callable[[], bool] | None = None
    speeds: Callable[[], dict[Incarnation, float]] = dict


class _Member(NamedTuple):
    report: MemberReport
    reported_s: float


@final
class LeaderServer:
    """Collects the members' reports and sends them the leader's replies.

    Attributes
    ----------
    return_counts : Counter of str
        Expected returns, as in `ReturnSchedule`.
    starts : StartEstimates
        When prompts start at servers.
    """

    def __init__(self, deps: LeaderServerDependencies) -> None:
        self._deps = deps
        self._members: dict[str, _Member] = {}
        self._left_members: set[str] = set()
        self._has_removed_member = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._allocator: UsageAllocator | None = None
        self._allocator_fence = -1
        self._allocator_since_s = float("-inf")
        self.return_counts: Counter[str] = Counter()
        self._totals = Totals({}, {}, {}, frozenset())
        self._totals_s = float("-inf")
        self._relay_ring = RelayRing({})
        self._model_waits: dict[str, list[ModelWait]] = {}
        self._crashes = CrashCounts(deps.entry_lapse_s)
        self._held_requests: frozenset[str] = frozenset()
        self._parts = PartSuspects()
        self._watched_parts: list[str] = []
        self._prompt_pacer = PromptPacer()
        self.starts = StartEstimates()
        self._speeds = ServerSpeeds()
        self._leads_speeds = False
        self._origins_batch = RecordBatch(self._push_origins)
        # The connections of the members that wait for the store to have a record, by
        # the stream's id and version.
        self._origin_senders: OrderedDict[tuple[str, str], asyncio.StreamWriter] = (
            OrderedDict()
        )

    async def run(self, ip: str, port: int) -> None:
        """Listen until cancelled."""
        server = await asyncio.start_server(
            self._serve_member, ip, port, limit=MAX_LINE_BYTES, reuse_address=True
        )
        async with server:
            await server.serve_forever()

    def push_loaded_models(self, updates: list[LoadedModelsUpdate]) -> None:
        """Send all members the changes of the models loaded on servers."""
        if not updates:
            return
        self._broadcast({"held": updates})

    def push_records(self, topic: str, records: list[KeyedRecord]) -> None:
        """Relay changed records of the store to all members, if this VM leads."""
        if self._deps.leadership.is_mine():
            self._broadcast({"records": [to_relayed(topic, item) for item in records]})

    def _push_origins(self, origins: list[StreamOrigin]) -> bool:
        self._deps.store_streams(origins)
        self._broadcast({"origins": origins})
        return True

    def _remember_sender(
        self, origins: list[StreamOrigin], writer: asyncio.StreamWriter
    ) -> None:
        for stream_id, version, _ in origins:
            self._origin_senders[stream_id, version] = writer
        while len(self._origin_senders) > MAX_RECORDS:
            self._origin_senders.popitem(last=False)

    def streams_stored(self, origins: list[StreamOrigin]) -> None:
        """Tell the members that wait for it that the store has these records."""
        stored: dict[asyncio.StreamWriter, list[tuple[str, str]]] = {}
        for stream_id, version, _ in origins:
            writer = self._origin_senders.pop((stream_id, version), None)
            if writer in self._writers:
                stored.setdefault(writer, []).append((stream_id, version))
        for writer, streams in stored.items():
            self._send(writer, encode_line({"origins_stored": streams}))

    def _broadcast(self, message: LeaderMessage) -> None:
        line = encode_line(message)
        for writer in list(self._writers):
            self._send(writer, line)

    def _send(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        """Send a line to a member; one that reads too slowly is disconnected."""
        try:
            _write_line(writer, line)
        except ExcessiveLinesError as error:
            self._writers.discard(writer)
            writer.transport.abort()
            self._record_end(error)

    def _record_end(self, error: BaseException) -> None:
        if isinstance(error, ExcessiveLinesError):
            self._deps.on_line_excess(error.kind)
        log_warning("member's connection ended", reason=describe_error(error))

    def totals(self) -> Totals:
        """Return the sums over the members' reports, cached for a short time."""
        now_s = boot_s()
        if now_s - self._totals_s > MAX_TOTALS_AGE_PER_MEMBER_S * len(self._members):
            self._totals_s = now_s
            self._totals = sum_reports([m.report for m in self._members.values()])
            self._relay_ring = RelayRing(
                {
                    name: RelayMember(
                        member.report.get("relay_address", ""),
                        frozenset(member.report.get("unreachable", ())),
                    )
                    for name, member in self._members.items()
                    if name not in self._left_members
                }
            )
            for waits in self._model_waits.values():
                for model_wait in waits:
                    add_wait(self._totals.demand, model_wait)
        return self._totals

    def drop_silent_members(self) -> None:
        """Remove the members that have not reported within `MEMBER_TIMEOUT_S`."""
        now_s = boot_s()
        self._prompt_pacer.forget_old(now_s)
        for name, member in list(self._members.items()):
            if now_s - member.reported_s > MEMBER_TIMEOUT_S:
                del self._members[name]
                self._left_members.discard(name)
                self._has_removed_member = True
                self._model_waits.pop(name, None)
                if self._allocator is not None:
                    self._allocator.forget_member(name)
                log_change("member silent", member=name, members=len(self._members))

    def members_unreachable(self) -> list[frozenset[str]]:
        """Return the services that each connected member cannot reach."""
        return [
            frozenset(member.report.get("unreachable", ()))
            for name, member in self._members.items()
            if name not in self._left_members
        ]

    def watch_crashes(self) -> None:
        """Find out from the members' reports which servers have crashed."""
        watch = self._deps.crash_watch
        if watch is None:
            return
        if not self._deps.leadership.is_mine():
            watch.clear()
        elif watch.is_needed():
            watch.update(
                {
                    name: MemberView(
                        _incarnations(member.report.get("refusing", ())),
                        member.report.get("unreachable", ()),
                        member.report["load"],
                    )
                    for name, member in self._members.items()
                    if name not in self._left_members
                }
            )

    def confirm_crashes(self) -> None:
        """Count crashes confirmed by a server's crash, restart or removal.

        Sends the new list of suspects to all members if it has changed.
        """
        self.watch_crashes()
        now_s = boot_s()
        incarnations = self._deps.incarnations()
        has_changed = self._crashes.count_confirmed(incarnations, now_s)
        changes: list[PartChange] = []
        if self._deps.leadership.is_mine():
            changes = self._parts.update(incarnations, self.report_period_s(), now_s)
        else:
            # Members tell the next leader what they know.
            self._parts = PartSuspects()
        self._log_crashes(changes, now_s)
        has_changed = has_changed or self._parts.watched() != self._watched_parts
        has_changed |= self._held(now_s).keys() != self._held_requests
        if has_changed or changes:
            self._broadcast({"suspects": self._suspect_list([])})

    def _log_crashes(self, changes: list[PartChange], now_s: float) -> None:
        for counted in self._crashes.take_counted():
            log_change(
                "crash counted against a request",
                fingerprint=counted.lost.fingerprint,
                server=counted.lost.server_id,
                started_ms=counted.lost.started_ms,
                crashes=counted.crashes,
                after_s=round(counted.after_s, 3),
            )
        for crash in self._parts.take_counted():
            log_change(
                "crash counted",
                server=crash.server_id,
                started_ms=crash.started_ms,
                requests=crash.requests,
                crashes_by_part=crash.crashes_by_part,
            )
        for change in changes:
            self._deps.part_changes(change.kind)
            log_change(
                f"part {change.kind}",
                part=change.part,
                servers=change.servers,
                requests=change.requests,
                since_s=round(now_s - change.since_s, 1),
                for_s=round(change.for_s, 1),
            )

    def _suspect_list(self, cleared: list[str]) -> SuspectList:
        now_s = boot_s()
        suspects = self._crashes.view(now_s).suspects
        refused = {s.fingerprint: s.expires_in_s for s in suspects if s.is_refused()}
        held = self._held(now_s)
        for fingerprint in sorted(held.keys() - self._held_requests):
            log_change(
                "request held until its crashes are known", fingerprint=fingerprint
            )
        self._held_requests = frozenset(held)
        refused_parts = self._parts.refusals()
        self._watched_parts = self._parts.watched()
        return {
            "watched": sorted({*held, *(suspect.fingerprint for suspect in suspects)}),
            "refused": {
                fingerprint: round(for_s, 1)
                for fingerprint, for_s in (held | refused).items()
            },
            "cleared": cleared,
            "watched_parts": self._watched_parts,
            "refused_parts": {
                part: (round(refusal.until_s - now_s, 1), refusal.level)
                for part, refusal in refused_parts.items()
            },
            "tied_parts": [p for p, refusal in refused_parts.items() if refusal.tied],
            "cleared_parts": self._parts.cleared(now_s),
            "request_crashes": encode_records(self._crashes.records(now_s)),
        }

    def _record_crashes(self, report: MemberReport, now_s: float) -> None:
        for plain in report["cut_off"]:
            lost = LostConnection(*plain)
            self._crashes.record_lost_connection(lost, now_s)
            if self._deps.crash_watch is not None and self._deps.leadership.is_mine():
                self._deps.crash_watch.check([(lost.server_id, lost.started_ms)])
        for fingerprint in report["cleared"]:
            self._crashes.record_completed(fingerprint, now_s)
        adopted = [
            self.adopt_request(record, now_s)
            for record in decode_records(report.get("request_crashes", ()))
        ]
        for server_id, started_ms, request, age_s, parts in report.get(
            "lost_parts", ()
        ):
            lost = LostRequest(request, tuple(parts), now_s - age_s)
            self._parts.record_lost((server_id, started_ms), lost, now_s)
        for part, (for_s, level) in report.get("refused_parts", {}).items():
            self._parts.adopt(part, for_s, level, now_s)
        changes = self._parts.record_sound(report.get("sound_parts", ()), now_s)
        self._log_crashes(changes, now_s)
        if report["cleared"] or changes or any(adopted):
            self._broadcast({"suspects": self._suspect_list(report["cleared"])})

    def request_records(self) -> list[RequestRecord]:
        """Return what is to be kept of requests that were running in crashes."""
        return self._crashes.records(boot_s())

    def adopt_request(self, record: RequestRecord, now_s: float) -> bool:
        """Take over what an earlier leader knew; return whether this is new."""
        is_new = self._crashes.adopt(record, now_s)
        if is_new:
            log_change(
                "crashes of a request taken over",
                fingerprint=record.fingerprint,
                crashes=len(record.crash_ids),
                refused_for_s=round(record.refused_for_s, 1),
            )
        return is_new

    def _record_speeds(self, report: MemberReport, now_s: float) -> None:
        if not self._deps.leadership.is_mine():
            self._leads_speeds = False
            return
        if not self._leads_speeds:
            self._leads_speeds = True
            self._speeds = ServerSpeeds()
            self._speeds.adopt(self._deps.speeds())
        self._speeds.record(SpeedSample(*item) for item in report.get("speeds", ()))
        changed = self._speeds.update(self._deps.incarnations(), now_s)
        if changed:
            self._broadcast({"speeds": _encode_speeds(changed)})
            log_change(
                "servers' speeds changed",
                speeds={name: speed for (name, _), speed in changed.items()},
            )

    def _held(self, now_s: float) -> dict[str, float]:
        """Return the requests whose unconfirmed crashes are held against them."""
        watch = self._deps.crash_watch
        if watch is None:
            return {}
        return self._crashes.held(now_s, watch.heard_s)

    async def _serve_member(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        members: set[str] = set()
        try:
            await self._read_messages(reader, writer, members)
        except (
            AttributeError,
            LookupError,
            OSError,
            TypeError,
            ValueError,
        ) as error:
            self._record_end(error)
        except Exception as error:
            # What the message has changed is in doubt. The member connects again.
            record_unexpected("peer_message", error)
        except asyncio.CancelledError:
            # At process exit; asyncio's stream callback would log the cancellation as
            # an error.
            return
        finally:
            self._writers.discard(writer)
            for member in members:
                self._member_left(member)
            writer.transport.abort()

    async def _read_messages(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        members: set[str],
    ) -> None:
        """Answer a connection's messages, and add the members that report on it."""
        lines = LineReader(reader, MAX_LINE_BYTES)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(MEMBER_TIMEOUT_S) as report_timeout:
                while line := await lines.read():
                    decoded = decode_line(line)
                    if decoded.is_err():
                        log_warning("report cannot be read", reason=decoded.err())
                        return
                    if "report" in decoded.ok():
                        members.add(decoded.ok()["report"]["member"])
                        report_timeout.reschedule(loop.time() + MEMBER_TIMEOUT_S)
                    if "origins" in decoded.ok():
                        self._remember_sender(decoded.ok()["origins"], writer)
                    reply = self._handle_message(decoded.ok())
                    if reply:
                        _write_line(writer, encode_line(reply))
        except TimeoutError:
            if not report_timeout.expired():
                raise
            detail = f"no report within {MEMBER_TIMEOUT_S} s"
            raise ExcessiveLinesError("no_report", detail) from None

    def _member_left(self, member: str) -> None:
        """Record that a member has closed its connection; it may follow another VM."""
        if member in self._members and member not in self._left_members:
            self._left_members.add(member)
            log_change(
                "member left",
                member=member,
                is_leading=self._deps.leadership.is_leading(boot_s()),
            )

    def _handle_message(self, plain: dict[str, Any]) -> LeaderMessage:
        message: MemberMessage = plain  # type: ignore[assignment]
        if "known" in message:
            return self._initial_state(message)
        if "origins" in message:
            if self._deps.origins is not None:
                self._origins_batch.add(self._deps.origins.apply(message["origins"]))
            return {}
        if "trial" in message:
            trial = message["trial"]
            may_run = self._parts.may_try(trial["parts"], boot_s())
            return {"tried": {"number": trial["number"], "may_run": may_run}}
        if "pace" in message:
            return {"paced": self._pace_prompt(message["pace"])}
        if "rates" in message or "place" in message:
            return self._handle_rate_message(message)
        if "tokens" in message:
            return self._allocate_tokens(message["tokens"])
        if "lack" in message:
            self._record_model_wait(message["lack"])
            return {}
        if "refusing" in message:
            self._take_refusing(message["refusing"])
            return {}
        return {"answer": self._reply_to_report(message["report"])}

    def _take_refusing(self, update: RefusingUpdate) -> None:
        known = self._members.get(update["member"])
        if known is None:
            return
        report = known.report | {"refusing": update["refusing"]}
        self._check_refusing(known.report, report)
        self._members[update["member"]] = known._replace(report=report)
        self._deps.on_model_wait()

    def _check_refusing(self, old: MemberReport | None, new: MemberReport) -> None:
        """Have this VM try the servers that a member has begun to report."""
        watch = self._deps.crash_watch
        before = _incarnations(() if old is None else old.get("refusing", ()))
        added = _incarnations(new.get("refusing", ())) - before
        if watch is not None and added and self._deps.leadership.is_mine():
            watch.check(added)

    def report_period_s(self) -> float:
        """Return the time between two reports of a member."""
        return max(MIN_REPORT_PERIOD_S, len(self._members) / MAX_REPORTS_PER_S)

    def _record_model_wait(self, model_wait: ModelWait) -> None:
        add_wait(self._totals.demand, model_wait)
        self._model_waits.setdefault(model_wait["member"], []).append(model_wait)
        self._deps.on_model_wait()

    def _allocate_tokens(self, request: TokenRequest) -> LeaderMessage:
        now_s = boot_s()
        name, member, usage = request["customer"], request["member"], request["usage"]
        if "waiting" not in request:
            return {"given": self._allocate(member, {name: usage}, now_s)}
        answer = self._serve_waiting(request, now_s)
        balance, demand_per_s, _, returned = usage
        if answer is not None:
            balance += sum(tokens for _, tokens in answer["granted"])
        rest = {name: (balance, demand_per_s, 0.0, returned)}
        reply: LeaderMessage = {"given": self._allocate(member, rest, now_s)}
        if answer is not None:
            reply["waiting"] = answer
        return reply

    def _serve_waiting(
        self, request: TokenRequest, now_s: float
    ) -> WaitingAnswer | None:
        """Return what becomes of a member's waiting requests; None if it is unknown."""
        leadership, name = self._deps.leadership, request["customer"]
        allocator = self._allocator_in_force(now_s)
        customer = self._deps.customers().get(name)
        has_taken_over = leadership.has_taken_over(now_s)
        if allocator is None or customer is None or customer.rate_per_s <= 0:
            return None
        if has_taken_over and not self._may_allocate(now_s):
            return None
        reply = allocator.serve_waiting(
            request["member"],
            customer,
            _decode_usage(request["usage"]),
            [WaitingRequest(*item) for item in request["waiting"]],
            now_s,
            now_s if has_taken_over else self._allocator_since_s + HANDOVER_S,
        )
        return {
            "customer": name,
            "granted": list(reply.granted.items()),
            "waits_s": [(n, round(wait_s, 3)) for n, wait_s in reply.waits_s.items()],
        }

    def _pace_prompt(self, request: PacingRequest) -> PacingReply:
        candidates = [PromptCandidate(*item) for item in request["places"]]
        limits = PacingLimits(request["gap_aim_s"], request["most_s"])
        load = self.totals().load
        return_s = self._refuse_prompt(request, candidates, load)
        if return_s is not None:
            return {
                "number": request["number"],
                "place": 0,
                "wait_s": 0.0,
                "return_s": round(return_s, 3),
            }
        decision = self._prompt_pacer.schedule(
            candidates,
            limits,
            load,
            self.report_period_s(),
            boot_s(),
            self._present_speeds(),
        )
        return {
            "number": request["number"],
            "place": decision.candidate_index,
            "wait_s": round(decision.wait_s, 3),
        }

    def _present_speeds(self) -> dict[str, float]:
        """Return the servers' speeds, without those of earlier starts."""
        starts = self._deps.incarnations()
        return {
            name: speed
            for (name, started_ms), speed in self._speeds.told().items()
            if starts.get(name) == started_ms
        }

    def _refuse_prompt(
        self,
        request: PacingRequest,
        candidates: list[PromptCandidate],
        load: dict[str, int],
    ) -> float | None:
        """Return when a prompt that can't start in time should return, else None."""
        if "patience" not in request:
            return None
        now_s, period_s = boot_s(), self.report_period_s()
        views = [
            QueueView(
                item.server_id,
                self._prompt_pacer.expected_load(item.server_id, load, period_s, now_s),
                item.slots,
                item.prefill_s,
            )
            for item in candidates
        ]
        patience = Patience(*request["patience"])
        return self.starts.refuse(views, patience, self._deps.incarnations(), now_s)

    def _handle_rate_message(self, message: MemberMessage) -> LeaderMessage:
        places = self._deps.places
        if places is None:
            return {}
        if "place" in message:
            return {"placed": self._deal_place(places, message["place"])}
        changed = places.take_rates(message["rates"])
        if changed:
            self._broadcast({"rates": changed})
        cold = places.take_cold(message.get("cold", []))
        if cold:
            self._broadcast({"cold": cold})
        return {}

    def _deal_place(self, places: DealtPlaces, request: PlaceRequest) -> PlaceReply:
        now_s = boot_s()
        leadership = self._deps.leadership
        if not leadership.is_mine():
            return {"number": request["number"], "index": -1, "wait_s": 0.0}
        may_deal_all = leadership.has_taken_over(now_s) and self._may_allocate(now_s)
        return places.deal(request, may_deal_all=may_deal_all)

    def _initial_state(self, message: MemberMessage) -> LeaderMessage:
        """Return the state that a member with these known positions lacks."""
        if not self._deps.leadership.is_mine():
            return {}
        eras = message.get("known_eras", {})
        known = {
            topic: StorePosition(eras.get(topic, 0), offset)
            for topic, offset in message["known"].items()
        }
        # A record of an earlier era is one that the store has lost, and that the
        # member therefore cannot have read in the present era.
        records = [
            to_relayed(topic, record)
            for topic, cache in self._deps.topic_caches.items()
            for record in cache.records()
            if topic not in known
            or record.position >= known[topic]
            or record.position.era != known[topic].era
        ]
        reply: LeaderMessage = {
            "held": self._deps.loaded_models(),
            "records": records,
            "suspects": self._suspect_list([]),
        }
        if self._deps.origins is not None and "origins_age_s" in message:
            # Other VMs' records of that time may still be on their way.
            max_age_s = message["origins_age_s"] + LEADER_CHANGE_S
            reply["origins"] = self._deps.origins.recent_records(max_age_s)
        if self._speeds.told():
            reply["speeds"] = _encode_speeds(self._speeds.told())
        if self._deps.places is not None:
            reply["rates"] = self._deps.places.rates()
            if cold := self._deps.places.cold():
                reply["cold"] = cold
        return reply

    def _reply_to_report(self, report: MemberReport) -> LeaderReply:
        now_s = boot_s()
        leadership = self._deps.leadership
        # Raises for a malformed report, which is not kept then: it would fail each sum
        # of all reports, and so end the other members' connections.
        sum_reports([report])
        if report["member"] not in self._members:
            log_change("member seen", member=report["member"])
        known = self._members.get(report["member"])
        self._check_refusing(None if known is None else known.report, report)
        self._members[report["member"]] = _Member(report, now_s)
        self._left_members.discard(report["member"])
        self._record_crashes(report, now_s)
        self.starts.record_ended(report.get("ended", {}))
        self._record_speeds(report, now_s)
        self._model_waits.pop(report["member"], None)
        leads = leadership.is_leading(now_s)
        if not leads and "fence" in report:
            leadership.deny(report["fence"])
        if any(use["waiting"] for use in report["models"]):
            self._deps.on_model_wait()
        reply: LeaderReply = {
            "number": report["number"],
            "leads": leads,
            "given": self._allocate(report["member"], _usage_of(report), now_s),
            "is_allocating": leadership.has_taken_over(now_s)
            and self._may_allocate(now_s),
            "load": self.totals().load,
            "relays": self._relay_ring.relays_of(report["member"]),
            "members": len(self._members),
            "period_s": self.report_period_s(),
            "room_s": self._room_s(now_s),
            "topics": {
                topic: cache.proof() for topic, cache in self._deps.topic_caches.items()
            },
        }
        if self._deps.origins is not None:
            reply["origins_known_s"] = round(self._deps.origins.oldest_known_s(), 1)
            if leads and "versions_known_s" in report:
                history = self._deps.origins.history(report["versions_known_s"])
                if history is not None:
                    reply["versions"] = history
        if self._deps.stores_streams is not None:
            reply["stores_origins"] = self._deps.stores_streams()
        if self._deps.crash_watch is not None:
            reply["to_check"] = self._deps.crash_watch.to_check()
        if self._deps.places is not None:
            reply["deals_places"] = leads
        return reply

    def _allocate(
        self,
        member: str,
        usages: dict[str, tuple[float, float, float, float]],
        now_s: float,
    ) -> dict[str, float]:
        leadership = self._deps.leadership
        allocator = self._allocator_in_force(now_s)
        if allocator is None:
            return {}
        may_allocate = self._may_allocate(now_s)
        customers = self._deps.customers()
        given: dict[str, float] = {}
        for name, usage in usages.items():
            customer = customers.get(name)
            if customer is None or customer.rate_per_s <= 0:
                continue
            report = _decode_usage(usage)
            if not leadership.has_taken_over(now_s):
                # The predecessor may still allocate the rate, so only the bucket that a
                # new leader starts with is allocated.
                customer = customer._replace(rate_per_s=0.0)
            elif not may_allocate:
                allocator.suspend(member, customer, report, now_s)
                continue
            amount = allocator.allocate(member, customer, report, now_s)
            if amount > 0:
                given[name] = round(amount, 1)
        return given

    def _room_s(self, now_s: float) -> dict[str, float]:
        """Return, for customers with expected returns, when there is more room."""
        if self._allocator is None or not self._deps.leadership.is_leading(now_s):
            return {}
        waits_s = self._allocator.expected_waits_s(self._deps.customers(), now_s)
        return {name: round(wait_s, 3) for name, wait_s in waits_s.items()}

    def _allocator_in_force(self, now_s: float) -> UsageAllocator | None:
        """Return the allocator of this VM's claim, a new one for a new lead."""
        leadership = self._deps.leadership
        if not leadership.is_mine():
            return None
        assert leadership.claim is not None
        if self._allocator is None or self._allocator_fence != leadership.claim.fence:
            if not leadership.is_renewal_of(self._allocator_fence):
                self._allocator = UsageAllocator(now_s, self.return_counts)
                self._allocator_since_s = now_s
            self._allocator_fence = leadership.claim.fence
        return self._allocator

    def _may_allocate(self, now_s: float) -> bool:
        """Return whether this VM may allocate parts of customers' rate limits.

        Without confirmed authority, members that no longer report here may follow
        another leader, which allocates from the same limits. So nothing is allocated
        then unless all members are connected and have reported recently.
        """
        if self._deps.leadership.may_act(now_s):
            self._has_removed_member = False
            return True
        if self._left_members or self._has_removed_member:
            return False
        return all(
            now_s - m.reported_s < RECENT_REPORT_S for m in self._members.values()
        )


def _incarnations(plain: Iterable[tuple[str, int]]) -> frozenset[Incarnation]:
    return frozenset((name, started_ms) for name, started_ms in plain)


def _encode_speeds(speeds: Mapping[Incarnation, float]) -> list[ServerSpeed]:
    return [(name, started_ms, speed) for (name, started_ms), speed in speeds.items()]


def _decode_usage(usage: tuple[float, float, float, float]) -> UsageReport:
    """Return a member's usage; raise TypeError or ValueError if it is malformed.

    The allocator adds up what members report, so one value that is no number would
    leave a customer without tokens at all of them.
    """
    if not all(map(math.isfinite, usage)):
        raise ValueError(f"usage is not finite: {usage}")
    return UsageReport(*usage)


def _usage_of(report: MemberReport) -> dict[str, tuple[float, float, float, float]]:
    """Return a report's usage; requests that are listed apart lack nothing in it."""
    if not report.get("lists_waiting"):
        return report["usage"]
    return {
        name: (balance, demand_per_s, 0.0, returned)
        for name, (balance, demand_per_s, _, returned) in report["usage"].items()
    }


def _write_line(writer: asyncio.StreamWriter, line: bytes) -> None:
    unread_bytes = writer.transport.get_write_buffer_size()
    if unread_bytes > MAX_UNREAD_BYTES:
        detail = f"{unread_bytes} bytes are unread, of {MAX_UNREAD_BYTES} allowed"
        raise ExcessiveLinesError("unread", detail)
    writer.write(line)
