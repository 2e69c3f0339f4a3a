"""Runs processes of an old and a new build together on loopback addresses."""

import json
import os
import re
import signal
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from typing import Any, Final, final

import anyio
import httpx

from _pistachiopond.schema.codec import to_json
from testing.live import deployment as live
from testing.live.load import LoadGenerator
from testing.live.vm_processes import (
    CALLER_PORT,
    TIMEOUT_S,
    loopback_ip,
    parse_line,
    source_path,
    start_program,
    start_vm_program,
    wait_until,
)
from testing.vm import deployment as vm_parts
from testing.vm.fake_server import FakeServer, stream
from testing.vm.fake_store import FakeStore
from tools import processes
from tools.fleet import Fleet, FleetOptions, Vm

SERVER_HEARTBEAT_S: Final = 0.2
# A line that matches, and whose level isn't debug or info, means that a process could
# not read a message or record.
UNREADABLE: Final = re.compile(
    r"cannot be|could not be|malformed|decod|pars|not valid|missing|unexpected"
    r"|unknown (field|kind)|names no|inside|planning failed|gave no report|Traceback"
    r"|(Key|Type|Value|Attribute|Assertion|Validation)Error",
    re.IGNORECASE,
)
# Called with the name of a check and its failures.
Report = Callable[[str, list[str]], None]


@contextmanager
def _output_folder(report: Report) -> Iterator[Path]:
    """Provide a folder for the output of processes, and check their logs on exit.

    Kills the child processes that still run then.
    """
    with tempfile.TemporaryDirectory(prefix="pond-builds-") as name:
        try:
            yield Path(name)
        finally:
            for children in Path("/proc/self/task").glob("*/children"):
                for pid in children.read_text().split():
                    os.kill(int(pid), signal.SIGKILL)
            failures, levels = [], set()
            for path in (*Path(name).glob("*.out"), *Path(name).glob("*.err")):
                for line in path.read_text(errors="replace").splitlines():
                    levels.add(level := parse_line(line).get("level"))
                    if level not in ("debug", "info") and UNREADABLE.search(line):
                        failures.append(f"{path.name}: {line[:300]}")
            report(
                "log lines", failures if "info" in levels else ["no process logged any"]
            )


