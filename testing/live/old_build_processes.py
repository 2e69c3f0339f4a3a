"""Runs processes of two builds side by side on loopback addresses."""

import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from typing import Any, Final, final
from unittest.mock import patch

import anyio
import httpx

from _pistachiopond.schema.codec import to_json
from testing.live import deployment as live
from testing.live.load import LoadGenerator
from testing.platform_adapter.test_settings import SETTINGS
from testing.vm import deployment as vm_parts
from testing.vm.fake_server import FakeServer, stream
from testing.vm.fake_store import FakeStore
from tools import programs
from tools.fleet import Fleet, FleetOptions

LIMIT_S: Final = 60.0
POLL_S: Final = 0.1
HEARTBEAT_S: Final = 0.2
# In warnings and errors: a message or record that could not be taken in.
UNREADABLE: Final = re.compile(
    r"cannot be|could not be|malformed|decod|pars|not valid|missing|unexpected"
    r"|unknown (field|kind)|names no|inside|planning failed|gave no report|Traceback"
    r"|(Key|Type|Value|Attribute|Assertion|Validation)Error",
    re.IGNORECASE,
)
Say = Callable[[str, list[str]], None]


@contextmanager
def _running(say: Say) -> Iterator[Path]:
    """Give a folder for the processes' output; end those left, and read their logs."""
    with tempfile.TemporaryDirectory(prefix="pond-builds-") as name:
        try:
            yield Path(name)
        finally:
            for children in Path("/proc/self/task").glob("*/children"):
                for pid in children.read_text().split():
                    os.kill(int(pid), signal.SIGKILL)
            faults, levels = [], set()
            for path in (*Path(name).glob("*.out"), *Path(name).glob("*.err")):
                for line in path.read_text(errors="replace").splitlines():
                    levels.add(level := _parse(line).get("level"))
                    if level not in ("debug", "info") and UNREADABLE.search(line):
                        faults.append(f"{path.name}: {line[:300]}")
            say("log lines", faults if "info" in levels else ["no process wrote any"])


def _parse(line: str) -> dict[str, Any]:
    try:
        plain = json.loads(line)
    except ValueError:
        return {}
    return plain if isinstance(plain, dict) else {}


def _start(
    build: Path, name: str, folder: Path, module: str, *options: str, **environment: str
) -> programs.Program:
    """Start a program of a build."""
    with _path_of(build, **environment):
        arguments = ["-m", f"pistachiopond.{module}", *options]
        return programs.Program(name, arguments, folder)


def _path_of(build: Path, **more: str) -> Any:
    path = f"{build / 'src'}:{build}"
    return patch.dict(os.environ, {"PYTHONPATH": path, **more})


async def _until(what: str, holds: Callable[[], bool]) -> None:
    """Wait until a condition holds, or say for what it was waited in vain."""
    until_s = time.monotonic() + LIMIT_S
    while not holds():
        if time.monotonic() > until_s:
            raise TimeoutError(f"waited {LIMIT_S:g} s for {what}")
        await anyio.sleep(POLL_S)


