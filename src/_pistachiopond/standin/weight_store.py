"""A stand-in for the platform's rate-limited weight store."""

from typing import Literal, NamedTuple, final

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from _pistachiopond.kernel.timer import Timer
from _pistachiopond.standin.http import bad_request, json_response, parse_body


class StoreOptions(NamedTuple):
    """Throughput of the store.

    Attributes
    ----------
    loads_per_s : float
        Maximum rate at which model loads start; loads beyond it wait.
    model_load_s : float
        Duration of one model load at full speed.
    full_speed_loads, full_speed_adapter_loads : int
        Number of concurrent loads that run at full speed. With more, each load is
        slower in proportion.
    adapter_load_s : float
        Duration of one adapter load at full speed.
    """

    loads_per_s: float = 2.0
    model_load_s: float = 0.5
    full_speed_loads: int = 2
    adapter_load_s: float = 0.01
    full_speed_adapter_loads: int = 16


class LoadBody(NamedTuple):
    """Body of ``POST /loads``."""

    kind: Literal["model", "adapter"]
    name: str
    memory_mb: int = 0


class Loaded(NamedTuple):
    """Response to ``POST /loads``, sent when the load has finished."""

    load_id: int
    took_s: float


class LoadCounts(NamedTuple):
    """Response to ``GET /loads``."""

    models_in_flight: int
    adapters_in_flight: int
    peak_models_in_flight: int
    peak_adapters_in_flight: int
    models_loaded: int
    adapters_loaded: int


@final
class StandinWeightStore:
    """A weight store with separate bandwidth for models and for adapters."""

    def __init__(self, options: StoreOptions, timer: Timer) -> None:
        self._options = options
        self._timer = timer
        self._next_start_s = 0.0
        self._next_id = 1
        self._models = _LoadChannel(options.model_load_s, options.full_speed_loads)
        self._adapters = _LoadChannel(
            options.adapter_load_s, options.full_speed_adapter_loads
        )

    def routes(self) -> list[Route]:
        """Return the HTTP routes of the store."""
        return [
            Route("/loads", self._load, methods=["POST"]),
            Route("/loads", self._get_counts, methods=["GET"]),
        ]

    async def _load(self, request: Request) -> Response:
        body = await parse_body(LoadBody, request)
        if body.is_err():
            return bad_request(body.unwrap_err())
        load_id = self._next_id
        self._next_id += 1
        started_s = self._timer.now_s()
        if body.unwrap().kind == "model":
            await self._wait_for_start_time()
            await self._models.run(self._timer)
        else:
            await self._adapters.run(self._timer)
        return json_response(Loaded(load_id, self._timer.now_s() - started_s))

    async def _wait_for_start_time(self) -> None:
        start_s = max(self._next_start_s, self._timer.now_s())
        self._next_start_s = start_s + 1.0 / self._options.loads_per_s
        await self._timer.sleep_until(start_s)

    async def _get_counts(self, request: Request) -> Response:
        del request
        return json_response(
            LoadCounts(
                self._models.in_flight,
                self._adapters.in_flight,
                self._models.peak_in_flight,
                self._adapters.peak_in_flight,
                self._models.finished,
                self._adapters.finished,
            )
        )


@final
class _LoadChannel:
    """Concurrent loads of one kind, which share a limited bandwidth."""

    def __init__(self, full_speed_load_s: float, full_speed_loads: int) -> None:
        self._full_speed_load_s = full_speed_load_s
        self._full_speed_loads = full_speed_loads
        self.in_flight = 0
        self.peak_in_flight = 0
        self.finished = 0

    async def run(self, timer: Timer) -> None:
        self.in_flight += 1
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)
        try:
            slowdown = max(1.0, self.in_flight / self._full_speed_loads)
            await timer.sleep_until(timer.now_s() + self._full_speed_load_s * slowdown)
            self.finished += 1
        finally:
            self.in_flight -= 1
