"""Validates an engine's event stream and assembles non-streaming responses.

A response is complete only if its tokens arrived without a gap, every choice has a
finish reason, and the usage and then the end marker were received.
"""

import io
import json
from types import UnionType
from typing import Any, Final, NamedTuple, final

from _pistachiopond.entry.sse import SseEvent

END_MARK: Final = "[DONE]"
# Of one choice, as an engine numbers them.
MAX_TOOL_CALLS: Final = 1024

JsonObject = dict[str, Any]


class Usage(NamedTuple):
    """Token counts of one response, as reported by the engine."""

    prompt_tokens: int
    completion_tokens: int


class InvalidStreamError(ValueError):
    """The engine's stream is invalid; the message says why."""


class DivergedStreamError(ValueError):
    """A run produced tokens that differ from those already received."""


@final
class EngineStreamReader:
    """Reads the events of one response, across all connections and attempts.

    Tokens are numbered from 0. Tokens that an engine sends again are compared with
    those received before, and each token is forwarded only once.

    Attributes
    ----------
    next_offset : int
        The number of the token expected next in this run.
    usage : Usage or None
        The engine's token counts; None until received in this run.
    is_complete : bool
        Whether the complete response has been received.
    has_diverged : bool
        Whether a run produced tokens that differ from those received before. No
        further run can complete the response then.
    """

    def __init__(self, *, choices: int, forwards_usage: bool) -> None:
        self.next_offset = 0
        self.usage: Usage | None = None
        self.is_complete = False
        self.has_diverged = False
        self._is_resumed = False
        self._choices = choices
        self._finished: set[int] = set()
        self._forwards_usage = forwards_usage
        self._token_hashes: list[int] = []
        self._first_ids: JsonObject | None = None
        self._usage_chunk: str | None = None

    @property
    def received_tokens(self) -> int:
        """How many tokens have been received; a rerun's repetitions do not count."""
        return len(self._token_hashes)

    def restart(self) -> None:
        """Expect a run that starts at the first token."""
        self.next_offset = 0
        self._is_resumed = False
        self._finished.clear()
        self.usage = None
        self._usage_chunk = None

    def resume(self) -> None:
        """Expect the token after the last one of this run.

        Earlier runs may have had more tokens; this run's are compared with them.
        """
        self._is_resumed = self.next_offset > 0

    def accept(self, event: SseEvent) -> str | None:
        """Process the next event.

        Returns
        -------
        str or None
            The chunk to forward; None if it was forwarded before. The usage chunk, if
            the caller requested it, is returned at the end marker, so that a response
            that is resumed or run again has only one.

        Raises
        ------
        InvalidStreamError
            When the event is malformed or out of sequence.
        DivergedStreamError
            When it contradicts tokens that were received before.
        """
        if event.data == END_MARK:
            self._accept_end_mark()
            return self._usage_chunk
        chunk = _decode(event)
        if "error" in chunk:
            raise InvalidStreamError("the engine reported an error in its stream")
        if not chunk.get("choices"):
            self._accept_usage(event, chunk)
            return None
        # A chunk that cannot be added to the response must not count as received.
        _check_choices(chunk["choices"])
        offset = self._offset_of(event)
        self._record_finish_reasons(chunk)
        if not self._record_token(offset, chunk):
            return None
        return self._with_first_ids(event, chunk)

    def _accept_end_mark(self) -> None:
        if self.usage is None or len(self._finished) < self._choices:
            raise InvalidStreamError(
                "the end marker arrived before the response was complete: "
                f"{len(self._finished)} of {self._choices} choices finished, "
                f"usage {self.usage}"
            )
        if self.next_offset < len(self._token_hashes):
            raise DivergedStreamError(
                f"the rerun ended after {self.next_offset} tokens, "
                f"the earlier run had {len(self._token_hashes)}"
            )
        self.is_complete = True

    def _offset_of(self, event: SseEvent) -> int:
        if not event.event_id.isdecimal():
            if self._is_resumed:
                raise InvalidStreamError("a resumed stream does not number its tokens")
            return self.next_offset
        offset = int(event.event_id)
        if offset > self.next_offset:
            raise InvalidStreamError(
                f"the stream skipped tokens: got {offset}, expected {self.next_offset}"
            )
        return offset

    def _record_finish_reasons(self, chunk: JsonObject) -> None:
        for choice in chunk["choices"]:
            if choice.get("finish_reason") is not None:
                self._finished.add(choice.get("index", 0))

    def _record_token(self, offset: int, chunk: JsonObject) -> bool:
        """Record a token or compare it with the earlier one; return if it is new."""
        content_hash = hash(str(chunk["choices"]))
        is_new = offset == len(self._token_hashes)
        if is_new:
            self._token_hashes.append(content_hash)
        elif self._token_hashes[offset] != content_hash:
            self.has_diverged = True
            raise DivergedStreamError(
                f"token {offset} differs from the one received before"
            )
        self.next_offset = max(self.next_offset, offset + 1)
        return is_new

    def _with_first_ids(self, event: SseEvent, chunk: JsonObject) -> str:
        # All chunks of one response carry the same id, also those of a rerun.
        if self._first_ids is None:
            self._first_ids = {name: chunk.get(name) for name in ("id", "created")}
        if chunk.get("id") == self._first_ids["id"]:
            return event.data
        return json.dumps({**chunk, **self._first_ids}, ensure_ascii=False)

    def _accept_usage(self, event: SseEvent, chunk: JsonObject) -> None:
        usage = chunk.get("usage")
        if not isinstance(usage, dict):
            return
        self.usage = Usage(
            int(usage.get("prompt_tokens", 0)),
            int(usage.get("completion_tokens", 0)),
        )
        if self._forwards_usage:
            self._usage_chunk = self._with_first_ids(event, chunk)


