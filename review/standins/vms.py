"""Starts the program of the platform as the deploy file does, and ends it."""

import asyncio
import json
import os
import random
import signal
import subprocess
import tomllib
from pathlib import Path

from review.standins.record import Record
from review.standins.requester import call, encode_call

ROOT = Path(__file__).resolve().parents[2]
# The platform starts a process that has ended again after this time.
RESTART_S = 0.5
READY_S = 30.0

SETTINGS = """\
nodeName = "{name}"
role = "vm"
machineClass = "front"
serves = ["front"]
ip = "{ip}"
zone = "zone-a"
region = "here"
internalPortRange = [7600, 7615]
seeds = []
bootstrap = true
toleranceMember = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "retry", "recover", "stream", "tenants"]
[zones]
zone-a = "here"
[listen]
front = "{ip}:8221"
ready = "{ip}:8224"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = 300
fileDescriptors = 4200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stabilityWindowMs = 3000
acknowledgeMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configPropagationMs = 2000
rollbackSlackMs = 250
outerMs = 5000
strictRevocation = true
revokeMs = 5000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 52
quotaWindowS = 8
quotaOver = 0.1
quotaSlack = 7500
recoveryS = 12
passMs = 120
retryAfterS = 0
requireFence = true
leaseMs = 3000
thawMs = 300
ceilingWindowS = 5
ceilingOver = 1.1
[platform]
address = "{store}"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 12
appendMs = 2.0
partitionMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
"""


class Vm:
    """One process on a loopback address of its own."""

    def __init__(self, name: str, ip: str, store: str, folder: Path) -> None:
        self.name = name
        self.front = f"{ip}:8221"
        self._ready = f"{ip}:8224"
        self._path = folder / f"{name}.toml"
        self._path.write_text(SETTINGS.format(name=name, ip=ip, store=store))
        self.log_path = folder / f"{name}.out"
        self._process: subprocess.Popen[bytes] | None = None
        self.is_wanted = False
        # How often the process ended without a signal of this case.
        self.own_ends = 0

    def start(self) -> None:
        """Start the program with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        variables = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in variables if name in os.environ}
        env["PISTACHIOPOND_NODE_FILE"] = str(self._path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log_path.open("ab") as out:
            self._process = subprocess.Popen(
                deploy["roles"]["vm"]["run"].split(),
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=subprocess.STDOUT,
            )
        self.is_wanted = True

    @property
    def pid(self) -> int:
        """The process id of the present process."""
        assert self._process is not None
        return self._process.pid

    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self._process is not None and self._process.poll() is not None

    def kill(self) -> None:
        """Kill the process with SIGKILL; it is not started again by itself."""
        self.is_wanted = False
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGKILL)
            self._process.wait()

    async def is_ready(self) -> bool:
        """Return whether the process says that it is ready."""
        answer = await call(self._ready, encode_call("GET", "/ready", {}), 1.0)
        return answer.status == 200 and answer.is_whole


class Platform:
    """Starts processes that have ended again, and checks which are ready."""

    def __init__(self, vms: list[Vm], record: Record) -> None:
        self.vms = vms
        self._record = record
        self._misses = dict.fromkeys([vm.name for vm in vms], 0)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start all processes and wait until all are ready.

        Raises
        ------
        TimeoutError
            When that takes too long.
        """
        for vm in self.vms:
            vm.start()
        async with asyncio.timeout(READY_S):
            while not all([await vm.is_ready() for vm in self.vms]):
                await asyncio.sleep(0.1)
        loop = asyncio.get_running_loop()
        for vm in self.vms:
            self._tasks.append(loop.create_task(self._restart(vm)))
            self._tasks.append(loop.create_task(self._probe(vm)))

    def pick(self) -> Vm:
        """Return a machine in rotation; any of them if none is."""
        inside = [vm for vm in self.vms if self._misses[vm.name] < 2]
        return random.choice(inside or self.vms)

    def in_rotation(self) -> int:
        """Return how many machines are in rotation."""
        return sum(self._misses[vm.name] < 2 for vm in self.vms)

    def stop(self) -> None:
        """End all processes."""
        for task in self._tasks:
            task.cancel()
        for vm in self.vms:
            vm.kill()

    async def _restart(self, vm: Vm) -> None:
        while True:
            await asyncio.sleep(0.05)
            if vm.is_wanted and vm.has_ended():
                vm.own_ends += 1
                self._record.add(f"{vm.name} has ended by itself ({vm.own_ends})")
                await asyncio.sleep(RESTART_S)
                vm.start()

    async def _probe(self, vm: Vm) -> None:
        while True:
            is_ready = await vm.is_ready()
            misses = 0 if is_ready else self._misses[vm.name] + 1
            if (misses >= 2) != (self._misses[vm.name] >= 2):
                state = "out of rotation" if misses >= 2 else "in rotation again"
                self._record.add(f"{vm.name} is {state}")
            self._misses[vm.name] = misses
            await asyncio.sleep(1.0)


def log_lines(vm: Vm) -> list[dict[str, object]]:
    """Return the log lines of a machine that are JSON."""
    lines = []
    for line in vm.log_path.read_text(errors="replace").splitlines():
        try:
            lines.append(json.loads(line))
        except ValueError:
            continue
    return lines
