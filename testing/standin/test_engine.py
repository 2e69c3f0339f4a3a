"""Tests of the stand-in engine over HTTP."""

import json
import unittest
from typing import Any

import anyio
import httpx

from _pistachiopond.standin.batcher import BatchTiming
from _pistachiopond.standin.engine import EngineOptions
from _pistachiopond.standin.text import generate_text, seed_of
from testing.standin.serving import load_model, serve_engine, set_fault

PROMPT = {"model": "m", "prompt": "hello", "max_tokens": 8}
SLOW = BatchTiming(token_gap_s=0.05)


def events_of(text: str) -> list[str]:
    lines = text.splitlines()
    return [line.removeprefix("data: ") for line in lines if line.startswith("data")]


def text_of(events: list[str]) -> str:
    chunks = [json.loads(event) for event in events if event != "[DONE]"]
    return "".join(c["choices"][0]["text"] for c in chunks if c["choices"])


async def ledger_of(http: httpx.AsyncClient) -> dict[str, Any]:
    return (await http.get("/ledger")).json()


async def outcomes_of(http: httpx.AsyncClient) -> dict[str, str]:
    entries = (await ledger_of(http))["entries"]
    return {
        entry["request_id"]: entry["outcome"]
        for entry in entries
        if entry["kind"] == "request"
    }


