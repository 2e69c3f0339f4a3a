"""Tests that a withdrawn API key is refused, also on open connections and streams."""

import unittest
from unittest import mock

import anyio

from _pistachiopond.entry import fleet as fleet_module
from testing.entry.fake_engines import (
    CHAT,
    answer_completely,
    body,
    chat,
    error_event,
    run_with_engines,
    send_tokens,
)
from testing.entry.fakes import BackendRequest, FakeBackend, wait_until
from testing.entry.manifests import KEY, OTHER_KEY, make_revision
from testing.entry.running_entry import RunningEntry


async def never_end(request: BackendRequest) -> None:
    """Start a stream and keep it open."""
    await send_tokens(request, 0, 2)
    while True:
        await request.stream.receive()


def withdraw(entry: RunningEntry, key: str) -> None:
    """Publish a revision in which the key is withdrawn."""
    entry.control.revision = make_revision(number=2, withdrawn=(key,))


class WithdrawnKeyTests(unittest.TestCase):
    def test_withdrawing_the_key_ends_a_running_stream_and_its_generation(self) -> None:
        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            async with entry.http.stream(
                "POST", CHAT, json=body(stream=True)
            ) as stream_response:
                text = ""
                async for part in stream_response.aiter_text():
                    text += part
                    if "ka" in text:
                        withdraw(entry, KEY)
            problem = error_event(text)
            self.assertEqual(problem["error"]["code"], "key_withdrawn")
            self.assertEqual(problem["verdict"], "may_have_run")
            self.assertNotIn("[DONE]", text)
            await wait_until(lambda: not backends[0].open_streams)
            await wait_until(lambda: entry.admission.outstanding() == 0)

        run_with_engines(scenario, never_end)

    def test_new_request_with_a_withdrawn_key_on_an_open_connection_is_refused(
        self,
    ) -> None:
        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            self.assertEqual((await chat(entry, stream=False)).status_code, 200)
            withdraw(entry, KEY)
            with anyio.fail_after(30):
                while (await chat(entry, stream=False)).status_code != 401:
                    await anyio.sleep(0.02)

        run_with_engines(scenario, answer_completely)

    def test_other_keys_remain_valid(self) -> None:
        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            withdraw(entry, OTHER_KEY)
            other = {"Authorization": f"Bearer {OTHER_KEY}"}
            with anyio.fail_after(30):
                while True:
                    response = await entry.http.post(
                        CHAT, json=body(stream=False), headers=other
                    )
                    if response.status_code == 401:
                        break
            self.assertEqual((await chat(entry, stream=False)).status_code, 200)

        run_with_engines(scenario, answer_completely)

    def test_older_revision_does_not_restore_a_withdrawn_key(self) -> None:
        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            withdraw(entry, KEY)
            with anyio.fail_after(30):
                while (await chat(entry, stream=False)).status_code != 401:
                    await anyio.sleep(0.02)
            entry.control.revision = make_revision(number=1)
            watched = entry.control.views_sent
            await wait_until(lambda: entry.control.views_sent > watched + 3)
            self.assertEqual((await chat(entry, stream=False)).status_code, 401)

        run_with_engines(scenario, answer_completely)


class UnverifiableKeyTests(unittest.TestCase):
    def test_requests_with_keys_are_refused_and_open_routes_still_served(self) -> None:
        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            entry.control.keys_closed = True
            with anyio.fail_after(30):
                while (await chat(entry, stream=False)).status_code == 200:
                    await anyio.sleep(0.02)
            # The first failure may be that of a request stopped while it was running,
            # whose verdict differs; the next request is refused before it runs.
            response = await chat(entry, stream=False)
            self.assertEqual(response.status_code, 503)
            self.assertEqual(response.json()["verdict"], "not_run")
            self.assertIn("retry-after", response.headers)
            opened = await entry.http.post(f"/open{CHAT}", json=body(stream=False))
            self.assertEqual(opened.status_code, 200)
            entry.control.keys_closed = False
            with anyio.fail_after(30):
                while (await chat(entry, stream=False)).status_code != 200:
                    await anyio.sleep(0.02)

        run_with_engines(scenario, answer_completely)

    def test_keys_are_refused_after_a_time_without_any_control_daemon(
        self,
    ) -> None:
        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            await entry.control.stop()
            with anyio.fail_after(30):
                while (await chat(entry, stream=False)).status_code != 503:
                    await anyio.sleep(0.02)
            opened = await entry.http.post(f"/open{CHAT}", json=body(stream=False))
            self.assertEqual(opened.status_code, 200)

        with mock.patch.object(fleet_module, "KEYS_MAX_AGE_S", 0.6):
            run_with_engines(scenario, answer_completely)


class CustomerIsolationTests(unittest.TestCase):
    def test_customers_get_different_cache_salts(self) -> None:
        import json

        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            for key in (KEY, OTHER_KEY):
                headers = {"Authorization": f"Bearer {key}"}
                await entry.http.post(CHAT, json=body(stream=False), headers=headers)
            await entry.http.post(f"/open{CHAT}", json=body(stream=False))
            sent = backends[0].requests
            salts = {json.loads(item.body)["cache_salt"] for item in sent}
            self.assertEqual(len(salts), 3)
            customers = [item.customer for item in entry.admission.reserved]
            self.assertEqual(customers, ["bergen", "voss"])

        run_with_engines(scenario, answer_completely)
