"""Soak test of resumable streams through ``pond-vm`` processes while things fail.

``python -m testing.live.stream_soak --seed N --seconds S [--build CHECKOUT]``, in the
environment of ``tools/environment.sh``. Servers crash, break off and answer twice; VMs
are killed, paused and stopped; the configuration changes. It exits with 1 if a check
failed, and prints each failure with the VMs' log lines that name the request. The logs
are then kept.
"""

import asyncio
import json
import random
import re
import shutil
import signal
import sys
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable, Collection, Mapping
from pathlib import Path
from typing import Any, Final, NamedTuple, final

import anyio
import cyclopts

from _pistachiopond.http1.client import ClientConnection, ExchangeError, connect
from _pistachiopond.http1.messages import HttpAddress, ResponseHead, encode_request
from testing.live.stream_servers import (
    FAULTS,
    POISON,
    SECOND_ANSWERS,
    SERVICE,
    Runs,
    StreamServer,
)
from testing.live.vm_processes import (
    CALLER_PORT,
    loopback_ip,
    parse_line,
    start_vm_program,
)
from testing.vm import deployment as vm_parts
from testing.vm.fake_store import FakeStore
from tools import processes

app = cyclopts.App(help=__doc__)

CHECKOUT: Final = Path(__file__).resolve().parents[2]
VMS: Final = ("vm-a", "vm-b", "vm-c")
SERVERS: Final = 5
CALLERS: Final = 24
HEARTBEAT_S: Final = 0.2
DEADLINE_S: Final = 3.0
# Callers close the connection this long after the deadline.
PATIENCE_S: Final = 1.0
STOP_GRACE_S: Final = 8.0
START_LIMIT_S: Final = 30.0
MAX_TRIES: Final = 6
MOST_VMS_AWAY: Final = 2
POISON_SENDS: Final = 5
EVENT_END: Final = b"\n\n"
EVENT_ID: Final = re.compile(rb"id: (\d+)\n")
# In answers to callers these codes promise that the request has not run.
NOT_RUN: Final = (408, 421, 429, 503)
MADE_BY_NONE: Final = "piece that no run made whole"
# Callers only send requests that the configuration allows.
NOT_ALLOWED: Final = (400, 401, 404, 413, 431)
MAX_SHOWN_BYTES: Final = 300
# The whole budget of repeated requests, so that faults do not exhaust it.
BOUNDS: Final = {"budgetRatio": 2.0, "budgetSlack": 2000}


class Answer(NamedTuple):
    """What a caller has received.

    Attributes
    ----------
    attempt_id : str
        The id of the caller's request.
    vm : str
        The VM that answered.
    head : ResponseHead or None
        None without an answer.
    body : bytes
        The body as far as it came.
    is_complete : bool
        Whether the answer ended as complete.
    """

    attempt_id: str
    vm: str
    head: ResponseHead | None
    body: bytes
    is_complete: bool


class Failure(NamedTuple):
    """A check that failed.

    Attributes
    ----------
    check : str
        The name of the check.
    attempt_ids : tuple of str
        All attempts of the caller's request, the failed one last.
    text : str
        What was seen.
    group : str
        Under which failures are counted beside the log lines that name them; not
        counted if empty.
    """

    check: str
    attempt_ids: tuple[str, ...]
    text: str
    group: str


class SoakResult(NamedTuple):
    """What a soak did and found.

    Attributes
    ----------
    failures : list of Failure
        The checks that failed.
    counts : Counter of str
        What callers and servers saw, and the faults.
    report : str
        The failures with the log lines that name their requests, and the counts.
    """

    failures: list[Failure]
    counts: Counter[str]
    report: str


