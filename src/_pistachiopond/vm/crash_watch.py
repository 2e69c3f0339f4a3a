"""The leader's watch for servers that crash before their entries expire."""

from collections.abc import Iterable, Mapping
from typing import Final, final

from prometheus_client import Counter

from _pistachiopond.decisions.server_crashes import (
    CrashedServers,
    MemberView,
    servers_to_check,
)
from _pistachiopond.observe.logs import log_change
from _pistachiopond.schema.deployment import Incarnation
from _pistachiopond.vm.fleet import Fleet
from _pistachiopond.vm.server_reach import ServerReach

# Bound on the members that a log line names.
MAX_LOGGED: Final = 5


@final
class CrashWatch:
    """Applies the members' reports to the list of crashed servers."""

    def __init__(
        self,
        fleet: Fleet,
        reach: ServerReach,
        counted: Counter,
    ) -> None:
        """Start without crashed servers.

        Parameters
        ----------
        fleet : Fleet
            The backend servers.
        reach : ServerReach
            Says which servers refuse this VM.
        counted : Counter
            Counts the servers that began to count as crashed.
        """
        self._fleet = fleet
        self._reach = reach
        self._counted = counted
        self._crashed = CrashedServers()
        self._to_check: list[Incarnation] = []

    def crashed(self) -> frozenset[Incarnation]:
        """Return the incarnations that count as crashed."""
        return self._crashed.crashed()

    def incarnations(self) -> dict[str, int]:
        """Return the start time of each server that is not known to have crashed."""
        crashed = self.crashed()
        return {
            name: started_ms
            for name, started_ms in self._fleet.incarnations().items()
            if (name, started_ms) not in crashed
        }

    def check(self, incarnations: Iterable[Incarnation]) -> None:
        """Have this VM try servers that refuse other members."""
        self._reach.suspect(incarnations)

    def heard_s(self, incarnation: Incarnation) -> float:
        """Return when this VM last heard of a server, by `boot_s`."""
        return self._fleet.heard_s(incarnation)

    def to_check(self) -> list[Incarnation]:
        """Return the servers that members are to try."""
        return self._to_check

    def is_needed(self) -> bool:
        """Return whether a server refuses this VM or counts as crashed."""
        return bool(self._to_check or self.crashed() or self._reach.refusing())

    def clear(self) -> None:
        """Forget all, when another VM leads."""
        self._crashed.clear()
        self._to_check = []

    def update(self, members: Mapping[str, MemberView]) -> None:
        """Apply what the connected members say."""
        own = self._reach.refusing()
        services = {
            server.incarnation(): server.service
            for name, _ in [*own, *self.crashed()]
            if (server := self._fleet.servers.get(name)) is not None
        }
        before = self.crashed()
        new = self._crashed.update(services, own, members)
        self._to_check = servers_to_check(services, own, members)
        for (name, started_ms), reporters in new.items():
            self._counted.inc()
            log_change(
                "server counts as crashed",
                server=name,
                started_ms=started_ms,
                service=services[name, started_ms],
                reported_by=reporters[:MAX_LOGGED],
                reports=len(reporters),
            )
        for incarnation in before - self.crashed():
            if self._fleet.current(incarnation) is not None:
                log_change("crashed server accepts connections", server=incarnation[0])
