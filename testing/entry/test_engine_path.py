"""End-to-end tests of completion requests through the daemon, over sockets."""

import json
import unittest

from testing.entry.fake_engines import (
    CHAT,
    PROMPT_TOKENS,
    TOKENS,
    answer_completely,
    body,
    chat,
    refuse,
    run_with_engines,
    token_texts,
)
from testing.entry.fakes import BackendRequest, FakeBackend, wait_until
from testing.entry.manifests import KEY
from testing.entry.running_entry import RunningEntry


class CompleteResponseTests(unittest.TestCase):
    def test_stream_arrives_complete_and_is_settled_by_its_usage(self) -> None:
        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            response = await chat(entry, stream=True)
            self.assertEqual(response.status_code, 200)
            self.assertEqual(token_texts(response.text), list(TOKENS))
            self.assertTrue(response.text.endswith("data: [DONE]\n\n"))
            self.assertNotIn('"usage"', response.text)
            await wait_until(lambda: entry.admission.outstanding() == 0)
            reservation, used = entry.admission.settled[0]
            self.assertEqual(used, PROMPT_TOKENS + len(TOKENS))
            self.assertEqual(reservation.customer, "bergen")

        run_with_engines(scenario, answer_completely)

    def test_usage_is_forwarded_if_requested(self) -> None:
        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            options = {"include_usage": True}
            response = await chat(entry, stream=True, stream_options=options)
            self.assertIn('"usage"', response.text)

        run_with_engines(scenario, answer_completely)

    def test_non_streaming_response_is_assembled_from_the_stream(self) -> None:
        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            response = await chat(entry, stream=False)
            answer = response.json()
            self.assertEqual(answer["object"], "chat.completion")
            message = answer["choices"][0]["message"]
            self.assertEqual(message["content"], "".join(TOKENS))
            used = PROMPT_TOKENS + len(TOKENS)
            self.assertEqual(answer["usage"]["total_tokens"], used)

        run_with_engines(scenario, answer_completely)

    def test_engine_receives_no_api_key_but_a_cache_salt(self) -> None:
        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            await entry.http.post(
                f"{CHAT}?api_key={KEY}&x={KEY}",
                json=body(stream=False),
                headers={"X-Copy": f"my {KEY}", "X-Api-Key": KEY},
            )
            seen = backends[0].requests[0]
            self.assertNotIn(KEY.encode(), seen.raw_head + seen.body)
            sent = json.loads(seen.body)
            self.assertEqual(len(sent["cache_salt"]), 32)
            self.assertIs(sent["stream"], True)

        run_with_engines(scenario, answer_completely)

    def test_engine_error_about_an_invalid_request_is_forwarded(self) -> None:
        async def answer(request: BackendRequest) -> None:
            await refuse(request, "400 Bad Request", "context_length")

        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            response = await chat(entry, stream=True)
            self.assertEqual(response.status_code, 400)
            problem = response.json()
            self.assertEqual(problem["error"]["code"], "context_length")
            self.assertEqual(problem["verdict"], "not_run")
            self.assertEqual(len(backends[0].requests), 1)

        run_with_engines(scenario, answer)

    def test_request_over_its_limits_is_refused_before_it_runs(self) -> None:
        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            entry.admission.refuses = True
            response = await chat(entry, stream=True)
            self.assertEqual(response.status_code, 429)
            self.assertEqual(response.headers["retry-after"], "3")
            self.assertEqual(response.json()["verdict"], "not_run")
            self.assertEqual(backends[0].requests, [])

        run_with_engines(scenario, answer_completely)


class ModelListTests(unittest.TestCase):
    def test_models_and_adapters_are_listed(self) -> None:
        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            listed = (await entry.http.get("/v1/models")).json()["data"]
            names = [item["id"] for item in listed]
            self.assertEqual(names, ["notes", "notes-voss"])
            one = await entry.http.get("/v1/models/notes")
            self.assertEqual(one.json()["id"], "notes")
            missing = await entry.http.get("/v1/models/nothing")
            self.assertEqual(missing.status_code, 404)

        run_with_engines(scenario, answer_completely)
