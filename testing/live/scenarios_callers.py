"""Live scenarios for the guarantees given to callers."""

import time
from typing import Final

import anyio
import httpx

from _pistachiopond.cli.publishing import withdraw_keys
from testing.live.checks import (
    ResultRow,
    count_codes,
    count_wrongful_refusals,
    make_row,
)
from testing.live.deployment import (
    customer_key,
    customer_key_digest,
    deploy,
    make_caller,
    make_customer,
    publish_target,
)
from testing.live.load import LoadGenerator, RequestResult

LONG_STREAM_TOKENS: Final = 3_000
GREEDY_RATE_FACTOR: Final = 8
MAX_PROMPT_TOKENS: Final = 40


async def kill_entry(duration_s: float) -> ResultRow:
    """Kill an entry daemon under load; only its own open requests may be lost."""
    async with deploy((make_customer("one"), make_customer("two"))) as deployment:
        victim = deployment.fleet.vms[0]
        killed_s = 0.0

        async def kill() -> None:
            nonlocal killed_s
            await anyio.sleep(duration_s / 2)
            killed_s = time.monotonic()
            victim.entry.kill()
            deployment.fleet.vms.remove(victim)

        callers = (make_caller("one", 10.0), make_caller("two", 10.0))
        async with anyio.create_task_group() as group:
            group.start_soon(kill)
            await deployment.load.run(callers, duration_s)
        deployment.fleet.vms.append(victim)
        lost = [item for item in deployment.load.results if item.end != "whole"]
        unexpected_losses = [
            item
            for item in lost
            if not _failed_after_kill(item, victim.entry.url, killed_s)
        ]
        row = make_row(
            "kill an entry daemon",
            deployment.load.results,
            deployment.folder,
            _customer_keys(),
        )
        notes = f"{len(lost)} requests lost; {count_codes(deployment.load.results)}"
        return _add_findings(
            row,
            notes,
            [
                f"failed but was not open at the killed daemon: {item}"
                for item in unexpected_losses
            ],
        )


def _failed_after_kill(item: RequestResult, url: str, killed_s: float) -> bool:
    return item.url == url and item.last_s >= killed_s


async def withdraw_key(duration_s: float) -> ResultRow:
    """Withdraw an API key while streams of its customer run on every VM."""
    async with deploy((make_customer("one"), make_customer("two"))) as deployment:
        withdrawn_s = 0.0

        async def withdraw() -> None:
            nonlocal withdrawn_s
            await anyio.sleep(duration_s / 2)
            withdrawn_s = time.monotonic()
            await withdraw_keys(
                (customer_key_digest("two"),), publish_target(deployment.fleet)
            )

        streams = make_caller("two", 3.0, ("stream",), LONG_STREAM_TOKENS)
        callers = (make_caller("one", 5.0), streams)
        async with anyio.create_task_group() as group:
            group.start_soon(withdraw)
            await deployment.load.run(callers, duration_s)
        withdrawn_results = [
            item for item in deployment.load.results if item.customer == "two"
        ]
        started_before = [
            item for item in withdrawn_results if item.started_s < withdrawn_s
        ]
        started_after = [
            item for item in withdrawn_results if item.started_s >= withdrawn_s
        ]
        end_delay_s = max(
            (item.last_s - withdrawn_s for item in started_before), default=0.0
        )
        acceptance_delay_s = max(
            (item.started_s - withdrawn_s for item in started_after if item.tokens),
            default=0.0,
        )
        breaches = [
            f"stream not ended by the withdrawal: {item}"
            for item in started_before
            if item.end == "whole"
        ]
        breaches += [
            f"request of the other customer failed: {item}"
            for item in _incomplete_requests(deployment.load, "one")
        ]
        row = make_row(
            "withdraw a key",
            deployment.load.results,
            deployment.folder,
            _customer_keys(),
        )
        notes = (
            f"{len(started_before)} running streams ended within {end_delay_s:.2f} s, "
            f"last new request accepted after {acceptance_delay_s:.2f} s; "
            f"{count_codes(withdrawn_results)}"
        )
        return _add_findings(row, notes, breaches)


