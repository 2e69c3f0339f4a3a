"""A world of VMs and servers in which parts of prompts crash the servers.

``python -m testing.decisions.part_crash_world`` prints the figures of all cases.
"""

import heapq
import random
from collections.abc import Callable, Sequence
from typing import Any, Final, NamedTuple

from _pistachiopond.decisions.part_suspects import (
    MAX_PARTS_PER_REQUEST,
    LostRequest,
    PartSuspects,
    SoundParts,
)

RESTART_S: Final = 3.3
MISSED_HEARTBEATS_S: Final = 3.6
VIEW_LAG_S: Final = 0.3
TICK_S: Final = 0.25
PREFILL_S: Final = 0.15
LINK_S: Final = 0.01
LEADERLESS_S: Final = 2.5
SUBJECTS: Final = 20
STREAMED_S: Final = 1.0
WINDOW_S: Final = 3.0
LOST_RETENTION_S: Final = 60.0


class Run(NamedTuple):
    """A request at a server."""

    number: int
    parts: tuple[str, ...]
    vm: int
    sent_s: float


class Case(NamedTuple):
    """What the world plays.

    Attributes
    ----------
    vms, servers : int
        How many there are.
    seed : int
        Of all random choices.
    deadly : tuple of str
        The parts that crash servers.
    deadly_per_s, sound_per_s : float
        Rates of requests with and without a deadly part.
    crash_after_s : float
        From the beginning of an answer to the crash.
    duration_s : float
        How long an answer takes.
    new_sound_at_s : float
        From then on all requests share a sound part that is new; infinite for never.
    fresh_per_s : float
        How many new parts come into use each second, among twenty at a time.
    invented : int
        Parts of each sound request that occur nowhere else.
    other_crashes_s : tuple of tuple
        When servers end for another cause, and how many at that time.
    confirm_s : float
        How long a crashed server stays in the fleet's list, unless it is back before.
    cut_vms, old_vms, late_vms : int
        VMs without a link to the leader, of the build before, and without a memory of
        sound parts.
    leader_change_s : float
        When the leader is killed.
    retries : int
        How often a VM sends a request again after a lost connection.
    end_s : float
        When the play ends.
    """

    vms: int = 6
    servers: int = 5
    seed: int = 1
    deadly: tuple[str, ...] = ("d0",)
    deadly_per_s: float = 2.0
    sound_per_s: float = 40.0
    crash_after_s: float = 0.0
    duration_s: float = 1.5
    new_sound_at_s: float = float("inf")
    fresh_per_s: float = 0.0
    invented: int = 0
    other_crashes_s: tuple[tuple[float, int], ...] = ()
    confirm_s: float = MISSED_HEARTBEATS_S
    cut_vms: int = 0
    old_vms: int = 0
    late_vms: int = 0
    leader_change_s: float = float("inf")
    retries: int = 0
    end_s: float = 40.0


class Result(NamedTuple):
    """What the world has counted; times are from the first deadly request."""

    crashes: dict[str, int]
    refused_after_s: dict[str, float]
    wrongly_refused: set[str]
    sound_refused: int
    sound_asked: int
    reached_after_window: dict[str, int]
    messages: int
    message_bytes: int
    largest_evidence: int


class _Vm:
    def __init__(
        self, index: int, phase_s: float, *, is_cut: bool, is_old: bool
    ) -> None:
        self.index = index
        self.phase_s = phase_s
        self.is_cut, self.is_old = is_cut, is_old
        self.sound = SoundParts()
        self.lost: list[tuple[tuple[str, int], LostRequest]] = []
        self.unsent: list[tuple[tuple[str, int], LostRequest]] = []
        self.watched: frozenset[str] = frozenset()
        self.told: set[str] = set()
        self.refused: dict[str, tuple[float, int]] = {}


