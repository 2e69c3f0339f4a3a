"""A client of the platform's rate-limited weight store, with JSON over HTTP.

The store's protocol is confined to this module; to use a different store, replace
this module.

The protocol of the stand-in service: ``POST /loads`` with ``{"kind": "model" |
"adapter", "name": "...", "memory_mb": 14000}`` returns ``{"load_id": 7, "took_s":
0.51}`` once the weights have been read. ``GET /loads`` returns the number of loads in
progress.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Final, Literal, NamedTuple

import httpx
from result import Err, Ok, Result

COUNTS_TIMEOUT_S: Final = 2.0


class WeightLoad(NamedTuple):
    """The weights of a model or adapter to be read from the store.

    Attributes
    ----------
    kind : {"model", "adapter"}
        Models and adapters have separate limits.
    name : str
        The name of the model or adapter.
    memory_mb : int
        The size of the weights.
    """

    kind: Literal["model", "adapter"]
    name: str
    memory_mb: int


class StoreFailure(NamedTuple):
    """A failed call to the store.

    Attributes
    ----------
    may_be_loading : bool
        Whether the store may be performing the load despite the failure.
    detail : str
        The error text for log lines.
    """

    may_be_loading: bool
    detail: str


class LoadsInProgress(NamedTuple):
    """The number of loads in progress in the store."""

    models: int
    adapters: int


class WeightStore(NamedTuple):
    """The operations of the weight store.

    Attributes
    ----------
    load : callable
        ``load(weight_load)`` returns the duration of the load in seconds.
    in_flight : callable
        ``in_flight()`` returns the number of loads in progress.
    """

    load: Callable[[WeightLoad], Awaitable[Result[float, StoreFailure]]]
    in_flight: Callable[[], Awaitable[Result[LoadsInProgress, StoreFailure]]]


def make_weight_store_client(
    http: httpx.AsyncClient, base_url: str, load_timeout_s: float
) -> WeightStore:
    """Return a client of the weight store at `base_url`.

    Parameters
    ----------
    http : httpx.AsyncClient
        The HTTP client to use.
    base_url : str
        The store's URL, without a trailing slash.
    load_timeout_s : float
        The timeout of a load.
    """

    async def load(weights: WeightLoad) -> Result[float, StoreFailure]:
        body = weights._asdict()
        url = f"{base_url}/loads"
        result = await _call(http.post(url, json=body, timeout=load_timeout_s))
        return result.map(lambda reply: float(reply["took_s"]))

    async def in_flight() -> Result[LoadsInProgress, StoreFailure]:
        result = await _call(http.get(f"{base_url}/loads", timeout=COUNTS_TIMEOUT_S))
        return result.map(_parse_in_flight)

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


def _parse_in_flight(reply: dict[str, Any]) -> LoadsInProgress:
    return LoadsInProgress(
        int(reply["models_in_flight"]), int(reply["adapters_in_flight"])
    )
