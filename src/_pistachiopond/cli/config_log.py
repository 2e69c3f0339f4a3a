"""Appends to the ``config`` stream and reads back what became of the record.

The outcome is taken from the log's order by the same fold that every control
daemon uses, never from the answer to the append: that one can be lost.
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
READ_WAIT_S: Final = 0.5
RETRY_S: Final = 0.3
APPEND_AGAIN_S: Final = 3.0

IsOurs = Callable[[Step[ConfigState]], bool]


class Unreachable(NamedTuple):
    """The log did not answer in time.

    Attributes
    ----------
    may_have_taken_effect : bool
        Whether the record may be in the log all the same.
    detail : str
        What the log's client said last.
    """

    may_have_taken_effect: bool
    detail: str


class Recorded(NamedTuple):
    """Our record has been found in the log.

    Attributes
    ----------
    offset : int
        Its offset.
    outcome : Any
        What became of it, as in `decisions.config`.
    """

    offset: int
    outcome: Any


@final
class ConfigLog:
    """The operators' view of the ``config`` stream."""

    def __init__(self, client: LogClient, deadline_s: float) -> None:
        self._client = client
        self._deadline_s = time.monotonic() + deadline_s
        self._reader = StreamReader(CONFIG_FOLD)

    async def read_to_tail(self) -> Result[ConfigState, Unreachable]:
        """Return the state that every daemon will come to."""
        detail = "no snapshot without a gap is in the log; start a control daemon"
        while not self._is_over():
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
        return Err(Unreachable(False, detail))

    async def append(
        self, payload: str, is_ours: IsOurs
    ) -> Result[Recorded, Unreachable]:
        """Append a record and return what became of it.

        Parameters
        ----------
        payload : str
            Must be harmless when it is appended twice.
        is_ours : callable
            Whether a step of the fold came from this record.
        """
        may_be_there = False
        detail = ""
        while not self._is_over():
            appended = await self._client.append(CONFIG_STREAM, payload)
            if appended.is_err():
                may_be_there |= appended.unwrap_err().may_have_taken_effect
                detail = appended.unwrap_err().detail
            if appended.is_ok() or may_be_there:
                may_be_there = True
                found = await self._find(is_ours)
                if found is not None:
                    return Ok(found)
            await anyio.sleep(RETRY_S)
        return Err(Unreachable(may_be_there, detail or "the record was not read back"))

    async def _find(self, is_ours: IsOurs) -> Recorded | None:
        until_s = min(self._deadline_s, time.monotonic() + APPEND_AGAIN_S)
        while time.monotonic() < until_s:
            page = await self._client.read(
                CONFIG_STREAM, self._reader.next_offset(), PAGE_RECORDS, READ_WAIT_S
            )
            if page.is_err():
                await anyio.sleep(RETRY_S)
                continue
            for step in self._reader.take_page(page.unwrap()).steps:
                if is_ours(step):
                    return Recorded(step.state.covers_offset, step.outcome)
        return None

    def _is_over(self) -> bool:
        return time.monotonic() >= self._deadline_s