class World:
    """Plays one case on a clock of its own."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.now_s = 0.0
        self._rng = random.Random(case.seed)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        period_s = max(0.2, case.vms / 250.0)
        self._period_s = period_s
        self._vms = [
            _Vm(
                index,
                self._rng.random() * period_s,
                is_cut=index < case.cut_vms,
                is_old=case.cut_vms <= index < case.cut_vms + case.old_vms,
            )
            for index in range(case.vms)
        ]
        self._servers: dict[str, int] = {f"s{i}": 0 for i in range(case.servers)}
        self._gone_s: dict[str, float] = {}
        self._runs: dict[str, dict[int, Run]] = {name: {} for name in self._servers}
        self._listed = dict(self._servers)
        self._leader: PartSuspects | None = PartSuspects()
        self._first_deadly_s = float("inf")
        self._crashed_s: dict[str, list[float]] = {}
        self._refused_s: dict[str, float] = {}
        self._wrongly: set[str] = set()
        self._sound_asked = self._sound_refused = 0
        self._reached_s: dict[str, list[float]] = {}
        self._messages = self._bytes = self._largest = 0

    def play(self, deadly_from_s: float = 4.0) -> Result:
        """Play the case, with deadly requests from a time on, and return the counts."""
        case = self.case
        self._arrivals(0.0, case.sound_per_s, self._sound_request)
        self._arrivals(deadly_from_s, case.deadly_per_s, self._deadly_request)
        for at_s, count in case.other_crashes_s:
            self._at(at_s, lambda count=count: self._end_servers(count))
        for vm in self._vms:
            self._at(vm.phase_s, lambda vm=vm: self._report(vm))
        self._at(TICK_S, self._tick)
        if case.late_vms:
            self._at(deadly_from_s - 0.1, self._forget_at_late_vms)
        if case.leader_change_s < case.end_s:
            self._at(case.leader_change_s, self._kill_leader)
            self._at(case.leader_change_s + LEADERLESS_S, self._new_leader)
        while self._queue and self._queue[0][0] < case.end_s:
            self.now_s, _, action = heapq.heappop(self._queue)
            action()
        late = {
            part: sum(at_s > self._crashed_s[part][4] + WINDOW_S for at_s in reached_s)
            for part, reached_s in self._reached_s.items()
            if len(self._crashed_s.get(part, ())) > 4
        }
        return Result(
            {part: len(times_s) for part, times_s in self._crashed_s.items()},
            {p: t - self._first_deadly_s for p, t in self._refused_s.items()},
            self._wrongly,
            self._sound_refused,
            self._sound_asked,
            late,
            self._messages,
            self._bytes,
            self._largest,
        )

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._queue, (at_s, self._count, action))

    def _arrivals(
        self, from_s: float, rate_per_s: float, action: Callable[[], None]
    ) -> None:
        at_s = from_s
        while rate_per_s and at_s < self.case.end_s:
            at_s += self._rng.expovariate(rate_per_s)
            self._at(at_s, action)

    def _shared_parts(self) -> list[str]:
        oldest = int(self.now_s * self.case.fresh_per_s)
        parts = ["first", f"p{oldest + self._rng.randrange(SUBJECTS)}"]
        if self.now_s >= self.case.new_sound_at_s:
            parts.append("new")
        return parts

    def _sound_request(self) -> None:
        self._sound_asked += 1
        self._count += 1
        own = [f"i{self._count}-{i}" for i in range(self.case.invented)]
        is_sent = self._send(self._count, (*self._shared_parts(), *own), 0)
        self._sound_refused += not is_sent

    def _deadly_request(self) -> None:
        self._first_deadly_s = min(self._first_deadly_s, self.now_s)
        self._count += 1
        parts = (*self._shared_parts(), self._rng.choice(self.case.deadly))
        self._send(self._count, parts, 0)

    def _send(self, number: int, parts: tuple[str, ...], tries: int) -> bool:
        """Send a request to a server; return False if a part of it is refused."""
        vm = self._rng.choice(self._vms)
        if any(vm.refused.get(p, (0.0, 0))[0] > self.now_s for p in parts):
            return False
        up = [name for name in self._servers if name not in self._gone_s]
        if not up:
            return True
        name = self._rng.choice(up)
        for part in self._deadly_of(parts):
            if not vm.is_cut:
                self._reached_s.setdefault(part, []).append(self.now_s)
        incarnation = (name, self._servers[name])
        self._runs[name][number] = Run(number, parts, vm.index, self.now_s)
        begins_s = PREFILL_S * (0.5 + self._rng.random())
        if self._deadly_of(parts):
            delay_s = begins_s + self.case.crash_after_s
            self._at(
                self.now_s + delay_s,
                lambda: self._crash_by(incarnation, number, parts, tries),
            )
        else:
            for after_s in (STREAMED_S, self.case.duration_s):
                if after_s <= self.case.duration_s:
                    self._at(
                        self.now_s + begins_s + after_s,
                        lambda after_s=after_s: self._ran(
                            vm, incarnation, number, parts, after_s
                        ),
                    )
        return True

    def _deadly_of(self, parts: Sequence[str]) -> list[str]:
        return [part for part in parts if part in self.case.deadly]

    def _ran(
        self,
        vm: _Vm,
        incarnation: tuple[str, int],
        number: int,
        parts: tuple[str, ...],
        after_s: float,
    ) -> None:
        name, started = incarnation
        if self._servers[name] != started or number not in self._runs[name]:
            return
        for part in parts:
            vm.sound.add(part, self.now_s)
        if after_s >= self.case.duration_s:
            del self._runs[name][number]

    def _crash_by(
        self, incarnation: tuple[str, int], number: int, parts: tuple[str, ...], n: int
    ) -> None:
        name, started = incarnation
        if self._servers[name] != started or number not in self._runs[name]:
            return
        for part in self._deadly_of(parts):
            self._crashed_s.setdefault(part, []).append(self.now_s)
        self._end_server(name)
        if n < self.case.retries:
            self._send(number, parts, n + 1)

    def _end_servers(self, count: int) -> None:
        up = [name for name in self._servers if name not in self._gone_s]
        for name in self._rng.sample(up, min(count, len(up))):
            self._end_server(name)

    def _end_server(self, name: str) -> None:
        runs, self._runs[name] = self._runs[name], {}
        started = self._servers[name]
        self._servers[name] += 1
        self._gone_s[name] = self.now_s
        for run in runs.values():
            vm = self._vms[run.vm]
            if self.now_s - run.sent_s > PREFILL_S + STREAMED_S or vm.is_old:
                continue
            parts = tuple(p for p in run.parts if not vm.sound.knows(p, self.now_s))
            if parts:
                lost = LostRequest(
                    str(run.number), parts[:MAX_PARTS_PER_REQUEST], self.now_s
                )
                vm.lost.append(((name, started), lost))
                vm.unsent.append(((name, started), lost))
        self._at(self.now_s + self.case.confirm_s, lambda: self._unlist(name, started))
        self._at(self.now_s + RESTART_S, lambda: self._restart(name))

    def _unlist(self, name: str, started: int) -> None:
        if self._listed.get(name) == started:
            del self._listed[name]

    def _restart(self, name: str) -> None:
        del self._gone_s[name]
        started = self._servers[name]
        self._at(
            self.now_s + VIEW_LAG_S, lambda: self._listed.__setitem__(name, started)
        )

    def _report(self, vm: _Vm) -> None:
        self._at(self.now_s + self._period_s, lambda: self._report(vm))
        leader = self._leader
        if leader is None or vm.is_cut or vm.is_old:
            return
        unsent, vm.unsent = vm.unsent, []
        known = [
            part for part in vm.watched - vm.told if vm.sound.knows(part, self.now_s)
        ]
        vm.told.update(known)
        size = sum(50 + 19 * len(lost.parts) for _, lost in unsent) + 19 * len(known)
        self._messages += bool(size)
        self._bytes += size
        for incarnation, lost in unsent:
            leader.record_lost(incarnation, lost, self.now_s)
        if known:
            leader.record_sound(known, self.now_s)
            for other in self._vms:
                for part in known:
                    other.refused.pop(part, None)
            self._broadcast(leader)

    def _tick(self) -> None:
        self._at(self.now_s + TICK_S, self._tick)
        leader = self._leader
        if leader is None:
            return
        before = leader.watched()
        changes = leader.update(self._listed, self._period_s, self.now_s)
        for change in changes:
            if change.kind == "refused":
                if change.part in self.case.deadly:
                    self._refused_s.setdefault(change.part, self.now_s)
                else:
                    self._wrongly.add(change.part)
        if changes or leader.watched() != before:
            self._broadcast(leader)
        self._largest = max(self._largest, leader.evidence_size())

    def _broadcast(self, leader: PartSuspects) -> None:
        watched = frozenset(leader.watched())
        refused = {p: (r.until_s, r.level) for p, r in leader.refusals().items()}
        for vm in self._vms:
            if vm.is_cut or vm.is_old:
                continue
            self._messages += 1
            self._bytes += 19 * len(watched) + 30 * len(refused)
            vm.watched = watched
            vm.told &= watched
            self._at(self.now_s + LINK_S, lambda vm=vm: vm.refused.update(refused))

    def _forget_at_late_vms(self) -> None:
        for vm in self._vms[-self.case.late_vms :]:
            vm.sound = SoundParts()

    def _kill_leader(self) -> None:
        self._leader = None

    def _new_leader(self) -> None:
        self._leader = leader = PartSuspects()
        for vm in self._vms:
            vm.told = set()
            if vm.is_cut or vm.is_old:
                continue
            recent_s = self.now_s - LOST_RETENTION_S
            vm.unsent = [item for item in vm.lost if item[1].lost_s > recent_s]
            for part, (until_s, level) in vm.refused.items():
                leader.adopt(part, until_s - self.now_s, level, self.now_s)


SIZES: Final = ((6, 5, 40.0), (79, 40, 300.0), (195, 100, 600.0))
END_S: Final = 24.0
CASES: Final[dict[str, dict[str, Any]]] = {
    "one part": {},
    "crashes known at once": {"confirm_s": 0.4},
    "three parts": {"deadly": ("d0", "d1", "d2")},
    "after the first event": {"crash_after_s": 0.6},
    "retries": {"retries": 1, "confirm_s": 0.4},
    "a loss of power": {"other_crashes_s": ((5.0, 3), (9.0, 4))},
    "other crashes": {"other_crashes_s": tuple((4.0 + 3.0 * n, 1) for n in range(12))},
    "a new popular part": {"new_sound_at_s": 3.5},
    "invented parts": {"invented": 6},
    "a VM is cut off": {"cut_vms": 1},
    "VMs start late": {"late_vms": 2},
    "the leader is killed": {"leader_change_s": 6.0, "confirm_s": 0.4},
}


def play(size: tuple[int, int, float], seed: int, **more: Any) -> Result:
    """Play a case with these numbers of VMs and servers and this rate."""
    vms, servers, rate = size
    case = Case(vms, servers, seed, sound_per_s=rate, end_s=END_S, **more)
    return World(case).play()


def main() -> None:
    """Print the crashes for each part, and the other figures, of five seeds."""
    for size in SIZES:
        for name, case in {**CASES, "two old VMs": {"old_vms": 2}}.items():
            results = [play(size, seed, **case) for seed in range(1, 6)]
            crashes = [max(result.crashes.values()) for result in results]
            late = [max(r.reached_after_window.values(), default=0) for r in results]
            print(
                f"| {size[0]} | {name} | {sum(crashes) / 5:.1f}, {max(crashes)} "
                f"| {max(late)} | {sum(len(r.wrongly_refused) for r in results)} "
                f"| {max(r.message_bytes for r in results) / 1000:.0f} "
                f"| {max(r.largest_evidence for r in results)} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
