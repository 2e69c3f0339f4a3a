"""Live scenario: a call with an Idempotency-Key runs at most once over all VMs."""

import time
from typing import Any, Final, NamedTuple

import anyio
import httpx

from testing.live.checks import ResultRow, read_ledgers
from testing.live.deployment import Deployment, customer_key, deploy, make_customer

SEED: Final = 7
FAULT_PROBABILITY: Final = 0.15
CALLS_PER_S: Final = 5.0
REPEATS: Final = 4
REPEAT_AFTER_S: Final = 1.0
TIMEOUT_S: Final = 30.0


class Attempt(NamedTuple):
    """One attempt of a call with an Idempotency-Key; status 0 without a response."""

    tag: str
    status: int
    verdict: str
    body: str


async def keyed_calls(duration_s: float) -> ResultRow:
    """Send each call to two VMs at once, repeat it later, and kill an entry daemon."""
    async with deploy((make_customer("one"),)) as deployment:
        _set_faults(deployment)
        attempts: list[Attempt] = []

        async def kill_entry() -> None:
            await anyio.sleep(duration_s / 2)
            victim = deployment.fleet.vms[0]
            victim.entry.kill()
            deployment.fleet.vms.remove(victim)

        headers = {"authorization": f"Bearer {customer_key('one')}"}
        async with (
            httpx.AsyncClient(headers=headers, timeout=TIMEOUT_S) as http,
            anyio.create_task_group() as group,
        ):
            group.start_soon(kill_entry)
            started_s = time.monotonic()
            for number in range(int(duration_s * CALLS_PER_S)):
                due_s = started_s + number / CALLS_PER_S
                await anyio.sleep(max(0.0, due_s - time.monotonic()))
                group.start_soon(_call_repeatedly, http, deployment, number, attempts)
        return _make_row(attempts, deployment)


def _set_faults(deployment: Deployment) -> None:
    for number, name in enumerate(("booking-0", "booking-1")):
        shared = {
            "path_prefix": "/bookings",
            "count": None,
            "probability": FAULT_PROBABILITY,
        }
        program = deployment.fleet.backends[name]
        deployment.fleet.set_fault(
            program, kind="drop_after", seed=SEED + number, **shared
        )
        slow = {"kind": "delay_after", "delay_s": 1.0, "seed": SEED + 10 + number}
        deployment.fleet.set_fault(program, **slow, **shared)


async def _call_repeatedly(
    http: httpx.AsyncClient,
    deployment: Deployment,
    number: int,
    attempts: list[Attempt],
) -> None:
    tag = f"call-{number}"
    async with anyio.create_task_group() as group:
        for offset in range(2):
            group.start_soon(_call, http, deployment, tag, number + offset, attempts)
    for repeat in range(REPEATS):
        await anyio.sleep(REPEAT_AFTER_S)
        await _call(http, deployment, tag, number + repeat, attempts)


async def _call(
    http: httpx.AsyncClient,
    deployment: Deployment,
    tag: str,
    vm_index: int,
    attempts: list[Attempt],
) -> None:
    urls = deployment.fleet.entry_urls()
    url = f"{urls[vm_index % len(urls)]}/bookings/confirm"
    body = {"note": f"[[tag={tag}]]"}
    headers = {"idempotency-key": f"key-{tag}"}
    try:
        response = await http.post(url, json=body, headers=headers)
    except httpx.HTTPError as error:
        attempts.append(Attempt(tag, 0, "", type(error).__name__))
        return
    verdict = "" if response.status_code == 200 else response.json().get("verdict", "")
    attempts.append(Attempt(tag, response.status_code, verdict, response.text))


def _make_row(attempts: list[Attempt], deployment: Deployment) -> ResultRow:
    runs = read_ledgers(deployment.folder).runs
    by_tag: dict[str, list[Attempt]] = {}
    for attempt in attempts:
        by_tag.setdefault(attempt.tag, []).append(attempt)
    breaches = []
    for tag, tag_attempts in by_tag.items():
        breaches += _find_breaches(tag, tag_attempts, runs[tag])
    whole = sum(item.status == 200 for item in attempts)
    broken = sum(item.status == 0 for item in attempts)
    answered_calls = sum(
        any(i.status == 200 for i in tag_attempts) for tag_attempts in by_tag.values()
    )
    notes = (
        f"{len(by_tag)} keyed calls, {sum(runs[tag] for tag in by_tag)} runs, "
        f"{answered_calls} got a complete "
        f"response; statuses {_count_by_status(attempts)}"
    )
    return ResultRow(
        "keyed calls",
        len(attempts),
        whole,
        len(attempts) - whole - broken,
        broken,
        not_run=sum(item.verdict == "not_run" for item in attempts),
        may_have_run=sum(item.verdict == "may_have_run" for item in attempts),
        ran=sum(item.verdict == "ran" for item in attempts),
        verdicts_checked=len(attempts),
        breaches=tuple(breaches[:5]),
        notes=notes,
    )


def _find_breaches(tag: str, tag_attempts: list[Attempt], runs: int) -> list[str]:
    found = []
    if runs > 1:
        found.append(f"{tag} ran {runs} times")
    response_bodies = {item.body for item in tag_attempts if item.status == 200}
    if len(response_bodies) > 1:
        found.append(f"{tag} got different responses: {sorted(response_bodies)}")
    if response_bodies and not runs:
        found.append(f"{tag} got a complete response but did not run")
    if runs and all(item.verdict == "not_run" for item in tag_attempts):
        found.append(f"{tag} ran, but every attempt was reported as not_run")
    return found


def _count_by_status(attempts: list[Attempt]) -> dict[int, int]:
    counts: dict[Any, int] = {}
    for item in attempts:
        counts[item.status] = counts.get(item.status, 0) + 1
    return dict(sorted(counts.items()))
