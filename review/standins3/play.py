"""What all cases share: the record, waiting, and the exit code."""

import asyncio
import json
import os
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Final, final

from review.standins3.store import Store

READY_LIMIT_S: Final = 30.0
LIMITS: Final = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": 4_194_304,
    "headerTimeoutMs": 3_000,
    "idleTimeoutMs": 15_000,
}


@final
class Recorder:
    """Writes lines to `record.txt`, with the seconds since its start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def write(self, text: str, at_s: float | None = None) -> None:
        """Write one line, as of now or of an earlier monotonic time."""
        since_s = (time.monotonic() if at_s is None else at_s) - self._started_s
        self._file.write(f"{since_s:7.2f} {text}\n")
        self._file.flush()


async def wait_until(what: str, holds: Callable[[], bool]) -> None:
    """Wait until a condition holds; raise TimeoutError after a while."""
    end_s = time.monotonic() + READY_LIMIT_S
    while not holds():
        if time.monotonic() > end_s:
            raise TimeoutError(what)
        await asyncio.sleep(0.02)


def leader_of(store: Store) -> str:
    """Return the machine that has claimed the lead last; empty if none has."""
    value = store.newest("keyed.pond", "leader")
    return json.loads(value)["leader"] if value else ""


def stream_route(service: str, host: str, timeout_ms: int) -> dict[str, Any]:
    """Return an anonymous route of resumable streams, as in an operator's config."""
    return {
        "name": "r-summary",
        "host": host,
        "pathPrefix": "/summary/",
        "kind": "stream",
        "resumable": True,
        "anonymous": True,
        "sessionAffinity": True,
        "service": service,
        "maxAttempts": 2,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 300,
        "gapAimMs": 150,
        "priority": 1,
    }


def config(route: dict[str, Any], service: dict[str, Any]) -> bytes:
    """Return the operator's config with one route and one service."""
    plain = {
        "version": 3,
        "routes": [route],
        "services": [{"healthCheckPath": "/health", "connectionLimit": 370, **service}],
        "limits": LIMITS,
        "tenants": [{"name": "office", "apiKeys": ["office-key"]}],
    }
    return json.dumps(plain).encode()


def play(folder: Path, run: Callable[[Path, Recorder, bool], Awaitable[int]]) -> int:
    """Run a case and return its exit code.

    Parameters
    ----------
    folder : Path
        Where `record.txt` is written.
    run : callable
        Plays the case, given a temporary folder, the record and whether there is to be
        trouble; returns 1 if the rule was broken, 0 if it held, 2 if it could not run.
    """
    record = Recorder(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE") != "0"

    async def bounded(temporary: Path) -> int:
        async with asyncio.timeout(110.0):
            return await run(temporary, record, has_trouble)

    with tempfile.TemporaryDirectory() as temporary:
        try:
            code = asyncio.run(bounded(Path(os.environ.get("KEEP", temporary))))
        except (OSError, RuntimeError, TimeoutError) as error:
            record.write(f"could not run: {type(error).__name__}: {error}")
            code = 2
    record.write(f"exit {code}")
    return code
