"""End-to-end tests with real processes, short enough for every test run."""

import unittest
from typing import Any

import anyio
import openai

from _pistachiopond.cli.publishing import withdraw_keys
from _pistachiopond.standin.engine_types import GenerateBody, prompt_text
from _pistachiopond.standin.generated_text import generate_text, seed_of
from testing.live.checks import make_row
from testing.live.deployment import (
    MODEL_NAMES,
    Deployment,
    customer_key,
    customer_key_digest,
    deploy,
    make_caller,
    make_customer,
    publish_target,
)
from testing.live.scenarios_callers import kill_entry

MESSAGES: Any = [{"role": "user", "content": "What is agreed so far?"}]
LOAD_DURATION_S = 5.0
TOKENS = 12


def expected_text(model: str) -> str:
    prompt = prompt_text(GenerateBody(model, MESSAGES))
    return generate_text(seed_of(model, "1", prompt), TOKENS)


class EndToEndTests(unittest.IsolatedAsyncioTestCase):
    async def test_openai_client_and_key_withdrawn_under_load(self) -> None:
        async with deploy((make_customer("one"), make_customer("two"))) as deployment:
            url = deployment.fleet.entry_urls()[0]
            await anyio.to_thread.run_sync(self.use_openai_client, url)
            await self.withdraw_under_load(deployment)

    def use_openai_client(self, url: str) -> None:
        client = openai.OpenAI(api_key=customer_key("one"), base_url=f"{url}/v1")
        names = {model.id for model in client.models.list()}
        self.assertLessEqual(set(MODEL_NAMES), names)
        self.assertEqual(self.ask(client, "agenda"), expected_text("agenda"))
        office = "summary-office"
        self.assertEqual(self.stream(client, office), expected_text(office))
        with self.assertRaises(openai.NotFoundError) as caught:
            self.ask(client, "no-such-model")
        problem: Any = caught.exception.response.json()
        self.assertEqual(problem["verdict"], "not_run")
        stranger = openai.OpenAI(api_key="unknown", base_url=f"{url}/v1")
        with self.assertRaises(openai.AuthenticationError):
            self.ask(stranger, "agenda")

    def ask(self, client: openai.OpenAI, model: str) -> str:
        answer = client.chat.completions.create(
            model=model, messages=MESSAGES, max_tokens=TOKENS
        )
        assert answer.usage is not None
        self.assertEqual(answer.usage.completion_tokens, TOKENS)
        return answer.choices[0].message.content or ""

    def stream(self, client: openai.OpenAI, model: str) -> str:
        chunks = client.chat.completions.create(
            model=model,
            messages=MESSAGES,
            max_tokens=TOKENS,
            stream=True,
            stream_options={"include_usage": True},
        )
        pieces = [c.choices[0].delta.content or "" for c in chunks if c.choices]
        return "".join(pieces)

    async def withdraw_under_load(self, deployment: Deployment) -> None:
        """Run load of two customers and withdraw one's API key during its streams."""
        streams = make_caller("two", 3.0, ("stream",), 5_000)
        callers = (make_caller("one", 5.0), streams)

        async def withdraw() -> None:
            await anyio.sleep(LOAD_DURATION_S / 2)
            report = await withdraw_keys(
                (customer_key_digest("two"),), publish_target(deployment.fleet)
            )
            self.assertEqual({p.state for p in report.data.places}, {"in_force"})

        async with anyio.create_task_group() as group:
            group.start_soon(withdraw)
            await deployment.load.run(callers, LOAD_DURATION_S)
        keys = (customer_key("one"), customer_key("two"))
        row = make_row("whole path", deployment.load.results, deployment.folder, keys)
        self.assertEqual(row.breaches, ())
        ends = {item.customer: set() for item in deployment.load.results}
        for item in deployment.load.results:
            ends[item.customer].add(item.end)
        self.assertEqual(ends, {"one": {"whole"}, "two": {"refused"}})

    async def test_killed_entry_daemon_loses_only_its_open_requests(self) -> None:
        row = await kill_entry(LOAD_DURATION_S)
        self.assertEqual(row.breaches, ())
        self.assertGreater(row.whole, 0)
        self.assertEqual(row.refused, 0)
