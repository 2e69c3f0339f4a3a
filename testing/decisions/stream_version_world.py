"""A world of VMs, servers of several software versions, and callers that resume."""

import json
from collections.abc import Callable
from typing import Final, NamedTuple

from _pistachiopond.decisions.leader_contact import LeaderContact
from _pistachiopond.decisions.stream_versions import (
    LEADER_CHANGE_S,
    RESUMPTION_GAP_S,
    STREAM_MEMORY_S,
    Contact,
    Origin,
    Past,
    ServedModel,
    StoredVersions,
    StreamRecord,
    StreamVersions,
    judge_resumption,
)
from _pistachiopond.vm.stream_origins import decode_history, encode_history

MODEL: Final = ServedModel("engines", "m1")
SLOTS: Final = 8
# Entries of servers reach all VMs that are not cut off within this time.
VIEW_LAG_S: Final = 0.6
LEADERLESS_S: Final = 2.5
# Callers give streams up after this time.
MAX_STREAM_S: Final = 30.0


class Stream(NamedTuple):
    """A stream that a caller has, with the version of its events."""

    version: str
    began_s: float
    seen_s: float
    recorded_s: float
    vm: str
    is_begun_unaware: bool
    was_cut_off: bool
    is_running: bool


class SimulatedVm:
    """One VM's view of the servers, and its streams' versions."""

    def __init__(self) -> None:
        self.versions = StreamVersions()
        self.servers: dict[str, str] = {}
        self.learned_s = float("-inf")
        self.first_learned_s = float("inf")
        self.oldest_since_s = float("inf")
        self.leader = ""
        self.contact = LeaderContact()
        self.is_cut = False
        self.is_turned_away = False
        self.past: Past = "absent"
        self.unsent: list[StreamRecord] = []
        self.stores_records = False
        # When a leader last said that it writes records to the store.
        self.stored_s = float("-inf")

    def learn(self, servers: dict[str, str], now_s: float) -> None:
        """Apply the servers' entries."""
        self.servers, self.learned_s = dict(servers), now_s
        self.first_learned_s = min(self.first_learned_s, now_s)
        self.oldest_since_s = min(self.oldest_since_s, now_s)
        weights: dict[str, int] = {}
        for version in servers.values():
            weights[version] = weights.get(version, 0) + SLOTS
        changed = self.versions.sets.update(
            {MODEL.service: set(weights)},
            lambda _: {MODEL: weights},
            now_s,
            now_s - self.stored_s,
        )
        self.unsent += self.versions.streams_to_record(changed, now_s)


