"""Converts typed data to and from JSON; unknown fields are rejected.

Each error names the path of the field and the expected value.
"""

import json
from functools import cache
from typing import Any, TypeVar

from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

T = TypeVar("T")


@cache
def _adapter(kind: type[T]) -> TypeAdapter[T]:
    return TypeAdapter(kind)


def to_plain(value: Any) -> Any:
    """Return `value` as JSON-compatible data, with named tuples as dictionaries."""
    if hasattr(value, "_asdict"):
        return {name: to_plain(item) for name, item in value._asdict().items()}
    if isinstance(value, (list, tuple)):
        return [to_plain(item) for item in value]
    if isinstance(value, (set, frozenset)):
        return sorted(to_plain(item) for item in value)
    if isinstance(value, dict):
        return {name: to_plain(item) for name, item in value.items()}
    return value


def to_json(value: Any) -> str:
    """Return `value` as JSON; keys are sorted, so equal values give equal text."""
    return json.dumps(
        to_plain(value), sort_keys=True, separators=(",", ":"), ensure_ascii=False
    )


def from_plain(kind: type[T], value: Any) -> Result[T, tuple[str, ...]]:
    """Check plain JSON data against a type.

    Parameters
    ----------
    kind : type
        A named tuple type.
    value : Any
        Decoded JSON.

    Returns
    -------
    Result
        The typed value, or one line for each fault.
    """
    try:
        return Ok(_adapter(kind).validate_python(value))
    except ValidationError as error:
        return Err(_explain(error))


def from_json(kind: type[T], text: str | bytes) -> Result[T, tuple[str, ...]]:
    """Check JSON text against a type.

    Parameters
    ----------
    kind : type
        A named tuple type.
    text : str or bytes
        UTF-8 JSON.

    Returns
    -------
    Result
        The typed value, or one line for each fault.
    """
    try:
        value = json.loads(text)
    except (ValueError, RecursionError) as error:
        return Err((f"not valid JSON ({error}); correct the text and try again",))
    return from_plain(kind, value)


def _explain(error: ValidationError) -> tuple[str, ...]:
    return tuple(
        f"{_path(item['loc'])}: {item['msg']}; correct or remove this field"
        for item in error.errors(include_url=False, include_input=False)
    )


def _path(location: tuple[int | str, ...]) -> str:
    steps = (f"[{step}]" if isinstance(step, int) else f".{step}" for step in location)
    return "$" + "".join(steps)
