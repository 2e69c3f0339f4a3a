"""Generates one request's tokens on an engine, and formats the OpenAI responses."""

import hashlib
import itertools
import json
import math
import time
from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import Any, Final, NamedTuple

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream
from starlette.requests import Request

from _pistachiopond.standin.batcher import Job
from _pistachiopond.standin.engine import ResumableStream, StandinEngine
from _pistachiopond.standin.engine_types import GenerateBody, prompt_text
from _pistachiopond.standin.generated_text import (
    count_generated_tokens,
    count_prompt_tokens,
    seed_of,
    token_at,
)
from _pistachiopond.standin.http import REQUEST_ID_HEADER
from _pistachiopond.standin.ledger import RequestEntry
from _pistachiopond.standin.prefix_cache import prefix_ids
from _pistachiopond.standin.resident_models import Target

DEFAULT_MAX_TOKENS: Final = 128
IDEMPOTENCY_HEADER: Final = "idempotency-key"
DONE_EVENT: Final = b"data: [DONE]\n\n"

_job_ids = itertools.count(1)


class Generation(NamedTuple):
    """One generation request that the engine has accepted.

    Attributes
    ----------
    first_index, end_index : int
        Range of token indices that this execution generates; `end_index` is not in
        it, and `first_index` is above 0 for a resumed stream.
    max_tokens : int
        Maximum number of tokens that the client allows.
    cached_tokens : int
        Prompt tokens that were found in the prefix cache.
    """

    request_id: str
    is_chat: bool
    body: GenerateBody
    target: Target
    seed: bytes
    content_digest: str
    prompt_tokens: int
    cached_tokens: int
    first_index: int
    end_index: int
    max_tokens: int

    def text_at(self, index: int) -> str:
        """Return the text of the token at `index`."""
        return token_at(self.seed, index)

    def finish_reason(self) -> str:
        """Return OpenAI's ``finish_reason``."""
        return "length" if self.end_index == self.max_tokens else "stop"


def digest_body(raw_body: bytes) -> str:
    """Return the digest of a request's body, as recorded in the ledger."""
    return hashlib.sha256(raw_body).hexdigest()


def plan_generation(
    engine: StandinEngine,
    request: Request,
    raw_body: bytes,
    body: GenerateBody,
    target: Target,
    first_index: int,
) -> Generation:
    """Look up the prompt in the prefix cache and count the request's tokens."""
    prompt = prompt_text(body)
    prefixes = prefix_ids(body.model, body.cache_salt, prompt)
    cached_tokens = engine.current.cache.look_up_and_store(
        body.model, prefixes, engine.timer.now_s()
    )
    max_tokens = body.max_completion_tokens or body.max_tokens or DEFAULT_MAX_TOKENS
    prompt_tokens = count_prompt_tokens(prompt)
    return Generation(
        request.headers.get(REQUEST_ID_HEADER, ""),
        request.url.path.endswith("/chat/completions"),
        body,
        target,
        seed_of(body.model, target.model.version, prompt),
        digest_body(raw_body),
        prompt_tokens,
        min(cached_tokens, prompt_tokens),
        first_index,
        count_generated_tokens(prompt, max_tokens),
        max_tokens,
    )


async def generate(
    engine: StandinEngine, generation: Generation, entry: RequestEntry
) -> AsyncGenerator[int, None]:
    """Yield the index of each token as it is generated.

    Closing the generator early cancels the generation. The request can then be
    resumed for as long as the engine's option `resume_window_s` says.
    """
    incarnation = engine.current
    job, tokens = _make_job(generation)
    position = engine.ledger.add(entry)
    model = generation.target.model
    model.running += 1
    incarnation.batcher.submit(job)
    count = 0
    outcome: Any = "cancelled"
    try:
        async for index in tokens:
            count += 1
            yield index
        outcome = "finished"
    finally:
        model.running -= 1
        incarnation.batcher.cancel(job.job_id)
        tokens.close()
        engine.record_outcome(position, entry._replace(outcome=outcome, tokens=count))
        if outcome == "cancelled":
            expires_s = engine.timer.now_s() + engine.options.resume_window_s
            interrupted = ResumableStream(generation.content_digest, expires_s)
            incarnation.resumable_streams[generation.request_id] = interrupted


def _make_job(
    generation: Generation,
) -> tuple[Job, MemoryObjectReceiveStream[int]]:
    output, indices = anyio.create_memory_object_stream[int](math.inf)
    is_resumed = generation.first_index > 0
    prefill_tokens = (
        0 if is_resumed else generation.prompt_tokens - generation.cached_tokens
    )
    job = Job(
        next(_job_ids),
        generation.body.priority,
        prefill_tokens,
        generation.first_index,
        generation.end_index,
        output,
    )
    return job, indices


async def stream_events(
    generation: Generation, indices: AsyncGenerator[int, None]
) -> AsyncGenerator[bytes, None]:
    """Yield the server-sent events of a streamed response."""
    async with aclosing(indices):
        async for index in indices:
            chunk = _chunk(generation, index)
            yield f"id: {index}\ndata: {json.dumps(chunk)}\n\n".encode()
    options = generation.body.stream_options
    if options is not None and options.include_usage:
        usage_event = _envelope(generation, is_chunk=True) | {
            "choices": [],
            "usage": _usage(generation),
        }
        yield f"data: {json.dumps(usage_event)}\n\n".encode()
    yield DONE_EVENT


def complete_response(generation: Generation) -> bytes:
    """Return the response body of a request that is not streamed."""
    text = "".join(
        generation.text_at(index)
        for index in range(generation.first_index, generation.end_index)
    )
    choice: dict[str, Any] = {
        "index": 0,
        "finish_reason": generation.finish_reason(),
        "logprobs": None,
    }
    if generation.is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    response = _envelope(generation, is_chunk=False) | {
        "choices": [choice],
        "usage": _usage(generation),
    }
    return json.dumps(response).encode()


def _chunk(generation: Generation, index: int) -> dict[str, Any]:
    is_last = index + 1 == generation.end_index
    text = generation.text_at(index)
    choice: dict[str, Any] = {
        "index": 0,
        "finish_reason": generation.finish_reason() if is_last else None,
        "logprobs": None,
    }
    if generation.is_chat:
        role_field = {"role": "assistant"} if index == 0 else {}
        choice["delta"] = role_field | {"content": text}
    else:
        choice["text"] = text
    return _envelope(generation, is_chunk=True) | {"choices": [choice]}


def _envelope(generation: Generation, *, is_chunk: bool) -> dict[str, Any]:
    object_type = "text_completion"
    if generation.is_chat:
        object_type = "chat.completion.chunk" if is_chunk else "chat.completion"
    prefix = "chatcmpl" if generation.is_chat else "cmpl"
    return {
        "id": f"{prefix}-{generation.request_id}",
        "object": object_type,
        "created": int(time.time()),
        "model": generation.body.model,
    }


def _usage(generation: Generation) -> dict[str, Any]:
    completion_tokens = generation.end_index
    return {
        "prompt_tokens": generation.prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": generation.prompt_tokens + completion_tokens,
        "prompt_tokens_details": {"cached_tokens": generation.cached_tokens},
    }
