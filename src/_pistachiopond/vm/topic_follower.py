"""Follows a keyed topic of the platform's store with a snapshot and long polls."""

from collections.abc import Callable
from typing import Final, NamedTuple, final

import anyio

from _pistachiopond.observe.logs import log_change, log_warning
from _pistachiopond.platform.store import (
    Snapshot,
    StoreClient,
    StoreFailure,
    TailPage,
)
from _pistachiopond.schema.store_position import StorePosition
from _pistachiopond.vm.clock import boot_s
from _pistachiopond.vm.store_calls import StoreContact
from _pistachiopond.vm.topic_cache import REWRITE_S, TopicCache

# How long the store waits for a new record before it answers a read. A longer wait
# saves calls. A shorter one confirms sooner that nothing has changed, and detects an
# unresponsive connection sooner.
TAIL_WAIT_S: Final = 1.6
# The wait until `REWRITE_S` after the store came back from an older copy, so that the
# end of that time is confirmed soon.
RESTORED_WAIT_S: Final = 0.4
READ_TIMEOUT_MARGIN_S: Final = 1.0
PROBE_TIMEOUT_S: Final = 0.7
SNAPSHOT_TIMEOUT_S: Final = 4.0
INITIAL_RETRY_PAUSE_S: Final = 0.15
# Whatever the store answers this VM ends the pauses of all its readers, so the first of
# their retries notices its return. Each pause lasts for the least time in any case.
MAX_RETRY_PAUSE_S: Final = 1.2
LEAST_RETRY_PAUSE_S: Final = 0.3
# While the leader relays records, how often a follower checks that it still does.
RELAY_CHECK_PERIOD_S: Final = 0.1


class FollowedTopic(NamedTuple):
    """A topic and the pause between reads while it receives records.

    Attributes
    ----------
    name : str
        Its name in the store.
    pause_s : float
        Pause after a read that returned records.
    """

    name: str
    pause_s: float


def page_current_as_of_s(page: TailPage, sent_s: float, wait_s: float) -> float:
    """Return the time until which a read that was just received shows all records.

    Parameters
    ----------
    page : TailPage
        The records read.
    sent_s : float
        When the read was sent.
    wait_s : float
        How long the store was asked to wait for a record.
    """
    # The store sends an empty page only at the end of the wait, so it shows that no
    # record was written until then.
    is_waited = not page.records and boot_s() - sent_s >= wait_s
    return sent_s + wait_s if is_waited else sent_s


@final
class TopicFollower:
    """Keeps a topic's cache current by reading the store."""

    def __init__(
        self,
        store: StoreClient,
        topic: FollowedTopic,
        cache: TopicCache,
        is_relayed: Callable[[], bool],
        shared_retry_pause_s: Callable[[], float],
        contact: StoreContact,
    ) -> None:
        """Start with an empty cache.

        Parameters
        ----------
        store : StoreClient
            Client of the store.
        topic : FollowedTopic
            The topic to read.
        cache : TopicCache
            Receives the records.
        is_relayed : callable
            Returns whether the leader relays the topic's records to this VM.
        shared_retry_pause_s : callable
            Returns the least pause between this VM's reads of a store that does not
            answer, while the leader retries for all VMs.
        contact : StoreContact
            Ends the pauses when the store answers this VM.
        """
        self._store = store
        self.topic = topic.name
        self._pause_s = topic.pause_s
        self._cache = cache
        self._is_relayed = is_relayed
        self._shared_retry_pause_s = shared_retry_pause_s
        self._contact = contact
        self._is_failing = False
        self._retry_pause_s = INITIAL_RETRY_PAUSE_S
        self._short_waits_until_s = float("-inf")

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            position = self._cache.next_position
            if self._is_relayed():
                await anyio.sleep(RELAY_CHECK_PERIOD_S)
            elif position is None:
                await self._read_snapshot()
            else:
                await self._read_tail(position)

    async def _read_snapshot(self) -> None:
        sent_s = boot_s()
        result = await self._store.read_newest(self.topic, SNAPSHOT_TIMEOUT_S)
        if result.is_err():
            await self._record_failure(result.err())
            return
        snapshot: Snapshot = result.ok()
        self._record_success()
        if self._cache.replace(snapshot):
            self._cache.mark_current(sent_s)

    async def _read_tail(self, position: StorePosition) -> None:
        sent_s = boot_s()
        is_short = sent_s <= self._short_waits_until_s or not self._cache.is_confirmed()
        wait_s = RESTORED_WAIT_S if is_short else TAIL_WAIT_S
        # After a failure the read does not wait for records, so that the first answer
        # shows the store's return at once.
        wait_s = 0.0 if self._is_failing else wait_s
        margin_s = PROBE_TIMEOUT_S if self._is_failing else READ_TIMEOUT_MARGIN_S
        result = await self._store.read_tail(
            self.topic, position, wait_s, wait_s + margin_s
        )
        if result.is_err():
            failure = result.err()
            if failure.kind in ("expired", "restored"):
                log_change(
                    "position unknown to the store, reading a snapshot",
                    topic=self.topic,
                    era=position.era,
                    offset=position.offset,
                    reason=failure.detail,
                )
                self._cache.next_position = None
                if failure.kind == "restored":
                    self._short_waits_until_s = boot_s() + REWRITE_S
                return
            await self._record_failure(failure)
            return
        page: TailPage = result.ok()
        self._record_success()
        for record in page.records:
            self._cache.apply(record)
        if page.next_position < page.end:
            self._cache.next_position = page.next_position
            return
        if page.end < position:
            # Within an era topics only grow, so a topic that ends before the cached
            # position is not the one that the cache was filled from.
            log_warning(
                "topic ends before the cached position, reading a snapshot",
                topic=self.topic,
            )
            self._cache.next_position = None
            return
        self._cache.next_position = max(page.next_position, position)
        self._cache.mark_current(page_current_as_of_s(page, sent_s, wait_s))
        if page.records:
            await anyio.sleep(self._pause_s)

    def _record_success(self) -> None:
        if self._is_failing:
            log_change("store answers again", topic=self.topic)
        self._is_failing = False
        self._retry_pause_s = INITIAL_RETRY_PAUSE_S

    async def _record_failure(self, failure: StoreFailure) -> None:
        if not self._is_failing:
            log_warning(
                "store does not answer",
                topic=self.topic,
                kind=failure.kind,
                detail=failure.detail,
            )
        self._is_failing = True
        shared_s = self._shared_retry_pause_s()
        least_s = min(self._retry_pause_s, LEAST_RETRY_PAUSE_S)
        await self._contact.pause(least_s, max(self._retry_pause_s, shared_s))
        self._retry_pause_s = min(MAX_RETRY_PAUSE_S, self._retry_pause_s * 1.5)
