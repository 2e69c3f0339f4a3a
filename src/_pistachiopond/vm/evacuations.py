"""The evacuated data centres known to this VM, for logs, metrics and the fleet."""

from collections.abc import Callable, Iterator
from typing import Final, final

from prometheus_client.core import GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from _pistachiopond.observe.logs import log_change, log_warning
from _pistachiopond.platform.evacuations import (
    KEY_PREFIX,
    decode_evacuation,
    is_evacuation_key,
)
from _pistachiopond.platform.store import KeyedRecord
from _pistachiopond.vm.clock import boot_s
from _pistachiopond.vm.configuration_state import ConfigurationState
from _pistachiopond.vm.fleet import Fleet
from _pistachiopond.vm.topic_cache import TopicCallbacks

# How often the requests that still run in an evacuated data centre are logged.
PROGRESS_PERIOD_S: Final = 10.0
# Operators name few data centres. Of more than this many, metrics show the first ones.
MAX_SHOWN: Final = 100


@final
class Evacuations:
    """Applies the operators' records of evacuations to the fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._since_s: dict[str, float] = {}
        # When what still runs there was last logged; absent once nothing does.
        self._logged_s: dict[str, float] = {}

    def apply(self, record: KeyedRecord) -> bool:
        """Apply one record; return whether it changes anything.

        A value that cannot be decoded leaves the state of before.
        """
        if not record.value:
            return self._end(record.key.removeprefix(KEY_PREFIX))
        decoded = decode_evacuation(record.key, record.value)
        if decoded.is_err():
            log_warning(
                "evacuation cannot be read",
                key=record.key[:100],
                offset=record.position.offset,
                reason=decoded.err(),
            )
            return False
        return self._begin(decoded.ok())

    def _begin(self, data_centre: str) -> bool:
        if data_centre in self._since_s:
            return False
        self._since_s[data_centre] = self._logged_s[data_centre] = boot_s()
        self._fleet.set_evacuated(self._since_s)
        log_change(
            "data centre evacuated",
            data_centre=data_centre,
            servers=self._fleet.count_servers_in(data_centre),
            running=self.running(data_centre),
            knows_servers=self._fleet.is_loaded,
        )
        return True

    def _end(self, data_centre: str) -> bool:
        since_s = self._since_s.pop(data_centre, None)
        if since_s is None:
            return False
        self._logged_s.pop(data_centre, None)
        self._fleet.set_evacuated(self._since_s)
        log_change(
            "evacuation of a data centre ended",
            data_centre=data_centre,
            after_s=round(boot_s() - since_s, 3),
        )
        return True

    def running(self, data_centre: str) -> int:
        """Return how many requests of this VM run in a data centre."""
        return self._fleet.count_running_in(data_centre)

    def ages_s(self) -> dict[str, float]:
        """Return for how long this VM has known of each evacuation."""
        now_s = boot_s()
        return {name: now_s - since_s for name, since_s in self._since_s.items()}

    def log_progress(self) -> None:
        """Log what still runs in evacuated data centres, and when nothing does."""
        now_s = boot_s()
        for data_centre, logged_s in list(self._logged_s.items()):
            running = self.running(data_centre)
            if running and now_s - logged_s < PROGRESS_PERIOD_S:
                continue
            self._logged_s[data_centre] = now_s
            if not running:
                del self._logged_s[data_centre]
            log_change(
                "requests left in an evacuated data centre",
                data_centre=data_centre,
                running=running,
                after_s=round(now_s - self._since_s[data_centre], 3),
            )


def make_operator_callbacks(
    state: ConfigurationState, evacuations: Evacuations
) -> TopicCallbacks:
    """Return the receivers of the operators' topic, by the records' keys."""

    def apply(record: KeyedRecord) -> bool:
        receive: Callable[[KeyedRecord], bool] = state.apply
        if is_evacuation_key(record.key):
            receive = evacuations.apply
        return receive(record)

    return TopicCallbacks(apply, apply, state.mark_current, state.store_restored)


@final
class EvacuationMetrics(Collector):
    """Gauges of the evacuated data centres."""

    def __init__(self, evacuations: Evacuations) -> None:
        self._evacuations = evacuations

    def collect(self) -> Iterator[Metric]:
        """Yield the gauges; called at each scrape."""
        since = GaugeMetricFamily(
            "pond_evacuated_s",
            "For how long this VM has known that a data centre is evacuated.",
            labels=("data_centre",),
        )
        running = GaugeMetricFamily(
            "pond_evacuated_running",
            "Requests of this VM that still run in an evacuated data centre.",
            labels=("data_centre",),
        )
        for name, age_s in sorted(self._evacuations.ages_s().items())[:MAX_SHOWN]:
            since.add_metric((name,), age_s)
            running.add_metric((name,), self._evacuations.running(name))
        yield since
        yield running
