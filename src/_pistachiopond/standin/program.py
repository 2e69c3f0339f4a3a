"""The program ``pond-standin``: one subcommand for each kind of stand-in."""

import uuid
from pathlib import Path
from typing import Final

import anyio
import cyclopts

from _pistachiopond.kernel.timer import RealTimer
from _pistachiopond.standin.batcher import BatchTiming
from _pistachiopond.standin.definitions import define_engine, define_service
from _pistachiopond.standin.engine import EngineOptions, StandinEngine
from _pistachiopond.standin.host import StandinDefinition, serve_until_signal
from _pistachiopond.standin.ledger import Ledger
from _pistachiopond.standin.log import LogOptions, StandinLog
from _pistachiopond.standin.service import StandinService
from _pistachiopond.standin.vm_list import StandinVmList
from _pistachiopond.standin.weight_store import StandinWeightStore, StoreOptions

ANY_PORT: Final = "127.0.0.1:0"

app = cyclopts.App(
    name="pond-standin",
    help="Simulates engines, services and the platform, with fault injection.",
)


@app.command
def log(
    *,
    listen: str = ANY_PORT,
    retention_records: int | None = None,
    retention_s: float | None = None,
    appends_per_s: float = 400.0,
) -> None:
    """Serve an append-only log."""
    timer = RealTimer()
    options = LogOptions(retention_records, retention_s, appends_per_s)
    definition = StandinDefinition("log", "log", StandinLog(options, timer).routes())
    anyio.run(serve_until_signal, definition, listen, timer)


@app.command
def vms(*, listen: str = ANY_PORT, lag_s: float = 0.0) -> None:
    """Serve a list of VMs that shows changes after a delay."""
    timer = RealTimer()
    definition = StandinDefinition("vms", "vms", StandinVmList(lag_s, timer).routes())
    anyio.run(serve_until_signal, definition, listen, timer)


@app.command
def store(
    *,
    listen: str = ANY_PORT,
    loads_per_s: float = 2.0,
    model_load_s: float = 0.5,
    full_speed_loads: int = 2,
    adapter_load_s: float = 0.01,
    full_speed_adapter_loads: int = 16,
) -> None:
    """Serve a rate-limited weight store."""
    timer = RealTimer()
    options = StoreOptions(
        loads_per_s,
        model_load_s,
        full_speed_loads,
        adapter_load_s,
        full_speed_adapter_loads,
    )
    definition = StandinDefinition(
        "store", "store", StandinWeightStore(options, timer).routes()
    )
    anyio.run(serve_until_signal, definition, listen, timer)


@app.command
def platform(
    *,
    listen: str = ANY_PORT,
    retention_records: int | None = None,
    retention_s: float | None = None,
    appends_per_s: float = 400.0,
    lag_s: float = 0.0,
    loads_per_s: float = 2.0,
    model_load_s: float = 0.5,
    full_speed_loads: int = 2,
    adapter_load_s: float = 0.01,
    full_speed_adapter_loads: int = 16,
) -> None:
    """Serve the log, the list of VMs and the weight store on one port."""
    timer = RealTimer()
    log_options = LogOptions(retention_records, retention_s, appends_per_s)
    store_options = StoreOptions(
        loads_per_s,
        model_load_s,
        full_speed_loads,
        adapter_load_s,
        full_speed_adapter_loads,
    )
    routes = [
        *StandinLog(log_options, timer).routes(),
        *StandinVmList(lag_s, timer).routes(),
        *StandinWeightStore(store_options, timer).routes(),
    ]
    anyio.run(
        serve_until_signal,
        StandinDefinition("platform", "platform", routes),
        listen,
        timer,
    )


@app.command
def service(
    *, name: str, listen: str = ANY_PORT, ledger_path: Path | None = None
) -> None:
    """Serve a plain service that records every execution."""
    standin_service = StandinService(name, uuid.uuid4().hex, Ledger(ledger_path))
    anyio.run(serve_until_signal, define_service(standin_service), listen, RealTimer())


@app.command
def engine(
    *,
    name: str,
    listen: str = ANY_PORT,
    memory_mb: int = 80_000,
    store_url: str | None = None,
    check_fencing: bool = True,
    ignore_fencing: bool = False,
    prefill_tokens_per_s: float = 8_000.0,
    token_gap_s: float = 0.015,
    batch_slowdown: float = 0.5,
    max_batch: int = 32,
    max_queue: int = 1_000,
    load_lag_s: float = 0.5,
    cache_blocks: int = 2_000,
    cache_event_lag_s: float = 0.5,
    cache_event_gap: float = 0.0,
    resume_window_s: float = 10.0,
    ledger_path: Path | None = None,
) -> None:
    """Serve a model engine."""
    options = EngineOptions(
        name,
        memory_mb,
        store_url,
        check_fencing and not ignore_fencing,
        load_lag_s,
        cache_blocks,
        cache_event_lag_s,
        cache_event_gap,
        resume_window_s,
        ledger_path,
    )
    timing = BatchTiming(
        prefill_tokens_per_s, token_gap_s, batch_slowdown, max_batch, max_queue
    )
    anyio.run(_run_engine, options, timing, listen)


async def _run_engine(options: EngineOptions, timing: BatchTiming, listen: str) -> None:
    timer = RealTimer()
    standin_engine = StandinEngine(options, timing, timer)
    async with anyio.create_task_group() as group:
        await group.start(standin_engine.run)
        await serve_until_signal(define_engine(standin_engine), listen, timer)
        group.cancel_scope.cancel()