class EngineTests(unittest.IsolatedAsyncioTestCase):
    async def test_stream_and_plain_answer_have_the_expected_text(self) -> None:
        expected = generate_text(seed_of("m", "1", "hello"), 8)
        async with serve_engine() as (_, http):
            await load_model(http)
            plain = (await http.post("/v1/completions", json=PROMPT)).json()
            body = PROMPT | {"stream": True, "stream_options": {"include_usage": True}}
            stream = (await http.post("/v1/completions", json=body)).text
        events = events_of(stream)
        self.assertEqual(plain["choices"][0]["text"], expected)
        self.assertEqual(text_of(events), expected)
        self.assertEqual(events[-1], "[DONE]")
        self.assertEqual(json.loads(events[-2])["usage"]["completion_tokens"], 8)

    async def test_a_model_that_is_not_ready_is_refused_as_not_run(self) -> None:
        async with serve_engine() as (_, http):
            answer = await http.post("/v1/completions", json=PROMPT)
        self.assertEqual(answer.status_code, 404)
        self.assertEqual(answer.headers["x-verdict"], "not_run")

    async def test_a_broken_stream_is_resumed_at_its_offset(self) -> None:
        headers = {"x-request-id": "r1"}
        body = PROMPT | {"stream": True}
        async with serve_engine() as (_, http):
            await load_model(http)
            await set_fault(http, kind="cut", after_chunks=3)
            with self.assertRaises(httpx.HTTPError):
                await http.post("/v1/completions", json=body, headers=headers)
            headers["x-resume-offset"] = "3"
            answer = await http.post("/v1/completions", json=body, headers=headers)
        expected = generate_text(seed_of("m", "1", "hello"), 8)
        self.assertEqual(answer.headers["x-resumed"], "true")
        self.assertIn("id: 3", answer.text)
        self.assertTrue(expected.endswith(text_of(events_of(answer.text))))

    async def test_a_caller_that_leaves_cancels_the_work(self) -> None:
        async with serve_engine(timing=SLOW) as (_, http):
            await load_model(http)
            headers = {"x-request-id": "r1"}
            body = PROMPT | {"stream": True, "max_tokens": 10_000}
            url = "/v1/completions"
            async with http.stream("POST", url, json=body, headers=headers) as answer:
                async for _ in answer.aiter_lines():
                    break
            while (await outcomes_of(http))["r1"] != "cancelled":
                await anyio.sleep(0.01)
            ended = await ledger_of(http)
        self.assertLess(ended["entries"][-1]["tokens"], 10_000)

    async def test_a_plain_caller_that_leaves_cancels_the_work(self) -> None:
        async with serve_engine(timing=SLOW) as (_, http):
            await load_model(http)
            body = PROMPT | {"max_tokens": 10_000}
            with anyio.move_on_after(0.3):
                headers = {"x-request-id": "r1"}
                await http.post("/v1/completions", json=body, headers=headers)
            while (await outcomes_of(http))["r1"] != "cancelled":
                await anyio.sleep(0.01)

    async def test_a_crash_in_place_loses_everything(self) -> None:
        async with serve_engine() as (_, http):
            await load_model(http)
            before = (await http.get("/state")).json()
            await set_fault(http, kind="crash", marker="hello", restart_s=0.01)
            with self.assertRaises(httpx.HTTPError):
                headers = {"x-request-id": "r1"}
                await http.post("/v1/completions", json=PROMPT, headers=headers)
            after = await self._state_after_restart(http)
            outcomes = await outcomes_of(http)
        self.assertNotEqual(before["incarnation"], after["incarnation"])
        self.assertEqual(after["models"], [])
        self.assertEqual(outcomes["r1"], "finished")

    async def _state_after_restart(self, http: httpx.AsyncClient) -> dict[str, Any]:
        while True:
            try:
                return (await http.get("/state")).json()
            except httpx.HTTPError:
                await anyio.sleep(0.01)

    async def test_an_old_fencing_number_is_refused_only_when_checked(self) -> None:
        async with serve_engine() as (_, http):
            await load_model(http, "new", fencing_number=5)
            checked = await load_model(http, "old", fencing_number=4)
        async with serve_engine(EngineOptions("two", checks_fencing=False)) as (
            _,
            http,
        ):
            await load_model(http, "new", fencing_number=5)
            ignored = await load_model(http, "old", fencing_number=4)
        self.assertEqual(checked.status_code, 409)
        self.assertEqual(checked.json()["highest"], 5)
        self.assertEqual(ignored.status_code, 200)

    async def test_a_load_past_the_memory_is_recorded(self) -> None:
        async with serve_engine(EngineOptions("one", memory_mb=150)) as (_, http):
            await load_model(http, "a", memory_mb=100, order_number=1)
            await load_model(http, "b", memory_mb=100, order_number=2)
            ledger = await ledger_of(http)
        self.assertEqual(ledger["overcommits"], 1)
        self.assertEqual(ledger["peak_used_mb"], 200)

    async def test_the_newest_ready_version_answers_until_it_is_unloaded(self) -> None:
        async with serve_engine() as (_, http):
            await load_model(http, version="1", order_number=1)
            await load_model(http, version="2", order_number=2)
            second = (await http.post("/v1/completions", json=PROMPT)).json()
            parameters = {"fencing_number": 1, "order_number": 3, "version": "2"}
            url = "/v2/repository/models/m/unload"
            body = {"parameters": parameters | {"wait": True}}
            await http.post(url, json=body)
            first = (await http.post("/v1/completions", json=PROMPT)).json()
        self.assertEqual(
            second["choices"][0]["text"], generate_text(seed_of("m", "2", "hello"), 8)
        )
        self.assertEqual(
            first["choices"][0]["text"], generate_text(seed_of("m", "1", "hello"), 8)
        )

    async def test_an_adapter_is_served_once_it_is_loaded(self) -> None:
        async with serve_engine() as (_, http):
            await load_model(http)
            parameters = {"order_number": 2, "fencing_number": 1, "memory_mb": 7}
            body = {"lora_name": "a", "base_model": "m"}
            body |= {"parameters": parameters | {"wait": True}}
            await http.post("/v1/load_lora_adapter", json=body)
            answer = await http.post("/v1/completions", json=PROMPT | {"model": "a"})
            state = (await http.get("/state")).json()
        self.assertEqual(answer.status_code, 200)
        self.assertEqual(state["used_mb"], 107)

    async def test_a_leaving_engine_says_so_and_then_refuses(self) -> None:
        async with serve_engine() as (_, http):
            await load_model(http)
            await set_fault(http, kind="leaving", delay_s=0.0)
            while True:
                answer = await http.post("/v1/completions", json=PROMPT)
                self.assertEqual(answer.headers["x-leaving"], "true")
                if answer.status_code == 503:
                    break
        self.assertEqual(answer.headers["x-verdict"], "not_run")

    async def test_cached_prompts_are_counted_and_published(self) -> None:
        prompt = PROMPT | {"prompt": "x" * 600}
        async with serve_engine(EngineOptions("one", cache_event_lag_s=0.0)) as served:
            await load_model(served.http)
            await served.http.post("/v1/completions", json=prompt)
            second = (await served.http.post("/v1/completions", json=prompt)).json()
            events = (await served.http.get("/cache/events")).json()
        details = second["usage"]["prompt_tokens_details"]
        self.assertEqual(details["cached_tokens"], 128)
        self.assertEqual([e["kind"] for e in events["events"]], ["stored", "stored"])
