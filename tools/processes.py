"""Starts the daemons and stand-ins as processes, for the demo and the live tests.

Every process is stopped by its own process id.
"""

import json
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Final, final

import httpx

from _pistachiopond.schema.codec import to_json
from _pistachiopond.schema.settings import ControlSettings, EntrySettings

READY_LIMIT_S: Final = 60.0
STOP_LIMIT_S: Final = 60.0
POLL_S: Final = 0.02


class StartError(RuntimeError):
    """A program exited before it was ready, or was not ready in time."""


@final
class Program:
    """A child process whose output goes to files."""

    def __init__(self, name: str, arguments: Sequence[str], folder: Path) -> None:
        self.name = name
        self.address = ""
        self.out_path = folder / f"{name}.out"
        self.err_path = folder / f"{name}.err"
        with self.out_path.open("ab") as out, self.err_path.open("ab") as err:
            self._process = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
            )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    @property
    def url(self) -> str:
        """The base URL, from the address."""
        return f"http://{self.address}"

    def is_running(self) -> bool:
        """Return whether the process is still running."""
        return self._process.poll() is None

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal if the process is still running."""
        if self.is_running():
            self._process.send_signal(signal_number)

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait until it has ended."""
        self.send_signal(signal.SIGKILL)
        self._process.wait(STOP_LIMIT_S)

    def stop(self) -> int:
        """Resume the process if suspended, terminate it and return its exit code."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        return self.wait()

    def wait(self) -> int:
        """Wait until the process ends, kill it on timeout, and return its exit code."""
        try:
            return self._process.wait(STOP_LIMIT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return self._process.returncode

    def resident_mb(self) -> float:
        """Return the resident memory, in MB."""
        for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024.0
        return 0.0

    def describe_exit(self) -> str:
        """Return the exit code and the last lines of standard error."""
        text = self.err_path.read_text(errors="replace").splitlines()[-15:]
        return f"{self.name} exited with {self._process.poll()}:\n" + "\n".join(text)


def free_address() -> str:
    """Return a loopback address with a port that is currently free."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def start_standin(
    kind: str, name: str, folder: Path, *options: str, listen: str = "127.0.0.1:0"
) -> Program:
    """Start a stand-in and wait until it accepts connections.

    Parameters
    ----------
    kind : str
        A subcommand of ``pond-standin``.
    name : str
        Unique name in the folder; also the server name of engines and services.
    folder : Path
        Folder for the output files.
    options : str
        Additional command-line options of the subcommand.
    listen : str
        Address to listen on.
    """
    name_options = ["--name", name] if kind in ("engine", "service") else []
    arguments = ["-m", "pistachiopond.standin", kind, "--listen", listen]
    program = Program(name, [*arguments, *name_options, *options], folder)
    program.address = json.loads(_first_line(program))["address"]
    return program


def launch_control(name: str, folder: Path, settings: ControlSettings) -> Program:
    """Start a control daemon; wait for it with `wait_for_port`."""
    return _launch("control", name, folder, settings, settings.listen_address)


def launch_entry(name: str, folder: Path, settings: EntrySettings) -> Program:
    """Start an entry daemon; wait for it with `wait_for_ready`."""
    return _launch("entry", name, folder, settings, settings.listen_address)


def wait_for_port(program: Program) -> None:
    """Wait until the program's address accepts TCP connections."""
    host, port = program.address.rsplit(":", 1)

    def is_listening() -> bool:
        with socket.socket() as probe:
            probe.settimeout(1.0)
            return probe.connect_ex((host, int(port))) == 0

    _wait_until(program, is_listening)


def wait_for_ready(program: Program) -> None:
    """Wait until an entry daemon reports that it is ready."""

    def is_ready() -> bool:
        try:
            response = httpx.get(f"{program.url}/healthz/ready", timeout=2.0)
        except httpx.HTTPError:
            return False
        return response.status_code == 200

    _wait_until(program, is_ready)


def _launch(
    module: str, name: str, folder: Path, settings: Any, address: str
) -> Program:
    path = folder / f"{name}.json"
    path.write_text(to_json(settings), encoding="utf-8")
    arguments = ["-m", f"pistachiopond.{module}", "--settings", str(path)]
    program = Program(name, arguments, folder)
    program.address = address
    return program


def _first_line(program: Program) -> str:
    def has_first_line() -> bool:
        return b"\n" in program.out_path.read_bytes()

    _wait_until(program, has_first_line)
    return program.out_path.read_text().splitlines()[0]


def _wait_until(program: Program, condition: Any) -> None:
    deadline_s = time.monotonic() + READY_LIMIT_S
    while not condition():
        if not program.is_running():
            raise StartError(program.describe_exit())
        if time.monotonic() > deadline_s:
            raise StartError(f"{program.name} was not ready in {READY_LIMIT_S:g} s")
        time.sleep(POLL_S)
