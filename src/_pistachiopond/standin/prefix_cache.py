"""An engine's prefix cache, and its delayed and lossy feed of cache events."""

import hashlib
import random
from collections import OrderedDict
from typing import Final, Literal, NamedTuple, final

BLOCK_BYTES: Final = 256
BLOCK_TOKENS: Final = 64
BLOCK_MB: Final = 2
MAX_EVENTS: Final = 5_000


class CacheEvent(NamedTuple):
    """A block that was stored or evicted.

    Attributes
    ----------
    sequence : int
        Increases by one with each event; a missing number means a lost event.
    created_s : float
        Time of the event.
    """

    sequence: int
    kind: Literal["stored", "evicted"]
    model: str
    prefix_id: str
    created_s: float


def prefix_ids(model: str, salt: str, prompt: str) -> tuple[str, ...]:
    """Return the ids of the prompt's complete blocks, in order.

    Each id is a hash of the block and of the previous id, so it identifies the whole
    prefix that ends with the block.
    """
    prompt_bytes = prompt.encode()
    previous_id = hashlib.sha256(f"{model}\0{salt}".encode()).hexdigest()
    block_ids = []
    for start in range(0, len(prompt_bytes) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = prompt_bytes[start : start + BLOCK_BYTES]
        previous_id = hashlib.sha256(previous_id.encode() + block).hexdigest()
        block_ids.append(previous_id)
    return tuple(block_ids)


@final
class PrefixCache:
    """An LRU cache of prompt blocks that records an event for each change.

    Events become visible after a delay, and some are lost.
    """

    def __init__(
        self, capacity_blocks: int, event_lag_s: float, event_loss_rate: float
    ) -> None:
        self._capacity = capacity_blocks
        self._event_lag_s = event_lag_s
        self._event_loss_rate = event_loss_rate
        self._random = random.Random(0)
        self._blocks: OrderedDict[str, str] = OrderedDict()
        self._events: list[CacheEvent] = []
        self._sequence = 0

    def look_up_and_store(
        self, model: str, prefixes: tuple[str, ...], now_s: float
    ) -> int:
        """Look up a prompt, store all its blocks and return the tokens found cached."""
        hits = 0
        for prefix in prefixes:
            if prefix not in self._blocks:
                break
            hits += 1
        for prefix in prefixes:
            self.store(model, prefix, now_s)
        return hits * BLOCK_TOKENS

    def store(self, model: str, prefix: str, now_s: float) -> None:
        """Store a block; if the cache is full, evict the least recently used one."""
        if prefix in self._blocks:
            self._blocks.move_to_end(prefix)
            return
        self._blocks[prefix] = model
        self._record_event("stored", model, prefix, now_s)
        if len(self._blocks) > self._capacity:
            evicted_prefix, evicted_model = self._blocks.popitem(last=False)
            self._record_event("evicted", evicted_model, evicted_prefix, now_s)

    def model_of(self, prefix: str) -> str | None:
        """Return the model that a block belongs to, or None if it is not cached."""
        return self._blocks.get(prefix)

    def events_from(self, sequence: int, now_s: float) -> tuple[CacheEvent, ...]:
        """Return the visible events from a sequence number on."""
        return tuple(
            event
            for event in self._events
            if event.sequence >= sequence
            and event.created_s + self._event_lag_s <= now_s
        )

    def _record_event(
        self, kind: Literal["stored", "evicted"], model: str, prefix: str, now_s: float
    ) -> None:
        sequence = self._sequence
        self._sequence += 1
        if self._random.random() < self._event_loss_rate:
            return
        self._events.append(CacheEvent(sequence, kind, model, prefix, now_s))
        if len(self._events) > MAX_EVENTS:
            del self._events[: MAX_EVENTS // 10]
