"""Checks the body of a completion request and works out what deciding needs.

Tokens are estimated as one for each 4 bytes of prompt, rounded up, plus the most
that may be generated; the engine's ``usage`` settles what was really used.
"""

import hashlib
import json
from collections.abc import Iterator
from typing import Any, Final, NamedTuple

from result import Err, Ok, Result

from _pistachiopond.entry.problems import bad_request
from _pistachiopond.schema.verdict import Failure

DEFAULT_MAX_TOKENS: Final = 256
LARGEST_MAX_TOKENS: Final = 1_000_000
BYTES_PER_TOKEN: Final = 4
PREFIX_BLOCK_BYTES: Final = 256
MAX_PREFIX_BLOCKS: Final = 64
MAX_CHOICES: Final = 16
ENGINE_PREFIX: Final = "/v1/"
CHAT_PATH: Final = "/v1/chat/completions"
TEXT_PATH: Final = "/v1/completions"
MODELS_PATH: Final = "/v1/models"

Plain = dict[str, Any]


class CompletionRequest(NamedTuple):
    """A checked completion request.

    Attributes
    ----------
    model : str
        As the caller named it.
    body : dict
        To be sent to the engine; ``priority`` is added at dispatch.
    prompt_tokens, max_tokens : int
        Estimates; `max_tokens` counts all choices.
    choices : int
        How many answers the caller asked for.
    is_chat, is_stream, wants_usage : bool
        What the caller asked for.
    prefix_ids : tuple of str
        Chained digests of the prompt's blocks, the shortest prefix first.
    fingerprint : str
        Digest of customer, model and prompt.
    """

    model: str
    body: Plain
    prompt_tokens: int
    max_tokens: int
    choices: int
    is_chat: bool
    is_stream: bool
    wants_usage: bool
    prefix_ids: tuple[str, ...]
    fingerprint: str


class BodyError(ValueError):
    """What is wrong with a body; the text goes to the caller."""


def parse_completion(
    text: bytes, *, is_chat: bool, customer: str, key: str | None
) -> Result[CompletionRequest, Failure]:
    """Check a completion request.

    Parameters
    ----------
    text : bytes
        The body as it came.
    is_chat : bool
        Whether it came for chat completions.
    customer : str
        Empty on an open route.
    key : str or None
        The caller's key, which the body must not hold.

    Returns
    -------
    Result
        The request, or a refusal that says what to change.
    """
    try:
        plain = _decode(text)
        _refuse_key(plain, key)
        return Ok(_build(plain, is_chat, customer))
    except BodyError as error:
        return Err(bad_request("bad_body", str(error)))


def text_of_prompt(plain: Plain, *, is_chat: bool) -> str:
    """Return the prompt as one text, as the engine sees it.

    Raises
    ------
    BodyError
        When it is missing or of another type.
    """
    if not is_chat:
        return _text_of_completion(plain.get("prompt"))
    messages = plain.get("messages")
    if not isinstance(messages, list) or not messages:
        raise BodyError("$.messages: must be a list with at least one message.")
    return "".join(_text_of_messages(messages))


