"""Live scenarios with faults injected into the backend servers."""

import time
from typing import Any, Final

import anyio
import httpx

from testing.live.checks import ResultRow, count_codes, make_row
from testing.live.deployment import (
    MODEL_NAMES,
    Deployment,
    customer_key,
    deploy,
    make_caller,
    make_customer,
)
from testing.live.load import RequestResult
from tools.fleet import Fleet

SEED: Final = 20
FAULT_PROBABILITY: Final = 0.04
CRASH_MARKER: Final = "[[poison]]"
CRASHING_REQUESTS: Final = 12
KEYS: Final = (customer_key("one"), customer_key("two"))
CUSTOMERS: Final = (make_customer("one"), make_customer("two"))


async def faulty_backends(duration_s: float) -> ResultRow:
    """Inject each kind of response fault at random into all backend servers."""
    async with deploy(CUSTOMERS) as deployment:
        for number, name in enumerate(sorted(deployment.fleet.backends)):
            _set_faults(deployment.fleet, name, SEED + number)
        callers = (make_caller("one", 10.0), make_caller("two", 10.0))
        await deployment.load.run(callers, duration_s)
        row = make_row(
            "faulty backend servers", deployment.load.results, deployment.folder, KEYS
        )
        without_end = [item for item in deployment.load.results if item.end == "broken"]
        breaches = [
            f"neither a complete response nor a verdict: {item}"
            for item in without_end[:5]
        ]
        notes = f"seed {SEED}; {count_codes(deployment.load.results)}"
        return row._replace(notes=notes, breaches=(*row.breaches, *breaches))


def _set_faults(fleet: Fleet, backend: str, seed: int) -> None:
    path = "/bookings" if backend.startswith("booking") else "/v1/chat"
    shared: dict[str, Any] = {"path_prefix": path, "count": None}
    shared |= {"probability": FAULT_PROBABILITY, "seed": seed}
    faults: tuple[dict[str, Any], ...] = (
        {"kind": "drop_before"},
        {"kind": "drop_after"},
        {"kind": "crossed"},
        {"kind": "status", "status": 500},
        {"kind": "cut", "after_chunks": 3},
        {"kind": "delay_after", "delay_s": 0.5},
    )
    for number, fault in enumerate(faults):
        own_seed = {"seed": seed * 100 + number}
        fleet.set_fault(fleet.backends[backend], **(shared | fault | own_seed))


async def silent_connections(duration_s: float) -> ResultRow:
    """Silence all open connections to the backend servers under load, twice."""
    async with deploy(CUSTOMERS) as deployment:
        silenced_s: list[float] = []

        async def silence_connections() -> None:
            for _ in range(2):
                await anyio.sleep(duration_s / 4)
                silenced_s.append(time.monotonic())
                for program in deployment.fleet.backends.values():
                    deployment.fleet.set_fault(program, kind="silent")

        callers = (make_caller("one", 10.0), make_caller("two", 10.0))
        async with anyio.create_task_group() as group:
            group.start_soon(silence_connections)
            await deployment.load.run(callers, duration_s)
        affected = [
            item
            for item in deployment.load.results
            if _was_in_progress(item, silenced_s)
        ]
        longest_s = max(
            (item.last_s - item.started_s for item in affected), default=0.0
        )
        row = make_row(
            "silent connections", deployment.load.results, deployment.folder, KEYS
        )
        notes = (
            f"{len(affected)} requests open when connections fell silent, the longest "
            f"took {longest_s:.1f} s; {count_codes(deployment.load.results)}"
        )
        return row._replace(notes=notes)


def _was_in_progress(item: RequestResult, times_s: list[float]) -> bool:
    return any(item.started_s <= at_s <= item.last_s for at_s in times_s)


async def crashing_request(duration_s: float) -> ResultRow:
    """Repeat a request that crashes each engine that runs it.

    At most two engines may crash before the request is refused everywhere.
    """
    async with deploy(CUSTOMERS) as deployment:
        for program in _engine_programs(deployment.fleet):
            fault = {"kind": "crash", "marker": CRASH_MARKER, "count": None}
            fault |= {"after_chunks": 1}
            deployment.fleet.set_fault(program, **fault, restart_s=0.5)
        ends: list[str] = []

        async def send_crashing_requests() -> None:
            async with httpx.AsyncClient(timeout=60.0) as http:
                for number in range(CRASHING_REQUESTS):
                    ends.append(await _send_crashing_request(http, deployment, number))
                    await anyio.sleep(duration_s / CRASHING_REQUESTS / 2)

        async with anyio.create_task_group() as group:
            group.start_soon(send_crashing_requests)
            await deployment.load.run((make_caller("one", 8.0),), duration_s)
        crashes = await anyio.to_thread.run_sync(_count_crashes, deployment)
        lost = [item for item in deployment.load.results if item.end != "whole"]
        row = make_row(
            "a request that crashes", deployment.load.results, deployment.folder, KEYS
        )
        breaches = [] if crashes <= 2 else [f"{crashes} engines crashed, at most 2 may"]
        notes = (
            f"{crashes} crashes in {CRASHING_REQUESTS} requests ({ends}); {len(lost)} "
            f"other requests failed ({count_codes(lost)})"
        )
        return row._replace(notes=notes, breaches=(*row.breaches, *breaches))


async def _send_crashing_request(
    http: httpx.AsyncClient, deployment: Deployment, number: int
) -> str:
    urls = deployment.fleet.entry_urls()
    messages = [{"role": "user", "content": f"{CRASH_MARKER} what next?"}]
    body = {"model": MODEL_NAMES[0], "messages": messages, "max_tokens": 5}
    headers = {"authorization": f"Bearer {customer_key('two')}"}
    url = f"{urls[number % len(urls)]}/v1/chat/completions"
    response = await http.post(url, json=body, headers=headers)
    if response.status_code == 200:
        return "200"
    return f"{response.status_code} {response.json()['error']['code']}"


def _engine_programs(fleet: Fleet) -> list[Any]:
    return [fleet.backends[f"engine-{number}"] for number in range(3)]


def _count_crashes(deployment: Deployment) -> int:
    """Return the number of engine restarts, one per further incarnation."""
    incarnations: dict[str, set[str]] = {}
    for number in range(3):
        name = f"engine-{number}"
        for entry in deployment.fleet.fetch_ledger(name)["entries"]:
            incarnations.setdefault(name, set()).add(entry.get("incarnation", ""))
        incarnations[name].discard("")
        incarnations[name].add(deployment.fleet.get_json(name, "/state")["incarnation"])
    return sum(len(ids) - 1 for ids in incarnations.values())