@final
class Checks:
    """Checks what callers saw against what servers did."""

    def __init__(self, runs: Runs) -> None:
        self.runs = runs
        self.failures: list[Failure] = []
        self.counts: Counter[str] = Counter()
        self.refused: dict[str, int] = {}

    def fail(
        self, check: str, attempt_ids: tuple[str, ...], text: str, group: str = ""
    ) -> None:
        """Record a failed check."""
        self.failures.append(Failure(check, attempt_ids, text, group))
        self.counts[f"FAILED {check}"] += 1

    def check_head(self, answer: Answer, chain: tuple[str, ...]) -> None:
        """Check the status, the seal and the id of an answer."""
        head = answer.head
        if head is None:
            self.counts["no answer"] += 1
            return
        self.counts[f"status {head.status}"] += 1
        named = head.value(b"x-attempt-id")
        if named is not None and named.decode() != answer.attempt_id:
            self.fail("answer to another request", chain, f"{named!r}")
        if head.status in NOT_RUN:
            self.refused[answer.attempt_id] = head.status
        if head.status in NOT_ALLOWED:
            self.fail("request not allowed", chain, f"{answer.vm}: {head.status}")
        seals = [run.seal for run in self.runs.by_attempt[answer.attempt_id]]
        seal = head.value(b"x-server-seal")
        if 200 <= head.status < 300 and seal not in seals:
            self.fail("success without the seal of a run", chain, f"{seal!r}")

    def check_body(self, answer: Answer, chain: tuple[str, ...]) -> None:
        """Check that a complete success has the body of one run."""
        if answer.head is None or answer.head.status != 200 or not answer.is_complete:
            return
        bodies = [run.made.get(0) for run in self.runs.by_attempt[answer.attempt_id]]
        if answer.body not in bodies:
            shown = answer.body[:MAX_SHOWN_BYTES]
            self.fail("body that no run made whole", chain, f"{answer.vm}: {shown!r}")

    def check_stream(
        self, answer: Answer, chain: tuple[str, ...], last_id: int | None, count: int
    ) -> int | None:
        """Check the events of an answer; return the last id that the caller has."""
        if answer.head is None or answer.head.status != 200:
            return last_id
        *pieces, rest = answer.body.split(EVENT_END)
        makers = []
        for position, piece in enumerate(pieces):
            whole = piece + EVENT_END
            runs = self.runs.by_attempt[answer.attempt_id]
            numbers = [
                (index, number)
                for index, run in enumerate(runs)
                for number, made in run.made.items()
                if made == whole
            ]
            where = (
                f"{answer.vm}, piece {position} of the answer, after id {last_id}, "
                f"runs {[(run.fault, sorted(run.made)) for run in runs]}"
            )
            if not numbers:
                shown = f"{whole[:MAX_SHOWN_BYTES]!r}, {len(whole)} bytes"
                which = "later" if position else "first"
                if last_id is not None and position == 0:
                    which += " after a Last-Event-Id"
                found = self._describe_joined(answer, which)
                self.fail(MADE_BY_NONE, chain, f"{where}: {shown}", found)
                ids = [int(text) for text in EVENT_ID.findall(whole)]
                last_id = ids[-1] if ids else last_id
                continue
            maker, number = numbers[0]
            makers.append(maker)
            due = 0 if last_id is None else last_id + 1
            if number != due:
                self.fail("event out of order", chain, f"{where}: {number}, due {due}")
            last_id = number
        self.counts["pieces"] += len(pieces)
        self.counts["answers joined of several runs"] += len(set(makers)) > 1
        if answer.is_complete and (last_id != count - 1 or rest):
            shown = f"{answer.vm}: last id {last_id} of {count}, rest {rest[:80]!r}"
            self.fail("complete without its last piece", chain, shown)
        return last_id

    def _describe_joined(self, answer: Answer, which: str) -> str:
        """Return where a piece that no run made whole came, and after what."""
        runs = self.runs.by_attempt[answer.attempt_id]
        cause = "one run" if len(runs) == 1 else "several runs"
        if any(run.fault in SECOND_ANSWERS for run in runs):
            cause += ", one with a second answer within an event"
        return f"{MADE_BY_NONE}: {which}, {cause}"

    def check_runs(self) -> None:
        """Check, after all requests, refusals and the requests that may run once."""
        for attempt_id, runs in self.runs.by_attempt.items():
            if attempt_id in self.refused and runs:
                text = f"{self.refused[attempt_id]} and {len(runs)} runs"
                self.fail("refused as not run, but ran", (attempt_id,), text)
            if "-once-" in attempt_id and len(runs) > 1:
                self.fail("ran more than once", (attempt_id,), f"{len(runs)} runs")