def chain_prefixes(model: str, salt: str, prompt: str) -> tuple[str, ...]:
    """Return the identities under which engines cache the prompt's blocks.

    Parameters
    ----------
    model : str
        The request's ``model`` field.
    salt : str
        Keeps the caches of customers apart.
    prompt : str
        The whole prompt.
    """
    content = prompt.encode("utf-8", "surrogatepass")
    blocks = min(len(content) // PREFIX_BLOCK_BYTES, MAX_PREFIX_BLOCKS)
    previous = hashlib.sha256(f"{model}\0{salt}".encode()).hexdigest()
    chained = []
    for number in range(blocks):
        start = number * PREFIX_BLOCK_BYTES
        block = content[start : start + PREFIX_BLOCK_BYTES]
        previous = hashlib.sha256(previous.encode() + block).hexdigest()
        chained.append(previous)
    return tuple(chained)


def salt_for(customer: str, callers_salt: str) -> str:
    """Return the cache salt: one customer's cached prompts never serve another."""
    return hashlib.sha256(f"{customer}\0{callers_salt}".encode()).hexdigest()[:32]


def contains_text(value: Any, text: str) -> bool:
    """Return whether a text occurs in any string of plain JSON data."""
    if isinstance(value, str):
        return text in value
    if isinstance(value, dict):
        return any(
            text in name or contains_text(item, text) for name, item in value.items()
        )
    if isinstance(value, list):
        return any(contains_text(item, text) for item in value)
    return False


def _decode(text: bytes) -> Plain:
    try:
        plain = json.loads(text, parse_constant=_refuse_constant)
    except BodyError:
        raise
    except (ValueError, RecursionError) as error:
        raise BodyError(f"The body is not valid JSON ({error}).") from error
    if not isinstance(plain, dict):
        raise BodyError("The body must be a JSON object.")
    return plain


def _refuse_constant(name: str) -> None:
    raise BodyError(f"{name} is not valid JSON; give a number.")


def _refuse_key(plain: Plain, key: str | None) -> None:
    if key is not None and contains_text(plain, key):
        raise BodyError("The body holds the caller's key; send it only as a header.")


def _build(plain: Plain, is_chat: bool, customer: str) -> CompletionRequest:
    model = plain.get("model")
    if not isinstance(model, str) or not model:
        raise BodyError("$.model: must name a model.")
    prompt = text_of_prompt(plain, is_chat=is_chat)
    content_bytes = len(prompt.encode("utf-8", "surrogatepass"))
    choices = _integer(plain, "n", 1, 1, MAX_CHOICES)
    most = _max_tokens(plain, is_chat)
    is_stream = _boolean(plain, "stream")
    options = plain.get("stream_options") or {}
    if not isinstance(options, dict):
        raise BodyError("$.stream_options: must be an object.")
    callers_salt = plain.get("cache_salt", "")
    if not isinstance(callers_salt, str):
        raise BodyError("$.cache_salt: must be a text.")
    salt = salt_for(customer, callers_salt)
    return CompletionRequest(
        model=model,
        body=_body_for_engine(plain, is_chat, most, salt, options),
        prompt_tokens=-(-content_bytes // BYTES_PER_TOKEN),
        max_tokens=most * choices,
        choices=choices,
        is_chat=is_chat,
        is_stream=is_stream,
        wants_usage=bool(options.get("include_usage")),
        prefix_ids=chain_prefixes(model, salt, prompt),
        fingerprint=_fingerprint(plain, is_chat, customer, model),
    )


def _body_for_engine(
    plain: Plain, is_chat: bool, most: int, salt: str, options: Plain
) -> Plain:
    # The engine always streams, so that progress shows and a break can be resumed.
    body = dict(plain)
    body["stream"] = True
    body["stream_options"] = {**options, "include_usage": True}
    body["cache_salt"] = salt
    body.pop("max_completion_tokens", None)
    body["max_tokens"] = most
    return body


def _max_tokens(plain: Plain, is_chat: bool) -> int:
    names = ("max_completion_tokens", "max_tokens") if is_chat else ("max_tokens",)
    for name in names:
        if plain.get(name) is not None:
            return _integer(plain, name, DEFAULT_MAX_TOKENS, 1, LARGEST_MAX_TOKENS)
    return DEFAULT_MAX_TOKENS


def _integer(plain: Plain, name: str, default: int, low: int, high: int) -> int:
    value = plain.get(name)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int):
        raise BodyError(f"$.{name}: must be a whole number.")
    if not low <= value <= high:
        raise BodyError(f"$.{name}: must be from {low} to {high}.")
    return value


def _boolean(plain: Plain, name: str) -> bool:
    value = plain.get(name)
    if value is None:
        return False
    if not isinstance(value, bool):
        raise BodyError(f"$.{name}: must be true or false.")
    return value


def _text_of_completion(prompt: Any) -> str:
    if isinstance(prompt, str):
        return prompt
    raise BodyError("$.prompt: must be a text.")


def _text_of_messages(messages: list[Any]) -> Iterator[str]:
    for number, message in enumerate(messages):
        if not isinstance(message, dict):
            raise BodyError(f"$.messages[{number}]: must be an object.")
        role = message.get("role")
        if not isinstance(role, str) or not role:
            raise BodyError(f"$.messages[{number}].role: must be a text.")
        yield f"{role}\n{_text_of_content(number, message.get('content'))}\n"


def _text_of_content(number: int, content: Any) -> str:
    if content is None:
        return ""
    if isinstance(content, str):
        return content
    if not isinstance(content, list):
        raise BodyError(f"$.messages[{number}].content: must be a text or a list.")
    return "".join(
        part["text"]
        for part in content
        if isinstance(part, dict) and isinstance(part.get("text"), str)
    )


def _fingerprint(plain: Plain, is_chat: bool, customer: str, model: str) -> str:
    # Only what the model computes on: the same content is recognised however the
    # rest of the request is changed before it is sent again.
    content = plain.get("messages" if is_chat else "prompt")
    text = json.dumps([customer, model, content], sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()
