"""Tells crashed servers from unreachable ones before their entries expire.

Load that this answers: a server process ends at once, and its entry stays for three
missed heartbeats. Meanwhile each VM would try it again for each request, and its
replicas of models would count. A crashed process leaves a port that refuses
connections; a network that is cut may refuse them too, but then for all servers.

So a refusal is proved only once another server of the service has accepted a new
connection from this VM and the server has refused again. A server counts as crashed
when it is proved to refuse the leader and one more VM, and no other VM reports requests
in progress there.
"""

from collections.abc import Collection, Iterable, Mapping
from typing import Final, NamedTuple, final

from _pistachiopond.schema.deployment import Incarnation

# Pause between two checks of a server that refuses.
CHECK_PERIOD_S: Final = 0.5
# Bound on the checks that a VM starts at a time.
MAX_CHECKS: Final = 8
# Bound on the servers that a VM reports as refusing.
MAX_REPORTED: Final = 100
# The leader counts the second VM that a server refuses.
MIN_REFUSED_MEMBERS: Final = 2


class _Refusal(NamedTuple):
    service: str
    # Whether another server of the service has accepted since the first refusal.
    is_other_accepting: bool
    is_proved: bool


@final
class RefusingServers:
    """The servers that refuse this VM's connections, by incarnation.

    A server is forgotten when it accepts a connection or sends anything.
    """

    def __init__(self) -> None:
        self._refusals: dict[Incarnation, _Refusal] = {}
        # When each refusing or suspected server was checked last.
        self._checked_s: dict[Incarnation, float] = {}

    def suspect(self, incarnation: Incarnation) -> None:
        """Have a server checked that may have crashed."""
        self._checked_s.setdefault(incarnation, float("-inf"))

    def refused(self, incarnation: Incarnation, service: str) -> bool:
        """Record that a server refused a connection; return whether that proves it."""
        known = self._refusals.get(incarnation)
        if known is None:
            self.suspect(incarnation)
            self._refusals[incarnation] = _Refusal(
                service, is_other_accepting=False, is_proved=False
            )
            return False
        if known.is_proved or not known.is_other_accepting:
            return False
        self._refusals[incarnation] = known._replace(is_proved=True)
        return True

    def accepted(self, incarnation: Incarnation, service: str) -> bool:
        """Record a new connection; return whether the server had refused one."""
        has_refused = self.answered(incarnation)
        for other, refusal in self._refusals.items():
            if refusal.service == service and not refusal.is_other_accepting:
                self._refusals[other] = refusal._replace(is_other_accepting=True)
        return has_refused

    def answered(self, incarnation: Incarnation) -> bool:
        """Forget a server that is alive; return whether it had refused."""
        self._checked_s.pop(incarnation, None)
        return self._refusals.pop(incarnation, None) is not None

    def forget_unproved(self, service: str) -> bool:
        """Forget what a cut from a service explains; return whether that was any."""
        forgotten = [
            incarnation
            for incarnation, refusal in self._refusals.items()
            if refusal.service == service and not refusal.is_proved
        ]
        for incarnation in forgotten:
            self.answered(incarnation)
        return bool(forgotten)

    def is_empty(self) -> bool:
        """Return whether nothing is known of any server."""
        return not self._checked_s

    def is_refusing(self, incarnation: Incarnation) -> bool:
        """Return whether the server has refused, and not answered since."""
        return incarnation in self._refusals

    def is_proved(self, incarnation: Incarnation) -> bool:
        """Return whether no cut of this VM explains that the server refuses."""
        refusal = self._refusals.get(incarnation)
        return refusal is not None and refusal.is_proved

    def proved(self) -> list[Incarnation]:
        """Return the servers whose refusals are proved."""
        return [item for item, refusal in self._refusals.items() if refusal.is_proved]

    def start_checks(self, now_s: float) -> list[Incarnation]:
        """Return the servers to connect to now, those checked longest ago first."""
        due = sorted(
            (checked_s, incarnation)
            for incarnation, checked_s in self._checked_s.items()
            if now_s - checked_s >= CHECK_PERIOD_S
        )
        started = [incarnation for _, incarnation in due[:MAX_CHECKS]]
        for incarnation in started:
            self._checked_s[incarnation] = now_s
        return started

    def keep_only(self, present: Collection[Incarnation]) -> None:
        """Drop the servers that have gone."""
        for incarnation in self._checked_s.keys() - present:
            self.answered(incarnation)


class MemberView(NamedTuple):
    """What one connected member says of the servers.

    Attributes
    ----------
    refusing : frozenset of (str, int)
        The servers that are proved to refuse it.
    unreachable : frozenset of str
        The services that it cannot reach.
    load : mapping of str to int
        Its requests in progress at each server.
    """

    refusing: frozenset[Incarnation]
    unreachable: Collection[str]
    load: Mapping[str, int]


@final
class CrashedServers:
    """The leader's list of incarnations that count as crashed."""

    def __init__(self) -> None:
        self._crashed: frozenset[Incarnation] = frozenset()

    def crashed(self) -> frozenset[Incarnation]:
        """Return the incarnations that count as crashed."""
        return self._crashed

    def clear(self) -> None:
        """Forget all, when another VM leads."""
        self._crashed = frozenset()

    def update(
        self,
        services: Mapping[Incarnation, str],
        own: Collection[Incarnation],
        members: Mapping[str, MemberView],
    ) -> dict[Incarnation, list[str]]:
        """Apply what the members say; return who reported each new crash.

        A server counts as crashed until its entry goes or it answers the leader.

        Parameters
        ----------
        services : mapping of (str, int) to str
            The service of each server in the fleet.
        own : collection of (str, int)
            The servers that are proved to refuse the leader itself.
        members : mapping of str to MemberView
            The connected members, the leader among them.
        """
        new: dict[Incarnation, list[str]] = {}
        for incarnation in own:
            if incarnation not in services or incarnation in self._crashed:
                continue
            reporters = find_reporters(incarnation, services[incarnation], members)
            required = min(MIN_REFUSED_MEMBERS, len(members))
            is_used = any(
                member.load.get(incarnation[0])
                for name, member in members.items()
                if name not in reporters
            )
            if reporters and len(reporters) >= required and not is_used:
                new[incarnation] = reporters
        kept = self._crashed.intersection(own, services)
        self._crashed = kept.union(new)
        return new


def find_reporters(
    incarnation: Incarnation, service: str, members: Mapping[str, MemberView]
) -> list[str]:
    """Return the members whose reports of a refusing server count."""
    return sorted(
        name
        for name, member in members.items()
        if incarnation in member.refusing and service not in member.unreachable
    )


def servers_to_check(
    services: Mapping[Incarnation, str],
    own: Iterable[Incarnation],
    members: Mapping[str, MemberView],
) -> list[Incarnation]:
    """Return the servers that refuse the leader and that more members should try."""
    found = [
        incarnation
        for incarnation in own
        if incarnation in services
        and len(find_reporters(incarnation, services[incarnation], members))
        < MIN_REFUSED_MEMBERS
    ]
    return found[:MAX_CHECKS]