@final
class Soak:
    """Three VMs as processes, servers and callers, and the faults from outside."""

    def __init__(
        self, seed: int, build: Path, folder: Path, faults: Mapping[str, int]
    ) -> None:
        self.runs = Runs(faults)
        self.checks = Checks(self.runs)
        self.counts = self.checks.counts
        self._seed = seed
        self._build = build
        self._folder = folder
        self._store = FakeStore()
        self._store_address = ""
        self._servers = [StreamServer(x, seed, self.runs) for x in range(SERVERS)]
        self._programs: dict[str, processes.Program] = {}
        self._away: set[str] = set()
        self._version = 0
        self._is_ending = False

    def _rng(self, name: str) -> random.Random:
        return random.Random(f"{self._seed} {name}")

    async def run(self, duration_s: float, callers: int) -> None:
        """Run callers and faults for a time, then let all requests end."""
        listening, address = await vm_parts.listen(self._store.handle)
        self._store_address = f"{address.ip}:{address.port}"
        for server in self._servers:
            await server.listen()
        self._configure()
        async with anyio.create_task_group() as group:
            group.start_soon(self._write_entries)
            try:
                for name in VMS:
                    self._start(name)
                for name in VMS:
                    await self._wait_until_serving(name)
                await self._run_load(duration_s, callers)
                self.checks.check_runs()
                self.counts.update(
                    {f"fault {fault}": x for fault, x in self.runs.faults.items()}
                )
                crashes = sum(server.crashes for server in self._servers)
                self.counts["server crashes"] = crashes
            finally:
                for program in self._programs.values():
                    program.kill()
                for server in self._servers:
                    await server.close()
                listening.close()
                group.cancel_scope.cancel()

    async def _run_load(self, duration_s: float, count: int) -> None:
        async with anyio.create_task_group() as faults:
            for fault in (
                self._crash_servers,
                self._disturb_vms,
                self._change_configuration,
                self._send_poison,
            ):
                faults.start_soon(fault)
            end_s = time.monotonic() + duration_s
            async with anyio.create_task_group() as callers:
                for number in range(count):
                    callers.start_soon(self._call, number, end_s)
            self._is_ending = True

    # The store, the configuration and the processes.

    async def _write_entries(self) -> None:
        known: dict[StreamServer, str] = {}
        while True:
            for server in self._servers:
                if not server.is_up():
                    continue
                if known.get(server, server.server_id) != server.server_id:
                    self._store.put("keyed.servers", known[server], b"")
                known[server] = server.server_id
                self._store.put("keyed.servers", server.server_id, server.entry())
            await anyio.sleep(HEARTBEAT_S)

    def _configure(self) -> None:
        self._version += 1
        plain = vm_parts.configuration(self._version)
        for route in plain["routes"]:
            route |= {"timeoutMs": DEADLINE_S * 1000, "maxAttempts": 4}
        added = vm_parts.route(f"added-{self._version}", "safe", SERVICE)
        plain["routes"].append(added)
        plain["tenants"][0]["ratePerS"] = 0
        plain["services"][0]["connectionLimit"] = 200
        self._store.put("keyed.op", "config", json.dumps(plain).encode())

    def _start(self, name: str) -> None:
        self._programs[name] = start_vm_program(
            self._build, name, self._folder, self._store_address, **BOUNDS
        )

    async def _wait_until_serving(self, name: str) -> None:
        deadline_s = time.monotonic() + START_LIMIT_S
        number = 0
        while True:
            number += 1
            attempt_id = f"start-{name}-{time.monotonic_ns()}-{number}"
            answer = await self._send(name, "/safe/start", attempt_id, {})
            if answer.head is not None and answer.head.status == 200:
                return
            program = self._programs[name]
            if not program.is_running():
                raise processes.StartError(program.describe_exit())
            if time.monotonic() > deadline_s:
                raise TimeoutError(f"{name} did not serve within {START_LIMIT_S:g} s")
            await anyio.sleep(0.1)

    # Faults.

    async def _repeat(
        self,
        name: str,
        pause_s: tuple[float, float],
        act: Callable[[random.Random], Awaitable[None]],
    ) -> None:
        """Begin a fault after each pause; faults may overlap."""
        rng = self._rng(name)
        async with anyio.create_task_group() as group:
            while True:
                await anyio.sleep(rng.uniform(*pause_s))
                if self._is_ending:
                    return
                group.start_soon(act, rng)

    async def _crash_servers(self) -> None:
        async def crash(rng: random.Random) -> None:
            await rng.choice(self._servers).crash()

        await self._repeat("crash", (1.0, 3.0), crash)

    async def _change_configuration(self) -> None:
        async def change(rng: random.Random) -> None:
            self._configure()
            self.counts["configurations"] += 1

        await self._repeat("configuration", (1.0, 3.0), change)

    async def _send_poison(self) -> None:
        async def send(rng: random.Random) -> None:
            name = f"{POISON}-{rng.getrandbits(32):x}"
            for number in range(POISON_SENDS):
                attempt_id = f"{self._seed}-{name}-{number}"
                path = f"/resume/6-{name}"
                answer = await self._send(rng.choice(VMS), path, attempt_id, {})
                self.checks.check_head(answer, (attempt_id,))
                self.checks.check_stream(answer, (attempt_id,), None, 6)
                self.counts["poison requests"] += 1
                await anyio.sleep(rng.uniform(0.2, 1.0))

        await self._repeat("poison", (4.0, 8.0), send)

    async def _disturb_vms(self) -> None:
        kinds = [self._kill_vm, self._pause_vm, self._stop_vm]
        left: list[Callable[[str, random.Random], Awaitable[None]]] = []

        async def disturb(rng: random.Random) -> None:
            present = [name for name in VMS if name not in self._away]
            if len(VMS) - len(present) >= MOST_VMS_AWAY:
                return
            if not left:
                left.extend(rng.sample(kinds, len(kinds)))
            name, kind = rng.choice(present), left.pop()
            self._away.add(name)
            if not self._programs[name].is_running():
                exit_text = self._programs[name].describe_exit()
                self.checks.fail("process ended by itself", (), exit_text)
            await kind(name, rng)
            self._away.discard(name)

        await self._repeat("vms", (0.5, 2.5), disturb)

    async def _kill_vm(self, name: str, rng: random.Random) -> None:
        self.counts["VMs killed"] += 1
        self._programs[name].kill()
        await anyio.sleep(rng.uniform(0.0, 2.0))
        self._start(name)
        await self._wait_until_serving(name)

    async def _pause_vm(self, name: str, rng: random.Random) -> None:
        self.counts["VMs paused"] += 1
        self._programs[name].send_signal(signal.SIGSTOP)
        await anyio.sleep(rng.uniform(0.1, 3.0))
        self._programs[name].send_signal(signal.SIGCONT)

    async def _stop_vm(self, name: str, rng: random.Random) -> None:
        self.counts["VMs stopped"] += 1
        began_s = time.monotonic()
        code = await anyio.to_thread.run_sync(self._programs[name].stop)
        took_s = time.monotonic() - began_s
        if code or took_s > STOP_GRACE_S:
            text = f"{name}: exit code {code} after {took_s:.1f} s"
            self.checks.fail("graceful stop", (), text)
        self._start(name)
        await self._wait_until_serving(name)

    # Callers.

    async def _call(self, number: int, end_s: float) -> None:
        rng = self._rng(f"caller {number}")
        kept: dict[str, ClientConnection] = {}
        count = 0
        while time.monotonic() < end_s:
            count += 1
            kind = rng.choices(("resume", "safe", "once", "stream"), (14, 2, 2, 2))[0]
            name = f"{self._seed}-{number}-{count}"
            if kind == "resume":
                await self._take_stream(rng, name, kept)
            else:
                await self._send_once(rng, kind, name, kept)
        for connection in kept.values():
            connection.close()

    async def _take_stream(
        self, rng: random.Random, name: str, kept: dict[str, ClientConnection]
    ) -> None:
        """Take a resumable stream, and take it up again at any VM when it breaks."""
        count = rng.randint(1, 12)
        path = f"/resume/{count}-{name}"
        chain: tuple[str, ...] = ()
        last_id, first = None, ""
        for number in range(MAX_TRIES):
            attempt_id = f"{name}-{number}"
            chain += (attempt_id,)
            headers: dict[str, str] = {}
            if last_id is not None:
                headers = {"Last-Event-Id": str(last_id), "Resumes": first}
                self.counts["streams taken up again"] += 1
            patience_s = DEADLINE_S + PATIENCE_S
            if rng.random() < 0.05:
                patience_s = rng.uniform(0.0, 0.3)
            vm = rng.choice(VMS)
            answer = await self._send(vm, path, attempt_id, headers, kept, patience_s)
            self.checks.check_head(answer, chain)
            last_id = self.checks.check_stream(answer, chain, last_id, count)
            if last_id is not None and not first:
                first = attempt_id
            if answer.is_complete and answer.head and answer.head.status == 200:
                self.counts["streams complete"] += 1
                return
            await anyio.sleep(rng.uniform(0.0, 0.2))
        self.counts["streams given up"] += 1

    async def _send_once(
        self,
        rng: random.Random,
        kind: str,
        name: str,
        kept: dict[str, ClientConnection],
    ) -> None:
        attempt_id = f"{name}-safe-0" if kind == "safe" else f"{name}-once-0"
        count = rng.randint(1, 8)
        path = f"/{kind}/{count}-{name}"
        vm = rng.choice(VMS)
        answer = await self._send(vm, path, attempt_id, {}, kept)
        self.checks.check_head(answer, (attempt_id,))
        if kind == "stream":
            self.checks.check_stream(answer, (attempt_id,), None, count)
        else:
            self.checks.check_body(answer, (attempt_id,))

    async def _send(
        self,
        vm: str,
        path: str,
        attempt_id: str,
        headers: dict[str, str],
        kept: dict[str, ClientConnection] | None = None,
        patience_s: float = DEADLINE_S + PATIENCE_S,
    ) -> Answer:
        """Send a request, on a kept connection if one is open; return the answer."""
        head = vm_parts.request_head(path, 0)
        plain = {"X-Attempt-Id": attempt_id, **headers}
        plain["X-Deadline-Ms"] = str(int(DEADLINE_S * 1000))
        others = [x for x in head.headers if x[0].decode() not in plain]
        added = [(name.encode(), text.encode()) for name, text in plain.items()]
        request = encode_request(head._replace(headers=others + added), b"body")
        connection = kept.pop(vm, None) if kept is not None else None
        response, body, is_complete = None, b"", False
        try:
            async with asyncio.timeout(patience_s):
                if connection is None or not connection.is_open():
                    address = HttpAddress(loopback_ip(vm), CALLER_PORT)
                    connection = await connect(address, 1.0)
                connection.send(request)
                response = await connection.read_head()
                while chunk := await connection.read_chunk():
                    body += chunk
                is_complete = True
        except TimeoutError:
            self.counts["connections closed by callers"] += 1
        except ExchangeError as error:
            self.counts[f"exchanges {error.kind}"] += 1
        if connection is not None:
            is_kept = is_complete and kept is not None
            if is_kept and connection.finish(time.monotonic()):
                kept[vm] = connection
            else:
                connection.close()
        return Answer(attempt_id, vm, response, body, is_complete)


