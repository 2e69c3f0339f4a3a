"""Decodes backend servers' entries and reports, and encodes orders to them."""

import json
import math
from typing import Any, Final

from result import Err, Ok, Result

from _pistachiopond.http1.messages import (
    Request,
    RequestHead,
    ResponseHead,
    parse_address,
)
from _pistachiopond.schema.deployment import BackendServer
from _pistachiopond.schema.model_orders import ModelOrder, OrderOutcome, ServerReport
from _pistachiopond.schema.server_notice import NO_NOTICE, ServerNotice

_STATES = {"ready": False, "draining": True}
# In all answers of a server that is shutting down.
_LEAVING_HEADER: Final = b"server-leaving"
_PAUSE_HEADER: Final = b"retry-after"
# In all answers of a server that crashes if it has to refuse too many requests.
_CRASH_LIMIT_HEADER: Final = b"server-brittle"
# In all answers of a server that takes only so many requests a second from all VMs.
_RATE_HEADER: Final = b"server-limit"


def decode_server(server_id: str, value: bytes) -> Result[BackendServer, str]:
    """Return the server in a record's value, or the reason why it is invalid.

    Other writers may store entries of any shape under the servers' keys.
    """
    try:
        return Ok(_decode_server(server_id, json.loads(value)))
    except KeyError as error:
        return Err(f"field missing or state unknown: {error}")
    except (AttributeError, TypeError, ValueError) as error:
        return Err(str(error))


def _decode_server(server_id: str, plain: dict[str, Any]) -> BackendServer:
    for name in ("service", "address", "zone", "state"):
        if not isinstance(plain[name], str):
            found = type(plain[name]).__name__
            raise TypeError(f"the field {name!r} is not a string but {found}")
    for name in ("slots", "sequence"):
        if not isinstance(plain[name], int) or isinstance(plain[name], bool):
            found = type(plain[name]).__name__
            raise TypeError(f"the field {name!r} is not an integer but {found}")
    local_weights = plain.get("atHand") or {}
    return BackendServer(
        server_id=server_id,
        started_ms=int(plain.get("born", 0)),
        service=plain["service"],
        address=parse_address(plain["address"]),
        data_centre=plain["zone"],
        slots=plain["slots"],
        is_leaving=_STATES[plain["state"]],
        models=_decode_models(plain.get("models") or []),
        models_in_memory=_decode_names(local_weights.get("inMemory")),
        models_on_disk=_decode_names(local_weights.get("onDisk")),
        software_version=_decode_software_version(plain.get("version")),
    )


def _decode_software_version(value: Any) -> str:
    """Return the version as an opaque string; 3 and "3" are the same version."""
    if value is None:
        return ""
    return value if isinstance(value, str) else json.dumps(value, sort_keys=True)


def _decode_models(plain: list[dict[str, Any]]) -> dict[str, tuple[str, ...]]:
    return {item["name"]: _decode_names(item.get("adapters")) for item in plain}


def _decode_names(plain: Any) -> tuple[str, ...]:
    names = []
    for item in plain or ():
        names.append(str(item["name"]) if isinstance(item, dict) else str(item))
    return tuple(names)


def _decode_adapter_in_transit(text: str) -> tuple[str, str]:
    """Return the model and the adapter of an item MODEL/NAME@VERSION."""
    model, _, adapter = text.rpartition("/")
    return model, adapter.partition("@")[0]


_ORDER_OUTCOMES: dict[int, OrderOutcome] = {
    200: "holds_already",
    202: "accepted",
    409: "conflict",
    412: "fenced",
    421: "not_here",
}


def encode_order(order: ModelOrder, holder: str, fence: int) -> Request:
    """Return the request that sends an order to a server.

    Parameters
    ----------
    order : ModelOrder
        The model or adapter to load or unload.
    holder : str
        The name of the VM that sends the order.
    fence : int
        The fencing token of that VM.
    """
    plain: dict[str, object] = {
        "operation": order.action,
        "model": order.model,
        # The server executes the order only if this is the number of orders that it
        # has accepted before.
        "expected": order.order_count,
        "holder": holder,
        "fence": fence,
    }
    if order.adapter:
        plain["adapter"] = order.adapter
    headers = [
        (b"Host", b"server"),
        (b"Content-Type", b"application/json"),
        (b"X-Expect-Instance", order.server_id.encode()),
    ]
    return Request(RequestHead(b"POST", b"/order", headers), json.dumps(plain).encode())


