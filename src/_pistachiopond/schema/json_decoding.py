"""Decodes JSON written by other processes into typed values.

The text may be anything, so each number has a range. Non-finite numbers, text that is
not UTF-8 and deep nesting are refused, also in unknown fields, which are ignored
otherwise.
"""

from collections.abc import Callable
from typing import Annotated, Any, Final, TypeVar

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

T = TypeVar("T")

# The largest whole number that every JSON implementation represents exactly.
MAX_WHOLE_NUMBER: Final = 2**53

# A number of things, an offset, a version, or a time in milliseconds.
Count = Annotated[int, Meta(ge=0, le=MAX_WHOLE_NUMBER)]
# A size, a time or a rate.
Amount = Annotated[float, Meta(ge=0.0, le=float(MAX_WHOLE_NUMBER))]
Number = Annotated[float, Meta(ge=-float(MAX_WHOLE_NUMBER), le=float(MAX_WHOLE_NUMBER))]


def make_decoder(kind: type[T]) -> Callable[[bytes], Result[T, str]]:
    """Return a function that decodes JSON text.

    Parameters
    ----------
    kind : type
        The type of the value; its numbers should have ranges.

    Returns
    -------
    callable
        Returns the value, or the reason why the text does not have the type.
    """
    decoder = msgspec.json.Decoder(kind)

    def decode(text: bytes) -> Result[T, str]:
        try:
            return Ok(decoder.decode(text))
        except ValueError as error:
            return Err(str(error))
        except RecursionError:
            return Err("the JSON is nested too deeply")

    return decode


def check_type(kind: type[T], value: Any) -> Result[T, str]:
    """Return decoded JSON as a value of the type, or the reason why it is none."""
    try:
        return Ok(msgspec.convert(value, kind))
    except ValueError as error:
        return Err(str(error))
    except RecursionError:
        return Err("the value is nested too deeply")