@final
class _Daemons:
    """Three VMs' control and entry daemons, at first all of one build."""

    def __init__(self, folder: Path, build: Path, say: Say) -> None:
        customers = (live.make_customer("one"), live.make_customer("two"))
        manifest = live.make_manifest(customers)
        servers = (*manifest.backend_servers[:2], manifest.backend_servers[3])
        options = FleetOptions(
            3, live.FAST_PLATFORM_OPTIONS, live.FAST_ENGINE_OPTIONS, 5.0
        )
        self.say = say
        self.folder = folder
        self.fleet = Fleet(folder, manifest._replace(backend_servers=servers), options)
        self.manifest = self.fleet.manifest
        self.versions: dict[str, str] = {}
        with _path_of(build):
            self.fleet.start_vms()

    def replace(self, number: int, kind: str, build: Path) -> list[str]:
        """Start a daemon of a build in the place of another, which is stopped."""
        vm = self.fleet.vms[number]
        known = getattr(vm, kind)
        code = known.stop()
        settings = str(self.folder / f"{known.name}.json")
        started = _start(build, known.name, self.folder, kind, "--settings", settings)
        started.address = known.address
        self.fleet.vms[number] = vm._replace(**{kind: started})
        wait = {"control": programs.wait_for_port, "entry": programs.wait_for_ready}
        wait[kind](started)
        return [f"{known.name}: exit code {code}"] if code else []

    def pond(self, build: Path, *arguments: str) -> Any:
        """Run the operators' program of a build and return its JSON."""
        command = [sys.executable, "-m", "pistachiopond.cli", *arguments, "--json"]
        for address in self.fleet.control_addresses():
            command += ["--control", address]
        if arguments[0] != "status":
            command += ["--log", self.fleet.platform.url]
        with _path_of(build):
            done = subprocess.run(command, capture_output=True, timeout=LIMIT_S)
        if not done.stdout.startswith(b"{"):
            raise RuntimeError(f"pond {arguments}: {done.stderr.decode()}")
        answer = json.loads(done.stdout)
        if arguments[0] == "status":
            return [vm["status"] for vm in answer["vms"] if vm["status"]]
        is_done = answer["result"] in ("accepted", "withdrawn")
        self.say(f"pond {arguments[0]}", [] if is_done else [str(answer)])
        return answer

    def publish(self, build: Path) -> None:
        (self.folder / "manifest").write_text(to_json(self.manifest), encoding="utf-8")
        self.pond(build, "publish", str(self.folder / "manifest"))

    async def check(self, stage: str, build: Path, running: int = 3) -> None:
        """Wait for the control daemons to settle, as a build tells; send requests."""

        def is_settled() -> bool:
            found = self.pond(build, "status")
            shards = [x for status in found for x in status["shards"]]
            # The floors' leases are far longer than the others'.
            shards = [x for x in shards if not x["shard"].startswith("floor-")]
            held = {x["shard"] for x in shards if x["held_here"]}
            are_held = len(held) > 1 and held == {x["shard"] for x in shards}
            addresses = {status["address"] for status in found}
            alive = [
                {x["address"] for x in status["members"] if x["state"] == "alive"}
                | {status["address"]}
                for status in found
            ]
            return len(found) == running and are_held and alive == [addresses] * running

        await _until(f"{stage}: daemons that see each other and own all", is_settled)
        self.say(f"members and owners, {stage}", [])
        faults = []
        caller = live.make_caller("one")
        headers = {"authorization": f"Bearer {caller.key}"}
        for vm in self.fleet.vms:
            load = LoadGenerator(self.manifest, partial(tuple, [vm.entry.url]))
            for name, version in self.versions.items():
                load.add_version(name, version)
            try:
                await live.wait_until_serving(load)
            except TimeoutError as error:
                raise TimeoutError(f"waited for {vm.name} to answer") from error
            async with httpx.AsyncClient(headers=headers, timeout=LIMIT_S) as http:
                async with anyio.create_task_group() as group:
                    # Each kind of request to each model.
                    for number in range(len(caller.kinds) * len(caller.models)):
                        group.start_soon(load.send, http, caller, number)
            faults += [f"{vm.name}: {x}" for x in load.sent if x.end != "whole"]
        self.say(f"requests, {stage}", faults)

    async def roll_out(self, version: str, build: Path) -> None:
        """Publish another version of a model and wait until it replaces the last."""
        first, *rest = self.manifest.models
        self.manifest = self.manifest._replace(
            models=(first._replace(version=version), *rest),
            replaces_revision=self.pond(build, "status")[0]["revision_number"],
        )
        for name in (first.name, *(adapter.name for adapter in first.adapters)):
            self.versions[name] = version
        self.publish(build)

        def is_held() -> bool:
            engines = [x.name for x in self.manifest.backend_servers if x.accelerators]
            held = [
                x for e in engines for x in self.fleet.get_json(e, "/state")["models"]
            ]
            ours = {(x["version"], x["state"]) for x in held if x["name"] == first.name}
            return ours == {(version, "ready")}

        await _until(f"version {version} in place of the one before", is_held)

    async def withdraw(self, build: Path) -> None:
        """Withdraw a key, after which no entry daemon may take it."""
        self.pond(build, "withdraw", live.customer_key_digest("two"))
        headers = {"authorization": f"Bearer {live.customer_key('two')}"}
        for vm in self.fleet.vms:
            call = partial(httpx.post, f"{vm.entry.url}/bookings/x", headers=headers)
            holds = partial(lambda call: call().status_code == 401, call)
            await _until(f"{vm.name} to refuse a withdrawn key", holds)
        counts = [x["withdrawn_keys"] for x in self.pond(build, "status")]
        self.say("withdrawn everywhere", [] if counts == [1, 1, 1] else [str(counts)])


