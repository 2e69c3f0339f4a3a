"""The settings file that the platform writes for each process."""

import math
import os
import tomllib
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from _pistachiopond.http1.messages import HttpAddress, parse_address
from _pistachiopond.observe.logs import log_change
from _pistachiopond.schema.hedge_share import parse_hedge_share
from _pistachiopond.schema.vm_settings import LEASE_S, VmBounds, VmSettings

PATH_VARIABLE = "PISTACHIOPOND_NODE_FILE"
HEDGE_SHARE_VARIABLE = "POND_HEDGE_SHARE"
MS_PER_S = 1000.0
BYTES_PER_MB = 1_000_000


def settings_path() -> Result[Path, str]:
    """Return the path of this process's settings file."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        return Err(f"the environment variable {PATH_VARIABLE} is not set")
    return Ok(Path(path))


def read_hedge_share() -> float:
    """Return the share that the process's environment sets; 0 without a valid one."""
    value = os.environ.get(HEDGE_SHARE_VARIABLE)
    if value is None:
        return 0.0
    share = parse_hedge_share(value)
    if share is None:
        log_change(
            "hedge share not valid", source=HEDGE_SHARE_VARIABLE, value=value[:40]
        )
        return 0.0
    return share


def read_vm_settings(path: Path) -> Result[VmSettings, str]:
    """Return the settings in the file at `path`, or the reason why it is invalid."""
    try:
        return Ok(_decode(tomllib.loads(path.read_text(encoding="utf-8"))))
    except KeyError as error:
        return Err(f"{path}: the field {error} is missing")
    except (OSError, TypeError, ValueError) as error:
        return Err(f"{path}: {error}")


def _decode(plain: dict[str, Any]) -> VmSettings:
    listen = plain["listen"]
    first_port, last_port = (int(port) for port in plain["internalPortRange"])
    if last_port <= first_port:
        raise ValueError(
            f"internalPortRange is {first_port} to {last_port}, two ports are needed"
        )
    limits = plain["limits"]
    return VmSettings(
        name=str(plain["nodeName"]),
        ip=str(plain["ip"]),
        data_centre=str(plain["zone"]),
        caller_address=parse_address(listen["front"]),
        ready_address=parse_address(listen["ready"]),
        peer_address=HttpAddress(str(plain["ip"]), first_port),
        relay_address=HttpAddress(str(plain["ip"]), first_port + 1),
        heartbeat_s=float(plain["heartbeatMs"]) / MS_PER_S,
        cpu_cores=float(limits["cpuShare"]) * float(limits["cpuCores"]),
        link_mbps=float(limits["linkMbps"]),
        bounds=_decode_bounds(plain["bounds"]),
        store_address=parse_address(plain["platform"]["address"]),
        memory_bytes=_decode_limit(limits, "memoryMb", BYTES_PER_MB),
        max_descriptors=_decode_limit(limits, "fileDescriptors", 1),
    )


def _decode_limit(plain: dict[str, Any], name: str, unit: int) -> int | None:
    """Return a limit of the machine; None without one."""
    if name not in plain:
        return None
    value = float(plain[name])
    if not 0.0 < value < math.inf:
        raise ValueError(f"{name} is {value}, a positive number is needed")
    return int(value * unit)


def _decode_bounds(plain: dict[str, Any]) -> VmBounds:
    return VmBounds(
        revoke_s=float(plain["revokeMs"]) / MS_PER_S,
        drain_s=float(plain["drainMs"]) / MS_PER_S,
        stop_grace_s=float(plain["graceS"]),
        retry_ratio=float(plain["budgetRatio"]),
        retry_reserve=float(plain["budgetSlack"]),
        lease_s=float(plain.get("leaseMs", LEASE_S * MS_PER_S)) / MS_PER_S,
    )