def lines_that_name(folder: Path, names: set[str]) -> dict[str, list[str]]:
    """Return the lines of all VMs' logs that name a request, by its attempt id."""
    found = defaultdict(list)
    for path in sorted((*folder.glob("*.out"), *folder.glob("*.err"))):
        for line in path.read_text(errors="replace").splitlines():
            request: Any = parse_line(line).get("request")
            if request in names:
                found[request].append(f"{path.stem}: {line}")
    return found


def _make_report(folder: Path, checks: Checks) -> str:
    failed_ids = {x for failure in checks.failures for x in failure.attempt_ids}
    lines = lines_that_name(folder, failed_ids)
    report = []
    for failure in checks.failures:
        if failure.group:
            logged = lines.get(failure.attempt_ids[-1], [])
            checks.counts[f"{failure.group}; {_kinds(logged)}"] += 1
        report.append(f"FAILED {failure.check}: {failure.text}")
        for attempt_id in failure.attempt_ids:
            report.append(f"  request {attempt_id}")
            logged = lines.get(attempt_id, ["no line"])
            report += [f"    {line}" for line in logged]
    report += [f"{name}: {checks.counts[name]}" for name in sorted(checks.counts)]
    return "\n".join(report)


def _kinds(logged: list[str]) -> str:
    """Return the kinds of log lines that name a request."""
    lines = [parse_line(line.partition(": ")[2]) for line in logged]
    kinds = {f"{line['message']} {line.get('kind', '')}".strip() for line in lines}
    return f"logged {', '.join(sorted(kinds)) or 'no line'}"


