"""Starts ``pond-vm`` and other programs of a build as processes, and reads their logs.

The store and the backend servers of the VMs run in the test's own process.
"""

import json
import os
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final
from unittest.mock import patch

import anyio

from testing.platform_adapter.test_settings import SETTINGS
from tools import processes

TIMEOUT_S: Final = 60.0
POLL_S: Final = 0.1
CALLER_PORT: Final = 8221


def parse_line(line: str) -> dict[str, Any]:
    """Return the fields of a log line; none if it is not one."""
    try:
        plain = json.loads(line)
    except ValueError:
        return {}
    return plain if isinstance(plain, dict) else {}


def start_program(
    build: Path, name: str, folder: Path, module: str, *options: str, **environment: str
) -> processes.Program:
    """Start a program of a build, with additional environment variables."""
    with source_path(build, **environment):
        arguments = ["-m", f"pistachiopond.{module}", *options]
        return processes.Program(name, arguments, folder)


def source_path(build: Path, **more: str) -> Any:
    """Return a context manager in which child processes import the build's source."""
    path = f"{build / 'src'}:{build}"
    return patch.dict(os.environ, {"PYTHONPATH": path, **more})


def start_vm_program(
    build: Path, name: str, folder: Path, store: str, **bounds: object
) -> processes.Program:
    """Start a VM's process on a loopback address of its own.

    Parameters
    ----------
    build : Path
        A checkout of the repository.
    name : str
        The VM's name; its last letter selects the address.
    folder : Path
        Folder for the settings and the output files.
    store : str
        Address of the store.
    bounds : object
        Values that replace those of the settings file, by their names in it.
    """
    text = SETTINGS.replace("vm-1", name).replace("10.1.0.25", loopback_ip(name))
    text = text.replace("10.200.1.7:8225", store)
    lines = [
        f"{key} = {bounds[key]}" if (key := line.partition(" ")[0]) in bounds else line
        for line in text.splitlines()
    ]
    path = folder / f"{name}.toml"
    path.write_text("\n".join(lines))
    log_name = f"{name}-{time.monotonic_ns()}"
    file = {"PISTACHIOPOND_NODE_FILE": str(path)}
    return start_program(build, log_name, folder, "vm", **file)


def loopback_ip(name: str) -> str:
    """Return the address of a VM, from the last letter of its name."""
    # Each VM of each run has its own, because a VM's metrics port can't be configured.
    pid = os.getpid()
    return f"127.{pid // 250 % 250 + 1}.{pid % 250}.{ord(name[-1])}"


async def wait_until(what: str, holds: Callable[[], bool]) -> None:
    """Wait until a condition holds; `what` names it in the error on timeout."""
    deadline_s = time.monotonic() + TIMEOUT_S
    while not holds():
        if time.monotonic() > deadline_s:
            raise TimeoutError(f"waited {TIMEOUT_S:g} s for {what}")
        await anyio.sleep(POLL_S)
