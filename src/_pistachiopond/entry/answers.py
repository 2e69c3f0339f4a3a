"""Reads an engine's stream: order of tokens, end mark, usage, and the plain answer.

An answer is whole only when its tokens came without a gap, every choice has a
finish reason, the usage has come and then the end mark.
"""

import json
from typing import Any, Final, NamedTuple, final

from _pistachiopond.entry.sse import SseEvent

END_MARK: Final = "[DONE]"

Plain = dict[str, Any]


class Usage(NamedTuple):
    """Tokens that an answer took."""

    prompt_tokens: int
    completion_tokens: int


class StreamFault(ValueError):
    """The engine's stream is not what was asked for; the text says how."""


class DivergedFault(ValueError):
    """A second run gave other tokens than those that were handed on before."""


@final
class AnswerReader:
    """The state of one answer, over all connections and attempts that bring it.

    Tokens are numbered from 0. What an engine sends again is compared with what
    was taken before, and handed on only once.

    Attributes
    ----------
    next_offset : int
        The token that must come next in this run.
    usage : Usage or None
        Once the engine has sent it.
    is_whole : bool
        Whether everything has come.
    has_diverged : bool
        Whether a run gave other tokens than an earlier one, so that the answer
        can't be completed by another run.
    """

    def __init__(self, *, choices: int, forwards_usage: bool) -> None:
        self.next_offset = 0
        self.usage: Usage | None = None
        self.is_whole = False
        self.has_diverged = False
        self._choices = choices
        self._finished: set[int] = set()
        self._forwards_usage = forwards_usage
        self._taken: list[int] = []
        self._first: Plain | None = None

    @property
    def taken_tokens(self) -> int:
        """How many tokens have been taken, over all runs."""
        return len(self._taken)

    def restart(self) -> None:
        """Expect a run from the first token on."""
        self.next_offset = 0
        self._finished.clear()

    def resume(self) -> None:
        """Expect the first token that has not been taken yet."""
        self.next_offset = len(self._taken)

    def accept(self, event: SseEvent) -> str | None:
        """Take the next event.

        Returns
        -------
        str or None
            The chunk to hand on; None for one that was handed on before, for the
            end mark and for a usage that was not asked for.

        Raises
        ------
        StreamFault
            When the event can't follow what came before.
        DivergedFault
            When it contradicts what was handed on.
        """
        if event.data == END_MARK:
            self._end()
            return None
        chunk = _decode(event)
        if "error" in chunk:
            raise StreamFault("the engine reported an error in its stream")
        if not chunk.get("choices"):
            return self._take_usage(event, chunk)
        if not self._is_next(event):
            return None
        self._note_finish(chunk)
        if not self._is_new(chunk):
            return None
        return self._same_answer(event, chunk)

    def _end(self) -> None:
        if self.usage is None or len(self._finished) < self._choices:
            raise StreamFault("the end mark came before the end of the answer")
        if self.next_offset < len(self._taken):
            raise DivergedFault("this run ended before the earlier one")
        self.is_whole = True

    def _is_next(self, event: SseEvent) -> bool:
        if not event.event_id.isdecimal():
            self.next_offset += 1
            return True
        offset = int(event.event_id)
        if offset > self.next_offset:
            raise StreamFault("tokens are missing from the stream")
        if offset < self.next_offset:
            return False
        self.next_offset += 1
        return True

    def _note_finish(self, chunk: Plain) -> None:
        for choice in chunk["choices"]:
            if choice.get("finish_reason") is not None:
                self._finished.add(int(choice.get("index", 0)))

    def _is_new(self, chunk: Plain) -> bool:
        offset = self.next_offset - 1
        content = hash(str(chunk["choices"]))
        if offset == len(self._taken):
            self._taken.append(content)
            return True
        if self._taken[offset] != content:
            self.has_diverged = True
            raise DivergedFault("this run gave another token than the earlier one")
        return False

    def _same_answer(self, event: SseEvent, chunk: Plain) -> str:
        # All chunks of one answer carry the same id, whichever run they come from.
        if self._first is None:
            self._first = {name: chunk.get(name) for name in ("id", "created")}
        if chunk.get("id") == self._first["id"]:
            return event.data
        return json.dumps({**chunk, **self._first}, ensure_ascii=False)

    def _take_usage(self, event: SseEvent, chunk: Plain) -> str | None:
        usage = chunk.get("usage")
        if isinstance(usage, dict):
            self.usage = Usage(
                int(usage.get("prompt_tokens", 0)),
                int(usage.get("completion_tokens", 0)),
            )
        return self._same_answer(event, chunk) if self._forwards_usage else None


