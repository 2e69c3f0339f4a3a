"""Starts the program of the deploy file as processes on loopback addresses."""

import os
import signal
import socket
import subprocess
from pathlib import Path
from typing import Final, final

REPOSITORY: Final = Path(__file__).resolve().parents[2]
FRONT_PORT: Final = 8221
READY_PORT: Final = 8224
PEER_PORT: Final = 7600
METRICS_PORT: Final = 9464
END_LIMIT_S: Final = 15.0
ADDRESSES_PER_CASE: Final = 16

# As `fleetbench wire` prints it for the small deployments, with loopback addresses.
SETTINGS: Final = """
nodeName = "{name}"
role = "vm"
machineClass = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "region"
internalPortRange = [7600, 7615]
seeds = []
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
[listen]
front = "{ip}:8221"
ready = "{ip}:8224"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = 300
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
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
budgetSlack = 56
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
"""


def free_ips(count: int) -> list[str]:
    """Return loopback addresses on which the ports of a machine are free."""
    found: list[str] = []
    # Cases that run at the same time look at different addresses first.
    first = os.getpid() * ADDRESSES_PER_CASE
    for number in range(first, first + 10_000):
        high, low = divmod(number, 200)
        ip = f"127.{high // 200 % 200 + 20}.{high % 200}.{low + 1}"
        if _are_ports_free(ip):
            found.append(ip)
        if len(found) == count:
            return found
    raise RuntimeError("no free loopback addresses")


def _are_ports_free(ip: str) -> bool:
    for port in (FRONT_PORT, READY_PORT, PEER_PORT, PEER_PORT + 1, METRICS_PORT):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


@final
class Machine:
    """One process of the platform's program."""

    def __init__(self, name: str, ip: str, zone: str, store: str, folder: Path) -> None:
        self.name = name
        self.ip = ip
        path = folder / f"{name}.toml"
        path.write_text(SETTINGS.format(name=name, ip=ip, zone=zone, store=store))
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PISTACHIOPOND_NODE_FILE": str(path),
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
        }
        self.log_path = folder / f"{name}.log"
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                ["python3", "-m", "pistachiopond.vm"],
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self._process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self.is_running():
            self._process.send_signal(number)

    def end(self) -> None:
        """End the process."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self._process.wait(END_LIMIT_S)