async def run_soak(
    seed: int,
    duration_s: float,
    build: Path,
    folder: Path,
    without: Collection[str] = (),
    callers: int = CALLERS,
) -> SoakResult:
    """Run a soak whose logs go to a folder, and check it.

    Parameters
    ----------
    seed : int
        Seed of the callers, the servers and the faults.
    duration_s : float
        How long callers begin requests.
    build : Path
        The checkout whose VMs are started.
    folder : Path
        Folder for the VMs' settings and logs, and for the report.
    without : collection of str
        Faults of `stream_servers.FAULTS` that the servers do not have.
    callers : int
        Number of callers, each with one request at a time.
    """
    faults = {name: x for name, x in FAULTS.items() if name not in without}
    soak = Soak(seed, build, folder, faults)
    await soak.run(duration_s, callers)
    report = _make_report(folder, soak.checks)
    (folder / "report.txt").write_text(report + "\n")
    return SoakResult(soak.checks.failures, soak.counts, report)


@app.default
def main(
    *,
    seed: int = 1,
    seconds: float = 60.0,
    build: Path = CHECKOUT,
    logs: Path | None = None,
    without: tuple[str, ...] = (),
    callers: int = CALLERS,
) -> None:
    """Run a soak and exit with 1 if a check failed.

    Parameters
    ----------
    seed : int
        Seed of the callers, the servers and the faults.
    seconds : float
        How long callers begin requests.
    build : Path
        The checkout whose VMs are started.
    logs : Path or None
        Folder for the logs, which is kept; by default a temporary one, which is kept
        when a check failed.
    without : tuple of str
        Faults of `stream_servers.FAULTS` that the servers do not have.
    callers : int
        Number of callers, each with one request at a time.
    """
    folder = logs or Path(tempfile.mkdtemp(prefix=f"stream-soak-{seed}-"))
    folder.mkdir(parents=True, exist_ok=True)
    result = asyncio.run(
        run_soak(seed, seconds, build.resolve(), folder, without, callers)
    )
    print(f"seed {seed}, {seconds:g} s, {build}, {callers} callers, without {without}")
    print(result.report)
    if result.failures:
        print(f"{len(result.failures)} failures; logs are in {folder}")
        sys.exit(1)
    if logs is None:
        shutil.rmtree(folder)


if __name__ == "__main__":
    app()
