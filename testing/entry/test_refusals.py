"""Tests that each kind of invalid request is refused with the right error code."""

import unittest
from collections.abc import AsyncIterator

import anyio
import httpx

from testing.entry.fake_engines import (
    CHAT,
    answer_completely,
    body,
    chat,
    run_with_engines,
)
from testing.entry.fakes import FakeBackend
from testing.entry.manifests import KEY
from testing.entry.running_entry import RunningEntry


async def raw(entry: RunningEntry, text: bytes) -> bytes:
    """Send raw bytes and return the raw response."""
    port = int(entry.url.rsplit(":", 1)[1])
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        await stream.send(text)
        received = b""
        with anyio.fail_after(30):
            while b"\r\n\r\n" not in received or b"}" not in received:
                received += await stream.receive()
    return received


class RefusalTests(unittest.TestCase):
    def check(self, response: httpx.Response, status: int, code: str) -> None:
        self.assertEqual(response.status_code, status)
        problem = response.json()
        self.assertEqual(problem["error"]["code"], code)
        self.assertEqual(problem["verdict"], "not_run")
        self.assertEqual(response.headers["x-verdict"], "not_run")
        self.assertEqual(response.headers["content-type"], "application/problem+json")

    def test_invalid_requests_are_refused_and_reach_no_engine(self) -> None:
        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            http = entry.http
            post = http.post
            unknown = await chat(entry, stream=False, model="nothing")
            self.check(unknown, 404, "model_not_found")
            self.check(await post(CHAT, content=b'{"model":'), 400, "bad_body")
            self.check(await post(CHAT, content=b"[1]"), 400, "bad_body")
            self.check(await post(CHAT, content=b"NaN"), 400, "bad_body")
            deep = b'{"model":' + b"[" * 100_000
            self.check(await post(CHAT, content=deep), 400, "bad_body")
            key_in_body = await chat(entry, stream=False, note=f"a {KEY}")
            self.check(key_in_body, 400, "bad_body")
            self.check(await post("/v1/other", json={}), 404, "unknown_path")
            self.check(await post("/nowhere", json={}), 404, "unknown_path")
            self.check(await http.get(CHAT), 405, "method_not_allowed")
            stranger = {"Authorization": "Bearer stranger"}
            refused = await post(CHAT, json=body(stream=False), headers=stranger)
            self.check(refused, 401, "key_unknown")
            other = {"X-Api-Key": "another"}
            refused = await post(CHAT, json=body(stream=False), headers=other)
            self.check(refused, 400, "several_keys")
            self.check(await http.get(f"/booking/{KEY}"), 400, "key_in_path")
            async with httpx.AsyncClient(
                base_url=entry.url, trust_env=False
            ) as anonymous:
                self.check(await anonymous.post(CHAT, json={}), 401, "key_missing")
            self.assertEqual(backends[0].requests, [])
            self.assertEqual(entry.admission.reserved, [])

        run_with_engines(scenario, answer_completely)

    def test_body_over_the_limit_is_refused_with_and_without_content_length(
        self,
    ) -> None:
        async def chunks() -> AsyncIterator[bytes]:
            for _ in range(500):
                yield b"x" * 10_000

        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            large = b"x" * 4_000_001
            for content in (large, chunks()):
                response = await entry.http.post(CHAT, content=content)
                self.check(response, 413, "body_too_large")

        run_with_engines(scenario, answer_completely)

    def test_duplicated_headers_are_refused(self) -> None:
        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            line = b"Authorization: Bearer key-of-bergen\r\n"
            text = b"GET /v1/models HTTP/1.1\r\nHost: x\r\n" + line + line + b"\r\n"
            answer = await raw(entry, text)
            self.assertTrue(answer.startswith(b"HTTP/1.1 400"))
            self.assertIn(b"duplicated_header", answer)

        run_with_engines(scenario, answer_completely)

    def test_path_traversal_is_refused(self) -> None:
        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            for path in (
                b"/public/../booking/1",
                b"/public/%2e%2e/booking/1",
                b"/public%2f..%2fbooking",
                b"/public//x",
                b"/public/%5c..",
                b"/public/%00",
            ):
                text = b"GET " + path + b" HTTP/1.1\r\nHost: x\r\n\r\n"
                answer = await raw(entry, text)
                self.assertTrue(answer.startswith(b"HTTP/1.1 400"), path)
                self.assertIn(b"bad_path", answer)

        run_with_engines(scenario, answer_completely)

    def test_openai_client_understands_responses_and_refusals(self) -> None:
        import openai

        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            messages = [{"role": "user", "content": "Kia ora"}]
            async with openai.AsyncOpenAI(
                api_key=KEY, base_url=f"{entry.url}/v1", max_retries=0
            ) as client:
                whole = await client.chat.completions.create(
                    model="notes", messages=messages
                )
                self.assertEqual(whole.choices[0].message.content, "tokarimo")
                stream = await client.chat.completions.create(
                    model="notes", messages=messages, stream=True
                )
                text = ""
                async for chunk in stream:
                    text += chunk.choices[0].delta.content or ""
                self.assertEqual(text, "tokarimo")
                with self.assertRaises(openai.NotFoundError) as caught:
                    await client.chat.completions.create(
                        model="nothing", messages=messages
                    )
                self.assertEqual(caught.exception.code, "model_not_found")

        run_with_engines(scenario, answer_completely)
