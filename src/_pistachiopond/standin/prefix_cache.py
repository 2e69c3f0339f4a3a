"""An engine's prefix cache, and the late feed of its events with gaps."""

import hashlib
import random
from collections import OrderedDict
from typing import Final, Literal, NamedTuple, final

BLOCK_BYTES: Final = 256
BLOCK_TOKENS: Final = 64
BLOCK_MB: Final = 2
MAX_EVENTS: Final = 5_000


class CacheEvent(NamedTuple):
    """A prefix that was stored or evicted.

    Attributes
    ----------
    sequence : int
        Grows by one with each event; a missing one is a gap.
    created_s : float
        When it happened.
    """

    sequence: int
    kind: Literal["stored", "evicted"]
    model: str
    prefix_id: str
    created_s: float


def prefix_ids(model: str, salt: str, prompt: str) -> tuple[str, ...]:
    """Return the chained identities of the prompt's whole blocks, shortest first."""
    text = prompt.encode()
    previous = hashlib.sha256(f"{model}\0{salt}".encode()).hexdigest()
    found = []
    for start in range(0, len(text) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = text[start : start + BLOCK_BYTES]
        previous = hashlib.sha256(previous.encode() + block).hexdigest()
        found.append(previous)
    return tuple(found)


@final
class PrefixCache:
    """Blocks in the order of their last use, and the events about them."""

    def __init__(self, capacity_blocks: int, lag_s: float, gap: float) -> None:
        self._capacity = capacity_blocks
        self._lag_s = lag_s
        self._gap = gap
        self._random = random.Random(0)
        self._blocks: OrderedDict[str, str] = OrderedDict()
        self._events: list[CacheEvent] = []
        self._sequence = 0

    def use(self, model: str, prefixes: tuple[str, ...], now_s: float) -> int:
        """Look a prompt up, store all of it, and return the tokens that were cached."""
        hits = 0
        for prefix in prefixes:
            if prefix not in self._blocks:
                break
            hits += 1
        for prefix in prefixes:
            self.store(model, prefix, now_s)
        return hits * BLOCK_TOKENS

    def store(self, model: str, prefix: str, now_s: float) -> None:
        """Keep one block, and evict the one that was unused longest if need be."""
        if prefix in self._blocks:
            self._blocks.move_to_end(prefix)
            return
        self._blocks[prefix] = model
        self._publish("stored", model, prefix, now_s)
        if len(self._blocks) > self._capacity:
            oldest, its_model = self._blocks.popitem(last=False)
            self._publish("evicted", its_model, oldest, now_s)

    def model_of(self, prefix: str) -> str | None:
        """Return whose block this is, or None when it is not held."""
        return self._blocks.get(prefix)

    def events_from(self, sequence: int, now_s: float) -> tuple[CacheEvent, ...]:
        """Return the events from that sequence on that are old enough to be seen."""
        return tuple(
            event
            for event in self._events
            if event.sequence >= sequence and event.created_s + self._lag_s <= now_s
        )

    def _publish(
        self, kind: Literal["stored", "evicted"], model: str, prefix: str, now_s: float
    ) -> None:
        sequence = self._sequence
        self._sequence += 1
        if self._random.random() < self._gap:
            return
        self._events.append(CacheEvent(sequence, kind, model, prefix, now_s))
        if len(self._events) > MAX_EVENTS:
            del self._events[: MAX_EVENTS // 10]