async def greedy_tenant(duration_s: float) -> ResultRow:
    """One customer sends eight times its rate; the others must be unaffected."""
    rate, burst, tokens = 300.0, 600.0, 20
    fair_per_s = rate / (tokens + MAX_PROMPT_TOKENS)
    customers = (
        make_customer("one", rate, burst),
        make_customer("two", rate, burst),
        make_customer("greedy", rate, burst),
    )
    async with deploy(customers) as deployment:
        kinds = ("stream",)
        callers = (
            make_caller("one", fair_per_s * 0.7, kinds, tokens),
            make_caller("two", fair_per_s * 0.7, kinds, tokens),
            make_caller("greedy", fair_per_s * GREEDY_RATE_FACTOR, kinds, tokens),
        )
        started_s = time.monotonic()
        await deployment.load.run(callers, duration_s)
        elapsed_s = time.monotonic() - started_s
        served = _count_tokens(deployment.load, "greedy")
        allowed = rate * elapsed_s + burst
        breaches = []
        if served > allowed:
            breaches.append(f"{served} tokens served, {allowed:.0f} allowed")
        wrongful_refusals = {
            name: count_wrongful_refusals(deployment.load.results, name)
            for name in _COMPLIANT_CUSTOMERS
        }
        last_s = {
            name: _last_refusal_s(deployment.load, name, started_s)
            for name in _COMPLIANT_CUSTOMERS
        }
        first_ms = {
            name: _first_token_p95_ms(deployment.load, name)
            for name in _COMPLIANT_CUSTOMERS
        }
        row = make_row(
            "a tenant at 8x its rate",
            deployment.load.results,
            deployment.folder,
            _customer_keys(),
        )
        notes = (
            f"greedy was served at least {served} tokens of {allowed:.0f} "
            f"allowed; wrongful refusals of the others {wrongful_refusals}, the last "
            f"after {last_s} s; "
            f"their first token p95 {first_ms} ms; "
            f"{count_codes(deployment.load.results)}"
        )
        return _add_findings(row, notes, breaches)


_COMPLIANT_CUSTOMERS: Final = ("one", "two")


async def replace_all_vms(duration_s: float) -> ResultRow:
    """Replace all VMs one by one under load; no request may fail."""
    async with deploy((make_customer("one"), make_customer("two"))) as deployment:
        fleet = deployment.fleet
        serving = list(fleet.entry_urls())
        load = LoadGenerator(fleet.manifest, lambda: tuple(serving))
        exit_codes: list[tuple[int, int]] = []

        async def replace() -> None:
            for vm in list(fleet.vms):
                new_vm = await anyio.to_thread.run_sync(fleet.add_vm)
                await _wait_until_ready(new_vm.entry.url)
                serving.append(new_vm.entry.url)
                async with anyio.create_task_group() as removal_group:
                    removal_group.start_soon(
                        _remove_when_not_ready, serving, vm.entry.url
                    )
                    code = await anyio.to_thread.run_sync(fleet.remove_vm, vm)
                exit_codes.append(code)
                await anyio.sleep(duration_s / 20)
            load.stop_requested.set()

        callers = (make_caller("one", 8.0), make_caller("two", 8.0))
        async with anyio.create_task_group() as group:
            group.start_soon(replace)
            await load.run(callers, duration_s * 10)
        lost = [item for item in load.results if item.end != "whole"]
        breaches = [f"no complete response: {item}" for item in lost[:5]]
        if any(code != (0, 0) for code in exit_codes):
            breaches.append(f"exit codes of entry and control: {exit_codes}")
        row = make_row(
            "replace all VMs", load.results, deployment.folder, _customer_keys()
        )
        return _add_findings(
            row, f"{len(exit_codes)} VMs; {count_codes(load.results)}", breaches
        )


async def _remove_when_not_ready(serving: list[str], url: str) -> None:
    """Remove a VM once it is not ready, as a load balancer with 0.5 s checks does."""
    async with httpx.AsyncClient() as http:
        while url in serving:
            try:
                response = await http.get(f"{url}/healthz/ready")
                is_ready = response.status_code == 200
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
                    response = await http.get(f"{url}/healthz/ready")
                except httpx.HTTPError:
                    await anyio.sleep(0.05)
                    continue
                if response.status_code == 200:
                    return
                await anyio.sleep(0.05)


def _incomplete_requests(load: LoadGenerator, customer: str) -> list[RequestResult]:
    return [
        item
        for item in load.results
        if item.customer == customer and item.end != "whole"
    ]


def _count_tokens(load: LoadGenerator, customer: str) -> int:
    return sum(
        item.tokens + item.prompt_tokens
        for item in load.results
        if item.customer == customer and item.tokens
    )


def _last_refusal_s(load: LoadGenerator, customer: str, started_s: float) -> float:
    refusals_s = (
        item.started_s - started_s for item in _incomplete_requests(load, customer)
    )
    return round(max(refusals_s, default=0.0), 1)


def _first_token_p95_ms(load: LoadGenerator, customer: str) -> float:
    delays_ms = sorted(
        (item.first_s - item.started_s) * 1000.0
        for item in load.results
        if item.customer == customer and item.first_s
    )
    return round(delays_ms[int(len(delays_ms) * 0.95)], 1) if delays_ms else -1.0


def _customer_keys() -> tuple[str, ...]:
    return tuple(customer_key(name) for name in ("one", "two", "greedy"))


def _add_findings(row: ResultRow, notes: str, breaches: list[str]) -> ResultRow:
    return row._replace(notes=notes, breaches=(*row.breaches, *breaches[:5]))
