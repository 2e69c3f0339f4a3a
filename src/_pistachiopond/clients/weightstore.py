"""The platform's rate-limited weight store, over JSON and HTTP.

A different store replaces this module; nothing else knows its protocol.

The stand-in's protocol: ``POST /loads`` with ``{"kind": "model" | "adapter",
"name": "...", "memory_mb": 14000}`` answers ``{"load_id": 7, "took_s": 0.51}``
once the weights have been read. ``GET /loads`` answers the counts in flight.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Final, Literal, NamedTuple

import httpx
from result import Err, Ok, Result

COUNTS_TIMEOUT_S: Final = 2.0


class WeightLoad(NamedTuple):
    """Weights to be read from the store.

    Attributes
    ----------
    kind : {"model", "adapter"}
        Models and adapters have separate limits.
    name : str
        Which one.
    memory_mb : int
        Its size.
    """

    kind: Literal["model", "adapter"]
    name: str
    memory_mb: int


class StoreFailure(NamedTuple):
    """A call to the store that brought no answer.

    Attributes
    ----------
    may_be_loading : bool
        Whether the load may be running in the store all the same.
    detail : str
        For the log line.
    """

    may_be_loading: bool
    detail: str


class InFlight(NamedTuple):
    """Loads that the store is serving now."""

    models: int
    adapters: int


class WeightStore(NamedTuple):
    """The two calls of the weight store.

    Attributes
    ----------
    load : callable
        ``load(weight_load)`` gives the seconds that it took.
    in_flight : callable
        ``in_flight()`` gives the loads in flight.
    """

    load: Callable[[WeightLoad], Awaitable[Result[float, StoreFailure]]]
    in_flight: Callable[[], Awaitable[Result[InFlight, StoreFailure]]]


def make_weight_store(
    http: httpx.AsyncClient, base_url: str, load_timeout_s: float
) -> WeightStore:
    """Return a client of the weight store at `base_url`.

    Parameters
    ----------
    http : httpx.AsyncClient
        The caller's connections.
    base_url : str
        Without a slash at its end.
    load_timeout_s : float
        How long a load may take.
    """

    async def load(weights: WeightLoad) -> Result[float, StoreFailure]:
        body = weights._asdict()
        url = f"{base_url}/loads"
        answer = await _call(http.post(url, json=body, timeout=load_timeout_s))
        return answer.map(lambda plain: float(plain["took_s"]))

    async def in_flight() -> Result[InFlight, StoreFailure]:
        answer = await _call(http.get(f"{base_url}/loads", timeout=COUNTS_TIMEOUT_S))
        return answer.map(_in_flight)

    return WeightStore(load, in_flight)


async def _call(
    request: Awaitable[httpx.Response],
) -> Result[dict[str, Any], StoreFailure]:
    try:
        response = await request
        response.raise_for_status()
        return Ok(response.json())
    except httpx.ConnectError as error:
        return Err(StoreFailure(False, f"cannot connect: {error}"))
    except httpx.HTTPStatusError as error:
        return Err(StoreFailure(error.response.status_code >= 500, str(error)))
    except (httpx.HTTPError, ValueError) as error:
        return Err(StoreFailure(True, f"{type(error).__name__}: {error}"))


def _in_flight(plain: dict[str, Any]) -> InFlight:
    return InFlight(int(plain["models_in_flight"]), int(plain["adapters_in_flight"]))
