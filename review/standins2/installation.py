"""Starts the platform's programs as processes, with the settings of a small site."""

import os
import socket
import subprocess
import time
from pathlib import Path
from typing import Any, Final, final

ROOT: Final = Path(__file__).resolve().parents[2]
HOST: Final = "site.example"
KEY: Final = "key-of-the-only-tenant"
START_LIMIT_S: Final = 40.0
MEMORY_MB: Final = 300
# As `fleetbench wire sites/kereru-skies.toml` prints them, without fields that the
# program does not read.
SETTINGS: Final = """
nodeName = "{name}"
role = "vm"
machineClass = "front"
serves = ["front"]
ip = "{ip}"
zone = "here"
region = "home"
internalPortRange = [{internal}, {internal_end}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
[zones]
here = "home"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = {memory_mb}
fileDescriptors = 4200
linkMbps = 1000.0
[bounds]
stabilityWindowMs = 3000
drainMs = 2000
graceS = 8
configPropagationMs = 2000
strictRevocation = true
revokeMs = 5000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 52
requireFence = true
leaseMs = 3000
thawMs = 300
[platform]
address = "127.0.0.1:{store}"
form = "log"
writesPerS = 400
readsPerS = 2000
"""


@final
class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def write(self, text: str) -> None:
        """Add a line with the time since the start."""
        self._file.write(f"{time.monotonic() - self._began_s:8.3f} s  {text}\n")
        self._file.flush()

    def now_s(self) -> float:
        """Return the time since the start."""
        return time.monotonic() - self._began_s


@final
class Machine:
    """One process of the platform on a loopback address of its own."""

    def __init__(self, number: int, folder: Path, store_port: int) -> None:
        """Start the process.

        Parameters
        ----------
        number : int
            Of the machine, from 1.
        folder : Path
            Temporary folder for the settings and the log.
        store_port : int
            The port of the store.
        """
        pid = os.getpid()
        # The port of the metrics is fixed, so each machine needs an address.
        self.ip = f"127.{pid // 200 % 200 + 20}.{pid % 200 + 1}.{number}"
        ports = [_free_port(self.ip) for _ in range(2)]
        internal = _free_port_pair(self.ip)
        self.front = (self.ip, ports[0])
        self.ready = (self.ip, ports[1])
        settings = folder / f"machine-{number}.toml"
        settings.write_text(
            SETTINGS.format(
                name=f"front-{number}",
                ip=self.ip,
                internal=internal,
                internal_end=internal + 1,
                front=ports[0],
                ready=ports[1],
                store=store_port,
                memory_mb=MEMORY_MB,
            )
        )
        self.log = folder / f"machine-{number}.log"
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PISTACHIOPOND_NODE_FILE": str(settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with self.log.open("wb") as output:
            self.process = subprocess.Popen(
                ["python3", "-m", "pistachiopond.vm"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process.poll() is None


def kill_all(machines: list[Machine]) -> None:
    """End processes at once, by their ids."""
    for machine in machines:
        if machine.is_running():
            machine.process.kill()
    for machine in machines:
        machine.process.wait()


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route of the config."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 1000,
        "targetLatencyMs": 100,
        "priority": 2,
        "service": service,
        "maxAttempts": 1,
        "anonymous": False,
        "resumable": False,
        **more,
    }


def config(
    routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return a config with one tenant, whose usage cap nothing here reaches."""
    return {
        "version": 7,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": "tenant", "apiKeys": [KEY], "priority": 1}],
    }


def server_entry(
    service: str, port: int, sequence: int, born_ms: int, **more: Any
) -> dict[str, Any]:
    """Return what a server writes into the store about itself."""
    return {
        "service": service,
        "address": f"127.0.0.1:{port}",
        "zone": "here",
        "version": "v1",
        "slots": 48,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": sequence,
        "born": born_ms,
        "models": [],
        **more,
    }


def _free_port(ip: str) -> int:
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return int(probe.getsockname()[1])


def _free_port_pair(ip: str) -> int:
    while True:
        port = _free_port(ip)
        with socket.socket() as probe:
            try:
                probe.bind((ip, port + 1))
            except OSError:
                continue
            return port
