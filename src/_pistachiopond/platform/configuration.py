"""Decodes the operators' configuration from its record in the store."""

from typing import Annotated, Any, Final, Literal, NotRequired, TypedDict

from msgspec import Meta
from result import Err, Ok, Result

from _pistachiopond.observe.logs import log_change
from _pistachiopond.platform.settings import MS_PER_S
from _pistachiopond.schema.deployment import (
    CallerLimits,
    CustomerSpec,
    Deployment,
    EngineSpec,
    ModelSpec,
    Route,
    ServiceSpec,
    WeightedService,
)
from _pistachiopond.schema.hedge_share import parse_hedge_share
from _pistachiopond.schema.json_decoding import (
    Amount,
    Count,
    Number,
    make_decoder,
)

CONFIG_KEY: Final = "config"


class _Part(TypedDict):
    service: str
    weight: Amount


class _Route(TypedDict):
    name: str
    host: str
    pathPrefix: str
    kind: Literal["safe", "unsafe", "stream"]
    resumable: NotRequired[bool]
    anonymous: NotRequired[bool]
    # One of these two is there.
    trafficSplit: NotRequired[list[_Part] | None]
    service: NotRequired[str | None]
    maxAttempts: NotRequired[Amount]
    timeoutMs: Amount
    targetLatencyMs: NotRequired[Amount]
    gapAimMs: NotRequired[Amount | None]
    priority: NotRequired[Number]


class _Model(TypedDict):
    name: str
    weightsMb: Amount
    loadTimeS: Amount
    diskS: NotRequired[Amount]
    warmS: NotRequired[Amount]
    adapters: NotRequired[Amount]
    adapterMb: NotRequired[Amount]


class _Engine(TypedDict):
    slots: Annotated[float, Meta(ge=1.0, le=1e6)]
    weightsMb: Amount
    adapterSlots: NotRequired[Amount]
    loadsPerS: NotRequired[Amount]
    models: list[_Model]


class _Service(TypedDict):
    name: str
    connectionLimit: NotRequired[Amount]
    coldPerS: NotRequired[Amount | None]
    coldStartS: NotRequired[Amount | None]
    # Any, since an invalid share turns hedging off and does not refuse the whole.
    hedgeShare: NotRequired[Any]
    engine: NotRequired[_Engine | None]


class _Tenant(TypedDict):
    name: str
    apiKeys: NotRequired[list[str]]
    priority: NotRequired[Number | None]
    unit: NotRequired[Any]
    plainTokens: NotRequired[Amount]
    ratePerS: NotRequired[Amount | None]
    burst: NotRequired[Amount | None]


class _Limits(TypedDict):
    maxHeaderBytes: Amount
    maxBodyBytes: Amount
    headerTimeoutMs: Amount
    idleTimeoutMs: Amount


class _Configuration(TypedDict):
    version: Count
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: NotRequired[list[_Tenant]]


_decode_plain: Final = make_decoder(_Configuration)


def decode_deployment(value: bytes) -> Result[Deployment, str]:
    """Return the configuration in a record's value, or the reason why it is invalid."""
    return _decode_plain(value).and_then(_make_deployment)


def _make_deployment(plain: _Configuration) -> Result[Deployment, str]:
    for item in plain["routes"]:
        if not item.get("trafficSplit") and item.get("service") is None:
            return Err(f"the route {item['name']!r} has no service")
    tenants = plain.get("tenants", [])
    deployment = Deployment(
        version=plain["version"],
        routes=tuple(_make_route(item) for item in plain["routes"]),
        services={item["name"]: _make_service(item) for item in plain["services"]},
        customers={item["name"]: _make_customer(item) for item in tenants},
        customer_of_key={
            key: item["name"] for item in tenants for key in item.get("apiKeys", [])
        },
        limits=_make_limits(plain["limits"]),
    )
    return Ok(deployment)


def _make_route(plain: _Route) -> Route:
    parts = plain.get("trafficSplit") or [
        _Part(service=plain.get("service") or "", weight=1.0)
    ]
    objective_ms = plain.get("targetLatencyMs", plain["timeoutMs"])
    return Route(
        name=plain["name"],
        host=plain["host"].lower(),
        path_prefix=plain["pathPrefix"],
        kind=plain["kind"],
        is_resumable=plain.get("resumable", False),
        is_open=plain.get("anonymous", False),
        services=tuple(
            WeightedService(part["service"], part["weight"]) for part in parts
        ),
        max_servers=int(plain.get("maxAttempts", 1)),
        timeout_s=plain["timeoutMs"] / MS_PER_S,
        latency_objective_s=objective_ms / MS_PER_S,
        gap_objective_s=(plain.get("gapAimMs") or 0.0) / MS_PER_S,
        urgency_rank=int(plain.get("priority", 0)),
    )


def _make_service(plain: _Service) -> ServiceSpec:
    engine = plain.get("engine")
    return ServiceSpec(
        name=plain["name"],
        max_connections=int(plain.get("connectionLimit", 0)),
        engine=_make_engine(engine) if engine else None,
        cold_rate_per_s=plain.get("coldPerS") or 0.0,
        cold_start_s=plain.get("coldStartS") or 0.0,
        hedge_share=_make_hedge_share(plain),
    )


def _make_hedge_share(plain: _Service) -> float | None:
    value = plain.get("hedgeShare")
    if value is None:
        return None
    share = parse_hedge_share(value)
    if share is None:
        log_change("hedge share not valid", source=plain["name"], value=str(value)[:40])
        return 0.0
    return share


def _make_engine(plain: _Engine) -> EngineSpec:
    return EngineSpec(
        slots=int(plain["slots"]),
        memory_mb=plain["weightsMb"],
        adapter_slots=int(plain.get("adapterSlots", 0)),
        loads_per_s=plain.get("loadsPerS", 0.0),
        models={item["name"]: _make_model(item) for item in plain["models"]},
    )


def _make_model(plain: _Model) -> ModelSpec:
    load_s = plain["loadTimeS"]
    return ModelSpec(
        name=plain["name"],
        memory_mb=plain["weightsMb"],
        load_s=load_s,
        disk_load_s=plain.get("diskS", load_s),
        memory_load_s=plain.get("warmS", load_s),
        adapter_count=int(plain.get("adapters", 0)),
        adapter_mb=plain.get("adapterMb", 0.0),
    )


def _make_customer(plain: _Tenant) -> CustomerSpec:
    priority = plain.get("priority")
    return CustomerSpec(
        name=plain["name"],
        rank=None if priority is None else int(priority),
        counts_tokens=plain.get("unit") == "tokens",
        default_tokens=plain.get("plainTokens", 1.0),
        rate_per_s=plain.get("ratePerS") or 0.0,
        burst=plain.get("burst") or 0.0,
    )


def _make_limits(plain: _Limits) -> CallerLimits:
    return CallerLimits(
        header_bytes=int(plain["maxHeaderBytes"]),
        body_bytes=int(plain["maxBodyBytes"]),
        header_s=plain["headerTimeoutMs"] / MS_PER_S,
        idle_s=plain["idleTimeoutMs"] / MS_PER_S,
    )
