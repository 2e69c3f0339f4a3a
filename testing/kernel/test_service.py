"""Tests of the micro-kernel."""

import unittest
from typing import Any

import anyio
from anyio.abc import TaskStatus

from _pistachiopond.kernel.service import (
    Kernel,
    Service,
    UnknownServiceError,
    run_services,
)


class RunServicesTests(unittest.TestCase):
    def test_services_stop_in_reverse_order(self) -> None:
        events: list[str] = []

        def make(name: str) -> Service:
            async def run(kernel: Kernel, task_status: TaskStatus[Any]) -> None:
                events.append(f"start {name}")
                task_status.started(name)
                await kernel.stop_event(name).wait()
                events.append(f"stop {name}")

            return Service(name, run)

        async def scenario() -> None:
            kernel = Kernel()
            async with anyio.create_task_group() as group:
                group.start_soon(run_services, kernel, [make("a"), make("b")])
                await anyio.sleep(0)
                kernel.request_stop()

        anyio.run(scenario)
        self.assertEqual(events, ["start a", "start b", "stop b", "stop a"])

    def test_finding_a_service_that_is_not_running_raises(self) -> None:
        with self.assertRaises(UnknownServiceError):
            Kernel().find("log", str)