@final
class AnswerBuilder:
    """Puts the chunks of a stream together to a plain answer."""

    def __init__(self, *, is_chat: bool) -> None:
        self._is_chat = is_chat
        self._head: Plain = {}
        self._choices: dict[int, Plain] = {}

    def add(self, text: str) -> None:
        """Take the next chunk, as JSON."""
        chunk: Plain = json.loads(text)
        if not self._head:
            self._head = {
                name: value
                for name, value in chunk.items()
                if name not in ("choices", "usage", "object")
            }
        for piece in chunk.get("choices") or []:
            self._add_choice(piece)

    def build(self, usage: Usage) -> bytes:
        """Return the whole answer as JSON."""
        kind = "chat.completion" if self._is_chat else "text_completion"
        answer = {
            **self._head,
            "object": kind,
            "choices": [self._choices[number] for number in sorted(self._choices)],
            "usage": {
                "prompt_tokens": usage.prompt_tokens,
                "completion_tokens": usage.completion_tokens,
                "total_tokens": usage.prompt_tokens + usage.completion_tokens,
            },
        }
        return json.dumps(answer, ensure_ascii=False).encode()

    def _add_choice(self, piece: Plain) -> None:
        number = int(piece.get("index", 0))
        choice = self._choices.get(number)
        if choice is None:
            choice = self._new_choice(number)
            self._choices[number] = choice
        if self._is_chat:
            _merge_delta(choice["message"], piece.get("delta") or {})
        else:
            choice["text"] += piece.get("text") or ""
        _merge_logprobs(choice, piece.get("logprobs"))
        if piece.get("finish_reason") is not None:
            choice["finish_reason"] = piece["finish_reason"]

    def _new_choice(self, number: int) -> Plain:
        if not self._is_chat:
            return {
                "index": number,
                "text": "",
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
class EngineAnswer:
    """What has come of one engine's answer, over all attempts at it."""

    def __init__(self, *, choices: int, is_chat: bool, forwards_usage: bool) -> None:
        self.reader = AnswerReader(choices=choices, forwards_usage=forwards_usage)
        self.builder = AnswerBuilder(is_chat=is_chat)


def _merge_delta(message: Plain, delta: Plain) -> None:
    for name, value in delta.items():
        if value is None:
            continue
        if name == "tool_calls":
            _merge_tool_calls(message.setdefault("tool_calls", []), value)
        elif name == "role" or not isinstance(value, str):
            message[name] = value
        else:
            message[name] = (message.get(name) or "") + value


def _merge_tool_calls(calls: list[Plain], pieces: list[Plain]) -> None:
    for piece in pieces:
        number = int(piece.get("index", len(calls)))
        while len(calls) <= number:
            calls.append({"type": "function", "function": {"arguments": ""}})
        call = calls[number]
        for name in ("id", "type"):
            if piece.get(name):
                call[name] = piece[name]
        function = piece.get("function") or {}
        if function.get("name"):
            call["function"]["name"] = function["name"]
        call["function"]["arguments"] += function.get("arguments") or ""


def _merge_logprobs(choice: Plain, logprobs: Plain | None) -> None:
    if not logprobs:
        return
    if choice["logprobs"] is None:
        choice["logprobs"] = {}
    for name, value in logprobs.items():
        if isinstance(value, list):
            choice["logprobs"].setdefault(name, []).extend(value)
        else:
            choice["logprobs"][name] = value


def _decode(event: SseEvent) -> Plain:
    try:
        chunk = json.loads(event.data)
    except ValueError as error:
        raise StreamFault("an event of the stream is not valid JSON") from error
    if not isinstance(chunk, dict):
        raise StreamFault("an event of the stream is not a JSON object")
    if event.name == "error":
        raise StreamFault("the engine reported an error in its stream")
    return chunk
