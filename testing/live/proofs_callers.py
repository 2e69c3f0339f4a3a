"""Live proofs of what is promised to callers."""

import time
from typing import Final

import anyio
import httpx

from _pistachiopond.cli.publishing import withdraw_keys
from testing.live.checks import Row, count_codes, make_row, wrongful_refusals
from testing.live.deployment import (
    deploy,
    digest_of,
    key_of,
    make_caller,
    make_customer,
    target_of,
)
from testing.live.load import Load, Sent

LONG_TOKENS: Final = 3_000
GREEDY_FACTOR: Final = 8
PROMPT_TOKENS_AT_MOST: Final = 40


async def kill_entry(duration_s: float) -> Row:
    """Kill an entry daemon under load; only what it had in hand may be lost."""
    async with deploy((make_customer("one"), make_customer("two"))) as live:
        victim = live.fleet.vms[0]
        killed_s = 0.0

        async def kill() -> None:
            nonlocal killed_s
            await anyio.sleep(duration_s / 2)
            killed_s = time.monotonic()
            victim.entry.kill()
            live.fleet.vms.remove(victim)

        callers = (make_caller("one", 10.0), make_caller("two", 10.0))
        async with anyio.create_task_group() as group:
            group.start_soon(kill)
            await live.load.run(callers, duration_s)
        live.fleet.vms.append(victim)
        lost = [item for item in live.load.sent if item.end != "whole"]
        strays = [
            item for item in lost if not _was_at(item, victim.entry.url, killed_s)
        ]
        row = make_row("kill an entry daemon", live.load.sent, live.folder, _keys())
        notes = f"{len(lost)} lost at the victim; {count_codes(live.load.sent)}"
        return _with(row, notes, [f"lost elsewhere: {item}" for item in strays])


def _was_at(item: Sent, url: str, killed_s: float) -> bool:
    return item.url == url and item.last_s >= killed_s


async def withdraw_key(duration_s: float) -> Row:
    """Withdraw a key while its streams run on every VM."""
    async with deploy((make_customer("one"), make_customer("two"))) as live:
        withdrawn_s = 0.0

        async def withdraw() -> None:
            nonlocal withdrawn_s
            await anyio.sleep(duration_s / 2)
            withdrawn_s = time.monotonic()
            await withdraw_keys((digest_of("two"),), target_of(live.fleet))

        streams = make_caller("two", 3.0, ("stream",), LONG_TOKENS)
        callers = (make_caller("one", 5.0), streams)
        async with anyio.create_task_group() as group:
            group.start_soon(withdraw)
            await live.load.run(callers, duration_s)
        theirs = [item for item in live.load.sent if item.customer == "two"]
        cut = [item for item in theirs if item.began_s < withdrawn_s]
        late = [item for item in theirs if item.began_s >= withdrawn_s]
        lasted_s = max((item.last_s - withdrawn_s for item in cut), default=0.0)
        accepted_s = max(
            (item.began_s - withdrawn_s for item in late if item.tokens), default=0.0
        )
        breaches = [
            f"not ended by the withdrawal: {item}"
            for item in cut
            if item.end == "whole"
        ]
        breaches += [f"other customer: {item}" for item in _failed(live.load, "one")]
        row = make_row("withdraw a key", live.load.sent, live.folder, _keys())
        notes = (
            f"{len(cut)} running streams ended within {lasted_s:.2f} s, last new "
            f"request accepted after {accepted_s:.2f} s; {count_codes(theirs)}"
        )
        return _with(row, notes, breaches)


async def greedy_tenant(duration_s: float) -> Row:
    """One customer sends eight times its rate; the others must not notice."""
    rate, burst, tokens = 300.0, 600.0, 20
    fair_per_s = rate / (tokens + PROMPT_TOKENS_AT_MOST)
    customers = (
        make_customer("one", rate, burst),
        make_customer("two", rate, burst),
        make_customer("greedy", rate, burst),
    )
    async with deploy(customers) as live:
        kinds = ("stream",)
        callers = (
            make_caller("one", fair_per_s * 0.7, kinds, tokens),
            make_caller("two", fair_per_s * 0.7, kinds, tokens),
            make_caller("greedy", fair_per_s * GREEDY_FACTOR, kinds, tokens),
        )
        began_s = time.monotonic()
        await live.load.run(callers, duration_s)
        took_s = time.monotonic() - began_s
        served = _tokens_of(live.load, "greedy")
        allowed = rate * took_s + burst
        breaches = []
        if served > allowed:
            breaches.append(f"{served} tokens served, {allowed:.0f} allowed")
        wrongly = {name: wrongful_refusals(live.load.sent, name) for name in _FAIR}
        last_s = {name: _last_refusal_s(live.load, name, began_s) for name in _FAIR}
        first_ms = {name: _first_token_ms(live.load, name) for name in _FAIR}
        row = make_row("a tenant at 8x its rate", live.load.sent, live.folder, _keys())
        notes = (
            f"greedy was served at least {served} tokens of {allowed:.0f} "
            f"allowed; wrongful refusals of the others {wrongly}, the last after "
            f"{last_s} s; "
            f"their first token p95 {first_ms} ms; {count_codes(live.load.sent)}"
        )
        return _with(row, notes, breaches)


