"""The platform's list of live and leaving VMs, which lags behind the truth.

The stand-in's protocol: ``GET /vms`` answers ``{"vms": [{"address": "...",
"kind": "entry" | "backend", "data_centre": "...", "state": "live" | "leaving"}]}``.
"""

from collections.abc import Awaitable, Callable
from typing import Final, Literal, NamedTuple

import httpx
from result import Err, Ok, Result

LIST_TIMEOUT_S: Final = 3.0


class ListedVm(NamedTuple):
    """One VM as the platform lists it.

    Attributes
    ----------
    address : str
        ``IP:port`` of the control daemon, or of the backend server.
    kind : {"entry", "backend"}
        Ours, or a backend server.
    data_centre : str
        Where it stands.
    state : {"live", "leaving"}
        What the platform last knew.
    """

    address: str
    kind: Literal["entry", "backend"]
    data_centre: str
    state: Literal["live", "leaving"]


ListVms = Callable[[], Awaitable[Result[tuple[ListedVm, ...], str]]]


def make_vm_list(http: httpx.AsyncClient, base_url: str) -> ListVms:
    """Return a call that fetches the list from `base_url`."""

    async def list_vms() -> Result[tuple[ListedVm, ...], str]:
        try:
            response = await http.get(f"{base_url}/vms", timeout=LIST_TIMEOUT_S)
            response.raise_for_status()
            return Ok(tuple(ListedVm(**item) for item in response.json()["vms"]))
        except (httpx.HTTPError, ValueError, KeyError, TypeError) as error:
            return Err(f"{type(error).__name__}: {error}")

    return list_vms
