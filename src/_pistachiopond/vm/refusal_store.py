"""Keeps the requests that crash servers in the platform's store.

All VMs may be lost at once, and with them what each knows of such requests, which would
then crash as many servers again. So the leader writes its records, each time that they
change, and each VM reads them when it starts. One record holds them all: they are few,
and the newest one counts.
"""

import json
from collections.abc import Callable
from typing import Final, TypedDict, final

import anyio

from _pistachiopond.decisions.leadership import Leadership
from _pistachiopond.observe.logs import log_change, log_warning
from _pistachiopond.platform.store import REFUSALS_TOPIC, StoreClient
from _pistachiopond.schema.json_decoding import Number, make_decoder
from _pistachiopond.schema.suspects import RequestRecord
from _pistachiopond.vm.clock import boot_s
from _pistachiopond.vm.suspects import Suspects, decode_records, encode_records

RECORDS_KEY: Final = "requests"
STORE_TIMEOUT_S: Final = 1.0
CHECK_PERIOD_S: Final = 0.25
RETRY_PAUSE_S: Final = 0.3
# The times in the record run on, and a store that was restored may have lost it.
RENEW_PERIOD_S: Final = 60.0
# A new leader first hears what the other VMs know, so as not to replace it by less.
SETTLE_S: Final = 3.0

_Content = dict[str, tuple[bool, tuple[str, ...]]]


class _StoredRequests(TypedDict):
    requests: list[tuple[str, Number, list[str]]]


_decode_stored: Final = make_decoder(_StoredRequests)


@final
class RefusalStore:
    """Reads the record when this VM starts, and writes it while this VM leads."""

    def __init__(
        self,
        store: StoreClient,
        leadership: Leadership,
        suspects: Suspects,
        records: Callable[[], list[RequestRecord]],
    ) -> None:
        """Start without having read anything.

        Parameters
        ----------
        store : StoreClient
            Client of the store.
        leadership : Leadership
            Whether this VM leads.
        suspects : Suspects
            Learns what the store keeps.
        records : callable
            Returns what the leader has to keep.
        """
        self._store = store
        self._leadership = leadership
        self._suspects = suspects
        self._records = records
        self._leads_since_s: float | None = None
        self._written: _Content = {}
        self._written_s = float("-inf")

    async def run(self) -> None:
        """Read what the store keeps, and write while this VM leads; until cancelled."""
        while not await self._read():
            await anyio.sleep(RETRY_PAUSE_S)
        while True:
            is_done = await self._lead_step()
            await anyio.sleep(CHECK_PERIOD_S if is_done else RETRY_PAUSE_S)

    async def _lead_step(self) -> bool:
        """Do what is due while this VM leads; return False if the store failed."""
        if not self._leadership.is_leading(boot_s()) or self._leadership.is_void():
            self._leads_since_s = None
            return True
        if self._leads_since_s is None:
            # Another leader may have written since this VM read.
            if not await self._read():
                return False
            self._leads_since_s = boot_s()
        return not self._is_due(boot_s() - self._leads_since_s) or await self._write()

    async def _read(self) -> bool:
        """Learn what the store keeps; return whether it has answered."""
        result = await self._store.read_newest(REFUSALS_TOPIC, STORE_TIMEOUT_S)
        if result.is_err():
            failure = result.err()
            if failure.kind == "absent":
                return True
            log_warning(
                "requests that crash servers not read",
                kind=failure.kind,
                detail=failure.detail,
            )
            return False
        for record in result.ok().records:
            if record.key == RECORDS_KEY and record.value:
                self._learn(record.value)
        return True

    def _learn(self, value: bytes) -> None:
        decoded = _decode_stored(value)
        if decoded.is_err():
            log_warning("requests that crash servers unreadable", reason=decoded.err())
            return
        records = decode_records(decoded.ok()["requests"])
        self._written = _content_of(records)
        self._suspects.learn(records)
        self._suspects.tell_leader()
        log_change("requests that crash servers read", requests=len(records))

    def _is_due(self, leads_for_s: float) -> bool:
        content = _content_of(self._records())
        lacks_some = any(name not in content for name in self._written)
        if lacks_some and leads_for_s < SETTLE_S:
            return False
        is_old = bool(content) and boot_s() - self._written_s >= RENEW_PERIOD_S
        return is_old or content != self._written

    async def _write(self) -> bool:
        """Write the record; return False if that failed."""
        records = self._records()
        value = json.dumps({RECORDS_KEY: encode_records(records)}).encode()
        result = await self._store.append(
            REFUSALS_TOPIC, RECORDS_KEY, value, None, STORE_TIMEOUT_S
        )
        if result.is_err():
            failure = result.err()
            log_warning(
                "requests that crash servers not written",
                kind=failure.kind,
                detail=failure.detail,
            )
            return False
        self._written, self._written_s = _content_of(records), boot_s()
        log_change(
            "requests that crash servers written",
            requests=len(records),
            bytes=len(value),
        )
        return True


def _content_of(records: list[RequestRecord]) -> _Content:
    """Return what makes a new record necessary; the times run by themselves."""
    return {name: (for_s > 0.0, ids) for name, for_s, ids in records}
