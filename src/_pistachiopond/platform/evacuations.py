"""Decodes the operators' records of evacuated data centres."""

from typing import Any, Final

from result import Err, Ok, Result

from _pistachiopond.schema.json_decoding import make_decoder

# The rest of the key is the name of the data centre.
KEY_PREFIX: Final = "evacuate/"

_decode_object: Final = make_decoder(dict[str, Any])


def is_evacuation_key(key: str) -> bool:
    """Return whether a key of the operators' topic names an evacuation."""
    return key.startswith(KEY_PREFIX)


def decode_evacuation(key: str, value: bytes) -> Result[str, str]:
    """Return the data centre that a record evacuates, or why it is invalid."""
    data_centre = key.removeprefix(KEY_PREFIX)
    if not data_centre:
        return Err("the key names no data centre")
    decoded = _decode_object(value)
    return Err(decoded.err()) if decoded.is_err() else Ok(data_centre)
