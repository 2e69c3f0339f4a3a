"""Tests of the way of a completion request through the daemon, over sockets."""

import json
import unittest
from collections.abc import Awaitable, Callable

import anyio
import httpx

from testing.entry.fakes import BackendRequest, FakeBackend, run_backend, wait_until
from testing.entry.manifests import make_revision, make_view
from testing.entry.running import RunningEntry, run_entry_in_test

Scenario = Callable[[RunningEntry, FakeBackend], Awaitable[None]]
TOKENS = ("to", "ka", "ri", "mo")


def event(index: int, *, backend_id: str = "x", text: str | None = None) -> bytes:
    """Return the engine's event for one token."""
    is_last = index == len(TOKENS) - 1
    chunk = {
        "id": f"chatcmpl-{backend_id}",
        "object": "chat.completion.chunk",
        "created": 1,
        "model": "notes",
        "choices": [
            {
                "index": 0,
                "delta": {"content": text or TOKENS[index]},
                "finish_reason": "length" if is_last else None,
            }
        ],
    }
    return f"id: {index}\ndata: {json.dumps(chunk)}\n\n".encode()


def end(completion_tokens: int = len(TOKENS)) -> bytes:
    """Return the engine's usage and end mark."""
    usage = {"prompt_tokens": 5, "completion_tokens": completion_tokens}
    chunk = {"id": "chatcmpl-x", "choices": [], "usage": usage}
    return f"data: {json.dumps(chunk)}\n\ndata: [DONE]\n\n".encode()


async def answer_whole(request: BackendRequest) -> None:
    """Answer as a healthy engine does, resuming where asked."""
    start = int(request.headers.get("x-resume-offset", "0"))
    await request.begin_stream()
    for index in range(start, len(TOKENS)):
        await request.stream.send(event(index, backend_id=request.request_id))
    await request.stream.send(end())
    await request.stream.aclose()


def run_with_engine(
    answer: Callable[[BackendRequest], Awaitable[None]], scenario: Scenario
) -> None:
    """Run a scenario with one engine behind the daemon."""

    async def main() -> None:
        async with run_backend(answer) as backend:
            view = make_view({"engine-1": backend.url})
            async with run_entry_in_test(make_revision(), view) as entry:
                await scenario(entry, backend)

    anyio.run(main)


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
    """Send a chat request and read its answer."""
    return await entry.http.post(
        "/v1/chat/completions", json=body(stream=stream, **more)
    )


def contents(text: str) -> list[str]:
    """Return the contents that a stream's chunks carry."""
    found = []
    for line in text.splitlines():
        if line.startswith("data: {"):
            for choice in json.loads(line[6:]).get("choices", ()):
                found.append(choice["delta"]["content"])
    return found


class WholeAnswerTests(unittest.TestCase):
    def test_a_stream_arrives_whole_and_is_settled_by_usage(self) -> None:
        async def scenario(entry: RunningEntry, backend: FakeBackend) -> None:
            response = await chat(entry, stream=True)
            self.assertEqual(response.status_code, 200)
            self.assertEqual(contents(response.text), list(TOKENS))
            self.assertTrue(response.text.endswith("data: [DONE]\n\n"))
            self.assertNotIn('"usage"', response.text)
            await wait_until(lambda: entry.guards.outstanding() == 0)
            reservation, used = entry.guards.settled[0]
            self.assertEqual(used, 5 + len(TOKENS))
            self.assertEqual(reservation.customer, "bergen")

        run_with_engine(answer_whole, scenario)

    def test_usage_is_handed_on_where_it_was_asked_for(self) -> None:
        async def scenario(entry: RunningEntry, backend: FakeBackend) -> None:
            options = {"include_usage": True}
            response = await chat(entry, stream=True, stream_options=options)
            self.assertIn('"usage"', response.text)

        run_with_engine(answer_whole, scenario)

    def test_a_plain_answer_is_put_together_from_the_stream(self) -> None:
        async def scenario(entry: RunningEntry, backend: FakeBackend) -> None:
            response = await chat(entry, stream=False)
            answer = response.json()
            self.assertEqual(answer["object"], "chat.completion")
            message = answer["choices"][0]["message"]
            self.assertEqual(message["content"], "".join(TOKENS))
            self.assertEqual(answer["usage"]["total_tokens"], 5 + len(TOKENS))

        run_with_engine(answer_whole, scenario)

    def test_the_engine_gets_no_key_and_a_salt_for_the_customer(self) -> None:
        async def scenario(entry: RunningEntry, backend: FakeBackend) -> None:
            await entry.http.post(
                "/v1/chat/completions?api_key=key-of-bergen",
                json=body(stream=False),
                headers={"X-Copy": "my key-of-bergen", "X-Api-Key": "key-of-bergen"},
            )
            seen = backend.requests[0]
            self.assertNotIn(b"key-of-bergen", seen.raw_head + seen.body)
            sent = json.loads(seen.body)
            self.assertEqual(len(sent["cache_salt"]), 32)
            self.assertIs(sent["stream"], True)

        run_with_engine(answer_whole, scenario)

    def test_errors_of_the_request_itself_reach_the_caller(self) -> None:
        async def answer(request: BackendRequest) -> None:
            text = {"error": {"message": "too long", "code": "context_length"}}
            body = json.dumps(text).encode()
            await request.answer("400 Bad Request", body, "X-Verdict: not_run")

        async def scenario(entry: RunningEntry, backend: FakeBackend) -> None:
            response = await chat(entry, stream=True)
            self.assertEqual(response.status_code, 400)
            problem = response.json()
            self.assertEqual(problem["error"]["code"], "context_length")
            self.assertEqual(problem["verdict"], "not_run")
            self.assertEqual(len(backend.requests), 1)

        run_with_engine(answer, scenario)
