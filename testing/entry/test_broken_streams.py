"""Tests that no caller gets a part of an answer as the whole, or another's answer."""

import unittest
from unittest import mock

import anyio

from _pistachiopond.entry import engine_attempt
from testing.entry.engines import (
    TOKENS,
    answer_whole,
    chat,
    contents,
    end,
    error_of,
    event,
    offset_of,
    refuse,
    run_with_engines,
    send_tokens,
)
from testing.entry.fakes import Answer, BackendRequest, FakeBackend
from testing.entry.running import RunningEntry


def cut_after(count: int, then: Answer = answer_whole) -> Answer:
    """Return an engine that breaks its first stream after some tokens."""
    seen: list[BackendRequest] = []

    async def answer(request: BackendRequest) -> None:
        seen.append(request)
        if len(seen) > 1:
            await then(request)
            return
        await send_tokens(request, 0, count)
        await request.stream.aclose()

    return answer


async def hold_nothing(request: BackendRequest) -> None:
    """Answer whole, but refuse to resume."""
    if offset_of(request) is not None:
        await refuse(request, "409 Conflict", "cannot_resume")
        return
    await answer_whole(request)


async def give_other_tokens(request: BackendRequest) -> None:
    """Refuse to resume, and give another answer when run again."""
    if offset_of(request) is not None:
        await refuse(request, "409 Conflict", "cannot_resume")
        return
    await request.begin_stream()
    for index in range(len(TOKENS)):
        await request.stream.send(event(index, text="other"))
    await request.stream.send(end())
    await request.stream.aclose()


async def die(request: BackendRequest) -> None:
    """Close without an answer."""
    await request.stream.aclose()


class BrokenStreamTests(unittest.TestCase):
    def test_a_broken_stream_is_resumed_at_its_offset(self) -> None:
        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            response = await chat(entry, stream=True)
            self.assertEqual(contents(response.text), list(TOKENS))
            self.assertTrue(response.text.endswith("data: [DONE]\n\n"))
            offsets = [offset_of(item) for item in backends[0].requests]
            self.assertEqual(offsets, [None, 2])
            ids = {item.request_id for item in backends[0].requests}
            self.assertEqual(len(ids), 1)

        run_with_engines(scenario, cut_after(2))

    def test_an_end_mark_without_the_last_token_is_not_the_end(self) -> None:
        async def ends_early(request: BackendRequest) -> None:
            if offset_of(request) is not None:
                await answer_whole(request)
                return
            await request.begin_stream()
            await request.stream.send(event(0) + event(1) + end(2))
            await request.stream.aclose()

        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            response = await chat(entry, stream=True)
            self.assertEqual(contents(response.text), list(TOKENS))

        run_with_engines(scenario, ends_early)

    def test_a_gap_in_the_tokens_is_not_handed_on(self) -> None:
        async def skips(request: BackendRequest) -> None:
            if offset_of(request) is not None:
                await answer_whole(request)
                return
            await send_tokens(request, 0, 1)
            await request.stream.send(event(2) + event(3) + end())
            await request.stream.aclose()

        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            response = await chat(entry, stream=True)
            self.assertEqual(contents(response.text), list(TOKENS))

        run_with_engines(scenario, skips)

    def test_where_nothing_is_held_an_equal_second_run_completes(self) -> None:
        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            response = await chat(entry, stream=True)
            self.assertEqual(contents(response.text), list(TOKENS))

        run_with_engines(scenario, cut_after(2, hold_nothing))

    def test_a_second_run_that_differs_ends_with_an_error(self) -> None:
        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            response = await chat(entry, stream=True)
            self.assertEqual(contents(response.text), list(TOKENS[:2]))
            self.assertEqual(error_of(response.text)["verdict"], "may_have_run")
            self.assertNotIn("[DONE]", response.text)

        run_with_engines(scenario, cut_after(2, give_other_tokens))

    def test_another_engine_completes_what_a_dead_one_began(self) -> None:
        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            for _ in range(6):
                response = await chat(entry, stream=True)
                self.assertEqual(contents(response.text), list(TOKENS))
                chunk_ids = {
                    line.split('"id": "')[1].split('"')[0]
                    for line in response.text.splitlines()
                    if '"id": "' in line
                }
                self.assertEqual(len(chunk_ids), 1)
            self.assertGreater(len(backends[0].requests), 0)

        run_with_engines(scenario, cut_after(2, die), answer_whole)

    def test_a_plain_answer_is_never_a_part(self) -> None:
        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            response = await chat(entry, stream=False)
            self.assertEqual(response.status_code, 502)
            self.assertEqual(response.json()["verdict"], "may_have_run")
            self.assertEqual(response.headers["x-should-retry"], "false")

        async def always_cut(request: BackendRequest) -> None:
            await send_tokens(request, 0, 2)
            await request.stream.aclose()

        run_with_engines(scenario, always_cut)

    def test_anothers_answer_is_never_handed_on(self) -> None:
        async def cross(request: BackendRequest) -> None:
            request.headers["x-request-id"] = "somebody-else"
            await answer_whole(request)

        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            response = await chat(entry, stream=True)
            self.assertEqual(response.status_code, 502)
            self.assertEqual(contents(response.text), [])
            self.assertEqual(response.json()["verdict"], "may_have_run")

        run_with_engines(scenario, cross)


