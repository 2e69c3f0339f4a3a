"""Ordinary callers of one machine beside clients that nobody controls."""

import asyncio
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Final, NamedTuple

from review.standins2.http import Answer, Call, call, serve
from review.standins2.installation import (
    HOST,
    KEY,
    START_LIMIT_S,
    Machine,
    Record,
    config,
    kill_all,
    route,
    server_entry,
)
from review.standins2.store import OPERATOR_TOPIC, SERVERS_TOPIC, Store

# A quarter of the channels that callers may have at a machine with 4,200 descriptors.
CLIENTS: Final = 500
LOAD_S: Final = 11.0
CALL_PERIOD_S: Final = 0.1
# The route's, and what callers wait at most.
TIMEOUT_S: Final = 1.0
DEADLINE_S: Final = 1.5
WORK_S: Final = 0.015
REST_S: Final = 3.0


class Outcome(NamedTuple):
    """What one ordinary caller saw.

    Attributes
    ----------
    status : int
        Of the final answer; 0 without one.
    after_s : float
        The time to it, or for which the caller waited.
    """

    status: int
    after_s: float


async def work(request: Call) -> Answer:
    """Answer as a sound server."""
    if request.headers.get("x-expect-instance", "i-1") != "i-1":
        return Answer(421, {"X-Instance-Id": "i-1"})
    await asyncio.sleep(WORK_S)
    headers = {"X-Server-Seal": "seal"}
    if "x-attempt-id" in request.headers:
        headers["X-Attempt-Id"] = request.headers["x-attempt-id"]
    return Answer(200, headers, b"done")


async def call_once(machine: Machine, number: int, record: Record) -> Outcome:
    """Send an unsafe request on a new channel, and wait until its deadline."""
    headers = {
        "Host": HOST,
        "X-Attempt-Id": f"ordinary-{number}",
        "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
        "X-Key": KEY,
    }
    began_s = time.monotonic()
    status = 0
    try:
        async with asyncio.timeout(DEADLINE_S):
            status, _, _ = await call(machine.front, "/register/x", headers, b"body")
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        status = 0
    after_s = time.monotonic() - began_s
    record.write(f"ordinary-{number}: status {status} after {after_s:.3f} s")
    return Outcome(status, after_s)


async def call_for(machine: Machine, seconds: float, record: Record) -> list[Outcome]:
    """Send ordinary requests at a steady rate."""
    tasks = []
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        tasks.append(asyncio.ensure_future(call_once(machine, len(tasks), record)))
        await asyncio.sleep(CALL_PERIOD_S)
    return await asyncio.gather(*tasks)


async def probe_ready(machine: Machine, record: Record) -> None:
    """Ask once a second whether the machine is ready, as the platform does."""
    while True:
        ip, port = machine.ready
        text = "no answer"
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(ip, port)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                text = (await reader.readline()).decode().strip()
                writer.transport.abort()
        except (OSError, TimeoutError):
            pass
        record.write(f"ready: {text}")
        await asyncio.sleep(1.0)


async def beat(store: Store, port: int) -> None:
    """Write the server's status reports."""
    sequence = 0
    born_ms = int(time.time() * 1000)
    while True:
        sequence += 1
        entry = server_entry("station-api", port, sequence, born_ms)
        store.put(SERVERS_TOPIC, "i-1", entry)
        await asyncio.sleep(1.2)


async def wait_until_served(machine: Machine, record: Record) -> bool:
    """Return whether the machine serves a request within the limit."""
    end_s = time.monotonic() + START_LIMIT_S
    while time.monotonic() < end_s and machine.is_running():
        outcome = await call_once(machine, -1, record)
        if outcome.status == 200:
            return True
        await asyncio.sleep(0.2)
    return False


def judge(outcomes: list[Outcome], record: Record) -> bool:
    """Return whether the rule CONFIG is broken by what ordinary callers saw.

    Of the requests that are unanswered at their route's timeout, eight or more and
    more than half have no answer half a second later.
    """
    late = [x for x in outcomes if x.status == 0 or x.after_s > TIMEOUT_S]
    never = [x for x in late if x.status == 0 and x.after_s >= DEADLINE_S]
    served = sum(x.status == 200 for x in outcomes)
    record.write(
        f"ordinary requests: {len(outcomes)}, served {served}, unanswered at "
        f"{TIMEOUT_S:g} s {len(late)}, unanswered at {DEADLINE_S:g} s {len(never)}"
    )
    return len(never) >= 8 and len(never) > len(late) / 2


async def play_clients(
    machine: Machine, program: Path | None, record: Record
) -> list[Outcome]:
    """Return what ordinary callers get beside the clients of a program, if any."""
    clients: subprocess.Popen[bytes] | None = None
    if program is not None:
        arguments = [*map(str, machine.front), str(CLIENTS), KEY]
        clients = subprocess.Popen([sys.executable, str(program), *arguments])
        record.write(f"{CLIENTS} clients of {program.name} begin their requests")
        await asyncio.sleep(1.0)
    try:
        return await call_for(machine, LOAD_S, record)
    finally:
        if clients is not None:
            clients.kill()
            clients.wait()


async def run(
    record: Record, folder: Path, programs: list[Path], has_trouble: bool
) -> int:
    """Play a case; return the exit code.

    Parameters
    ----------
    record : Record
        Tells what happens.
    folder : Path
        A temporary folder.
    programs : list of Path
        The programs of the clients, one after the other.
    has_trouble : bool
        Whether the clients are there.
    """
    store = Store()
    _, store_port = await serve(store.handle)
    _, server_port = await serve(work)
    routes = [
        route("register", "unsafe", "station-api"),
        route("upload", "unsafe", "station-api", timeoutMs=12_000),
    ]
    services = [
        {
            "name": "station-api",
            "healthCheckPath": "/health",
            "connectionLimit": 96,
            "protocol": "h1",
        }
    ]
    store.put(OPERATOR_TOPIC, "config", config(routes, services))
    tasks = [asyncio.ensure_future(beat(store, server_port))]
    machine = Machine(1, folder, store_port)
    is_broken = False
    try:
        if not await wait_until_served(machine, record):
            record.write(f"not served: {machine.log.read_text()[-2000:]}")
            return 2
        tasks.append(asyncio.ensure_future(probe_ready(machine, record)))
        for program in programs:
            before = await call_for(machine, 2.0, record)
            if sum(x.status == 200 for x in before) < len(before) / 2:
                record.write("ordinary requests are not served before the load")
                return 2
            outcomes = await play_clients(
                machine, program if has_trouble else None, record
            )
            if not machine.is_running():
                record.write("the process has ended")
                return 1
            is_broken |= judge(outcomes, record)
            # The process takes note that the clients have gone.
            await asyncio.sleep(REST_S)
        return int(is_broken)
    finally:
        for task in tasks:
            task.cancel()
        kill_all([machine])


def play(programs: list[Path], record_path: Path) -> int:
    """Play a case with or without its clients, by the variable TROUBLE.

    Parameters
    ----------
    programs : list of Path
        The programs of the clients; their arguments are the machine's address and
        port, the number of clients and the tenant's key.
    record_path : Path
        The file for the record.

    Returns
    -------
    int
        1 if the rule was broken, 0 if it held, 2 if the case could not run.
    """
    record = Record(record_path)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as folder:
        try:
            code = asyncio.run(run(record, Path(folder), programs, has_trouble))
        except Exception as error:
            record.write(f"the case could not run: {error!r}")
            code = 2
    record.write(f"exit code {code}")
    return code