@final
class _Daemons:
    """The control and entry daemons of three VMs, all of one build at first."""

    def __init__(self, folder: Path, build: Path, report: Report) -> None:
        customers = (live.make_customer("one"), live.make_customer("two"))
        manifest = live.make_manifest(customers)
        servers = (*manifest.backend_servers[:2], manifest.backend_servers[3])
        options = FleetOptions(
            3, live.FAST_PLATFORM_OPTIONS, live.FAST_ENGINE_OPTIONS, 5.0
        )
        self.report = report
        self.folder = folder
        self.fleet = Fleet(folder, manifest._replace(backend_servers=servers), options)
        self.manifest = self.fleet.manifest
        self.versions: dict[str, str] = {}
        with source_path(build):
            self.fleet.start_vms()

    def replace(self, number: int, kind: str, build: Path) -> list[str]:
        """Replace a VM's daemon by one of a build and wait until that one is up.

        The old daemon is stopped first. Its exit code is returned as a failure if it
        isn't 0.
        """
        vm = self.fleet.vms[number]
        replaced = getattr(vm, kind)
        code = replaced.stop()
        settings = str(self.folder / f"{replaced.name}.json")
        started = start_program(
            build, replaced.name, self.folder, kind, "--settings", settings
        )
        started.address = replaced.address
        self.fleet.vms[number] = vm._replace(**{kind: started})
        wait = {"control": processes.wait_for_port, "entry": processes.wait_for_ready}
        wait[kind](started)
        return [f"{replaced.name}: exit code {code}"] if code else []

    def run_pond_command(self, build: Path, *arguments: str) -> Any:
        """Run a command of a build's `pond` program and return its output.

        For ``status``, that is the status of each VM that answered.
        """
        command = [sys.executable, "-m", "pistachiopond.cli", *arguments, "--json"]
        for address in self.fleet.control_addresses():
            command += ["--control", address]
        if arguments[0] != "status":
            command += ["--log", self.fleet.platform.url]
        with source_path(build):
            done = subprocess.run(command, capture_output=True, timeout=TIMEOUT_S)
        if not done.stdout.startswith(b"{"):
            raise RuntimeError(
                f"pond {' '.join(arguments)} printed no JSON, exit code "
                f"{done.returncode}: {done.stderr.decode()}"
            )
        output = json.loads(done.stdout)
        if arguments[0] == "status":
            return [vm["status"] for vm in output["vms"] if vm["status"]]
        is_done = output["result"] in ("accepted", "withdrawn")
        self.report(f"pond {arguments[0]}", [] if is_done else [str(output)])
        return output

    def publish(self, build: Path) -> None:
        """Publish the current manifest with a build's `pond` program."""
        (self.folder / "manifest").write_text(to_json(self.manifest), encoding="utf-8")
        self.run_pond_command(build, "publish", str(self.folder / "manifest"))

    async def check_serving(self, stage: str, build: Path, running: int = 3) -> None:
        """Wait until the control daemons agree, then send requests through each VM.

        Parameters
        ----------
        stage : str
            Names the situation in the reports.
        build : Path
            The build whose `pond` program requests the status.
        running : int
            Number of control daemons that run.
        """

        def is_settled() -> bool:
            found = self.run_pond_command(build, "status")
            shards = [x for status in found for x in status["shards"]]
            # A floor shard whose owner was killed has no owner until its lease ends,
            # and its lease is far longer than the time that this check waits.
            shards = [x for x in shards if not x["shard"].startswith("floor-")]
            # Each shard has one owner and all daemons agree on it. Otherwise a daemon
            # has not understood another's claim.
            held = sorted(x["shard"] for x in shards if x["held_here"])
            owners = {(x["shard"], x["epoch"], x["holder_address"]) for x in shards}
            are_owned = len(owners) == len(held) > 1
            are_owned = are_owned and held == sorted({x[0] for x in owners})
            terms = ("revision_number", "config_offset", "withdrawn_keys")
            agree = len({tuple(x[name] for name in terms) for x in found}) == 1
            addresses = {status["address"] for status in found}
            alive = [
                {x["address"] for x in status["members"] if x["state"] == "alive"}
                | {status["address"]}
                for status in found
            ]
            has_all_members = len(found) == running and alive == [addresses] * running
            return has_all_members and are_owned and agree

        await wait_until(
            f"{stage}: daemons that agree on members and owners", is_settled
        )
        self.report(f"members and owners, {stage}", [])
        failures = []
        caller = live.make_caller("one")
        headers = {"authorization": f"Bearer {caller.key}"}
        for vm in self.fleet.vms:
            load = LoadGenerator(self.manifest, partial(tuple, [vm.entry.url]))
            for name, version in self.versions.items():
                load.add_version(name, version)
            try:
                await live.wait_until_serving(load)
            except TimeoutError as error:
                raise TimeoutError(
                    f"{vm.name} did not serve all models: {error}"
                ) from error
            async with httpx.AsyncClient(headers=headers, timeout=TIMEOUT_S) as http:
                async with anyio.create_task_group() as group:
                    # Each kind of request to each model.
                    for number in range(len(caller.kinds) * len(caller.models)):
                        group.start_soon(load.send, http, caller, number)
            failures += [f"{vm.name}: {x}" for x in load.results if x.end != "whole"]
        self.report(f"requests, {stage}", failures)

    async def wait_for_own_control_daemons(self) -> None:
        """Wait until each entry daemon gets its views from its own VM's control daemon.

        An entry daemon that can't read these views follows another VM's control daemon
        instead, in most cases without logging an error.
        """

        def is_followed(vm: Vm) -> bool:
            lines = map(parse_line, vm.entry.err_path.read_text().splitlines())
            followed = [(x["level"], x["address"]) for x in lines if "address" in x]
            return followed[-1:] == [("info", vm.control.address)]

        for vm in self.fleet.vms:
            what = f"{vm.entry.name} to follow {vm.control.name}"
            await wait_until(what, partial(is_followed, vm))
        self.report("entry daemons follow their own VM's control daemons", [])

    async def roll_out(self, version: str, build: Path) -> None:
        """Publish a new version of a model and wait until it replaces the old one."""
        first, *rest = self.manifest.models
        self.manifest = self.manifest._replace(
            models=(first._replace(version=version), *rest),
            replaces_revision=self.run_pond_command(build, "status")[0][
                "revision_number"
            ],
        )
        for name in (first.name, *(adapter.name for adapter in first.adapters)):
            self.versions[name] = version
        self.publish(build)

        def is_only_version() -> bool:
            engines = [x.name for x in self.manifest.backend_servers if x.accelerators]
            loaded = [
                x for e in engines for x in self.fleet.get_json(e, "/state")["models"]
            ]
            versions = {
                (x["version"], x["state"]) for x in loaded if x["name"] == first.name
            }
            return versions == {(version, "ready")}

        await wait_until(
            f"version {version} to replace the one before", is_only_version
        )

    async def withdraw(self, build: Path) -> None:
        """Withdraw an API key and wait until every entry daemon refuses it."""
        self.run_pond_command(build, "withdraw", live.customer_key_digest("two"))
        headers = {"authorization": f"Bearer {live.customer_key('two')}"}
        for vm in self.fleet.vms:
            call = partial(httpx.post, f"{vm.entry.url}/bookings/x", headers=headers)
            holds = partial(lambda call: call().status_code == 401, call)
            await wait_until(f"{vm.name} to refuse a withdrawn key", holds)
        counts = [x["withdrawn_keys"] for x in self.run_pond_command(build, "status")]
        self.report(
            "key withdrawn on all VMs", [] if counts == [1, 1, 1] else [str(counts)]
        )


