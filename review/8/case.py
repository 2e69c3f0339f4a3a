"""Whole requests of legal size, many at once, beside the memory of a machine."""

import asyncio
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Final

from review.standins2.http import serve
from review.standins2.installation import (
    KEY,
    MEMORY_MB,
    Machine,
    Record,
    config,
    kill_all,
    route,
)
from review.standins2.ordinary import beat, wait_until_served, work
from review.standins2.store import OPERATOR_TOPIC, Store

# Half of the channels that callers may have with 4,200 descriptors, 200 of them for
# files and half of the rest for channels to workers.
CLIENTS: Final = 1_000
LOAD_S: Final = 10.0
LOOK_S: Final = 0.02
BYTES_PER_KB: Final = 1024
BYTES_PER_MB: Final = 1_000_000


def resident_bytes(machine: Machine) -> int:
    """Return the resident memory of a machine's process; 0 if it has ended."""
    try:
        text = Path(f"/proc/{machine.process.pid}/status").read_text()
    except OSError:
        return 0
    for line in text.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * BYTES_PER_KB
    return 0


def make_config() -> dict[str, object]:
    """Return a config with a plain service and a service of models."""
    model = {"name": "m9", "weightsMb": 65_100.0, "loadTimeS": 3.8, "adapters": 0}
    engine = {
        "slots": 48,
        "kvCapacityTokens": 123_730,
        "weightsMb": 200_000.0,
        "adapterSlots": 5,
        "loadsPerS": 2.2,
        "models": [model],
    }
    services = [
        {
            "name": "station-api",
            "healthCheckPath": "/health",
            "connectionLimit": 96,
        },
        {
            "name": "summary-models",
            "healthCheckPath": "/health",
            "connectionLimit": 290,
            "engine": engine,
        },
    ]
    archive = route(
        "archive",
        "stream",
        "summary-models",
        timeoutMs=15_000,
        targetLatencyMs=3_000,
        gapAimMs=150,
    )
    return config([route("register", "unsafe", "station-api"), archive], services)


async def watch(machine: Machine, record: Record) -> int:
    """Return the peak of the resident memory while the load lasts."""
    peak_bytes = 0
    noted_bytes = 0
    end_s = time.monotonic() + LOAD_S
    while time.monotonic() < end_s and machine.is_running():
        peak_bytes = max(peak_bytes, resident_bytes(machine))
        if peak_bytes > noted_bytes + 20 * BYTES_PER_MB:
            noted_bytes = peak_bytes
            record.write(f"resident memory: {peak_bytes / BYTES_PER_MB:.1f} MB")
        await asyncio.sleep(LOOK_S)
    return peak_bytes


async def run(record: Record, folder: Path, has_trouble: bool) -> int:
    """Play the case; return the exit code."""
    store = Store()
    _, store_port = await serve(store.handle)
    _, server_port = await serve(work)
    store.put(OPERATOR_TOPIC, "config", make_config())
    beating = asyncio.ensure_future(beat(store, server_port))
    machine = Machine(1, folder, store_port)
    clients: subprocess.Popen[bytes] | None = None
    try:
        if not await wait_until_served(machine, record):
            record.write(f"not served: {machine.log.read_text()[-2000:]}")
            return 2
        at_start_mb = resident_bytes(machine) / BYTES_PER_MB
        record.write(f"resident memory at the start: {at_start_mb:.1f} MB")
        if has_trouble:
            arguments = [*map(str, machine.front), str(CLIENTS), KEY]
            program = str(Path(__file__).with_name("clients.py"))
            clients = subprocess.Popen([sys.executable, program, *arguments])
            record.write(f"{CLIENTS} clients send a whole request each")
        peak_bytes = await watch(machine, record)
        record.write(
            f"peak of the resident memory: {peak_bytes / BYTES_PER_MB:.1f} MB, the "
            f"machine has {MEMORY_MB} MB"
        )
        return int(peak_bytes > MEMORY_MB * BYTES_PER_MB or not machine.is_running())
    finally:
        if clients is not None:
            clients.kill()
            clients.wait()
        beating.cancel()
        kill_all([machine])


def main() -> int:
    """Play the case with or without its clients, by the variable TROUBLE."""
    record = Record(Path(sys.argv[1]))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as folder:
        try:
            code = asyncio.run(run(record, Path(folder), has_trouble))
        except Exception as error:
            record.write(f"the case could not run: {error!r}")
            code = 2
    record.write(f"exit code {code}")
    return code


if __name__ == "__main__":
    sys.exit(main())
