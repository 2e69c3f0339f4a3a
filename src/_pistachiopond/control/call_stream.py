"""One ``calls-{n}`` stream: batched appends, and a ledger of the records read."""

from typing import Final, final

import anyio
from anyio.abc import TaskGroup

from _pistachiopond.control.ports import LogAccess
from _pistachiopond.decisions.call_ledger import CallLedger
from _pistachiopond.kernel.timer import Timer
from _pistachiopond.schema.calls import CallBatch, CallRecord
from _pistachiopond.schema.codec import from_json, to_json

BATCH_WINDOW_S: Final = 0.05
PAGE_RECORDS: Final = 200


@final
class _Batch:
    def __init__(self) -> None:
        self.records: list[CallRecord] = []
        self.done = anyio.Event()
        self.is_confirmed = False


@final
class CallStream:
    """Appends this daemon's records and reads those of all daemons.

    Parameters
    ----------
    name : str
        The stream's name.
    timer : Timer
        The timer service.
    log : LogAccess
        The log.
    group : TaskGroup
        Runs the appends, so that an append continues after its caller is cancelled.
    """

    def __init__(
        self, name: str, timer: Timer, log: LogAccess, group: TaskGroup
    ) -> None:
        self.ledger = CallLedger()
        self._name = name
        self._timer = timer
        self._log = log
        self._group = group
        self._next_offset = 0
        self._batch: _Batch | None = None
        self._reading = anyio.Lock()

    async def append(self, record: CallRecord) -> bool:
        """Append a record as part of a batch; return whether the log confirmed it."""
        batch = self._batch
        if batch is None:
            batch = self._batch = _Batch()
            self._group.start_soon(self._flush, batch)
        batch.records.append(record)
        await batch.done.wait()
        return batch.is_confirmed

    async def catch_up(self) -> bool:
        """Read up to the end of the stream; return whether the end was reached."""
        async with self._reading:
            while True:
                result = await self._log.read(
                    self._name, self._next_offset, PAGE_RECORDS, 0.0
                )
                if result.is_err():
                    return False
                page = result.unwrap()
                now_s = self._timer.now_s()
                for item in page.records:
                    self._apply(item.payload, now_s - item.age_s)
                    self._next_offset = item.offset + 1
                self._next_offset = max(self._next_offset, page.first_offset)
                if self._next_offset >= page.next_offset:
                    return True

    def _apply(self, payload: str, at_s: float) -> None:
        batch = from_json(CallBatch, payload)
        if batch.is_err():
            # All readers skip an invalid batch, so that they still agree on the state.
            return
        for record in batch.unwrap().records:
            self.ledger.apply(record, at_s)

    async def _flush(self, batch: _Batch) -> None:
        await self._timer.sleep_until(self._timer.now_s() + BATCH_WINDOW_S)
        self._batch = None
        payload = to_json(CallBatch(tuple(batch.records)))
        result = await self._log.append(self._name, payload)
        batch.is_confirmed = result.is_ok()
        batch.done.set()
