"""Live proof that a keyed call runs at most once, on whichever VM it is repeated."""

import time
from typing import Any, Final, NamedTuple

import anyio
import httpx

from testing.live.checks import Row, read_ledgers
from testing.live.deployment import Deployment, deploy, key_of, make_customer

SEED: Final = 7
SHARE: Final = 0.15
CALLS_PER_S: Final = 5.0
REPEATS: Final = 4
REPEAT_AFTER_S: Final = 1.0
TIMEOUT_S: Final = 30.0


class Attempt(NamedTuple):
    """One sending of a keyed call; status 0 where no answer came."""

    tag: str
    status: int
    verdict: str
    body: str


async def keyed_calls(duration_s: float) -> Row:
    """Send each call to two VMs at once and again later, while a VM is killed."""
    async with deploy((make_customer("one"),)) as live:
        _set_faults(live)
        attempts: list[Attempt] = []

        async def kill() -> None:
            await anyio.sleep(duration_s / 2)
            victim = live.fleet.vms[0]
            victim.entry.kill()
            live.fleet.vms.remove(victim)

        headers = {"authorization": f"Bearer {key_of('one')}"}
        async with (
            httpx.AsyncClient(headers=headers, timeout=TIMEOUT_S) as http,
            anyio.create_task_group() as group,
        ):
            group.start_soon(kill)
            began_s = time.monotonic()
            for number in range(int(duration_s * CALLS_PER_S)):
                due_s = began_s + number / CALLS_PER_S
                await anyio.sleep(max(0.0, due_s - time.monotonic()))
                group.start_soon(_call_often, http, live, number, attempts)
        return _judge(attempts, live)


def _set_faults(live: Deployment) -> None:
    for number, name in enumerate(("booking-0", "booking-1")):
        shared = {"path_prefix": "/bookings", "count": None, "probability": SHARE}
        program = live.fleet.backends[name]
        live.fleet.set_fault(program, kind="drop_after", seed=SEED + number, **shared)
        slow = {"kind": "delay_after", "delay_s": 1.0, "seed": SEED + 10 + number}
        live.fleet.set_fault(program, **slow, **shared)


async def _call_often(
    http: httpx.AsyncClient, live: Deployment, number: int, attempts: list[Attempt]
) -> None:
    tag = f"call-{number}"
    async with anyio.create_task_group() as group:
        for offset in range(2):
            group.start_soon(_call, http, live, tag, number + offset, attempts)
    for again in range(REPEATS):
        await anyio.sleep(REPEAT_AFTER_S)
        await _call(http, live, tag, number + again, attempts)


async def _call(
    http: httpx.AsyncClient,
    live: Deployment,
    tag: str,
    place: int,
    attempts: list[Attempt],
) -> None:
    urls = live.fleet.entry_urls()
    url = f"{urls[place % len(urls)]}/bookings/confirm"
    body = {"note": f"[[tag={tag}]]"}
    headers = {"idempotency-key": f"key-{tag}"}
    try:
        answer = await http.post(url, json=body, headers=headers)
    except httpx.HTTPError as error:
        attempts.append(Attempt(tag, 0, "", type(error).__name__))
        return
    verdict = "" if answer.status_code == 200 else answer.json().get("verdict", "")
    attempts.append(Attempt(tag, answer.status_code, verdict, answer.text))


def _judge(attempts: list[Attempt], live: Deployment) -> Row:
    runs = read_ledgers(live.folder).runs
    by_tag: dict[str, list[Attempt]] = {}
    for attempt in attempts:
        by_tag.setdefault(attempt.tag, []).append(attempt)
    breaches = []
    for tag, made in by_tag.items():
        breaches += _breaches_of(tag, made, runs[tag])
    whole = sum(item.status == 200 for item in attempts)
    broken = sum(item.status == 0 for item in attempts)
    answered = sum(any(i.status == 200 for i in made) for made in by_tag.values())
    notes = (
        f"{len(by_tag)} keyed calls, {sum(runs[tag] for tag in by_tag)} runs, "
        f"{answered} got their "
        f"answer; statuses {_count(attempts)}"
    )
    return Row(
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


def _breaches_of(tag: str, made: list[Attempt], runs: int) -> list[str]:
    found = []
    if runs > 1:
        found.append(f"{tag} ran {runs} times")
    answers = {item.body for item in made if item.status == 200}
    if len(answers) > 1:
        found.append(f"{tag} was answered differently: {sorted(answers)}")
    if answers and not runs:
        found.append(f"{tag} was answered but did not run")
    if runs and all(item.verdict == "not_run" for item in made):
        found.append(f"{tag} ran, and every attempt was told not_run")
    return found


def _count(attempts: list[Attempt]) -> dict[int, int]:
    counts: dict[Any, int] = {}
    for item in attempts:
        counts[item.status] = counts.get(item.status, 0) + 1
    return dict(sorted(counts.items()))
