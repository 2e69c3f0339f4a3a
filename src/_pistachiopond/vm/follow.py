"""Follows a keyed topic of the platform's store."""

from collections.abc import Callable
from typing import Final, NamedTuple, final

import anyio

from _pistachiopond.observe.logs import log_change, log_trouble
from _pistachiopond.platform.store import (
    Snapshot,
    StoreClient,
    StoreFailure,
    TailPage,
)
from _pistachiopond.vm.clock import boot_s
from _pistachiopond.vm.relay import TopicShelf

# A read waits for a record for this long. Longer saves calls, shorter proves sooner
# that nothing has changed and shows sooner that a connection has gone silent.
TAIL_WAIT_S: Final = 1.6
READ_SLACK_S: Final = 1.0
PROBE_LIMIT_S: Final = 0.7
SNAPSHOT_LIMIT_S: Final = 4.0
RETRY_S: Final = 0.15
MAX_RETRY_S: Final = 0.6
# How soon a follower sees that the leader relays no more.
RELAYED_LOOK_S: Final = 0.1


class FollowedTopic(NamedTuple):
    """A topic and how often it is read while records come.

    Attributes
    ----------
    name : str
        In the store.
    pause_s : float
        Between a read that brought records and the next.
    """

    name: str
    pause_s: float


def proved_s(page: TailPage, sent_s: float, wait_s: float) -> float:
    """Return up to when a read just received shows all records.

    Parameters
    ----------
    page : TailPage
        What was read.
    sent_s : float
        When the read was sent.
    wait_s : float
        How long the store was asked to wait for a record.
    """
    # An empty page after the whole wait was made at its end, not before.
    is_waited = not page.records and boot_s() - sent_s >= wait_s
    return sent_s + wait_s if is_waited else sent_s


@final
class TopicFollower:
    """One reader of one topic."""

    def __init__(
        self,
        store: StoreClient,
        topic: FollowedTopic,
        shelf: TopicShelf,
        is_relayed: Callable[[], bool],
        spare_s: Callable[[], float],
    ) -> None:
        """Start without knowledge.

        Parameters
        ----------
        store : StoreClient
            The calls to the store.
        topic : FollowedTopic
            What to read.
        shelf : TopicShelf
            Where records go.
        is_relayed : callable
            Returns whether the leader passes the topic's records on.
        spare_s : callable
            Returns the time between two tries of a store that does not answer, where
            the leader tries too.
        """
        self._store = store
        self._topic = topic.name
        self._pause_s = topic.pause_s
        self._shelf = shelf
        self._is_relayed = is_relayed
        self._spare_s = spare_s
        self._is_failing = False
        self._retry_s = RETRY_S

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            offset = self._shelf.next_offset
            if offset is None:
                await self._read_snapshot()
            elif self._is_relayed():
                await anyio.sleep(RELAYED_LOOK_S)
            else:
                await self._read_tail(offset)

    async def _read_snapshot(self) -> None:
        sent_s = boot_s()
        answer = await self._store.read_newest(self._topic, SNAPSHOT_LIMIT_S)
        if answer.is_err():
            await self._fail(answer.err())
            return
        snapshot: Snapshot = answer.ok()
        self._succeed()
        self._shelf.replace(snapshot.records)
        self._shelf.next_offset = snapshot.end
        self._shelf.reached(sent_s)

    async def _read_tail(self, offset: int) -> None:
        sent_s = boot_s()
        # A store that did not answer is asked without a wait, so that its return shows.
        wait_s = 0.0 if self._is_failing else TAIL_WAIT_S
        slack_s = PROBE_LIMIT_S if self._is_failing else READ_SLACK_S
        answer = await self._store.read_tail(
            self._topic, offset, wait_s, wait_s + slack_s
        )
        if answer.is_err():
            failure = answer.err()
            if failure.kind == "expired":
                log_change("history of topic is gone", topic=self._topic, offset=offset)
                self._shelf.next_offset = None
                return
            await self._fail(failure)
            return
        page: TailPage = answer.ok()
        self._succeed()
        for record in page.records:
            self._shelf.apply(record)
        if page.next_offset < page.end:
            self._shelf.next_offset = page.next_offset
            return
        if page.end < offset:
            # The topic cannot have shrunk, so what is known of it is not this one.
            log_trouble("topic ends before what was read", topic=self._topic)
            self._shelf.next_offset = None
            return
        self._shelf.next_offset = max(page.next_offset, offset)
        self._shelf.reached(proved_s(page, sent_s, wait_s))
        if page.records:
            await anyio.sleep(self._pause_s)

    def _succeed(self) -> None:
        if self._is_failing:
            log_change("store answers again", topic=self._topic)
        self._is_failing = False
        self._retry_s = RETRY_S

    async def _fail(self, failure: StoreFailure) -> None:
        if not self._is_failing:
            log_trouble(
                "store does not answer",
                topic=self._topic,
                kind=failure.kind,
                detail=failure.detail,
            )
        self._is_failing = True
        await anyio.sleep(max(self._retry_s, self._spare_s()))
        self._retry_s = min(MAX_RETRY_S, self._retry_s * 1.5)
