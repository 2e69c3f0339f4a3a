"""A client of the platform's list of VMs, which lags behind their actual state.

The protocol of the stand-in service: ``GET /vms`` returns ``{"vms": [{"address":
"...", "kind": "entry" | "backend", "data_centre": "...", "state": "live" |
"leaving"}]}``.
"""

from collections.abc import Awaitable, Callable
from typing import Final, Literal, NamedTuple

import httpx
from result import Err, Ok, Result

LIST_TIMEOUT_S: Final = 3.0


class ListedVm(NamedTuple):
    """One VM in the platform's list.

    Attributes
    ----------
    address : str
        ``IP:port`` of the VM's control daemon or backend server.
    kind : {"entry", "backend"}
        Whether the VM runs this software's daemons or a backend server.
    data_centre : str
        The data centre of the VM.
    state : {"live", "leaving"}
        The last state known to the platform; ``leaving`` is shutting down.
    """

    address: str
    kind: Literal["entry", "backend"]
    data_centre: str
    state: Literal["live", "leaving"]


ListVms = Callable[[], Awaitable[Result[tuple[ListedVm, ...], str]]]


def make_vm_list_client(http: httpx.AsyncClient, base_url: str) -> ListVms:
    """Return a function that fetches the list from `base_url`.

    The function returns an error text if the list cannot be fetched.
    """

    async def list_vms() -> Result[tuple[ListedVm, ...], str]:
        try:
            response = await http.get(f"{base_url}/vms", timeout=LIST_TIMEOUT_S)
            response.raise_for_status()
            return Ok(tuple(ListedVm(**item) for item in response.json()["vms"]))
        except (httpx.HTTPError, ValueError, KeyError, TypeError) as error:
            return Err(f"{type(error).__name__}: {error}")

    return list_vms
