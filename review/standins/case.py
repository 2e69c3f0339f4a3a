"""Runs a case: makes a small deployment, plays it, and gives the exit code."""

import asyncio
import json
import os
import random
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

from review.standins.record import Record
from review.standins.store import Store, Topics
from review.standins.vms import RESTART_S, ROOT, Platform, Vm, log_lines

HOST = "desk.example"
LIMIT_S = 115.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Deployment(NamedTuple):
    """The stand-ins and the processes of a case."""

    store: Store
    platform: Platform
    record: Record
    has_trouble: bool


Play = Callable[[Deployment], Awaitable[bool]]


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route of the config; its path prefix is its name."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 4000,
        "targetLatencyMs": 300,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "anonymous": True,
    } | more


def write_config(
    store: Store,
    version: int,
    routes: list[dict[str, Any]],
    tenants: list[dict[str, Any]] | None = None,
) -> None:
    """Write a config as the operator does."""
    services = sorted({item["service"] for item in routes})
    config: dict[str, Any] = {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthCheckPath": "/health",
                "connectionLimit": 290,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }
    if tenants is not None:
        config["tenants"] = tenants
    store.put("keyed.op", "config", json.dumps(config).encode())


async def wait_until(at_s: float) -> None:
    """Wait until a time of the event loop."""
    await asyncio.sleep(max(0.0, at_s - asyncio.get_running_loop().time()))


async def lose_all_machines(
    deployment: Deployment, copy: Topics, back_at_s: float
) -> None:
    """Kill all machines while the store is away, and start them again.

    Parameters
    ----------
    deployment : Deployment
        The deployment.
    copy : dict
        What the store comes back with, unless the environment variable DRILL is 0.
    back_at_s : float
        When the store is back, by the time of the event loop.
    """
    store, platform, record, _ = deployment
    has_drill = os.environ.get("DRILL", "1") != "0"
    record.say(f"all machines lose power, and the store is away; drill: {has_drill}")
    store.go_away()
    for vm in platform.vms:
        vm.kill()
    await asyncio.sleep(RESTART_S)
    for vm in platform.vms:
        vm.start()
    await wait_until(back_at_s)
    store.come_back(copy if has_drill else None)
    record.say(f"the store is back, in era {store.era}")


def run_case(
    folder: Path,
    machines: int,
    prepare: Callable[[Store, Record], Awaitable[None]],
    play: Play,
) -> None:
    """Play a case and end this program with its exit code.

    Parameters
    ----------
    folder : Path
        The folder of the case, for the record.
    machines : int
        The number of machines.
    prepare : callable
        Writes the config and starts the workers, before the machines start.
    play : callable
        Plays the case; returns whether the rule was kept.
    """
    record = Record(folder / "record.txt")
    code = NOT_RUN
    try:
        is_kept = asyncio.run(_run(record, machines, prepare, play))
        code = HELD if is_kept else BROKEN
    except (Exception, asyncio.CancelledError):
        record.say("the case could not run:\n" + traceback.format_exc())
    record.say(f"exit code {code}")
    record.write()
    sys.exit(code)


async def _run(
    record: Record,
    machines: int,
    prepare: Callable[[Store, Record], Awaitable[None]],
    play: Play,
) -> bool:
    if not (ROOT / "target" / "deps" / "pistachiopond").is_dir():
        raise RuntimeError("target/deps is missing; run the build of the deploy file")
    # Ends the processes too when this program is told to end.
    running = asyncio.current_task()
    assert running is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, running.cancel)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"trouble: {has_trouble}")
    with tempfile.TemporaryDirectory(prefix="review-") as name:
        store = Store()
        await store.start()
        network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        vms = [
            Vm(f"vm-{number}", f"{network}.{number}", store.address, Path(name))
            for number in range(1, machines + 1)
        ]
        platform = Platform(vms, record)
        try:
            async with asyncio.timeout(LIMIT_S):
                await prepare(store, record)
                await platform.start()
                record.say("all machines are ready")
                return await play(Deployment(store, platform, record, has_trouble))
        finally:
            platform.stop()
            _copy_logs(vms, record)


def _copy_logs(vms: list[Vm], record: Record) -> None:
    """Add to the record what the machines logged of the case's matters."""
    for vm in vms:
        text = vm.log_path.read_text(errors="replace") if vm.log_path.exists() else ""
        errors = [line for line in text.splitlines() if "Error" in line[:60]]
        if errors:
            record.add(f"{vm.name}, {len(errors)} errors, the last: {errors[-1][:300]}")
        wanted = (
            "lead claimed",
            "configuration in force",
            "stream taken up again",
            "server says that it leaves",
            "server seen",
        )
        for line in log_lines(vm):
            if line.get("message") in wanted:
                record.add(f"{vm.name} logs: {json.dumps(line)[:400]}")
