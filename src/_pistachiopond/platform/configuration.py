"""Decodes the operators' configuration from its record in the store."""

import json
from typing import Any

from result import Err, Ok, Result

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

CONFIG_KEY = "config"
_ROUTE_KINDS = {"safe": "safe", "unsafe": "unsafe", "stream": "stream"}


def decode_deployment(value: bytes) -> Result[Deployment, str]:
    """Return the configuration in a record's value, or the reason why it is invalid."""
    try:
        return Ok(_decode_deployment(json.loads(value)))
    except KeyError as error:
        return Err(f"field missing or route kind unknown: {error}")
    except (AttributeError, TypeError, ValueError) as error:
        return Err(str(error))


def _decode_deployment(plain: dict[str, Any]) -> Deployment:
    customers = {
        item["name"]: _decode_customer(item) for item in plain.get("tenants", [])
    }
    return Deployment(
        version=int(plain["version"]),
        routes=tuple(_decode_route(item) for item in plain["routes"]),
        services={item["name"]: _decode_service(item) for item in plain["services"]},
        customers=customers,
        customer_of_key={
            key: item["name"]
            for item in plain.get("tenants", [])
            for key in item.get("apiKeys", [])
        },
        limits=_decode_limits(plain["limits"]),
    )


def _decode_route(plain: dict[str, Any]) -> Route:
    parts = plain.get("trafficSplit") or [{"service": plain["service"], "weight": 1}]
    return Route(
        name=str(plain["name"]),
        host=str(plain["host"]).lower(),
        path_prefix=str(plain["pathPrefix"]),
        kind=_ROUTE_KINDS[plain["kind"]],  # type: ignore[arg-type]
        is_resumable=bool(plain.get("resumable", False)),
        is_open=bool(plain.get("anonymous", False)),
        services=tuple(
            WeightedService(str(part["service"]), float(part["weight"]))
            for part in parts
        ),
        max_servers=int(plain.get("maxAttempts", 1)),
        timeout_s=float(plain["timeoutMs"]) / MS_PER_S,
        latency_objective_s=float(plain.get("targetLatencyMs", plain["timeoutMs"]))
        / MS_PER_S,
        gap_objective_s=float(plain.get("gapAimMs") or 0.0) / MS_PER_S,
        urgency_rank=int(plain.get("priority", 0)),
    )


def _decode_service(plain: dict[str, Any]) -> ServiceSpec:
    engine = plain.get("engine")
    return ServiceSpec(
        name=str(plain["name"]),
        max_connections=int(plain.get("connectionLimit", 0)),
        engine=_decode_engine(engine) if engine else None,
    )


def _decode_engine(plain: dict[str, Any]) -> EngineSpec:
    return EngineSpec(
        slots=int(plain["slots"]),
        memory_mb=float(plain["weightsMb"]),
        adapter_slots=int(plain.get("adapterSlots", 0)),
        loads_per_s=float(plain.get("loadsPerS", 0.0)),
        models={item["name"]: _decode_model(item) for item in plain["models"]},
    )


def _decode_model(plain: dict[str, Any]) -> ModelSpec:
    load_s = float(plain["loadTimeS"])
    return ModelSpec(
        name=str(plain["name"]),
        memory_mb=float(plain["weightsMb"]),
        load_s=load_s,
        disk_load_s=float(plain.get("diskS", load_s)),
        memory_load_s=float(plain.get("warmS", load_s)),
        adapter_count=int(plain.get("adapters", 0)),
        adapter_mb=float(plain.get("adapterMb", 0.0)),
    )


def _decode_customer(plain: dict[str, Any]) -> CustomerSpec:
    priority = plain.get("priority")
    return CustomerSpec(
        name=str(plain["name"]),
        rank=None if priority is None else int(priority),
        counts_tokens=plain.get("unit") == "tokens",
        default_tokens=float(plain.get("plainTokens", 1)),
        rate_per_s=float(plain.get("ratePerS") or 0.0),
        burst=float(plain.get("burst") or 0.0),
    )


def _decode_limits(plain: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        header_bytes=int(plain["maxHeaderBytes"]),
        body_bytes=int(plain["maxBodyBytes"]),
        header_s=float(plain["headerTimeoutMs"]) / MS_PER_S,
        idle_s=float(plain["idleTimeoutMs"]) / MS_PER_S,
    )