@final
class CompletionBuilder:
    """Assembles the chunks of a stream into a non-streaming response.

    Texts that grow with each token are `io.StringIO` objects until the end, so that
    each token costs the same.
    """

    def __init__(self, *, is_chat: bool) -> None:
        self._is_chat = is_chat
        self._common_fields: JsonObject = {}
        self._choices: dict[int, JsonObject] = {}

    def add(self, text: str) -> None:
        """Add the next chunk, given as JSON that `EngineStreamReader` has accepted."""
        chunk: JsonObject = json.loads(text)
        if not self._common_fields:
            self._common_fields = {
                name: value
                for name, value in chunk.items()
                if name not in ("choices", "usage", "object")
            }
        for part in chunk.get("choices") or []:
            self._add_choice(part)

    def build(self, usage: Usage) -> bytes:
        """Return the complete response as JSON."""
        kind = "chat.completion" if self._is_chat else "text_completion"
        answer = {
            **self._common_fields,
            "object": kind,
            "choices": [self._choices[number] for number in sorted(self._choices)],
            "usage": {
                "prompt_tokens": usage.prompt_tokens,
                "completion_tokens": usage.completion_tokens,
                "total_tokens": usage.prompt_tokens + usage.completion_tokens,
            },
        }
        return json.dumps(
            answer, ensure_ascii=False, default=io.StringIO.getvalue
        ).encode()

    def _add_choice(self, part: JsonObject) -> None:
        number = part.get("index", 0)
        choice = self._choices.get(number)
        if choice is None:
            choice = self._new_choice(number)
            self._choices[number] = choice
        if self._is_chat:
            _merge_delta(choice["message"], part.get("delta") or {})
        else:
            choice["text"].write(part.get("text") or "")
        _merge_logprobs(choice, part.get("logprobs"))
        if part.get("finish_reason") is not None:
            choice["finish_reason"] = part["finish_reason"]

    def _new_choice(self, number: int) -> JsonObject:
        if not self._is_chat:
            return {
                "index": number,
                "text": io.StringIO(),
                "logprobs": None,
                "finish_reason": None,
            }
        message = {"role": "assistant", "content": None}
        return {
            "index": number,
            "message": message,
            "logprobs": None,
            "finish_reason": None,
        }