async def check_control(old: Path, new: Path, say: Say) -> None:
    """Run control and entry daemons of both builds over one log."""
    with _running(say) as folder:
        daemons = _Daemons(folder, old, say)
        daemons.publish(new)
        daemons.fleet.wait_until_ready()
        daemons.fleet.wait_for_models(LIMIT_S)
        # Entry daemons of both builds follow control daemons of both.
        daemons.replace(2, "control", new)
        daemons.replace(0, "entry", new)
        await daemons.check("both builds", old)
        await daemons.roll_out("2", old)
        await daemons.check("second revision", new)
        await daemons.withdraw(new)
        for number in (0, 1):
            daemons.fleet.vms[number].control.kill()
        await daemons.check("new took ownership over", new, running=1)
        for number in (0, 1):
            daemons.replace(number, "control", old)
        await daemons.roll_out("3", new)
        await daemons.check("old is back", old)
        daemons.fleet.vms[2].control.kill()
        await daemons.check("old took ownership over", old, running=2)
        daemons.replace(2, "control", new)
        for number in range(3):
            faults = daemons.replace(number, "control", new)
            faults += daemons.replace(number, "entry", new)
            say(f"VM {number} replaced", faults)
            await daemons.check(f"VM {number} replaced", new)
        stopped = [x for vm in daemons.fleet.vms for x in (vm.entry, vm.control)]
        codes = [program.stop() for program in stopped]
        say("all stopped", [str(codes)] if any(codes) else [])


