"""Tests of the stand-in engine over HTTP."""

import json
import unittest
from typing import Any

import anyio
import httpx

from _pistachiopond.standin.batcher import BatchTiming
from _pistachiopond.standin.engine import EngineOptions
from _pistachiopond.standin.generated_text import generate_text, seed_of
from testing.standin.running_standin import load_model, serve_engine, set_fault

COMPLETION_BODY = {"model": "m", "prompt": "hello", "max_tokens": 8}
SLOW_TIMING = BatchTiming(token_gap_s=0.05)


def parse_sse_data(text: str) -> list[str]:
    lines = text.splitlines()
    return [line.removeprefix("data: ") for line in lines if line.startswith("data")]


def join_chunk_texts(events: list[str]) -> str:
    chunks = [json.loads(event) for event in events if event != "[DONE]"]
    return "".join(chunk["choices"][0]["text"] for chunk in chunks if chunk["choices"])


async def get_ledger(http: httpx.AsyncClient) -> dict[str, Any]:
    return (await http.get("/ledger")).json()


async def get_outcomes(http: httpx.AsyncClient) -> dict[str, str]:
    entries = (await get_ledger(http))["entries"]
    return {
        entry["request_id"]: entry["outcome"]
        for entry in entries
        if entry["kind"] == "request"
    }


