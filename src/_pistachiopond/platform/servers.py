"""Decodes backend servers' entries and reports, and encodes orders to them."""

import json
import math
from functools import partial
from typing import Annotated, Any, Final, Literal, NotRequired, TypedDict

from msgspec import Meta
from result import Err, Ok, Result

from _pistachiopond.http1.messages import (
    Request,
    RequestHead,
    ResponseHead,
    parse_address,
)
from _pistachiopond.platform.settings import MS_PER_S
from _pistachiopond.schema.deployment import BackendServer
from _pistachiopond.schema.json_decoding import MAX_WHOLE_NUMBER, Count, make_decoder
from _pistachiopond.schema.model_orders import ModelOrder, OrderOutcome, ServerReport
from _pistachiopond.schema.server_notice import NO_NOTICE, ServerNotice

# Far more than a server runs at once. At least one, since load is divided by slots.
MAX_SLOTS: Final = 1_000_000
# Of a whole number in a header.
MAX_DIGITS: Final = 9
# In all answers of a server that is shutting down.
_LEAVING_HEADER: Final = b"server-leaving"
_PAUSE_HEADER: Final = b"retry-after"
# In all answers of a server that crashes if it has to refuse too many requests.
_CRASH_LIMIT_HEADER: Final = b"server-brittle"
# In all answers of a server that takes only so many requests a second from all VMs.
_RATE_HEADER: Final = b"server-limit"
# In answers of a server that is cold: for how much longer.
_COLD_HEADER: Final = b"x-cold-ms"


class _NamedItem(TypedDict):
    name: str


class _ModelItem(TypedDict):
    name: str
    adapters: NotRequired[list[str | _NamedItem] | None]


class _LocalWeights(TypedDict):
    inMemory: NotRequired[list[str | _NamedItem] | None]
    onDisk: NotRequired[list[str | _NamedItem] | None]


class _Entry(TypedDict):
    service: str
    address: str
    zone: str
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    # In a report this field counts orders; in an entry, heartbeats.
    sequence: Count
    born: NotRequired[Count]
    # Of the server's software, not of its weights; of any type.
    version: NotRequired[Any]
    models: NotRequired[list[_ModelItem] | None]
    atHand: NotRequired[_LocalWeights | None]
    # Of any type, so that a value that can't be read does not cost the entry.
    coldRemainingMs: NotRequired[Any]


class _Report(TypedDict):
    models: list[_ModelItem]
    busy: bool
    sequence: Count
    coming: NotRequired[list[str] | None]


_decode_entry: Final = make_decoder(_Entry)
_decode_plain_report: Final = make_decoder(_Report)


def decode_server(server_id: str, value: bytes) -> Result[BackendServer, str]:
    """Return the server in a record's value, or the reason why it is invalid.

    Other writers may store entries of any shape under the servers' keys.
    """
    if not server_id.isascii() or not server_id.isprintable() or not server_id:
        return Err("the server's id cannot be sent in a header")
    return _decode_entry(value).and_then(partial(_make_server, server_id))


def _make_server(server_id: str, entry: _Entry) -> Result[BackendServer, str]:
    try:
        address = parse_address(entry["address"])
        software_version = _decode_software_version(entry.get("version"))
    except (ValueError, RecursionError) as error:
        return Err(str(error))
    local_weights = entry.get("atHand") or {}
    server = BackendServer(
        server_id=server_id,
        started_ms=entry.get("born", 0),
        service=entry["service"],
        address=address,
        data_centre=entry["zone"],
        slots=entry["slots"],
        is_leaving=entry["state"] == "draining",
        models=_decode_models(entry.get("models") or []),
        models_in_memory=_decode_names(local_weights.get("inMemory")),
        models_on_disk=_decode_names(local_weights.get("onDisk")),
        software_version=software_version,
        cold_remaining_s=_decode_cold_entry(entry.get("coldRemainingMs")),
    )
    return Ok(server)


def _decode_cold_entry(value: Any) -> float | None:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return min(max(0, value), MAX_WHOLE_NUMBER) / MS_PER_S if is_number else None


def _decode_software_version(value: Any) -> str:
    """Return the version as an opaque string; 3 and "3" are the same version."""
    if value is None:
        return ""
    return value if isinstance(value, str) else json.dumps(value, sort_keys=True)


def _decode_models(items: list[_ModelItem]) -> dict[str, tuple[str, ...]]:
    return {item["name"]: _decode_names(item.get("adapters")) for item in items}


def _decode_names(items: list[str | _NamedItem] | None) -> tuple[str, ...]:
    return tuple(
        item if isinstance(item, str) else item["name"] for item in items or ()
    )


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
    cold = head.value(_COLD_HEADER)
    # Another server may have the address now.
    is_from_other = head.status == 421
    is_silent = leaving is None and pause is None and crash_limit is None and not rates
    if is_silent and cold is None and not is_from_other:
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
    cold_s = None if is_from_other else _decode_cold_header(cold, problems)
    is_unreadable = crash_limit is not None and limit is None
    return ServerNotice(
        is_leaving,
        pause_s,
        "; ".join(problems),
        crash_limit=limit,
        keeps_crash_limit=is_from_other or is_unreadable,
        rate_per_s=rate_per_s,
        keeps_rate=is_from_other or (bool(rates) and rate_per_s is None),
        cold_remaining_s=cold_s,
    )


def _decode_rate(text: str) -> float:
    try:
        rate_per_s = float(text)
    except ValueError:
        rate_per_s = math.nan
    if not math.isfinite(rate_per_s) or rate_per_s < 0.0:
        raise ValueError(f"the rate is not a number of requests a second: {text!r}")
    return rate_per_s


def _decode_cold_header(value: bytes | None, problems: list[str]) -> float | None:
    if value is None:
        return None
    try:
        remaining_ms = float(value)
    except ValueError:
        remaining_ms = math.nan
    if not math.isfinite(remaining_ms) or remaining_ms < 0.0:
        problems.append(f"the cold time is not a number of ms: {value[:100]!r}")
        return None
    return remaining_ms / MS_PER_S


def _decode_crash_limit(text: str) -> int:
    digits = text.strip()
    if not text.isascii() or not digits.isdigit() or len(digits) > MAX_DIGITS:
        raise ValueError(f"the crash limit is not a whole number: {text[:100]!r}")
    return int(digits)


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
    return _decode_plain_report(body).map(_make_report)


def _make_report(plain: _Report) -> ServerReport:
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
    return ServerReport(
        models=models,
        is_busy=plain["busy"] or has_unknown_base,
        order_count=plain["sequence"],
    )
