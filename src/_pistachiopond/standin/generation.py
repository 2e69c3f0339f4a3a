"""Generates one request's tokens on an engine, and answers in OpenAI's shapes."""

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
from _pistachiopond.standin.engine import Broken, StandinEngine
from _pistachiopond.standin.engine_types import GenerateBody, prompt_text
from _pistachiopond.standin.http import REQUEST_ID_HEADER
from _pistachiopond.standin.ledger import RequestEntry
from _pistachiopond.standin.prefix_cache import prefix_ids
from _pistachiopond.standin.residents import Target
from _pistachiopond.standin.text import (
    count_generated_tokens,
    count_prompt_tokens,
    seed_of,
    token_at,
)

DEFAULT_MAX_TOKENS: Final = 128
IDEMPOTENCY_HEADER: Final = "idempotency-key"
DONE: Final = b"data: [DONE]\n\n"

_job_ids = itertools.count(1)


class Generation(NamedTuple):
    """One request as the engine runs it.

    Attributes
    ----------
    first_index, end_index : int
        Tokens that this execution gives.
    max_tokens : int
        What the caller allowed.
    cached_tokens : int
        Prompt tokens that were found in the cache.
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
        """Return one token's text."""
        return token_at(self.seed, index)

    def finish_reason(self) -> str:
        """Return why generation ends."""
        return "length" if self.end_index == self.max_tokens else "stop"


def digest_of(raw_body: bytes) -> str:
    """Return the digest by which the ledger names a request's content."""
    return hashlib.sha256(raw_body).hexdigest()


def plan_generation(
    engine: StandinEngine,
    request: Request,
    raw_body: bytes,
    body: GenerateBody,
    target: Target,
    first_index: int,
) -> Generation:
    """Look up caches and count tokens for a request that is to run."""
    prompt = prompt_text(body)
    prefixes = prefix_ids(body.model, body.cache_salt, prompt)
    cached = engine.now.cache.use(body.model, prefixes, engine.timer.now_s())
    allowed = body.max_completion_tokens or body.max_tokens or DEFAULT_MAX_TOKENS
    prompt_tokens = count_prompt_tokens(prompt)
    return Generation(
        request.headers.get(REQUEST_ID_HEADER, ""),
        request.url.path.endswith("/chat/completions"),
        body,
        target,
        seed_of(body.model, target.model.version, prompt),
        digest_of(raw_body),
        prompt_tokens,
        min(cached, prompt_tokens),
        first_index,
        count_generated_tokens(prompt, allowed),
        allowed,
    )


async def generate(
    engine: StandinEngine, generation: Generation, entry: RequestEntry
) -> AsyncGenerator[int, None]:
    """Yield the index of each token as it is generated.

    Leaving the iterator early cancels the work and keeps the request for a
    while, so that it can be resumed.
    """
    incarnation = engine.now
    job, tokens = _make_job(generation)
    place = engine.ledger.add(entry)
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
        engine.end_request(place, entry._replace(outcome=outcome, tokens=count))
        if outcome == "cancelled":
            expires_s = engine.timer.now_s() + engine.options.resume_window_s
            broken = Broken(generation.content_digest, expires_s)
            incarnation.broken[generation.request_id] = broken


def _make_job(
    generation: Generation,
) -> tuple[Job, MemoryObjectReceiveStream[int]]:
    send, receive = anyio.create_memory_object_stream[int](math.inf)
    is_resumed = generation.first_index > 0
    prefill = 0 if is_resumed else generation.prompt_tokens - generation.cached_tokens
    job = Job(
        next(_job_ids),
        generation.body.priority,
        prefill,
        generation.first_index,
        generation.end_index,
        send,
    )
    return job, receive


async def stream_events(
    generation: Generation, indices: AsyncGenerator[int, None]
) -> AsyncGenerator[bytes, None]:
    """Turn tokens into server-sent events."""
    async with aclosing(indices):
        async for index in indices:
            chunk = _chunk(generation, index)
            yield f"id: {index}\ndata: {json.dumps(chunk)}\n\n".encode()
    options = generation.body.stream_options
    if options is not None and options.include_usage:
        last = _shell(generation, is_chunk=True) | {
            "choices": [],
            "usage": _usage(generation),
        }
        yield f"data: {json.dumps(last)}\n\n".encode()
    yield DONE


def whole_answer(generation: Generation) -> bytes:
    """Return the answer of a request that is not streamed."""
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
    answer = _shell(generation, is_chunk=False) | {
        "choices": [choice],
        "usage": _usage(generation),
    }
    return json.dumps(answer).encode()


def _chunk(generation: Generation, index: int) -> dict[str, Any]:
    is_last = index + 1 == generation.end_index
    text = generation.text_at(index)
    choice: dict[str, Any] = {
        "index": 0,
        "finish_reason": generation.finish_reason() if is_last else None,
        "logprobs": None,
    }
    if generation.is_chat:
        role = {"role": "assistant"} if index == 0 else {}
        choice["delta"] = role | {"content": text}
    else:
        choice["text"] = text
    return _shell(generation, is_chunk=True) | {"choices": [choice]}


def _shell(generation: Generation, *, is_chunk: bool) -> dict[str, Any]:
    kind = "text_completion"
    if generation.is_chat:
        kind = "chat.completion.chunk" if is_chunk else "chat.completion"
    prefix = "chatcmpl" if generation.is_chat else "cmpl"
    return {
        "id": f"{prefix}-{generation.request_id}",
        "object": kind,
        "created": int(time.time()),
        "model": generation.body.model,
    }


def _usage(generation: Generation) -> dict[str, Any]:
    completion = generation.end_index
    return {
        "prompt_tokens": generation.prompt_tokens,
        "completion_tokens": completion,
        "total_tokens": generation.prompt_tokens + completion,
        "prompt_tokens_details": {"cached_tokens": generation.cached_tokens},
    }