class SilentConnectionTests(unittest.TestCase):
    def test_a_silent_stream_goes_on_over_a_new_connection(self) -> None:
        silent: list[BackendRequest] = []

        async def fall_silent(request: BackendRequest) -> None:
            if offset_of(request) is not None:
                await answer_whole(request)
                return
            silent.append(request)
            await send_tokens(request, 0, 3)
            await anyio.sleep_forever()

        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            response = await chat(entry, stream=True)
            self.assertEqual(contents(response.text), list(TOKENS))
            offsets = [offset_of(item) for item in backends[0].requests]
            self.assertEqual(offsets, [None, 3])

        with mock.patch.object(engine_attempt, "STREAM_READ_TIMEOUT_S", 0.3):
            run_with_engines(scenario, fall_silent)
        self.assertEqual(len(silent), 1)

    def test_an_engine_that_is_silent_on_all_connections_is_left(self) -> None:
        async def say_nothing(request: BackendRequest) -> None:
            await anyio.sleep_forever()

        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            for _ in range(4):
                response = await chat(entry, stream=True)
                self.assertEqual(contents(response.text), list(TOKENS))

        with mock.patch.object(engine_attempt, "STREAM_READ_TIMEOUT_S", 0.1):
            run_with_engines(scenario, say_nothing, answer_whole)


class LeavingCallerTests(unittest.TestCase):
    def test_everything_of_a_caller_that_leaves_is_released(self) -> None:
        async def never_end(request: BackendRequest) -> None:
            await send_tokens(request, 0, 2)
            while True:
                await request.stream.receive()

        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            await _leave_mid_stream(entry)
            await _wait_released(entry, backends[0])
            self.assertEqual(entry.metric("pond_entry_callers_left_total"), 1)
            reservation, used = entry.admission.settled[0]
            self.assertLess(used, reservation.tokens)
            self.assertGreaterEqual(used, 2)

        # Long, so that only the caller's leaving can end the engine's work.
        with mock.patch.object(engine_attempt, "STREAM_READ_TIMEOUT_S", 300.0):
            run_with_engines(scenario, never_end)

    def test_a_caller_that_does_not_read_is_closed(self) -> None:
        async def flood(request: BackendRequest) -> None:
            await request.begin_stream()
            padding = "x" * 50_000
            index = 0
            while True:
                await request.stream.send(
                    event(0, text=padding).replace(b"id: 0", f"id: {index}".encode(), 1)
                )
                index += 1

        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            port = int(entry.url.rsplit(":", 1)[1])
            stream = await anyio.connect_tcp("127.0.0.1", port)
            text = RAW_REQUEST
            await stream.send(text)
            await _wait_released(entry, backends[0])
            await stream.aclose()

        with mock.patch("_pistachiopond.entry.active.WRITE_TIMEOUT_S", 0.3):
            run_with_engines(scenario, flood)


RAW_BODY = (
    b'{"model": "notes", "stream": true, "max_tokens": 100000,'
    b' "messages": [{"role": "user", "content": "x"}]}'
)
RAW_REQUEST = (
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
    b"Authorization: Bearer key-of-bergen\r\n"
    b"Content-Length: " + str(len(RAW_BODY)).encode() + b"\r\n\r\n" + RAW_BODY
)


async def _leave_mid_stream(entry: RunningEntry) -> None:
    port = int(entry.url.rsplit(":", 1)[1])
    stream = await anyio.connect_tcp("127.0.0.1", port)
    await stream.send(RAW_REQUEST)
    received = b""
    while b"ka" not in received:
        received += await stream.receive()
    await stream.aclose()


async def _wait_released(entry: RunningEntry, backend: FakeBackend) -> None:
    with anyio.fail_after(30):
        while (
            not entry.admission.settled
            or entry.admission.outstanding()
            or backend.open_streams
            or entry.metric("pond_entry_open_requests")
            or entry.metric("pond_entry_open_attempts")
            or not backend.cancels
        ):
            await anyio.sleep(0.01)


class SuspicionTests(unittest.TestCase):
    """Whether a failed attempt is reported as the sign of a crash."""

    def kinds_after(self, then: Answer, first: Answer | None = None) -> float:
        counts: list[float] = []

        async def scenario(entry: RunningEntry, backends: list[FakeBackend]) -> None:
            await chat(entry, stream=True)
            outcome = {"outcome": "reset"}
            counts.append(entry.metric("pond_entry_attempts_total", **outcome))

        run_with_engines(scenario, first or cut_after(2, then))
        return counts[0]

    def test_an_engine_that_has_lost_its_model_has_crashed(self) -> None:
        async def has_restarted(request: BackendRequest) -> None:
            await refuse(request, "404 Not Found", "model_not_found")

        self.assertEqual(self.kinds_after(has_restarted), 1)

    def test_an_engine_that_only_holds_nothing_has_not_crashed(self) -> None:
        self.assertEqual(self.kinds_after(hold_nothing), 0)

    def test_an_engine_behind_a_silent_connection_has_not_crashed(self) -> None:
        seen: list[BackendRequest] = []

        async def fall_silent(request: BackendRequest) -> None:
            seen.append(request)
            if len(seen) > 1:
                await hold_nothing(request)
                return
            await send_tokens(request, 0, 2)
            await anyio.sleep_forever()

        with mock.patch.object(engine_attempt, "STREAM_READ_TIMEOUT_S", 0.2):
            self.assertEqual(self.kinds_after(hold_nothing, fall_silent), 0)
