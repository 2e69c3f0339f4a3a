"""Validates completion requests and derives what the dispatcher needs.

Tokens are estimated as one per 4 bytes of prompt, rounded up, plus the maximum that
may be generated; the actual use is taken from the engine's ``usage``.
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

JsonObject = dict[str, Any]


class CompletionRequest(NamedTuple):
    """A checked completion request.

    Attributes
    ----------
    model : str
        The model name that the caller sent; it may be an adapter's.
    body : dict
        The body for the engine; ``priority`` is added at dispatch.
    prompt_tokens, max_tokens : int
        Estimates; `max_tokens` is the sum over all choices.
    choices : int
        The number of alternative completions requested.
    is_chat, is_stream, wants_usage : bool
        Whether the caller requested a chat completion, a stream, and token counts
        in the stream.
    prefix_ids : tuple of str
        Chained digests of the prompt's blocks, the shortest prefix first.
    fingerprint : str
        Digest of customer, model and prompt.
    """

    model: str
    body: JsonObject
    prompt_tokens: int
    max_tokens: int
    choices: int
    is_chat: bool
    is_stream: bool
    wants_usage: bool
    prefix_ids: tuple[str, ...]
    fingerprint: str


class BodyError(ValueError):
    """The body is invalid; the message is sent to the caller."""


def parse_completion(
    text: bytes, *, is_chat: bool, customer: str, key: str | None
) -> Result[CompletionRequest, Failure]:
    """Check a completion request.

    Parameters
    ----------
    text : bytes
        The body as received.
    is_chat : bool
        Whether it was sent to the chat completions path.
    customer : str
        The customer's name; empty on an open route.
    key : str or None
        The caller's API key, which the body must not contain.

    Returns
    -------
    Result
        The request, or a refusal that says what to change.
    """
    try:
        payload = _decode(text)
        _refuse_key(payload, key)
        return Ok(_build(payload, is_chat, customer))
    except BodyError as error:
        return Err(bad_request("bad_body", str(error)))


def text_of_prompt(payload: JsonObject, *, is_chat: bool) -> str:
    """Return the prompt as a single text, as the engine processes it.

    Raises
    ------
    BodyError
        When the prompt is missing or has the wrong type.
    """
    if not is_chat:
        return _text_of_completion(payload.get("prompt"))
    messages = payload.get("messages")
    if not isinstance(messages, list) or not messages:
        raise BodyError("$.messages: must be a list with at least one message.")
    return "".join(_text_of_messages(messages))


def chain_prefixes(model: str, salt: str, prompt: str) -> tuple[str, ...]:
    """Return the prefix-cache identifiers of the prompt's blocks.

    Parameters
    ----------
    model : str
        The request's ``model`` field.
    salt : str
        The cache salt, which separates the caches of customers.
    prompt : str
        The complete prompt.
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
    """Return the cache salt, which differs by customer.

    Customers therefore never share cached prompts.
    """
    return hashlib.sha256(f"{customer}\0{callers_salt}".encode()).hexdigest()[:32]


def contains_text(value: Any, text: str) -> bool:
    """Return whether a text occurs in any string of decoded JSON data."""
    if isinstance(value, str):
        return text in value
    if isinstance(value, dict):
        return any(
            text in name or contains_text(item, text) for name, item in value.items()
        )
    if isinstance(value, list):
        return any(contains_text(item, text) for item in value)
    return False


def _decode(text: bytes) -> JsonObject:
    try:
        payload = json.loads(text, parse_constant=_refuse_constant)
    except BodyError:
        raise
    except (ValueError, RecursionError) as error:
        raise BodyError(f"The body is not valid JSON ({error}).") from error
    if not isinstance(payload, dict):
        raise BodyError("The body must be a JSON object.")
    return payload


def _refuse_constant(name: str) -> None:
    raise BodyError(f"{name} is not valid JSON; give a number.")


def _refuse_key(payload: JsonObject, key: str | None) -> None:
    if key is not None and contains_text(payload, key):
        raise BodyError("The body holds the caller's key; send it only as a header.")


def _build(payload: JsonObject, is_chat: bool, customer: str) -> CompletionRequest:
    model = payload.get("model")
    if not isinstance(model, str) or not model:
        raise BodyError("$.model: must name a model.")
    prompt = text_of_prompt(payload, is_chat=is_chat)
    content_bytes = len(prompt.encode("utf-8", "surrogatepass"))
    choices = _integer(payload, "n", 1, 1, MAX_CHOICES)
    max_tokens_per_choice = _max_tokens(payload, is_chat)
    is_stream = _boolean(payload, "stream")
    options = payload.get("stream_options") or {}
    if not isinstance(options, dict):
        raise BodyError("$.stream_options: must be an object.")
    callers_salt = payload.get("cache_salt", "")
    if not isinstance(callers_salt, str):
        raise BodyError("$.cache_salt: must be a text.")
    salt = salt_for(customer, callers_salt)
    return CompletionRequest(
        model=model,
        body=_body_for_engine(payload, is_chat, max_tokens_per_choice, salt, options),
        prompt_tokens=-(-content_bytes // BYTES_PER_TOKEN),
        max_tokens=max_tokens_per_choice * choices,
        choices=choices,
        is_chat=is_chat,
        is_stream=is_stream,
        wants_usage=bool(options.get("include_usage")),
        prefix_ids=chain_prefixes(model, salt, prompt),
        fingerprint=_fingerprint(payload, is_chat, customer, model),
    )


def _body_for_engine(
    payload: JsonObject,
    is_chat: bool,
    max_tokens_per_choice: int,
    salt: str,
    options: JsonObject,
) -> JsonObject:
    # The engine always streams, so that progress is visible and a broken connection
    # can be resumed.
    body = dict(payload)
    body["stream"] = True
    body["stream_options"] = {**options, "include_usage": True}
    body["cache_salt"] = salt
    body.pop("max_completion_tokens", None)
    body["max_tokens"] = max_tokens_per_choice
    return body


def _max_tokens(payload: JsonObject, is_chat: bool) -> int:
    names = ("max_completion_tokens", "max_tokens") if is_chat else ("max_tokens",)
    for name in names:
        if payload.get(name) is not None:
            return _integer(payload, name, DEFAULT_MAX_TOKENS, 1, LARGEST_MAX_TOKENS)
    return DEFAULT_MAX_TOKENS


def _integer(payload: JsonObject, name: str, default: int, low: int, high: int) -> int:
    value = payload.get(name)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int):
        raise BodyError(f"$.{name}: must be a whole number.")
    if not low <= value <= high:
        raise BodyError(f"$.{name}: must be from {low} to {high}.")
    return value


def _boolean(payload: JsonObject, name: str) -> bool:
    value = payload.get(name)
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


def _fingerprint(payload: JsonObject, is_chat: bool, customer: str, model: str) -> str:
    # Only the model's input is hashed, so that the same content is recognised even
    # if other fields change when the request is sent again.
    content = payload.get("messages" if is_chat else "prompt")
    text = json.dumps([customer, model, content], sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()