_FAIR: Final = ("one", "two")


async def replace_all_vms(duration_s: float) -> Row:
    """Replace every VM, one after the other, under load; nothing is cut off."""
    async with deploy((make_customer("one"), make_customer("two"))) as live:
        fleet = live.fleet
        serving = list(fleet.entry_urls())
        load = Load(fleet.manifest, lambda: tuple(serving))
        codes: list[tuple[int, int]] = []

        async def replace() -> None:
            for vm in list(fleet.vms):
                fresh = await anyio.to_thread.run_sync(fleet.add_vm)
                await _wait_until_ready(fresh.entry.url)
                serving.append(fresh.entry.url)
                async with anyio.create_task_group() as inner:
                    inner.start_soon(_leave_when_not_ready, serving, vm.entry.url)
                    code = await anyio.to_thread.run_sync(fleet.remove_vm, vm)
                codes.append(code)
                await anyio.sleep(duration_s / 20)
            load.stopping.set()

        callers = (make_caller("one", 8.0), make_caller("two", 8.0))
        async with anyio.create_task_group() as group:
            group.start_soon(replace)
            await load.run(callers, duration_s * 10)
        lost = [item for item in load.sent if item.end != "whole"]
        breaches = [f"not answered whole: {item}" for item in lost[:5]]
        if any(code != (0, 0) for code in codes):
            breaches.append(f"exit codes of entry and control: {codes}")
        row = make_row("replace all VMs", load.sent, live.folder, _keys())
        return _with(row, f"{len(codes)} VMs; {count_codes(load.sent)}", breaches)


async def _leave_when_not_ready(serving: list[str], url: str) -> None:
    """Take a VM out as a balancer does, which looks every half second."""
    async with httpx.AsyncClient() as http:
        while url in serving:
            try:
                answer = await http.get(f"{url}/healthz/ready")
                is_ready = answer.status_code == 200
            except httpx.HTTPError:
                is_ready = False
            if not is_ready:
                serving.remove(url)
            await anyio.sleep(0.5)


async def _wait_until_ready(url: str) -> None:
    async with httpx.AsyncClient() as http:
        with anyio.fail_after(60.0):
            while True:
                try:
                    answer = await http.get(f"{url}/healthz/ready")
                except httpx.HTTPError:
                    await anyio.sleep(0.05)
                    continue
                if answer.status_code == 200:
                    return
                await anyio.sleep(0.05)


def _failed(load: Load, customer: str) -> list[Sent]:
    return [
        item for item in load.sent if item.customer == customer and item.end != "whole"
    ]


def _tokens_of(load: Load, customer: str) -> int:
    return sum(
        item.tokens + item.prompt_tokens
        for item in load.sent
        if item.customer == customer and item.tokens
    )


def _last_refusal_s(load: Load, customer: str, began_s: float) -> float:
    moments_s = (item.began_s - began_s for item in _failed(load, customer))
    return round(max(moments_s, default=0.0), 1)


def _first_token_ms(load: Load, customer: str) -> float:
    waits_ms = sorted(
        (item.first_s - item.began_s) * 1000.0
        for item in load.sent
        if item.customer == customer and item.first_s
    )
    return round(waits_ms[int(len(waits_ms) * 0.95)], 1) if waits_ms else -1.0


def _keys() -> tuple[str, ...]:
    return tuple(key_of(name) for name in ("one", "two", "greedy"))


def _with(row: Row, notes: str, breaches: list[str]) -> Row:
    return row._replace(notes=notes, breaches=(*row.breaches, *breaches[:5]))
