"""Scripted behaviour of fake engines, and chat requests to the daemon."""

import json
from collections.abc import Awaitable, Callable
from typing import Final

import anyio
import httpx

from testing.entry.fakes import Answer, BackendRequest, FakeBackend, run_backend
from testing.entry.manifests import make_revision, make_view
from testing.entry.running_entry import RunningEntry, run_entry_in_test

Scenario = Callable[[RunningEntry, list[FakeBackend]], Awaitable[None]]
TOKENS: Final = ("to", "ka", "ri", "mo")
PROMPT_TOKENS: Final = 5
CHAT: Final = "/v1/chat/completions"


def token_event(
    index: int,
    *,
    backend_request_id: str = "x",
    text: str | None = None,
    choice: dict[str, object] | None = None,
) -> bytes:
    """Return the server-sent event of one token; `choice` replaces fields of it."""
    is_last = index == len(TOKENS) - 1
    chunk = {
        "id": f"chatcmpl-{backend_request_id}",
        "object": "chat.completion.chunk",
        "created": 1,
        "model": "notes",
        "choices": [
            {
                "index": 0,
                "delta": {"content": text or TOKENS[index]},
                "finish_reason": "length" if is_last else None,
                **(choice or {}),
            }
        ],
    }
    return f"id: {index}\ndata: {json.dumps(chunk)}\n\n".encode()


def usage_event(completion_tokens: int = len(TOKENS)) -> bytes:
    """Return the usage event of a stream."""
    usage = {"prompt_tokens": PROMPT_TOKENS, "completion_tokens": completion_tokens}
    chunk = {"id": "chatcmpl-x", "choices": [], "usage": usage}
    return f"data: {json.dumps(chunk)}\n\n".encode()


def end_events(completion_tokens: int = len(TOKENS)) -> bytes:
    """Return the usage event and the end marker of a stream."""
    return usage_event(completion_tokens) + b"data: [DONE]\n\n"


async def answer_completely(request: BackendRequest) -> None:
    """Answer completely, as a healthy engine does; resumes at a requested offset."""
    await send_tokens(request, offset_of(request) or 0, len(TOKENS))
    await request.stream.send(end_events())
    await request.stream.aclose()


async def send_tokens(request: BackendRequest, first: int, stop: int) -> None:
    """Start a stream and send a range of its tokens."""
    await request.begin_stream()
    for index in range(first, stop):
        await request.stream.send(
            token_event(index, backend_request_id=request.request_id)
        )


async def refuse(request: BackendRequest, status: str, code: str) -> None:
    """Send an error response which says that the request did not run."""
    body = json.dumps({"error": {"message": code, "type": "x", "code": code}})
    await request.answer(status, body.encode(), "X-Verdict: not_run")


def offset_of(request: BackendRequest) -> int | None:
    """Return the token offset at which the request is to be resumed, if any."""
    offset = request.headers.get("x-resume-offset")
    return None if offset is None else int(offset)


def run_with_engines(scenario: Scenario, *answers: Answer) -> None:
    """Run a scenario with the daemon and one fake engine for each of `answers`."""

    async def main() -> None:
        await _with_backends(scenario, list(answers), [])

    anyio.run(main)


async def _with_backends(
    scenario: Scenario, answers: list[Answer], backends: list[FakeBackend]
) -> None:
    if answers:
        async with run_backend(answers[0]) as backend:
            await _with_backends(scenario, answers[1:], [*backends, backend])
        return
    engines = {f"engine-{i + 1}": b.url for i, b in enumerate(backends)}
    view = make_view(engines)
    async with run_entry_in_test(make_revision(), view) as entry:
        await scenario(entry, backends)


def body(*, stream: bool, **more: object) -> dict[str, object]:
    """Return the body of a chat request."""
    return {
        "model": "notes",
        "messages": [{"role": "user", "content": "Kia ora"}],
        "max_tokens": len(TOKENS),
        "stream": stream,
        **more,
    }


async def chat(entry: RunningEntry, *, stream: bool, **more: object) -> httpx.Response:
    """Send a chat request and read the response."""
    return await entry.http.post(CHAT, json=body(stream=stream, **more))


def token_texts(text: str) -> list[str]:
    """Return the content of each chunk of a stream."""
    found = []
    for line in text.splitlines():
        if line.startswith("data: {"):
            chunk = json.loads(line[6:])
            found += [c["delta"]["content"] for c in chunk.get("choices", ())]
    return found


def error_event(text: str) -> dict[str, object]:
    """Return the problem details of a stream's error event; empty if there is none."""
    for block in text.split("\n\n"):
        if block.startswith("event: error\ndata: "):
            return json.loads(block.removeprefix("event: error\ndata: "))
    return {}
