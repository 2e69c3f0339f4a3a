"""Appends to the ``config`` stream and reads back the result.

The result comes from the order of the log, by the same fold that each control daemon
uses, and never from the reply to the append, which can be lost.
"""

import time
from collections.abc import Callable
from typing import Any, Final, NamedTuple, final

import anyio
from result import Err, Ok, Result

from _pistachiopond.clients.log import LogClient
from _pistachiopond.decisions.config import CONFIG_FOLD
from _pistachiopond.decisions.stream_reader import Step, StreamReader
from _pistachiopond.schema.records import CONFIG_STREAM, ConfigState

PAGE_RECORDS: Final = 200
LONG_POLL_S: Final = 0.5
RETRY_S: Final = 0.3
APPEND_RETRY_S: Final = 3.0

IsOwnRecord = Callable[[Step[ConfigState]], bool]


class LogUnreachable(NamedTuple):
    """The log did not answer in time.

    Attributes
    ----------
    may_have_taken_effect : bool
        Whether the record may nevertheless be in the log.
    detail : str
        The last error of the log client.
    """

    may_have_taken_effect: bool
    detail: str


class RecordFound(NamedTuple):
    """The appended record was read back from the log.

    Attributes
    ----------
    offset : int
        The record's offset.
    outcome : Any
        The result, one of the outcomes in `decisions.config`.
    """

    offset: int
    outcome: Any


@final
class ConfigLog:
    """Reads and appends to the ``config`` stream until a deadline."""

    def __init__(self, client: LogClient, deadline_s: float) -> None:
        self._client = client
        self._deadline_s = time.monotonic() + deadline_s
        self._reader = StreamReader(CONFIG_FOLD)

    async def read_to_end(self) -> Result[ConfigState, LogUnreachable]:
        """Return the state at the end of the stream."""
        detail = "log records expired without a snapshot; start a control daemon"
        while not self._is_past_deadline():
            page = await self._client.read(
                CONFIG_STREAM, self._reader.next_offset(), PAGE_RECORDS, 0.0
            )
            if page.is_err():
                detail = page.unwrap_err().detail
                await anyio.sleep(RETRY_S)
                continue
            self._reader.take_page(page.unwrap())
            if self._reader.is_at_tail(page.unwrap()):
                assert self._reader.state is not None
                return Ok(self._reader.state)
            if not page.unwrap().records:
                await anyio.sleep(RETRY_S)
        return Err(LogUnreachable(False, detail))

    async def append(
        self, payload: str, is_own_record: IsOwnRecord
    ) -> Result[RecordFound, LogUnreachable]:
        """Append a record and return its result.

        Parameters
        ----------
        payload : str
            The record; appending it twice must be safe.
        is_own_record : callable
            Returns whether a step of the fold comes from this record.
        """
        may_be_stored = False
        detail = ""
        while not self._is_past_deadline():
            appended = await self._client.append(CONFIG_STREAM, payload)
            if appended.is_err():
                may_be_stored |= appended.unwrap_err().may_have_taken_effect
                detail = appended.unwrap_err().detail
            if appended.is_ok() or may_be_stored:
                may_be_stored = True
                found = await self._wait_for_record(is_own_record)
                if found is not None:
                    return Ok(found)
            await anyio.sleep(RETRY_S)
        return Err(
            LogUnreachable(may_be_stored, detail or "the record was not read back")
        )

    async def _wait_for_record(self, is_own_record: IsOwnRecord) -> RecordFound | None:
        deadline_s = min(self._deadline_s, time.monotonic() + APPEND_RETRY_S)
        while time.monotonic() < deadline_s:
            page = await self._client.read(
                CONFIG_STREAM, self._reader.next_offset(), PAGE_RECORDS, LONG_POLL_S
            )
            if page.is_err():
                await anyio.sleep(RETRY_S)
                continue
            for step in self._reader.take_page(page.unwrap()).steps:
                if is_own_record(step):
                    return RecordFound(step.state.covers_offset, step.outcome)
        return None

    def _is_past_deadline(self) -> bool:
        return time.monotonic() >= self._deadline_s
