"""Sends orders to model engines and classifies the responses."""

from typing import Any, Final

import httpx

from _pistachiopond.decisions.order_tracker import AnswerKind
from _pistachiopond.schema.records import Order

ORDER_TIMEOUT_S: Final = 5.0
FENCE_MODEL: Final = "pond-fence"
# Far above the numbers of real orders, which count from 0.
FENCE_NUMBER_BASE: Final = 1 << 40


async def send_order(
    http: httpx.AsyncClient, base_url: str, order: Order, epoch: int
) -> AnswerKind:
    """Send one order, without retries.

    Parameters
    ----------
    http : httpx.AsyncClient
        The HTTP client.
    base_url : str
        The engine's base URL.
    order : Order
        The order to send.
    epoch : int
        The epoch of the sender's lease, sent as the fencing number.

    Returns
    -------
    str
        How the exchange ended; ``unknown`` if the order may still take effect later or
        may have been lost.
    """
    path, body = _order_request(order, epoch)
    try:
        response = await http.post(
            f"{base_url}{path}", json=body, timeout=ORDER_TIMEOUT_S
        )
    except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout):
        return "not_sent"
    except httpx.HTTPError:
        return "unknown"
    return _classify_response(response)


def _classify_response(response: httpx.Response) -> AnswerKind:
    if response.status_code == 409 and "stale_fencing_number" in response.text:
        return "stale"
    if response.status_code < 500:
        return "answered"
    if response.headers.get("X-Verdict") == "not_run":
        return "not_sent"
    return "unknown"


def _order_request(order: Order, epoch: int) -> tuple[str, dict[str, Any]]:
    parameters: dict[str, Any] = {
        "fencing_number": epoch,
        "order_number": order.number,
        "version": order.version,
    }
    if order.memory_mb:
        parameters["memory_mb"] = order.memory_mb
    if order.verb in ("load", "unload"):
        path = f"/v2/repository/models/{order.model}/{order.verb}"
        return path, {"parameters": parameters}
    body = {
        "lora_name": order.adapter,
        "base_model": order.model,
        "parameters": parameters,
    }
    if order.verb == "load_adapter":
        body["lora_path"] = order.adapter
        return "/v1/load_lora_adapter", body
    return "/v1/unload_lora_adapter", body


async def send_fence(
    http: httpx.AsyncClient, base_url: str, epoch: int, number: int
) -> None:
    """Send the engine a new fencing number with an order that has no effect.

    The order unloads a model name that is never loaded. An engine that checks fencing
    numbers refuses older ones from then on; its state report shows the highest number
    that it has received.
    """
    order = Order(
        number=FENCE_NUMBER_BASE + number,
        server="",
        verb="unload",
        model=FENCE_MODEL,
        version="0",
        adapter="",
        memory_mb=0,
    )
    await send_order(http, base_url, order, epoch)
