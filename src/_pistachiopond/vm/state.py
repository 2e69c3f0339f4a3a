"""The configuration in force on one VM, and how surely it is the newest."""

from typing import Final, final

from _pistachiopond.decisions.route_table import RouteTable, make_route_table
from _pistachiopond.http1.server import ServerLimits
from _pistachiopond.observe.logs import log_change, log_trouble
from _pistachiopond.platform.configuration import CONFIG_KEY, decode_deployment
from _pistachiopond.platform.store import KeyedRecord
from _pistachiopond.schema.deployment import CustomerSpec, Deployment
from _pistachiopond.vm.clock import boot_s

# Keys are honoured until this much before their withdrawal must be in force.
REVOKE_MARGIN_S: Final = 0.3
# A VM counts as ready while its configuration is known to be this new.
READY_AGE_S: Final = 3.0
# Before any configuration is known.
FIRST_LIMITS: Final = ServerLimits(16_384, 4_194_304, 3.0, 15.0)


@final
class ConfigurationState:
    """The newest configuration that this VM has read."""

    def __init__(self, revoke_s: float) -> None:
        self._revoke_s = revoke_s
        self.table: RouteTable | None = None
        self._limits = FIRST_LIMITS
        self._known_s = float("-inf")

    def set_revoke_s(self, revoke_s: float) -> None:
        """Honour keys for no longer than this without a newer proof."""
        self._revoke_s = revoke_s

    def apply(self, record: KeyedRecord) -> bool:
        """Take one record; return whether it changes anything.

        A version never goes back.
        """
        if record.key != CONFIG_KEY or not record.value:
            return False
        decoded = decode_deployment(record.value)
        if decoded.is_err():
            log_trouble(
                "configuration cannot be read",
                offset=record.offset,
                reason=decoded.err(),
            )
            return False
        deployment = decoded.ok()
        if self.table and deployment.version <= self.table.deployment.version:
            return False
        self.table = make_route_table(deployment)
        self._limits = ServerLimits(*deployment.limits)
        log_change(
            "configuration in force",
            version=deployment.version,
            routes=len(deployment.routes),
            keys=len(deployment.customer_of_key),
        )
        return True

    def reached(self, at_s: float) -> None:
        """Note up to when no newer version exists."""
        self._known_s = max(self._known_s, at_s)

    def deployment(self) -> Deployment | None:
        """Return the configuration in force; None before the first."""
        return None if self.table is None else self.table.deployment

    def customers(self) -> dict[str, CustomerSpec]:
        """Return the customers of the configuration in force, by name."""
        return {} if self.table is None else self.table.deployment.customers

    def age_s(self) -> float:
        """Return for how long a newer version may have existed."""
        return boot_s() - self._known_s

    def may_use_keys(self) -> bool:
        """Return whether no key can have been withdrawn for too long."""
        return self.age_s() < self._revoke_s - REVOKE_MARGIN_S

    def is_fresh(self) -> bool:
        """Return whether the VM should get new callers."""
        return self.table is not None and self.age_s() < READY_AGE_S

    def limits(self) -> ServerLimits:
        """Return what callers may send."""
        return self._limits
