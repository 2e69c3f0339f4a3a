"""A stand-in for the platform's rate-limited weight store."""

from typing import Literal, NamedTuple, final

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from _pistachiopond.kernel.timer import Timer
from _pistachiopond.standin.http import bad_request, json_answer, read_body


class StoreOptions(NamedTuple):
    """What the store carries.

    Attributes
    ----------
    loads_per_s : float
        Model loads that may start each second.
    model_load_s : float
        Time of one model load at full speed.
    full_speed_loads, full_speed_adapter_loads : int
        In flight before each becomes slower in proportion.
    adapter_load_s : float
        Time of one adapter load at full speed.
    """

    loads_per_s: float = 2.0
    model_load_s: float = 0.5
    full_speed_loads: int = 2
    adapter_load_s: float = 0.01
    full_speed_adapter_loads: int = 16


class LoadBody(NamedTuple):
    """The body of a load."""

    kind: Literal["model", "adapter"]
    name: str
    memory_mb: int = 0


class Loaded(NamedTuple):
    """The answer to a load."""

    load_id: int
    took_s: float


class LoadCounts(NamedTuple):
    """The answer to ``GET /loads``."""

    models_in_flight: int
    adapters_in_flight: int
    peak_models_in_flight: int
    peak_adapters_in_flight: int
    models_loaded: int
    adapters_loaded: int


@final
class StandinStore:
    """The loads in flight."""

    def __init__(self, options: StoreOptions, timer: Timer) -> None:
        self._options = options
        self._timer = timer
        self._next_start_s = 0.0
        self._next_id = 1
        self._models = _Lane(options.model_load_s, options.full_speed_loads)
        self._adapters = _Lane(options.adapter_load_s, options.full_speed_adapter_loads)

    def routes(self) -> list[Route]:
        """Return the HTTP routes of the store."""
        return [
            Route("/loads", self._load, methods=["POST"]),
            Route("/loads", self._counts, methods=["GET"]),
        ]

    async def _load(self, request: Request) -> Response:
        body = await read_body(LoadBody, request)
        if body.is_err():
            return bad_request(body.unwrap_err())
        load_id = self._next_id
        self._next_id += 1
        began_s = self._timer.now_s()
        if body.unwrap().kind == "model":
            await self._wait_for_start()
            await self._models.run(self._timer)
        else:
            await self._adapters.run(self._timer)
        return json_answer(Loaded(load_id, self._timer.now_s() - began_s))

    async def _wait_for_start(self) -> None:
        start_s = max(self._next_start_s, self._timer.now_s())
        self._next_start_s = start_s + 1.0 / self._options.loads_per_s
        await self._timer.sleep_until(start_s)

    async def _counts(self, request: Request) -> Response:
        del request
        return json_answer(
            LoadCounts(
                self._models.in_flight,
                self._adapters.in_flight,
                self._models.peak,
                self._adapters.peak,
                self._models.finished,
                self._adapters.finished,
            )
        )


@final
class _Lane:
    """Loads of one kind, which slow each other down beyond a number."""

    def __init__(self, load_s: float, full_speed: int) -> None:
        self._load_s = load_s
        self._full_speed = full_speed
        self.in_flight = 0
        self.peak = 0
        self.finished = 0

    async def run(self, timer: Timer) -> None:
        self.in_flight += 1
        self.peak = max(self.peak, self.in_flight)
        try:
            crowding = max(1.0, self.in_flight / self._full_speed)
            await timer.sleep_until(timer.now_s() + self._load_s * crowding)
            self.finished += 1
        finally:
            self.in_flight -= 1
