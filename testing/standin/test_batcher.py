"""Tests of the simulated batching, on a virtual clock."""

import unittest

import anyio

from _pistachiopond.kernel.timer import VirtualTimer
from _pistachiopond.standin.batcher import Batcher, BatchTiming, Job

TIMING = BatchTiming(
    prefill_tokens_per_s=1000.0, token_gap_s=0.01, batch_slowdown=0.0, max_batch=1
)


class BatcherTests(unittest.IsolatedAsyncioTestCase):
    async def test_tokens_are_generated_at_the_configured_rate(self) -> None:
        timer = VirtualTimer()
        batcher = Batcher(TIMING, timer)
        send, receive = anyio.create_memory_object_stream[int](100)
        async with anyio.create_task_group() as group:
            group.start_soon(batcher.run)
            batcher.submit(Job(1, 0, 100, 0, 5, send))
            # The first token takes 0.1 s of prefill and one token gap of 0.01 s.
            await timer.advance(0.109)
            self.assertEqual(receive.statistics().current_buffer_used, 0)
            await timer.advance(0.002)
            self.assertEqual(receive.statistics().current_buffer_used, 1)
            await timer.advance(0.04)
            self.assertEqual([index async for index in receive], [0, 1, 2, 3, 4])
            group.cancel_scope.cancel()

    async def test_jobs_with_a_smaller_priority_run_first(self) -> None:
        timer = VirtualTimer()
        batcher = Batcher(TIMING, timer)
        done: list[int] = []

        async def collect(job_id: int, priority: int) -> None:
            send, receive = anyio.create_memory_object_stream[int](100)
            batcher.submit(Job(job_id, priority, 0, 0, 2, send))
            async for _ in receive:
                pass
            done.append(job_id)

        async with anyio.create_task_group() as group:
            for job_id, priority in ((1, 9), (2, 5), (3, 1)):
                group.start_soon(collect, job_id, priority)
            await timer.advance(0.0)
            group.start_soon(batcher.run)
            await timer.advance(1.0)
            group.cancel_scope.cancel()
        self.assertEqual(done, [3, 2, 1])

    async def test_cancelled_jobs_free_their_place_in_batch_and_queue(self) -> None:
        timer = VirtualTimer()
        batcher = Batcher(TIMING, timer)
        streams = [anyio.create_memory_object_stream[int](100) for _ in range(3)]
        for job_id, (send, _) in enumerate(streams):
            batcher.submit(Job(job_id, 0, 0, 0, 50, send))
        async with anyio.create_task_group() as group:
            group.start_soon(batcher.run)
            await timer.advance(0.05)
            batcher.cancel(0)
            batcher.cancel(1)
            await timer.advance(0.05)
            group.cancel_scope.cancel()
        self.assertEqual(streams[1][1].statistics().current_buffer_used, 0)
        self.assertGreater(streams[2][1].statistics().current_buffer_used, 0)
        self.assertEqual(batcher.load().queued, 0)
