"""Live proofs against backend servers that fail in every way the stand-ins know."""

import time
from typing import Any, Final

import anyio
import httpx

from testing.live.checks import Row, count_codes, make_row
from testing.live.deployment import (
    MODELS,
    Deployment,
    deploy,
    key_of,
    make_caller,
    make_customer,
)
from testing.live.load import Sent
from tools.fleet import Fleet

SEED: Final = 20
SHARE: Final = 0.04
POISON: Final = "[[poison]]"
POISON_TRIES: Final = 12
KEYS: Final = (key_of("one"), key_of("two"))
CUSTOMERS: Final = (make_customer("one"), make_customer("two"))


async def faulty_backends(duration_s: float) -> Row:
    """Let every backend server drop, lose, cut, cross, delay and refuse answers."""
    async with deploy(CUSTOMERS) as live:
        for number, name in enumerate(sorted(live.fleet.backends)):
            _set_faults(live.fleet, name, SEED + number)
        callers = (make_caller("one", 10.0), make_caller("two", 10.0))
        await live.load.run(callers, duration_s)
        row = make_row("faulty backend servers", live.load.sent, live.folder, KEYS)
        silent_ends = [item for item in live.load.sent if item.end == "broken"]
        breaches = [f"no clear end: {item}" for item in silent_ends[:5]]
        notes = f"seed {SEED}; {count_codes(live.load.sent)}"
        return row._replace(notes=notes, breaches=(*row.breaches, *breaches))


def _set_faults(fleet: Fleet, backend: str, seed: int) -> None:
    path = "/bookings" if backend.startswith("booking") else "/v1/chat"
    shared: dict[str, Any] = {"path_prefix": path, "count": None}
    shared |= {"probability": SHARE, "seed": seed}
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


async def silent_connections(duration_s: float) -> Row:
    """Let every open connection to the backend servers go silent, under load."""
    async with deploy(CUSTOMERS) as live:
        struck_s: list[float] = []

        async def silence() -> None:
            for _ in range(2):
                await anyio.sleep(duration_s / 4)
                struck_s.append(time.monotonic())
                for program in live.fleet.backends.values():
                    live.fleet.set_fault(program, kind="silent")

        callers = (make_caller("one", 10.0), make_caller("two", 10.0))
        async with anyio.create_task_group() as group:
            group.start_soon(silence)
            await live.load.run(callers, duration_s)
        hit = [item for item in live.load.sent if _ran_during(item, struck_s)]
        waited_s = max((item.last_s - item.began_s for item in hit), default=0.0)
        row = make_row("silent connections", live.load.sent, live.folder, KEYS)
        notes = (
            f"{len(hit)} requests in hand when silence struck, the longest took "
            f"{waited_s:.1f} s; {count_codes(live.load.sent)}"
        )
        return row._replace(notes=notes)


def _ran_during(item: Sent, moments_s: list[float]) -> bool:
    return any(item.began_s <= at_s <= item.last_s for at_s in moments_s)


async def crashing_request(duration_s: float) -> Row:
    """Send a request again and again that crashes each engine that runs it."""
    async with deploy(CUSTOMERS) as live:
        for program in _engines(live.fleet):
            fault = {"kind": "crash", "marker": POISON, "count": None}
            fault |= {"after_chunks": 1}
            live.fleet.set_fault(program, **fault, restart_s=0.5)
        ends: list[str] = []

        async def send_poison() -> None:
            async with httpx.AsyncClient(timeout=60.0) as http:
                for number in range(POISON_TRIES):
                    ends.append(await _send_poison(http, live, number))
                    await anyio.sleep(duration_s / POISON_TRIES / 2)

        async with anyio.create_task_group() as group:
            group.start_soon(send_poison)
            await live.load.run((make_caller("one", 8.0),), duration_s)
        crashes = await anyio.to_thread.run_sync(_count_crashes, live)
        lost = [item for item in live.load.sent if item.end != "whole"]
        row = make_row("a request that crashes", live.load.sent, live.folder, KEYS)
        breaches = [] if crashes <= 2 else [f"{crashes} engines were lost, not 2"]
        notes = (
            f"{crashes} crashes for {POISON_TRIES} tries ({ends}); {len(lost)} "
            f"innocent requests not whole ({count_codes(lost)})"
        )
        return row._replace(notes=notes, breaches=(*row.breaches, *breaches))


async def _send_poison(http: httpx.AsyncClient, live: Deployment, number: int) -> str:
    urls = live.fleet.entry_urls()
    messages = [{"role": "user", "content": f"{POISON} what next?"}]
    body = {"model": MODELS[0], "messages": messages, "max_tokens": 5}
    headers = {"authorization": f"Bearer {key_of('two')}"}
    url = f"{urls[number % len(urls)]}/v1/chat/completions"
    answer = await http.post(url, json=body, headers=headers)
    if answer.status_code == 200:
        return "200"
    return f"{answer.status_code} {answer.json()['error']['code']}"


def _engines(fleet: Fleet) -> list[Any]:
    return [fleet.backends[f"engine-{number}"] for number in range(3)]


def _count_crashes(live: Deployment) -> int:
    """Count the incarnations of engines beyond the first of each."""
    incarnations: dict[str, set[str]] = {}
    for number in range(3):
        name = f"engine-{number}"
        for entry in live.fleet.ledger(name)["entries"]:
            incarnations.setdefault(name, set()).add(entry.get("incarnation", ""))
        incarnations[name].discard("")
        incarnations[name].add(live.fleet.ask(name, "/state")["incarnation"])
    return sum(len(found) - 1 for found in incarnations.values())