async def check_control(old: Path, new: Path, report: Report) -> None:
    """Run control and entry daemons of both builds with one platform log."""
    with _output_folder(report) as folder:
        daemons = _Daemons(folder, old, report)
        daemons.publish(new)
        daemons.fleet.wait_until_ready()
        daemons.fleet.wait_for_models(TIMEOUT_S)
        # Entry daemons of both builds follow control daemons of both.
        daemons.replace(2, "control", new)
        for number, build in ((0, new), (2, old)):
            daemons.replace(number, "entry", build)
        await daemons.check_serving("both builds", old)
        await daemons.wait_for_own_control_daemons()
        await daemons.roll_out("2", old)
        await daemons.check_serving("second revision", new)
        await daemons.withdraw(new)
        for number in (0, 1):
            daemons.fleet.vms[number].control.kill()
        await daemons.check_serving("new build took over the shards", new, running=1)
        for number in (0, 1):
            daemons.replace(number, "control", old)
        await daemons.roll_out("3", new)
        await daemons.check_serving("old build restarted", old)
        daemons.fleet.vms[2].control.kill()
        await daemons.check_serving("old build took over the shards", old, running=2)
        daemons.replace(2, "control", new)
        for number in range(3):
            failures = daemons.replace(number, "control", new)
            failures += daemons.replace(number, "entry", new)
            report(f"VM {number} replaced", failures)
            await daemons.check_serving(f"VM {number} replaced", new)
        stopped = [x for vm in daemons.fleet.vms for x in (vm.entry, vm.control)]
        codes = [program.stop() for program in stopped]
        report("all stopped", [str(codes)] if any(codes) else [])


