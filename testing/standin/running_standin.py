"""Runs stand-ins in the test's process, each on a free port."""

from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from typing import NamedTuple

import anyio
import httpx

from _pistachiopond.kernel.timer import RealTimer
from _pistachiopond.standin.batcher import BatchTiming
from _pistachiopond.standin.definitions import define_engine
from _pistachiopond.standin.engine import EngineOptions, StandinEngine
from _pistachiopond.standin.host import StandinDefinition, run_server

FAST_TIMING = BatchTiming(token_gap_s=0.001)
REQUEST_TIMEOUT_S = 30.0


class RunningStandin(NamedTuple):
    """A running stand-in, and an HTTP client for it."""

    address: str
    http: httpx.AsyncClient


@asynccontextmanager
async def serve(definition: StandinDefinition) -> AsyncGenerator[RunningStandin, None]:
    async with run_server(definition, "127.0.0.1:0", RealTimer()) as address:
        url = f"http://{address}"
        async with httpx.AsyncClient(base_url=url, timeout=REQUEST_TIMEOUT_S) as http:
            yield RunningStandin(address, http)


@asynccontextmanager
async def serve_engine(
    options: EngineOptions | None = None, timing: BatchTiming = FAST_TIMING
) -> AsyncGenerator[RunningStandin, None]:
    engine = StandinEngine(options or EngineOptions("one"), timing, RealTimer())
    async with anyio.create_task_group() as group:
        await group.start(engine.run)
        async with serve(define_engine(engine)) as served:
            yield served
        group.cancel_scope.cancel()


async def load_model(
    http: httpx.AsyncClient,
    name: str = "m",
    version: str = "1",
    memory_mb: int = 100,
    fencing_number: int = 1,
    order_number: int = 1,
) -> httpx.Response:
    parameters = {
        "fencing_number": fencing_number,
        "order_number": order_number,
        "version": version,
        "memory_mb": memory_mb,
        "wait": True,
    }
    url = f"/v2/repository/models/{name}/load"
    return await http.post(url, json={"parameters": parameters})


async def set_fault(http: httpx.AsyncClient, **fault: object) -> None:
    response = await http.post("/faults", json={"faults": [fault]})
    response.raise_for_status()