@final
class EngineResponse:
    """What has been received of one engine response, over all attempts."""

    def __init__(self, *, choices: int, is_chat: bool, forwards_usage: bool) -> None:
        self.reader = EngineStreamReader(choices=choices, forwards_usage=forwards_usage)
        self.builder = CompletionBuilder(is_chat=is_chat)


def _merge_delta(message: JsonObject, delta: JsonObject) -> None:
    for name, value in delta.items():
        if value is None:
            continue
        if name == "tool_calls":
            _merge_tool_calls(message.setdefault("tool_calls", []), value)
            continue
        if name == "role" or not isinstance(value, str):
            message[name] = value
            continue
        if not isinstance(message.get(name), io.StringIO):
            message[name] = io.StringIO()
        message[name].write(value)


def _merge_tool_calls(calls: list[JsonObject], parts: list[JsonObject]) -> None:
    for part in parts:
        index = part.get("index")
        number = len(calls) if index is None else index
        while len(calls) <= number:
            calls.append({"type": "function", "function": {"arguments": io.StringIO()}})
        call = calls[number]
        for name in ("id", "type"):
            if part.get(name):
                call[name] = part[name]
        function = part.get("function") or {}
        if function.get("name"):
            call["function"]["name"] = function["name"]
        call["function"]["arguments"].write(function.get("arguments") or "")


def _merge_logprobs(choice: JsonObject, logprobs: JsonObject | None) -> None:
    if not logprobs:
        return
    if choice["logprobs"] is None:
        choice["logprobs"] = {}
    for name, value in logprobs.items():
        previous = choice["logprobs"].get(name)
        if isinstance(previous, list) and isinstance(value, list):
            previous.extend(value)
        else:
            choice["logprobs"][name] = value


def _check_choices(choices: Any) -> None:
    """Check the parts of a chunk's choices that `CompletionBuilder` relies on.

    Raises
    ------
    InvalidStreamError
        When one of them has the wrong type or a number out of its range.
    """
    _check_type("choices", choices, list)
    for choice in choices:
        _check_type("choice", choice, dict)
        _check_index(choice.get("index", 0))
        _check_type("text", choice.get("text"), str | None)
        _check_type("logprobs", choice.get("logprobs"), dict | None)
        _check_type("delta", choice.get("delta"), dict | None)
        if choice.get("delta"):
            _check_tool_calls(choice["delta"].get("tool_calls"))


def _check_tool_calls(calls: Any) -> None:
    _check_type("tool_calls", calls, list | None)
    for call in calls or ():
        _check_type("tool call", call, dict)
        if call.get("index") is not None:
            _check_index(call["index"])
            if call["index"] >= MAX_TOOL_CALLS:
                raise InvalidStreamError(
                    f"an event of the stream has the tool call {call['index']}; "
                    f"at most {MAX_TOOL_CALLS} are allowed"
                )
        _check_type("function", call.get("function"), dict | None)
        if call.get("function"):
            _check_type("arguments", call["function"].get("arguments"), str | None)


def _check_index(index: Any) -> None:
    _check_type("index", index, int)
    if index < 0:
        raise InvalidStreamError(f"an event of the stream has the index {index}")


def _check_type(name: str, value: Any, expected: type | UnionType) -> None:
    if not isinstance(value, expected):
        raise InvalidStreamError(
            f"an event of the stream has a {name} of type {type(value).__name__}"
        )


def _decode(event: SseEvent) -> JsonObject:
    try:
        chunk = json.loads(event.data)
    except ValueError as error:
        raise InvalidStreamError("an event of the stream is not valid JSON") from error
    if not isinstance(chunk, dict):
        raise InvalidStreamError("an event of the stream is not a JSON object")
    if event.name == "error":
        raise InvalidStreamError("the engine reported an error in its stream")
    return chunk