class EngineTests(unittest.IsolatedAsyncioTestCase):
    async def test_streamed_and_complete_responses_have_the_expected_text(self) -> None:
        expected = generate_text(seed_of("m", "1", "hello"), 8)
        async with serve_engine() as (_, http):
            await load_model(http)
            complete = (await http.post("/v1/completions", json=COMPLETION_BODY)).json()
            body = COMPLETION_BODY | {
                "stream": True,
                "stream_options": {"include_usage": True},
            }
            stream = (await http.post("/v1/completions", json=body)).text
        events = parse_sse_data(stream)
        self.assertEqual(complete["choices"][0]["text"], expected)
        self.assertEqual(join_chunk_texts(events), expected)
        self.assertEqual(events[-1], "[DONE]")
        self.assertEqual(json.loads(events[-2])["usage"]["completion_tokens"], 8)

    async def test_request_for_a_model_that_is_not_ready_is_rejected_as_not_run(
        self,
    ) -> None:
        async with serve_engine() as (_, http):
            response = await http.post("/v1/completions", json=COMPLETION_BODY)
        self.assertEqual(response.status_code, 404)
        self.assertEqual(response.headers["x-verdict"], "not_run")

    async def test_interrupted_stream_is_resumed_at_the_requested_offset(self) -> None:
        headers = {"x-request-id": "r1"}
        body = COMPLETION_BODY | {"stream": True}
        async with serve_engine() as (_, http):
            await load_model(http)
            await set_fault(http, kind="cut", after_chunks=3)
            with self.assertRaises(httpx.HTTPError):
                await http.post("/v1/completions", json=body, headers=headers)
            headers["x-resume-offset"] = "3"
            response = await http.post("/v1/completions", json=body, headers=headers)
        expected = generate_text(seed_of("m", "1", "hello"), 8)
        self.assertEqual(response.headers["x-resumed"], "true")
        self.assertIn("id: 3", response.text)
        self.assertTrue(
            expected.endswith(join_chunk_texts(parse_sse_data(response.text)))
        )

    async def test_disconnect_during_a_stream_cancels_generation(self) -> None:
        async with serve_engine(timing=SLOW_TIMING) as (_, http):
            await load_model(http)
            headers = {"x-request-id": "r1"}
            body = COMPLETION_BODY | {"stream": True, "max_tokens": 10_000}
            url = "/v1/completions"
            async with http.stream("POST", url, json=body, headers=headers) as response:
                async for _ in response.aiter_lines():
                    break
            while (await get_outcomes(http))["r1"] != "cancelled":
                await anyio.sleep(0.01)
            ledger = await get_ledger(http)
        self.assertLess(ledger["entries"][-1]["tokens"], 10_000)

    async def test_disconnect_before_a_complete_response_cancels_generation(
        self,
    ) -> None:
        async with serve_engine(timing=SLOW_TIMING) as (_, http):
            await load_model(http)
            body = COMPLETION_BODY | {"max_tokens": 10_000}
            with anyio.move_on_after(0.3):
                headers = {"x-request-id": "r1"}
                await http.post("/v1/completions", json=body, headers=headers)
            while (await get_outcomes(http))["r1"] != "cancelled":
                await anyio.sleep(0.01)

    async def test_restart_after_a_crash_discards_all_loaded_models(self) -> None:
        async with serve_engine() as (_, http):
            await load_model(http)
            before = (await http.get("/state")).json()
            await set_fault(http, kind="crash", marker="hello", restart_s=0.01)
            with self.assertRaises(httpx.HTTPError):
                headers = {"x-request-id": "r1"}
                await http.post(
                    "/v1/completions", json=COMPLETION_BODY, headers=headers
                )
            after = await self._wait_for_state(http)
            outcomes = await get_outcomes(http)
        self.assertNotEqual(before["incarnation"], after["incarnation"])
        self.assertEqual(after["models"], [])
        # The fault crashes the engine before it sends the response, when all tokens
        # have been generated.
        self.assertEqual(outcomes["r1"], "finished")

    async def _wait_for_state(self, http: httpx.AsyncClient) -> dict[str, Any]:
        while True:
            try:
                return (await http.get("/state")).json()
            except httpx.HTTPError:
                await anyio.sleep(0.01)

    async def test_stale_fencing_number_is_rejected_only_if_checked(self) -> None:
        async with serve_engine() as (_, http):
            await load_model(http, "new", fencing_number=5)
            response_with_check = await load_model(http, "old", fencing_number=4)
        async with serve_engine(EngineOptions("two", checks_fencing=False)) as (
            _,
            http,
        ):
            await load_model(http, "new", fencing_number=5)
            response_without_check = await load_model(http, "old", fencing_number=4)
        self.assertEqual(response_with_check.status_code, 409)
        self.assertEqual(response_with_check.json()["highest"], 5)
        self.assertEqual(response_without_check.status_code, 200)

    async def test_load_beyond_the_memory_is_recorded_as_overcommit(self) -> None:
        async with serve_engine(EngineOptions("one", memory_mb=150)) as (_, http):
            await load_model(http, "a", memory_mb=100, order_number=1)
            await load_model(http, "b", memory_mb=100, order_number=2)
            ledger = await get_ledger(http)
        self.assertEqual(ledger["overcommits"], 1)
        self.assertEqual(ledger["peak_used_mb"], 200)

    async def test_newest_ready_version_serves_until_it_is_unloaded(self) -> None:
        async with serve_engine() as (_, http):
            await load_model(http, version="1", order_number=1)
            await load_model(http, version="2", order_number=2)
            second = (await http.post("/v1/completions", json=COMPLETION_BODY)).json()
            parameters = {"fencing_number": 1, "order_number": 3, "version": "2"}
            url = "/v2/repository/models/m/unload"
            body = {"parameters": parameters | {"wait": True}}
            await http.post(url, json=body)
            first = (await http.post("/v1/completions", json=COMPLETION_BODY)).json()
        self.assertEqual(
            second["choices"][0]["text"], generate_text(seed_of("m", "2", "hello"), 8)
        )
        self.assertEqual(
            first["choices"][0]["text"], generate_text(seed_of("m", "1", "hello"), 8)
        )

    async def test_adapter_is_served_once_it_is_loaded(self) -> None:
        async with serve_engine() as (_, http):
            await load_model(http)
            parameters = {"order_number": 2, "fencing_number": 1, "memory_mb": 7}
            body = {"lora_name": "a", "base_model": "m"}
            body |= {"parameters": parameters | {"wait": True}}
            await http.post("/v1/load_lora_adapter", json=body)
            response = await http.post(
                "/v1/completions", json=COMPLETION_BODY | {"model": "a"}
            )
            state = (await http.get("/state")).json()
        self.assertEqual(response.status_code, 200)
        self.assertEqual(state["used_mb"], 107)

    async def test_leaving_engine_sends_the_header_and_then_rejects_requests(
        self,
    ) -> None:
        async with serve_engine() as (_, http):
            await load_model(http)
            await set_fault(http, kind="leaving", delay_s=0.0)
            while True:
                response = await http.post("/v1/completions", json=COMPLETION_BODY)
                self.assertEqual(response.headers["x-leaving"], "true")
                if response.status_code == 503:
                    break
        self.assertEqual(response.headers["x-verdict"], "not_run")

    async def test_cached_prompt_tokens_are_reported_and_events_published(self) -> None:
        prompt = COMPLETION_BODY | {"prompt": "x" * 600}
        async with serve_engine(EngineOptions("one", cache_event_lag_s=0.0)) as served:
            await load_model(served.http)
            await served.http.post("/v1/completions", json=prompt)
            second = (await served.http.post("/v1/completions", json=prompt)).json()
            events = (await served.http.get("/cache/events")).json()
        prompt_tokens_details = second["usage"]["prompt_tokens_details"]
        # The prompt of 600 bytes has two complete blocks of 256 bytes or 64 tokens.
        self.assertEqual(prompt_tokens_details["cached_tokens"], 128)
        self.assertEqual(
            [event["kind"] for event in events["events"]], ["stored", "stored"]
        )