@final
class _Vms:
    """Processes of ``pond-vm``; the store and the servers run in this process."""

    def __init__(self, folder: Path, say: Say) -> None:
        self.say = say
        self.folder = folder
        self.store = FakeStore()
        self.servers = {"plain": FakeServer("s1"), "engines": FakeServer("e1")}
        self.programs: dict[str, programs.Program] = {}
        self._addresses: dict[str, str] = {}
        self._unused_models = [f"m{number}" for number in range(8)]
        self._models = tuple(self._unused_models)
        # One for all calls: making one holds the event loop, and so the store, up.
        limits = httpx.Limits(max_keepalive_connections=0)
        self._http = httpx.AsyncClient(verify=False, timeout=LIMIT_S, limits=limits)
        self._count = 0

    async def listen(self) -> None:
        """Let the store and the servers listen; `beat` must run from then on."""
        handlers = {name: server.handle for name, server in self.servers.items()}
        for name, handle in {**handlers, "store": self.store.handle}.items():
            _, address = await vm_parts.listen(handle)
            self._addresses[name] = f"{address.ip}:{address.port}"

    async def beat(self) -> None:
        """Carry the servers' orders out and write their entries until cancelled."""
        while True:
            for service, server in self.servers.items():
                self._count += 1
                last = {str(x["model"]): x["operation"] for x in server.orders}
                held = [name for name, verb in last.items() if verb == "load"]
                server.models = [
                    {"name": x, "version": 1, "adapters": []} for x in held
                ]
                more = {"models": server.models, "sequence": self._count}
                entry = vm_parts.server_entry(service, self._addresses[service], **more)
                self.store.put("keyed.servers", server.server_id, entry)
            await anyio.sleep(HEARTBEAT_S)

    def configure(self, version: int, customer: str) -> None:
        """Write a configuration with a route and a customer of its own."""
        plain = vm_parts.configuration(version)
        model = {**vm_parts.MODEL, "weightsMb": 10_000.0}
        models = [{**model, "name": name} for name in self._models]
        plain["services"][1]["engine"]["models"] = models
        plain["routes"][-1]["timeoutMs"] = 8000
        plain["routes"].append(vm_parts.route(customer, "safe", "plain"))
        other = {"name": customer, "apiKeys": [customer], "ratePerS": 1000 + version}
        plain["tenants"].append({**plain["tenants"][0], **other})
        self.store.put("keyed.op", "config", json.dumps(plain).encode())

    def start(self, name: str, build: Path) -> None:
        """Start a VM's process; each has a loopback address of its own."""
        text = SETTINGS.replace("vm-1", name).replace("10.1.0.25", _ip_of(name))
        path = self.folder / f"{name}.toml"
        path.write_text(text.replace("10.200.1.7:8225", self._addresses["store"]))
        file = {"PISTACHIOPOND_NODE_FILE": str(path)}
        log_name = f"{name}-{time.monotonic_ns()}"
        self.programs[name] = _start(build, log_name, self.folder, "vm", **file)

    async def stop(self, name: str) -> None:
        code = await anyio.to_thread.run_sync(self.programs[name].stop)
        self.say(f"{name} stopped", [f"exit code {code}"] if code else [])

    async def until_logged(self, name: str, **fields: Any) -> None:
        """Wait for a line with these fields in the log of a VM."""

        def is_there() -> bool:
            text = self.programs[name].out_path.read_text(errors="replace")
            lines = map(_parse, text.splitlines())
            return any(fields.items() <= line.items() for line in lines)

        await _until(f"{name} to log {fields}", is_there)

    def claim(self) -> tuple[str, int]:
        """Return who claimed the lead last, and the claim's fence."""
        records = self.store.topics.get("keyed.pond", [])
        leader = json.loads(records[-1][1])["leader"] if records else ""
        return leader, len(records) - 1

    async def until_led(self, leader: str, members: tuple[str, ...]) -> None:
        """Wait until a VM leads, and these members have seen it and are seen."""
        await _until(f"{leader} to lead", lambda: self.claim()[0] == leader)
        fence = self.claim()[1]
        await self.until_logged(leader, fence=fence)
        for member in members:
            await self.until_logged(member, leader=leader, fence=fence)
            await self.until_logged(leader, member=member)
        for name in (leader, *members):
            for server in self.servers.values():
                await self.until_logged(name, server=server.server_id)
        self.say(f"{leader} leads {' and '.join(members) or 'alone'}", [])

    async def call(self, name: str, path: str, **more: str) -> tuple[int, str]:
        """Send one request through a VM; return the answer's status and body."""
        self._count += 1
        headers = {"Host": vm_parts.HOST, "X-Key": "office-key"}
        headers |= {"X-Deadline-Ms": "8000", "X-Attempt-Id": f"request-{self._count}"}
        headers |= {key.replace("_", "-"): value for key, value in more.items()}
        url = f"http://{_ip_of(name)}:8221{path}"
        answer = await self._http.post(url, content=b"x", headers=headers)
        return answer.status_code, answer.text

    async def send(self, name: str) -> None:
        """Send a plain request, a stream, and one whose model is not loaded."""
        (leader, fence), model = self.claim(), self._unused_models.pop()
        self.servers["plain"].steps += [stream(1, 4)]
        streamed = await self.call(name, "/stream/x")
        events = "".join(f"id: {number}\ndata: x\n\n" for number in range(1, 5))
        plain = await self.call(name, "/safe/x")
        terms = {"X_Model": model, "X_Token_Counts": "20,5"}
        loaded = await self.call(name, "/model/x", **terms)
        answers = (streamed, plain, loaded)
        expected = ((200, events), (200, "done"), (200, "done"))
        faults = [] if answers == expected else [str(answers)]
        wanted = {"model": model, "holder": leader, "fence": fence}
        orders = self.servers["engines"].orders
        if not any(wanted.items() <= order.items() for order in orders):
            faults.append(f"no order {wanted}, but {orders[-1:]}")
        self.say(f"requests through {name}, led by {leader}", faults)

    async def change(self, version: int, names: tuple[str, ...]) -> None:
        """Bring a version into force, with another route, key and rate."""
        customer = f"customer-{version}"
        self.configure(version, customer)
        answers = []
        for name in names:
            await self.until_logged(name, version=version)
            answers.append(await self.call(name, f"/{customer}/x", X_Key=customer))
        faults = [] if answers == [(200, "done")] * 2 else [str(answers)]
        self.say(f"version {version} in force", faults)


async def check_vms(old: Path, new: Path, say: Say) -> None:
    """Let VMs of both builds lead each other in turn."""
    builds = {"vm-old": old, "vm-new": new}
    for first, second in (("vm-old", "vm-new"), ("vm-new", "vm-old")):
        with _running(say) as folder:
            vms = _Vms(folder, say)
            await vms.listen()
            vms.configure(1, "customer-1")
            async with anyio.create_task_group() as group:
                group.start_soon(vms.beat)
                vms.start(first, builds[first])
                await vms.until_led(first, ())
                vms.start(second, builds[second])
                await vms.until_led(first, (second,))
                await vms.send(first)
                await vms.send(second)
                await vms.change(2, (second, first))
                await vms.stop(first)
                await vms.until_led(second, ())
                await vms.send(second)
                vms.start(first, builds[first])
                await vms.until_led(second, (first,))
                await vms.send(first)
                await vms.change(3, (first, second))
                for name in (first, second):
                    await vms.stop(name)
                group.cancel_scope.cancel()


def _ip_of(name: str) -> str:
    # Addresses of this run's own, since one of a VM's ports can't be chosen.
    pid = os.getpid()
    return f"127.{pid // 250 % 250 + 1}.{pid % 250}.{ord(name[-1])}"
