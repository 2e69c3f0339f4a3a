"""The operators' configuration as it lies in the store."""

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
_KINDS = {"safe": "safe", "unsafe": "unsafe", "stream": "stream"}


def decode_deployment(value: bytes) -> Result[Deployment, str]:
    """Return the configuration in a record's value, or what is wrong with it."""
    try:
        return Ok(_deployment(json.loads(value)))
    except KeyError as error:
        return Err(f"the field {error} is missing")
    except (AttributeError, TypeError, ValueError) as error:
        return Err(str(error))


def _deployment(plain: dict[str, Any]) -> Deployment:
    customers = {item["name"]: _customer(item) for item in plain.get("tenants", [])}
    return Deployment(
        version=int(plain["version"]),
        routes=tuple(_route(item) for item in plain["routes"]),
        services={item["name"]: _service(item) for item in plain["services"]},
        customers=customers,
        customer_of_key={
            key: item["name"]
            for item in plain.get("tenants", [])
            for key in item.get("apiKeys", [])
        },
        limits=_limits(plain["limits"]),
    )


def _route(plain: dict[str, Any]) -> Route:
    parts = plain.get("trafficSplit") or [{"service": plain["service"], "weight": 1}]
    return Route(
        name=str(plain["name"]),
        host=str(plain["host"]).lower(),
        path_prefix=str(plain["pathPrefix"]),
        kind=_KINDS[plain["kind"]],  # type: ignore[arg-type]
        is_resumable=bool(plain.get("resumable", False)),
        is_open=bool(plain.get("anonymous", False)),
        services=tuple(
            WeightedService(str(part["service"]), float(part["weight"]))
            for part in parts
        ),
        max_servers=int(plain.get("maxAttempts", 1)),
        timeout_s=float(plain["timeoutMs"]) / MS_PER_S,
        aim_s=float(plain.get("targetLatencyMs", plain["timeoutMs"])) / MS_PER_S,
        gap_aim_s=float(plain.get("gapAimMs") or 0.0) / MS_PER_S,
        urgency_rank=int(plain.get("priority", 0)),
    )


def _service(plain: dict[str, Any]) -> ServiceSpec:
    engine = plain.get("engine")
    return ServiceSpec(
        name=str(plain["name"]),
        max_connections=int(plain.get("connectionLimit", 0)),
        engine=_engine(engine) if engine else None,
    )


def _engine(plain: dict[str, Any]) -> EngineSpec:
    return EngineSpec(
        slots=int(plain["slots"]),
        memory_mb=float(plain["weightsMb"]),
        adapter_slots=int(plain.get("adapterSlots", 0)),
        loads_per_s=float(plain.get("loadsPerS", 0.0)),
        models={item["name"]: _model(item) for item in plain["models"]},
    )


def _model(plain: dict[str, Any]) -> ModelSpec:
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


def _customer(plain: dict[str, Any]) -> CustomerSpec:
    priority = plain.get("priority")
    return CustomerSpec(
        name=str(plain["name"]),
        rank=None if priority is None else int(priority),
        counts_tokens=plain.get("unit") == "tokens",
        plain_tokens=float(plain.get("plainTokens", 1)),
        rate_per_s=float(plain.get("ratePerS") or 0.0),
        burst=float(plain.get("burst") or 0.0),
    )


def _limits(plain: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        header_bytes=int(plain["maxHeaderBytes"]),
        body_bytes=int(plain["maxBodyBytes"]),
        header_s=float(plain["headerTimeoutMs"]) / MS_PER_S,
        idle_s=float(plain["idleTimeoutMs"]) / MS_PER_S,
    )