def decode_order_reply(status: int) -> OrderOutcome:
    """Return the outcome of an order from the status of its response."""
    return _ORDER_OUTCOMES.get(status, "refused")


def decode_notice(head: ResponseHead) -> ServerNotice:
    """Return what the head of any answer of a server says about the server."""
    leaving = head.value(_LEAVING_HEADER)
    pause = head.value(_PAUSE_HEADER) if head.status == 503 else None
    crash_limit = head.value(_CRASH_LIMIT_HEADER)
    rates = head.values(_RATE_HEADER)
    # Another server may have the address now.
    is_from_other = head.status == 421
    is_silent = leaving is None and pause is None and crash_limit is None and not rates
    if is_silent and not is_from_other:
        return NO_NOTICE
    problems = []
    is_leaving = leaving is not None and leaving.strip() == b"1"
    if leaving is not None and not is_leaving:
        problems.append(f"unknown value of the leaving header: {leaving!r}")
    pause_s = None
    if pause is not None:
        try:
            pause_s = _decode_pause(pause.decode("latin-1"))
        except ValueError as error:
            problems.append(str(error))
    limit = None
    if crash_limit is not None and not is_from_other:
        try:
            limit = _decode_crash_limit(crash_limit.decode("latin-1"))
        except ValueError as error:
            problems.append(str(error))
    rate_per_s = None
    if rates and not is_from_other:
        try:
            # Of several values the lowest is safe whichever the server means.
            rate_per_s = min(_decode_rate(value.decode("latin-1")) for value in rates)
        except ValueError as error:
            problems.append(str(error))
    is_unreadable = crash_limit is not None and limit is None
    return ServerNotice(
        is_leaving,
        pause_s,
        "; ".join(problems),
        crash_limit=limit,
        keeps_crash_limit=is_from_other or is_unreadable,
        rate_per_s=rate_per_s,
        keeps_rate=is_from_other or (bool(rates) and rate_per_s is None),
    )


def _decode_rate(text: str) -> float:
    try:
        rate_per_s = float(text)
    except ValueError:
        rate_per_s = math.nan
    if not math.isfinite(rate_per_s) or rate_per_s < 0.0:
        raise ValueError(f"the rate is not a number of requests a second: {text!r}")
    return rate_per_s


def _decode_crash_limit(text: str) -> int:
    if not text.isascii() or not text.strip().isdigit():
        raise ValueError(f"the crash limit is not a whole number: {text!r}")
    return int(text)


def _decode_pause(text: str) -> float:
    pause_s = float(text)
    if math.isnan(pause_s) or pause_s < 0.0:
        raise ValueError(f"the pause is not a time: {text!r}")
    return pause_s


def encode_report_request(server_id: str) -> RequestHead:
    """Return the request for a server's report on its models and orders."""
    headers = [(b"Host", b"server"), (b"X-Expect-Instance", server_id.encode())]
    return RequestHead(b"GET", b"/report", headers)


def decode_report(body: bytes) -> Result[ServerReport, str]:
    """Return a server's report, or the reason why it is invalid."""
    try:
        plain = json.loads(body)
        models = _decode_models(plain["models"])
        has_unknown_base = False
        for item in plain.get("coming") or ():
            # An adapter in transit has been counted as an order and takes a slot, but
            # is not yet among the adapters of its model.
            model, adapter = _decode_adapter_in_transit(item)
            if model not in models:
                has_unknown_base = True
            elif adapter not in models[model]:
                models[model] += (adapter,)
        return Ok(
            ServerReport(
                models=models,
                is_busy=bool(plain["busy"]) or has_unknown_base,
                # In a report this field counts orders; in an entry, heartbeats.
                order_count=int(plain["sequence"]),
            )
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        return Err(f"{type(error).__name__}: {error}")
