"""Odd values in place of the fields of valid JSON messages."""

import json
from collections.abc import Iterator
from typing import Any, Final, NamedTuple

# Each is JSON text, though not all of it is valid.
ODD_VALUES: Final = {
    "null": b"null",
    "true": b"true",
    "negative": b"-1",
    "zero": b"0",
    "fraction": b"1.5",
    "large": b"9007199254740993",
    "400 digits": b"9" * 400,
    "5000 digits": b"9" * 5000,
    "1e308": b"1e308",
    "1e999": b"1e999",
    "Infinity": b"Infinity",
    "-Infinity": b"-Infinity",
    "NaN": b"NaN",
    "empty text": b'""',
    "text": b'"x"',
    "digits": b'"7"',
    "half of a surrogate pair": b'"\\ud800"',
    "not UTF-8": b'"\xff\xfe"',
    "control characters": b'"a\\u0000\\r\\nX-Other: b"',
    "long text": b'"' + b"x" * 100_000 + b'"',
    "empty list": b"[]",
    "empty object": b"{}",
    "list": b'[1, "a", null]',
    "open brackets": b"[" * 5000,
    "open braces": b'{"a":' * 5000,
    "deep list": b"[" * 5000 + b"]" * 5000,
}
_MARK: Final = "the odd value"


class OddMessage(NamedTuple):
    """A message in which one thing is odd.

    Attributes
    ----------
    name : str
        The path of the field, and what stands there.
    text : bytes
        The message.
    """

    name: str
    text: bytes


def odd_messages(plain: Any) -> Iterator[OddMessage]:
    """Yield variants of a message: each field odd, missing, and twice in its object.

    Parameters
    ----------
    plain : dict or list
        A valid message.
    """
    for name, value in ODD_VALUES.items():
        yield OddMessage(f"all: {name}", value)
    yield OddMessage("all: nothing", b"")
    yield OddMessage("all: not UTF-8", b"\xff\xfe")
    for path in list(_paths(plain)):
        marked = json.dumps(_replaced(plain, path, _MARK)).encode()
        for name, value in ODD_VALUES.items():
            text = marked.replace(json.dumps(_MARK).encode(), value)
            yield OddMessage(f"{path}: {name}", text)
        if isinstance(path[-1], str):
            yield OddMessage(f"{path}: missing", _dumps(_replaced(plain, path, None)))
            field = json.dumps(path[-1]).encode() + b": "
            twice = marked.replace(
                field + json.dumps(_MARK).encode(), field + b"1, " + field + b'"two"', 1
            )
            yield OddMessage(f"{path}: twice", twice)


def _dumps(plain: Any) -> bytes:
    return json.dumps(plain).encode()


def _paths(plain: Any, path: tuple[str | int, ...] = ()) -> Iterator[tuple[Any, ...]]:
    items: Any = ()
    if isinstance(plain, dict):
        items = plain.items()
    elif isinstance(plain, list):
        items = enumerate(plain)
    for key, value in items:
        yield (*path, key)
        yield from _paths(value, (*path, key))


def _replaced(plain: Any, path: tuple[Any, ...], value: Any) -> Any:
    """Return a copy with another value at the path; without the field for None."""
    copy = dict(plain) if isinstance(plain, dict) else list(plain)
    if len(path) > 1:
        copy[path[0]] = _replaced(plain[path[0]], path[1:], value)
    elif value is None:
        del copy[path[0]]
    else:
        copy[path[0]] = value
    return copy