@final
class _VmProcesses:
    """Processes of ``pond-vm``; their store and backend servers run in this process."""

    def __init__(self, folder: Path, report: Report) -> None:
        self.report = report
        self.folder = folder
        self.store = FakeStore()
        self.servers = {"plain": FakeServer("s1"), "engines": FakeServer("e1")}
        self.programs: dict[str, processes.Program] = {}
        self._addresses: dict[str, str] = {}
        self._unused_models = [f"m{number}" for number in range(8)]
        self._models = tuple(self._unused_models)
        # One client for all requests: creating a client blocks the event loop, and the
        # store runs on that loop.
        limits = httpx.Limits(max_keepalive_connections=0)
        self._http = httpx.AsyncClient(verify=False, timeout=TIMEOUT_S, limits=limits)
        self._count = 0

    async def listen(self) -> None:
        """Open the ports of the store and the servers; start `run_servers` after it."""
        handlers = {name: server.handle for name, server in self.servers.items()}
        for name, handle in {**handlers, "store": self.store.handle}.items():
            _, address = await vm_parts.listen(handle)
            self._addresses[name] = f"{address.ip}:{address.port}"

    async def run_servers(self) -> None:
        """Execute the servers' orders and write their heartbeats until cancelled."""
        while True:
            for service, server in self.servers.items():
                self._count += 1
                latest = {str(x["model"]): x["operation"] for x in server.orders}
                loaded = [name for name, verb in latest.items() if verb == "load"]
                server.models = [
                    {"name": x, "version": 1, "adapters": []} for x in loaded
                ]
                more = {"models": server.models, "sequence": self._count}
                entry = vm_parts.server_entry(service, self._addresses[service], **more)
                self.store.put("keyed.servers", server.server_id, entry)
            await anyio.sleep(SERVER_HEARTBEAT_S)

    def configure(self, version: int, customer: str) -> None:
        """Write a configuration with an additional route and customer."""
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
        """Start a VM's process on a loopback address of its own."""
        store = self._addresses["store"]
        self.programs[name] = start_vm_program(build, name, self.folder, store)

    async def stop(self, name: str) -> None:
        code = await anyio.to_thread.run_sync(self.programs[name].stop)
        self.report(f"{name} stopped", [f"exit code {code}"] if code else [])

    async def wait_until_logged(self, name: str, **fields: Any) -> None:
        """Wait until a VM has logged a line with these fields."""

        def is_there() -> bool:
            text = self.programs[name].out_path.read_text(errors="replace")
            lines = map(parse_line, text.splitlines())
            return any(fields.items() <= line.items() for line in lines)

        await wait_until(f"{name} to log {fields}", is_there)

    def last_claim(self) -> tuple[str, int]:
        """Return the VM that claimed leadership last, and the claim's fencing token."""
        records = self.store.topics.get("keyed.pond", [])
        claims = [
            (json.loads(value)["leader"], offset)
            for offset, (key, value) in enumerate(records)
            if key == "leader"
        ]
        return claims[-1] if claims else ("", -1)

    async def wait_until_led(self, leader: str, members: tuple[str, ...]) -> None:
        """Wait until a VM leads these members and all have found the servers.

        The members must have logged the leader, and the leader the members.
        """
        await wait_until(f"{leader} to lead", lambda: self.last_claim()[0] == leader)
        fence = self.last_claim()[1]
        await self.wait_until_logged(leader, fence=fence)
        for member in members:
            await self.wait_until_logged(member, leader=leader, fence=fence)
            await self.wait_until_logged(leader, member=member)
        for name in (leader, *members):
            for server in self.servers.values():
                await self.wait_until_logged(name, server=server.server_id)
        self.report(f"{leader} leads {' and '.join(members) or 'alone'}", [])

    async def send_request(self, name: str, path: str, **more: str) -> tuple[int, str]:
        """Send one request through a VM; return the response's status and body."""
        self._count += 1
        headers = {"Host": vm_parts.HOST, "X-Key": "office-key"}
        headers |= {"X-Deadline-Ms": "8000", "X-Attempt-Id": f"request-{self._count}"}
        headers |= {key.replace("_", "-"): value for key, value in more.items()}
        url = f"http://{loopback_ip(name)}:{CALLER_PORT}{path}"
        response = await self._http.post(url, content=b"x", headers=headers)
        return response.status_code, response.text

    async def check_requests(self, name: str) -> None:
        """Check a plain request, a stream, and a request whose model is not loaded.

        The leader must order the load, with its claim's fencing token.
        """
        (leader, fence), model = self.last_claim(), self._unused_models.pop()
        self.servers["plain"].steps += [stream(1, 4)]
        streamed = await self.send_request(name, "/stream/x")
        events = "".join(f"id: {number}\ndata: x\n\n" for number in range(1, 5))
        plain = await self.send_request(name, "/safe/x")
        terms = {"X_Model": model, "X_Token_Counts": "20,5"}
        loaded = await self.send_request(name, "/model/x", **terms)
        responses = (streamed, plain, loaded)
        expected = ((200, events), (200, "done"), (200, "done"))
        failures = [] if responses == expected else [f"responses {responses}"]
        expected_order = {"model": model, "holder": leader, "fence": fence}
        orders = self.servers["engines"].orders
        if not any(expected_order.items() <= order.items() for order in orders):
            failures.append(f"no order {expected_order}; the last is {orders[-1:]}")
        self.report(f"requests through {name}, led by {leader}", failures)

    async def check_configuration(self, version: int, names: tuple[str, ...]) -> None:
        """Write a configuration and check that VMs serve its new route and customer."""
        customer = f"customer-{version}"
        self.configure(version, customer)
        responses = []
        for name in names:
            await self.wait_until_logged(name, version=version)
            responses.append(
                await self.send_request(name, f"/{customer}/x", X_Key=customer)
            )
        is_served = responses == [(200, "done")] * 2
        failures = [] if is_served else [f"responses {responses}"]
        self.report(f"version {version} in force", failures)


async def check_vms(old: Path, new: Path, report: Report) -> None:
    """Run a VM of each build, with each of them as the leader in turn."""
    builds = {"vm-old": old, "vm-new": new}
    for first, second in (("vm-old", "vm-new"), ("vm-new", "vm-old")):
        with _output_folder(report) as folder:
            vms = _VmProcesses(folder, report)
            await vms.listen()
            vms.configure(1, "customer-1")
            async with anyio.create_task_group() as group:
                group.start_soon(vms.run_servers)
                vms.start(first, builds[first])
                await vms.wait_until_led(first, ())
                vms.start(second, builds[second])
                await vms.wait_until_led(first, (second,))
                await vms.check_requests(first)
                await vms.check_requests(second)
                await vms.check_configuration(2, (second, first))
                await vms.stop(first)
                await vms.wait_until_led(second, ())
                await vms.check_requests(second)
                vms.start(first, builds[first])
                await vms.wait_until_led(second, (first,))
                await vms.check_requests(first)
                await vms.check_configuration(3, (first, second))
                for name in (first, second):
                    await vms.stop(name)
                group.cancel_scope.cancel()
