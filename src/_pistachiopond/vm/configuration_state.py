"""The configuration in force on one VM, and how current it is."""

from typing import Final, final

from _pistachiopond.decisions.route_table import RouteTable, make_route_table
from _pistachiopond.http1.server import ServerLimits
from _pistachiopond.observe.logs import log_change, log_warning
from _pistachiopond.platform.configuration import CONFIG_KEY, decode_deployment
from _pistachiopond.platform.store import KeyedRecord
from _pistachiopond.schema.deployment import CustomerSpec, Deployment
from _pistachiopond.vm.clock import boot_s
from _pistachiopond.vm.topic_cache import REWRITE_S

# Keys are refused this long before the operators' bound on a key's revocation runs out.
REVOKE_MARGIN_S: Final = 0.3
# A VM is ready while its configuration was confirmed as the newest at most this long
# ago.
READY_AGE_S: Final = 3.0
# Limits on callers' requests before the first configuration.
FIRST_LIMITS: Final = ServerLimits(
    header_bytes=16_384, body_bytes=4_194_304, header_s=3.0, idle_s=15.0
)


@final
class ConfigurationState:
    """Holds the newest configuration that this VM has received."""

    def __init__(self, revoke_s: float) -> None:
        self._revoke_s = revoke_s
        self.table: RouteTable | None = None
        self._limits = FIRST_LIMITS
        self._current_as_of_s = float("-inf")
        self._complete_as_of_s = float("-inf")
        self._complete_from_s = float("-inf")

    def set_revoke_s(self, revoke_s: float) -> None:
        """Set how long keys are accepted without confirmation of the configuration."""
        self._revoke_s = revoke_s

    def apply(self, record: KeyedRecord) -> bool:
        """Apply one record; return whether it changes anything.

        Configurations older than the one in force are ignored.
        """
        if record.key != CONFIG_KEY or not record.value:
            return False
        decoded = decode_deployment(record.value)
        if decoded.is_err():
            log_warning(
                "configuration cannot be read",
                offset=record.position.offset,
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

    def mark_current(self, at_s: float) -> None:
        """Record that the store had no newer version at `at_s`."""
        self._current_as_of_s = max(self._current_as_of_s, at_s)
        if at_s >= self._complete_from_s:
            self._complete_as_of_s = max(self._complete_as_of_s, at_s)

    def store_restored(self) -> None:
        """Record that the store has come back from an older copy.

        Until the operators have written it again, the store may lack a version that
        withdrew a key and that this VM did not receive.
        """
        self._complete_from_s = boot_s() + REWRITE_S

    def deployment(self) -> Deployment | None:
        """Return the configuration in force; None before the first."""
        return None if self.table is None else self.table.deployment

    def customers(self) -> dict[str, CustomerSpec]:
        """Return the customers of the configuration in force, by name."""
        return {} if self.table is None else self.table.deployment.customers

    def age_s(self) -> float:
        """Return the time since the store had no newer configuration."""
        return boot_s() - self._current_as_of_s

    def may_use_keys(self) -> bool:
        """Return whether the configuration is current enough to accept keys."""
        age_s = boot_s() - self._complete_as_of_s
        return age_s < self._revoke_s - REVOKE_MARGIN_S

    def is_fresh(self) -> bool:
        """Return whether the configuration is current enough for new callers."""
        return self.table is not None and self.age_s() < READY_AGE_S

    def limits(self) -> ServerLimits:
        """Return the limits on callers' requests."""
        return self._limits