class World:
    """VMs that may be killed, cut off and started, and servers that come and go.

    The store may turn VMs away. They stay with the leader that they know, and the
    others choose a new one if it is among them.

    A stream that needs a record has an event once the leader has written it to the
    store. All VMs may be killed at any moment.
    """

    def __init__(
        self,
        *,
        ignores_versions: bool = False,
        has_history: bool = True,
        has_store: bool = True,
        counts_all_replies: bool = False,
        awaits_store: bool = True,
    ) -> None:
        self.now_s = 1_000.0
        self._counts_all_replies = counts_all_replies
        self._awaits_store = awaits_store
        # The VMs that have reported to each leader since it last led.
        self._members: dict[str, set[str]] = {}
        self._has_store = has_store
        # What the leader has written, or None if that proves nothing.
        self._stored: StoredVersions | None = StoredVersions({})
        self._stored_records: dict[str, StreamRecord] = {}
        self._written_by = ""
        self._has_history = has_history
        self._ignores_versions = ignores_versions
        self.servers: dict[str, str] = {}
        self.vms: dict[str, SimulatedVm] = {}
        self.streams: dict[str, Stream] = {}
        self._leader = ""
        self._leader_from_s = self.now_s
        self._count = 0
        self.mixed: list[tuple[str, str, str]] = []
        self.starts = self.started = self.resumptions = self.resumed = 0

    def advance(self, duration_s: float) -> None:
        """Let time pass; VMs that are in contact learn what has changed."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s = min(end_s, self.now_s + VIEW_LAG_S)
            for name in self.vms:
                self.learn(name)
            self._relay()
        for vm in self.vms.values():
            vm.versions.forget_old(self.now_s)
        for name, stream in list(self.streams.items()):
            is_lost = not stream.is_running
            if self.now_s - stream.began_s > MAX_STREAM_S or (
                is_lost and self.now_s - stream.seen_s > RESUMPTION_GAP_S
            ):
                del self.streams[name]

    def learn(self, name: str) -> None:
        """Let one VM learn of the servers now, if it can."""
        vm = self.vms[name]
        is_relayed = self._is_leading(vm.leader)
        if not vm.is_cut and (is_relayed or not vm.is_turned_away):
            vm.learn(self.servers, self.now_s)

    def _is_leading(self, name: str) -> bool:
        leader = self.vms.get(name)
        if leader is None or leader.is_cut or leader.is_turned_away:
            return False
        return name == self._leader and self.now_s >= self._leader_from_s

    def _relay(self) -> None:
        self._choose_leader()
        for sender in sorted({vm.leader for vm in self.vms.values()}):
            self._serve_members(sender)
        for stream_id, stream in self.streams.items():
            if stream.vm in self.vms and self._is_isolated(self.vms[stream.vm]):
                self.streams[stream_id] = stream._replace(was_cut_off=True)

    def _choose_leader(self) -> None:
        served = [
            name
            for name, vm in self.vms.items()
            if not vm.is_cut and not vm.is_turned_away
        ]
        if not served:
            return
        if self._leader not in served:
            self._leader = min(served)
            self._leader_from_s = self.now_s + LEADERLESS_S
        if self.now_s >= self._leader_from_s:
            for name in served:
                self._follow(name)

    def _follow(self, name: str) -> None:
        """Have a VM follow the leader, which tells it the records that it missed."""
        vm = self.vms[name]
        if vm.leader == self._leader:
            return
        vm.leader = self._leader
        missed_s = min(60.0, self.contact(vm).contact_age_s) + LEADER_CHANGE_S
        leader = self.vms[self._leader]
        records = leader.versions.recent_records(missed_s, self.now_s)
        vm.versions.add_records(records, self.now_s)
        vm.unsent += vm.versions.own_records(self.now_s)

    def _serve_members(self, sender: str) -> None:
        leader = self.vms.get(sender)
        if leader is None or leader.is_cut:
            return
        names = {
            name
            for name, vm in self.vms.items()
            if vm.leader == sender and not vm.is_cut
        }
        is_leading = self._is_leading(sender)
        if is_leading:
            self._members[sender] = set(names)
        known = self._members.setdefault(sender, set())
        known |= names
        for name in names:
            self.vms[name].contact.record_reply(
                self.now_s,
                is_leading=is_leading or self._counts_all_replies,
                has_lost_none=known <= names,
                members=len(names),
            )
        members = [self.vms[name] for name in sorted(names)]
        for vm in members:
            vm.stores_records = not leader.is_turned_away
            vm.stored_s = self.now_s if is_leading else vm.stored_s
        if members and members[0].contact.reaches_all:
            self._exchange(leader, members, is_leading=is_leading)

    def _exchange(
        self, leader: SimulatedVm, members: list[SimulatedVm], *, is_leading: bool
    ) -> None:
        if self._has_history and is_leading:
            self._pass_on_history(leader, members)
        oldest_since_s = min(vm.oldest_since_s for vm in members)
        for vm in members:
            vm.oldest_since_s = oldest_since_s
            records, vm.unsent = vm.unsent, []
            for record in records:
                if is_leading:
                    self._stored_records[record.stream_id] = record
                stream = self.streams.get(record.stream_id)
                if stream is not None:
                    stream = stream._replace(recorded_s=self.now_s)
                    self.streams[record.stream_id] = stream
            for other in members:
                other.versions.add_records(records, self.now_s)
        if is_leading:
            self._store_versions(leader)

    def _is_isolated(self, vm: SimulatedVm) -> bool:
        """Return whether a VM hears neither of servers nor of records."""
        return vm.is_cut or (vm.is_turned_away and not vm.contact.reaches_all)

    def _pass_on_history(self, leader: SimulatedVm, members: list[SimulatedVm]) -> None:
        history = leader.versions.sets.history(self.now_s)
        assert history is not None
        plain = json.loads(json.dumps(encode_history(history)))
        for vm in members:
            known_s = vm.versions.sets.known_s(self.now_s)
            may_pass_on = self.contact(leader).may_pass_on_history(known_s)
            if may_pass_on and known_s < RESUMPTION_GAP_S and vm is not leader:
                vm.versions.sets.take_history(decode_history(plain), self.now_s)
                vm.past = "known"

    def _store_versions(self, leader: SimulatedVm) -> None:
        if self._written_by != self._leader:
            self._written_by = self._leader
            for record in leader.versions.recent_records(STREAM_MEMORY_S, self.now_s):
                self._stored_records[record.stream_id] = record
        is_old = leader.versions.sets.known_s(self.now_s) >= RESUMPTION_GAP_S
        if is_old or leader.past == "known":
            self._stored = leader.versions.stored(self.now_s)

    def kill_all(self) -> None:
        """Kill all VMs at once; all streams break."""
        self.vms.clear()
        self._break(lambda stream: True)
        self._leader = self._written_by = ""

    def start_vm(self) -> None:
        """Start a VM, which knows the servers and the leader's records."""
        self._count += 1
        name = f"vm-{self._count}"
        vm = SimulatedVm()
        if not self._has_store:
            vm.past = "known"
        elif self._stored is not None and not self.vms:
            vm.versions.sets.take_stored(self._stored, self.now_s)
            vm.versions.add_records(self._stored_records.values(), self.now_s)
            vm.past = "known"
        donors = [other for other in self.vms.values() if not other.is_cut]
        self.vms[name] = vm
        self.learn(name)
        for donor in donors:
            records = donor.versions.recent_records(60.0, self.now_s)
            vm.versions.add_records(records, self.now_s)
        self._relay()

    def set_store_away(self, *, is_away: bool) -> None:
        """Have the store turn all VMs away, or serve them again."""
        for vm in self.vms.values():
            vm.is_turned_away = is_away
        self._relay()

    def set_turned_away(self, name: str, *, is_turned_away: bool) -> None:
        """Have the store turn a VM away, or serve it again."""
        self.vms[name].is_turned_away = is_turned_away
        self._relay()
        self.learn(name)

    def kill_vm(self, name: str) -> None:
        """Kill a VM, unless the others are cut off; its streams break."""
        if all(vm.is_cut for key, vm in self.vms.items() if key != name):
            return
        del self.vms[name]
        self._break(lambda stream: stream.vm == name)

    def set_cut(self, name: str, *, is_cut: bool) -> None:
        """Cut a VM off from the store and the other VMs, or heal that.

        One VM is never cut off, since a VM that starts beside none learns nothing.
        """
        others = [vm for key, vm in self.vms.items() if key != name]
        if is_cut and all(vm.is_cut for vm in others):
            return
        self.vms[name].is_cut = is_cut
        for stream_id, stream in self.streams.items():
            if is_cut and stream.vm == name:
                self.streams[stream_id] = stream._replace(was_cut_off=True)
        if not is_cut:
            self.learn(name)
            for donor in self.vms.values():
                if not donor.is_cut:
                    records = donor.versions.recent_records(60.0, self.now_s)
                    self.vms[name].versions.add_records(records, self.now_s)

    def add_server(self, version: str) -> None:
        """Start a server."""
        self._count += 1
        self.servers[f"s-{self._count}"] = version

    def remove_server(self, name: str) -> None:
        """End a server; the streams at its version break if none is left of it."""
        version = self.servers.pop(name)
        if version not in self.servers.values():
            self._break(lambda stream: stream.version == version)

    def _break(self, is_hit: Callable[[Stream], bool]) -> None:
        for name, stream in self.streams.items():
            if stream.is_running and is_hit(stream):
                self.streams[name] = stream._replace(
                    is_running=False, seen_s=self.now_s
                )

    def break_stream(self, name: str) -> None:
        """Break one caller's connection; one that is broken does not break again."""
        stream = self.streams[name]
        if not stream.is_running:
            return
        self.streams[name] = stream._replace(is_running=False, seen_s=self.now_s)

    def contact(self, vm: SimulatedVm) -> Contact:
        """Return a VM's contact with the leader."""
        return Contact(
            self.now_s - vm.contact.reached_all_s,
            self.now_s - vm.learned_s,
            vm.versions.sets.known_s(self.now_s),
            self.now_s - vm.oldest_since_s,
            vm.past,
            vm.stores_records or not self._awaits_store,
            self.now_s - vm.stored_s if self._awaits_store else 0.0,
        )

    def begin_passed_on(self, first: str, name: str) -> None:
        """Begin a stream at a VM, after an attempt without an event at another one."""
        vm = self.vms[first]
        if vm.is_cut or self.vms[name].is_cut:
            return
        self._count += 1
        stream_id = f"a-{self._count}"
        for version in sorted(set(vm.servers.values()) & set(self.servers.values())):
            contact = self.contact(vm)
            if vm.versions.may_start(stream_id, MODEL, version, contact, self.now_s):
                self._record_start(vm, stream_id, version)
                self._relay()
                vm.versions.record_no_event(stream_id)
                vm.unsent = [r for r in vm.unsent if r.stream_id != stream_id]
        self._begin(stream_id, name, is_overloaded=False)

    def _record_start(self, vm: SimulatedVm, stream_id: str, version: str) -> bool:
        """Remember a start or a resumption; return whether it needs a record."""
        record = vm.versions.record_start(
            stream_id, MODEL, version, self.now_s, self.now_s - vm.stored_s
        )
        if record is not None:
            vm.unsent.append(record)
        return record is not None

    def begin(self, name: str, *, is_overloaded: bool) -> None:
        """Begin a stream; an overloaded preferred version is passed over."""
        self._count += 1
        self._begin(f"a-{self._count}", name, is_overloaded=is_overloaded)

    def _begin(self, stream_id: str, name: str, *, is_overloaded: bool) -> None:
        vm = self.vms[name]
        usable = set(vm.servers.values()) & set(self.servers.values())
        if not usable:
            return
        self.starts += 1
        version = vm.versions.sets.preferred(stream_id, MODEL)
        if version not in usable or is_overloaded:
            version = max(usable - {version}, default=min(usable))
        contact = self.contact(vm)
        if not vm.versions.may_start(stream_id, MODEL, version, contact, self.now_s):
            return
        needs_record = self._record_start(vm, stream_id, version)
        if needs_record and not self._is_stored(stream_id, version):
            # Its caller gets no event, and it begins nowhere else.
            return
        self.started += 1
        only = vm.versions.sets.only_version(MODEL.service)
        self.streams[stream_id] = Stream(
            version=version,
            began_s=self.now_s,
            seen_s=self.now_s,
            recorded_s=self.now_s if needs_record else float("-inf"),
            vm=name,
            is_begun_unaware=self._is_isolated(vm) and only is not None,
            was_cut_off=self._is_isolated(vm),
            is_running=True,
        )
        self._relay()

    def _is_stored(self, stream_id: str, version: str) -> bool:
        """Return whether the store has a record now, or nobody waits for that."""
        if not self._awaits_store:
            return True
        self._relay()
        stored = self._stored_records.get(stream_id)
        return stored is not None and stored.version == version

    def may_resume(self, stream_id: str, name: str) -> bool:
        """Return whether a broken stream may be taken up again at a VM.

        Not covered by the mechanism, and so left out: a stream whose record is still on
        its way; one whose record was made since the VM lost the leader, until the VM
        knows that it has lost it; one begun by a VM that is cut off and has never
        known of a second version; and one whose VM was cut off, at a VM that has
        started since the stream began.
        """
        vm, stream = self.vms[name], self.streams[stream_id]
        unsent = {r.stream_id for vm in self.vms.values() for r in vm.unsent}
        if stream.is_running or stream_id in unsent or stream.is_begun_unaware:
            return False
        if stream.was_cut_off and vm.first_learned_s > stream.began_s:
            return False
        has_contact = self.contact(vm).contact_age_s < LEADER_CHANGE_S
        return not (has_contact and stream.recorded_s > vm.contact.reached_all_s)

    def resume(self, stream_id: str, name: str) -> None:
        """Take a stream up again at a VM."""
        vm, stream = self.vms[name], self.streams[stream_id]
        versions = list(vm.servers.values())
        origin = vm.versions.resolve(stream_id, MODEL, self.now_s)
        step = judge_resumption(origin, self.contact(vm))
        if self._ignores_versions:
            origin, step = Origin(max(versions, default=None), "computed"), "goes_on"
        is_served = not vm.is_cut and not vm.is_turned_away
        is_in_touch = is_served and self.now_s - vm.first_learned_s >= 2.0
        serving = list(self.servers.values()).count(stream.version)
        counts = is_in_touch and serving >= 2 and stream.version in versions
        self.resumptions += counts
        if step != "goes_on" or origin.version not in versions:
            return
        self.resumed += counts
        if origin.version != stream.version:
            self.mixed.append((stream_id, stream.version, origin.version))
        self._record_start(vm, stream_id, origin.version)
        self.streams[stream_id] = stream._replace(
            vm=name,
            is_running=True,
            seen_s=self.now_s,
            was_cut_off=stream.was_cut_off or self._is_isolated(vm),
        )
        self._relay()
