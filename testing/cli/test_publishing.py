"""Tests of publishing and withdrawing against a stand-in log."""

import tempfile
import unittest
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import httpx

from _pistachiopond.cli.publishing import (
    Target,
    check_manifest,
    publish_manifest,
    withdraw_keys,
)
from _pistachiopond.cli.report import ExitCode, Report
from _pistachiopond.kernel.timer import RealTimer
from _pistachiopond.schema.codec import to_json
from _pistachiopond.schema.manifest import Manifest
from _pistachiopond.standin.host import Part
from _pistachiopond.standin.log import LogOptions, StandinLog
from testing.cli.fake_control import FakeControl, make_status, serve_control
from testing.standin.serving import Served, serve, set_fault
from tools.make_examples import make_kereru

WAIT_S = 20.0
SHORT_S = 0.5
DIGEST = "0" * 64
RECORDS = "/streams/config/records"


@asynccontextmanager
async def serve_log() -> AsyncGenerator[Served, None]:
    part = Part("log", "log", StandinLog(LogOptions(), RealTimer()).routes())
    async with serve(part) as served:
        yield served


def target_of(served: Served, *control: str, wait_s: float = WAIT_S) -> Target:
    return Target(f"http://{served.address}", control, None, wait_s)


async def count_records(http: httpx.AsyncClient) -> int:
    return int((await http.get(RECORDS)).json()["next"])


class PublishingTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "manifest.json"
        self.write(make_kereru())

    def write(self, manifest: Manifest) -> None:
        self.path.write_text(to_json(manifest), encoding="utf-8")

    async def test_the_first_manifest_is_accepted(self) -> None:
        async with serve_log() as served:
            report = await publish_manifest(self.path, target_of(served), None)
        self.assertEqual(report.code, ExitCode.DONE)
        self.assertEqual(report.data.revision, 1)

    async def test_of_two_at_once_one_is_in_force_and_one_conflicts(self) -> None:
        reports: list[Report] = []
        async with serve_log() as served:
            await set_fault(
                served.http, kind="delay_before", method="POST", delay_s=0.3
            )
            await set_fault(
                served.http, kind="delay_before", method="POST", delay_s=0.3
            )

            async def publish() -> None:
                target = target_of(served)
                reports.append(await publish_manifest(self.path, target, None))

            async with anyio.create_task_group() as group:
                group.start_soon(publish)
                group.start_soon(publish)
            records = await count_records(served.http)
        self.assertEqual(records, 2)
        results = sorted(report.data.result for report in reports)
        self.assertEqual(results, ["accepted", "conflict"])
        codes = sorted(report.code for report in reports)
        self.assertEqual(codes, [ExitCode.DONE, ExitCode.REFUSED])

    async def test_a_conflict_that_is_known_before_appends_nothing(self) -> None:
        async with serve_log() as served:
            await publish_manifest(self.path, target_of(served), None)
            report = await publish_manifest(self.path, target_of(served), None)
            records = await count_records(served.http)
        self.assertEqual(report.data.result, "conflict")
        self.assertEqual(records, 1)

    async def test_a_lost_answer_is_found_to_be_accepted(self) -> None:
        async with serve_log() as served:
            await set_fault(served.http, kind="drop_after", method="POST")
            report = await publish_manifest(self.path, target_of(served), None)
            records = await count_records(served.http)
        self.assertEqual((report.data.result, records), ("accepted", 1))

    async def test_a_lost_append_is_sent_again(self) -> None:
        async with serve_log() as served:
            await set_fault(served.http, kind="drop_before", method="POST")
            report = await publish_manifest(self.path, target_of(served), None)
            records = await count_records(served.http)
        self.assertEqual((report.data.result, records), ("accepted", 1))

    async def test_a_duplicated_append_is_still_accepted(self) -> None:
        async with serve_log() as served:
            await set_fault(served.http, kind="duplicate", method="POST")
            report = await publish_manifest(self.path, target_of(served), None)
            records = await count_records(served.http)
        self.assertEqual((report.data.result, records), ("accepted", 2))

    async def test_without_a_log_nothing_was_published(self) -> None:
        target = Target("http://127.0.0.1:9", (), None, SHORT_S)
        report = await publish_manifest(self.path, target, None)
        self.assertEqual(report.code, ExitCode.REFUSED)
        self.assertEqual(report.data.result, "not_published")

    async def test_an_append_with_an_unknown_end_is_said_to_be_unknown(self) -> None:
        async with serve_log() as served:
            await set_fault(served.http, kind="drop_before", method="POST", count=None)
            target = target_of(served, wait_s=1.0)
            report = await publish_manifest(self.path, target, None)
        self.assertEqual(report.code, ExitCode.UNKNOWN)
        self.assertEqual(report.data.result, "unknown")

    async def test_where_it_is_in_force_is_told_truthfully(self) -> None:
        follows = FakeControl(make_status(number=1, offset=0))
        behind = FakeControl(make_status())
        async with serve_log() as served, serve_control(follows) as first:
            async with serve_control(behind) as second:
                follows.status = follows.status._replace(
                    members=make_status(members=(second,)).members
                )
                target = target_of(served, first, "127.0.0.1:9", wait_s=SHORT_S)
                report = await publish_manifest(self.path, target, None)
        states = {place.address: place.state for place in report.data.places}
        self.assertEqual(
            states, {first: "in_force", second: "behind", "127.0.0.1:9": "unknown"}
        )
        self.assertEqual(report.code, ExitCode.NOT_EVERYWHERE)

    async def test_a_withdrawal_survives_a_lost_answer(self) -> None:
        async with serve_log() as served:
            await publish_manifest(self.path, target_of(served), None)
            await set_fault(served.http, kind="drop_after", method="POST")
            report = await withdraw_keys((DIGEST,), target_of(served))
        self.assertEqual(report.code, ExitCode.DONE)
        self.assertEqual(report.data.offset, 1)

    async def test_a_withdrawal_needs_a_digest(self) -> None:
        async with serve_log() as served:
            report = await withdraw_keys(("a-key",), target_of(served))
            records = await count_records(served.http)
        self.assertEqual((report.code, records), (ExitCode.REFUSED, 0))

    def test_a_manifest_that_does_not_fit_is_refused_by_check(self) -> None:
        manifest = make_kereru()
        huge = manifest.models[0]._replace(memory_mb=1_000_000)
        self.write(manifest._replace(models=(huge, *manifest.models[1:])))
        report = check_manifest(self.path)
        self.assertEqual(report.code, ExitCode.REFUSED)
        self.assertIn(huge.name, report.lines[0])

    def test_a_file_with_an_unknown_field_is_refused_with_its_path(self) -> None:
        self.path.write_text('{"modles": []}', encoding="utf-8")
        report = check_manifest(self.path)
        self.assertEqual(report.code, ExitCode.REFUSED)
        self.assertTrue(any("$.modles" in line for line in report.lines))
