"""Outlier detection: ejects unhealthy backend servers for a time.

A server is ejected after consecutive failures, weighted by kind, or when its average
first-token delay is far above the median of its service. At most `MAX_EJECTED_SHARE`
of a service, but always at least one server, is ejected at once, since with more
failures than that the cause is more likely elsewhere. The duration doubles with each
ejection, up to a maximum. After an ejection the server gets one request at a time,
until one succeeds.
"""

import math
from collections.abc import Collection, Mapping
from statistics import median
from typing import Final, NamedTuple, final

from _pistachiopond.decisions.failure_kinds import FailureKind

FAILURE_POINTS: Final[dict[FailureKind, int]] = {
    "connect": 3,
    "reset": 2,
    "timeout": 2,
    "silent": 3,
    "refused": 0,
    "server_error": 1,
    "mismatch": 3,
}
EJECT_POINTS: Final = 5
MAX_EJECTED_SHARE: Final = 0.34
BASE_EJECTION_S: Final = 5.0
MAX_EJECTION_S: Final = 120.0
SLOW_FACTOR: Final = 4.0
MIN_SLOW_DELAY_S: Final = 0.46
DELAY_SMOOTHING: Final = 0.2
MIN_DELAY_SAMPLES: Final = 8
MIN_PEERS: Final = 3


class Health(NamedTuple):
    """The health of one server, from the attempts of this process."""

    points: int = 0
    ejected_until_s: float = -math.inf
    ejections: int = 0
    is_probing: bool = False
    delay_s: float = 0.0
    samples: int = 0


@final
class Ejector:
    """Tracks the health of the servers and ejects the unhealthy ones."""

    def __init__(self, *, is_enabled: bool = True) -> None:
        self._is_enabled = is_enabled
        self._services: dict[str, set[str]] = {}
        self._service_of: dict[str, str] = {}
        self._health: dict[str, Health] = {}

    def set_servers(self, services: Mapping[str, Collection[str]]) -> None:
        """Replace the servers of each service; drop the health of removed servers."""
        self._services = {service: set(names) for service, names in services.items()}
        self._service_of = {
            server: service for service, names in services.items() for server in names
        }
        for server in [name for name in self._health if name not in self._service_of]:
            del self._health[server]

    def add_server(self, server: str, service: str) -> None:
        """Add a server, or move it to another service."""
        self._leave_service(server)
        self._service_of[server] = service
        self._services.setdefault(service, set()).add(server)

    def remove_server(self, server: str) -> None:
        """Remove a server and drop its health."""
        self._leave_service(server)
        self._service_of.pop(server, None)
        self._health.pop(server, None)

    def _leave_service(self, server: str) -> None:
        service = self._service_of.get(server)
        if service is not None:
            self._services[service].discard(server)

    def is_ejected(self, server: str, now_s: float) -> bool:
        """Return whether the server is ejected now."""
        health = self._health.get(server)
        return health is not None and now_s < health.ejected_until_s

    def is_probing(self, server: str) -> bool:
        """Return whether the server may run only one attempt at a time."""
        health = self._health.get(server)
        return health is not None and health.is_probing

    def has_recent_failures(self, server: str) -> bool:
        """Return whether attempts have failed since the last success or ejection."""
        health = self._health.get(server)
        return health is not None and health.points > 0

    def succeeded(self, server: str) -> None:
        """Record a complete response or a first token."""
        health = self._health.get(server)
        if health is not None and (health.points or health.is_probing):
            self._health[server] = health._replace(points=0, is_probing=False)

    def record_delay(self, server: str, delay_s: float, now_s: float) -> bool:
        """Record a first-token delay; return whether this ejects the server."""
        health = self._health.get(server, Health())
        smooth_s = health.delay_s + DELAY_SMOOTHING * (delay_s - health.delay_s)
        if health.samples == 0:
            smooth_s = delay_s
        health = health._replace(delay_s=smooth_s, samples=health.samples + 1)
        self._health[server] = health
        if health.samples < MIN_DELAY_SAMPLES or smooth_s < MIN_SLOW_DELAY_S:
            return False
        peers_s = [
            self._health[name].delay_s
            for name in self._services.get(self._service_of.get(server, ""), ())
            if name != server and self._health.get(name, Health()).samples
        ]
        if len(peers_s) < MIN_PEERS or smooth_s < SLOW_FACTOR * median(peers_s):
            return False
        return self._eject(server, now_s)

    def failed(self, server: str, kind: FailureKind, now_s: float) -> bool:
        """Record a failed attempt; return whether this ejects the server."""
        health = self._health.get(server, Health())
        points = health.points + FAILURE_POINTS[kind]
        self._health[server] = health._replace(points=points)
        limit = 1 if health.is_probing else EJECT_POINTS
        if points < limit or self.is_ejected(server, now_s):
            return False
        return self._eject(server, now_s)

    def _eject(self, server: str, now_s: float) -> bool:
        if not self._is_enabled or not self._may_eject(server, now_s):
            return False
        health = self._health[server]
        duration_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2.0**health.ejections)
        self._health[server] = Health(
            points=0,
            ejected_until_s=now_s + duration_s,
            ejections=min(health.ejections + 1, 5),
            is_probing=True,
        )
        return True

    def _may_eject(self, server: str, now_s: float) -> bool:
        names = self._services.get(self._service_of.get(server, ""), set())
        ejected = sum(1 for name in names if self.is_ejected(name, now_s))
        return ejected + 1 <= max(1, int(MAX_EJECTED_SHARE * len(names)))
