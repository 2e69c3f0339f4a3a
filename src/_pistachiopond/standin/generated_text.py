"""Deterministic text generation.

The text depends only on the model, its version and the prompt, so that tests can
predict it.
"""

import hashlib
import math
import re
from typing import Final

BYTES_PER_TOKEN: Final = 4
WORDS: Final = (
    "the",
    "office",
    "notes",
    "that",
    "both",
    "sides",
    "agree",
    "on",
    "a",
    "session",
    "next",
    "week",
    "frost",
    "is",
    "likely",
    "in",
    "low",
    "valleys",
    "with",
    "light",
    "wind",
    "and",
    "clear",
    "sky",
    "until",
    "morning",
)
_TOKENS_MARKER: Final = re.compile(r"\[\[tokens=(\d{1,6})\]\]")


def count_prompt_tokens(prompt: str) -> int:
    """Return the number of tokens of a prompt."""
    return math.ceil(len(prompt.encode()) / BYTES_PER_TOKEN)


def count_generated_tokens(prompt: str, max_tokens: int) -> int:
    """Return how many tokens will be generated.

    That is `max_tokens`, or the number in a marker ``[[tokens=N]]`` in the prompt if
    it is smaller.
    """
    marker = _TOKENS_MARKER.search(prompt)
    if marker is None:
        return max_tokens
    return min(max_tokens, int(marker.group(1)))


def seed_of(model: str, version: str, prompt: str) -> bytes:
    """Return the seed that determines the generated text."""
    return hashlib.sha256(f"{model}\0{version}\0{prompt}".encode()).digest()


def token_at(seed: bytes, index: int) -> str:
    """Return the text of the token at `index`."""
    digest = hashlib.blake2b(seed + index.to_bytes(4, "big"), digest_size=2).digest()
    word = WORDS[int.from_bytes(digest, "big") % len(WORDS)]
    return word if index == 0 else " " + word


def generate_text(seed: bytes, count: int) -> str:
    """Return the text of the first `count` tokens."""
    return "".join(token_at(seed, index) for index in range(count))
