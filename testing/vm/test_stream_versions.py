"""Tests that a stream goes on only at the software version that began it."""

import asyncio
import unittest
from collections.abc import AsyncIterator, Callable, Iterable, Iterator
from contextlib import asynccontextmanager
from itertools import count, permutations
from typing import Any, Final, NamedTuple
from unittest.mock import patch

from _pistachiopond.decisions import stream_versions
from _pistachiopond.decisions.stream_versions import (
    LEADER_CHANGE_S,
    RECORD_REACH_S,
    RESUMPTION_GAP_S,
    STREAM_MEMORY_S,
    ServedModel,
    StreamRecord,
    preferred_version,
)
from _pistachiopond.http1.client import ExchangeError, connect
from _pistachiopond.http1.messages import (
    HttpAddress,
    Request,
    RequestHead,
    encode_request,
)
from _pistachiopond.http1.server import Responder
from _pistachiopond.observe.metrics import Metrics
from _pistachiopond.platform.store import KeyedRecord
from _pistachiopond.schema.peer_messages import StreamOrigin
from _pistachiopond.schema.store_position import StorePosition
from _pistachiopond.vm import stream_origins
from _pistachiopond.vm.fleet import Fleet
from _pistachiopond.vm.peer_relays import Peer
from _pistachiopond.vm.server_selection import MIN_CALLER_WAIT_S
from _pistachiopond.vm.stream_origins import (
    BATCH_PERIOD_S,
    RecordBatch,
    weigh_versions,
)
from _pistachiopond.vm.version_binding import MAX_RECORD_WAIT_S
from testing.virtual_time import VirtualTimeTestCase, run_in_virtual_time
from testing.vm.cluster import Cluster
from testing.vm.deployment import (
    HOST,
    listen,
    refusing_address,
    route,
    running_deployment,
    server_entry,
    wait_until,
)
from testing.vm.fake_server import FakeServer, Step, attempt_of, break_connection
from testing.vm.test_cut_from_servers import cut_off

EVENTS: Final = 8
PATH: Final = "/resume/x"
STORE_REFUSES_S: Final = 0.5


def versioned_stream(version: str, breaks_after: int | None = None) -> Step:
    """Return a step that goes on after Last-Event-Id and names its version."""

    async def step(request: Request, responder: Responder) -> None:
        values = request.head.values(b"last-event-id")
        first = int(values[0]) + 1 if values else 0
        headers = [
            (b"X-Attempt-Id", attempt_of(request)),
            (b"X-Server-Seal", b"seal"),
            (b"Content-Type", b"text/event-stream"),
        ]
        await responder.start_response(200, headers, None)
        for number in range(first, EVENTS):
            if breaks_after is not None and number - first == breaks_after:
                responder.abort()
                return
            await responder.send(b"id: %d\ndata: %s\n\n" % (number, version.encode()))
            await asyncio.sleep(0.002)
        await responder.end()

    return step


class Answer(NamedTuple):
    """What a caller got; `status` is 0 if there was no response head."""

    status: int
    retry_after: bytes | None
    versions: list[str]
    is_whole: bool


def resumption_ends(metrics: Metrics, outcome: str) -> float | None:
    """Return how many resumptions had an outcome; None if none had."""
    name, labels = "pond_resumption_ends_total", {"outcome": outcome}
    return metrics.registry.get_sample_value(name, labels)


def versions_in(body: bytes) -> list[str]:
    """Return the version in each complete event."""
    return [
        block.rpartition(b"data: ")[2].decode()
        for block in body.split(b"\n\n")
        if b"data: " in block
    ]


async def call(address: HttpAddress, attempt_id: str, **headers: str) -> Answer:
    """Send a request for a stream and return what arrived of the answer."""
    connection = await connect(address, 1.0)
    plain = {
        "Host": HOST,
        "X-Attempt-Id": attempt_id,
        "X-Deadline-Ms": "1400",
        "X-Key": "office-key",
    } | {name.replace("_", "-"): value for name, value in headers.items()}
    head = RequestHead(
        b"POST", PATH.encode(), [(n.encode(), v.encode()) for n, v in plain.items()]
    )
    connection.send(encode_request(head, b"body"))
    body, status, retry_after, is_whole = b"", 0, None, False
    try:
        response = await connection.read_head()
        status, retry_after = response.status, response.value(b"retry-after")
        while chunk := await connection.read_chunk():
            body += chunk
        is_whole = True
    except ExchangeError:
        pass
    finally:
        connection.close()
    return Answer(status, retry_after, versions_in(body), is_whole)


class SingleVmTests(VirtualTimeTestCase):
    async def test_a_broken_stream_goes_on_at_no_other_version(self) -> None:
        async with running_deployment() as deployment:
            first = await deployment.add_server("s1", "plain", version="old")
            second = await deployment.add_server("s2", "plain", version="new")
            for number in range(6):
                first.steps = [versioned_stream("old", 3)]
                second.steps = [versioned_stream("new", 3)]
                answer = await call(deployment.address, f"a{number}")
                self.assertEqual(len(set(answer.versions)), 1)
                self.assertFalse(answer.is_whole)

    async def test_a_broken_stream_goes_on_at_another_server_of_its_version(
        self,
    ) -> None:
        async with running_deployment() as deployment:
            for name, version in (("s1", "old"), ("s2", "new"), ("s3", "old")):
                server = await deployment.add_server(name, "plain", version=version)
                server.steps = [versioned_stream(version, 3)] if name == "s1" else []
                server.steps += [versioned_stream(version)] * 20
            server = deployment.servers["s1"]
            number = 0
            while not server.requests:
                answer = await call(deployment.address, f"a{number}")
                number += 1
            self.assertEqual(answer.versions, ["old"] * EVENTS)
            self.assertTrue(answer.is_whole)

    async def test_without_an_event_a_stream_begins_anew_at_any_version(self) -> None:
        async with running_deployment() as deployment:
            first = await deployment.add_server("s1", "plain", version="old")
            second = await deployment.add_server("s2", "plain", version="new")
            first.steps = [versioned_stream("old", 0)]
            second.steps = [versioned_stream("new")]
            answer = Answer(0, None, [], False)
            for number in range(20):
                answer = await call(deployment.address, f"a{number}")
                if first.requests:
                    break
                second.steps = [versioned_stream("new")]
            self.assertEqual(answer.versions, ["new"] * EVENTS)

    async def test_a_resumption_that_names_no_first_attempt(self) -> None:
        async with running_deployment() as deployment:
            server = await deployment.add_server("s1", "plain", version="old")
            server.steps = [versioned_stream("old")] * 2
            answer = await call(deployment.address, "a1", Last_Event_Id="3")
            self.assertEqual(answer.versions, ["old"] * (EVENTS - 4))
            await deployment.add_server("s2", "plain", version="new")
            for resumes in ({}, {"Resumes": "\t"}, {"Resumes": "x" * 300}):
                answer = await call(
                    deployment.address, "a2", Last_Event_Id="3", **resumes
                )
                self.assertEqual((answer.status, answer.retry_after), (502, None))

    async def test_a_caller_without_an_event_begins_anew(self) -> None:
        async with running_deployment() as deployment:
            for name, version in (("s1", "old"), ("s2", "new")):
                server = await deployment.add_server(name, "plain", version=version)
                server.steps = [versioned_stream(version)]
            answer = await call(deployment.address, "a2", Resumes="a1")
            self.assertEqual(len(answer.versions), EVENTS)

    async def test_an_unknown_first_attempt_goes_on_where_all_vms_compute_it(
        self,
    ) -> None:
        async with running_deployment() as deployment:
            for name, version in (("s1", "old"), ("s2", "new")):
                server = await deployment.add_server(name, "plain", version=version)
                server.steps = [versioned_stream(version)] * 20
            # The first server was alone for a moment.
            await asyncio.sleep(STREAM_MEMORY_S + 1.0)
            for number in range(10):
                answer = await call(
                    deployment.address,
                    f"b{number}",
                    Resumes=f"a{number}",
                    Last_Event_Id="3",
                )
                expected = preferred_version(f"a{number}", {"old": 4, "new": 4})
                self.assertEqual(answer.versions, [expected] * (EVENTS - 4))

    async def test_a_version_without_a_server_is_refused_at_once(self) -> None:
        async with running_deployment() as deployment:
            server = await deployment.add_server("s1", "plain", version="old")
            server.steps = [versioned_stream("old", 3)]
            broken = await call(deployment.address, "a1")
            self.assertEqual(broken.versions, ["old"] * 3)
            second = await deployment.add_server("s2", "plain", version="new")
            deployment.store.put("keyed.servers", "s1", b"")
            await wait_until(lambda: "s1" not in deployment.vm.fleet.servers)
            answer = await call(
                deployment.address, "a2", Resumes="a1", Last_Event_Id="2"
            )
            self.assertEqual((answer.status, answer.retry_after), (502, None))
            self.assertEqual(second.requests, [])
            labels = {"outcome": "version_gone", "basis": "remembered"}
            registry = deployment.vm.metrics.registry
            count = registry.get_sample_value("pond_resumptions_total", labels)
            self.assertEqual(count, 1.0)
            self.assertEqual(resumption_ends(deployment.vm.metrics, "version_gone"), 1)

    async def test_what_became_of_resumptions_is_counted(self) -> None:
        async with running_deployment() as deployment:
            server = await deployment.add_server("s1", "plain", version="old")
            server.steps = [versioned_stream("old", 3), versioned_stream("old")]
            await call(deployment.address, "a1")
            await call(deployment.address, "a2", Resumes="a1", Last_Event_Id="2")
            with refusing_address() as address:
                deployment.write_entry("s1", "plain", address, version="old", born=2000)
                await wait_until(
                    lambda: deployment.vm.fleet.servers["s1"].started_ms == 2000
                )
                await call(deployment.address, "a3", Resumes="a1", Last_Event_Id="2")
            metrics = deployment.vm.metrics
            self.assertEqual(resumption_ends(metrics, "went_on"), 1)
            self.assertEqual(resumption_ends(metrics, "not_run"), 1)

    async def test_a_server_restarted_with_another_version_gets_no_resumption(
        self,
    ) -> None:
        async with running_deployment() as deployment:
            server = await deployment.add_server("s1", "plain", version="old")
            server.steps = [versioned_stream("old", 3)]
            await call(deployment.address, "a1")
            known = deployment.vm.fleet.servers["s1"]
            deployment.write_entry(
                "s1", "plain", known.address, version="new", born=2_000
            )
            await wait_until(
                lambda: deployment.vm.fleet.servers["s1"].started_ms == 2_000
            )
            answer = await call(
                deployment.address, "a2", Resumes="a1", Last_Event_Id="2"
            )
            self.assertEqual(answer.status, 502)
            self.assertEqual(len(server.requests), 1)

    async def test_a_busy_preferred_version_is_passed_over_a_bounded_number_of_times(
        self,
    ) -> None:
        async with running_deployment() as deployment:
            for name, version in (("s1", "old"), ("s2", "new")):
                server = await deployment.add_server(name, "plain", version=version)
                server.steps = [versioned_stream(version)] * 60
            deployment.vm.fleet.own_load["s1"] = 4
            for number in range(12):
                answer = await call(deployment.address, f"b{number}")
                self.assertEqual(set(answer.versions), {"new"})
                await asyncio.sleep(0.01)
            with patch.object(stream_origins, "MAX_PASSED_OVER_PER_S", 0.0):
                seen = set()
                for number in range(1, 20):
                    answer = await call(deployment.address, f"a{number}")
                    seen.update(answer.versions)
                self.assertEqual(seen, {"old", "new"})

    async def test_a_vm_cut_off_from_the_others_computes_no_version(self) -> None:
        async with running_deployment() as deployment:
            for name, version in (("s1", "old"), ("s2", "new")):
                server = await deployment.add_server(name, "plain", version=version)
                server.steps = [versioned_stream(version, 3), versioned_stream(version)]
            own = await call(deployment.address, "a1")
            with patch.object(stream_versions, "LEADER_CHANGE_S", 0.0):
                unknown = await call(
                    deployment.address, "b2", Resumes="b1", Last_Event_Id="2"
                )
                self.assertEqual(unknown.status, 503)
                self.assertIsNotNone(unknown.retry_after)
                known = await call(
                    deployment.address, "a2", Resumes="a1", Last_Event_Id="2"
                )
                self.assertEqual(set(known.versions), set(own.versions))


class FleetTests(unittest.TestCase):
    def test_versions_weigh_by_the_slots_of_staying_servers_with_the_model(
        self,
    ) -> None:
        models = [{"name": "m1", "adapters": []}]
        fleet = Fleet("here", 1.2, 2.0)
        for number, more in enumerate(
            (
                {"version": "old", "models": models},
                {"version": "new", "models": models, "slots": 6},
                {"version": "new", "models": models, "state": "draining"},
                {"version": "new"},
            )
        ):
            entry = server_entry("engines", "127.0.0.1:1", **more)
            position = StorePosition(0, number)
            fleet.apply(KeyedRecord(position, f"s{number}", entry))
        weights = weigh_versions(fleet, frozenset({"engines"}))
        expected = {"old": 4, "new": 6}
        self.assertEqual(weights[ServedModel("engines", "m1")], expected)
        expected = {"old": 4, "new": 10}
        self.assertEqual(weights[ServedModel("engines", "")], expected)


class VersionCluster(Cluster):
    """VMs with callers' listeners, and fake servers that they share."""

    def __init__(self) -> None:
        super().__init__()
        self.addresses: dict[str, HttpAddress] = {}
        self.servers: dict[str, FakeServer] = {}
        self._listening: list[asyncio.Server] = []

    async def open(self, name: str) -> None:
        """Let a VM take callers."""
        listening, address = await listen(self.vms[name].request_handler.handle)
        self._listening.append(listening)
        self.addresses[name] = address

    async def add_server(
        self,
        server_id: str,
        version: str,
        known_at: Iterable[str] | None = None,
        **more: Any,
    ) -> None:
        """Start a server and wait until these VMs, by default all, know it."""
        server = self.servers[server_id] = FakeServer(server_id)
        listening, address = await listen(server.handle)
        self._listening.append(listening)
        entry = server_entry(
            "plain", f"{address.ip}:{address.port}", version=version, **more
        )
        self.store.put("keyed.servers", server_id, entry)
        await self.wait_until_known(server_id, is_present=True, names=known_at)

    async def remove_server(self, server_id: str) -> None:
        """Remove a server's entry and wait until all VMs know."""
        self.store.put("keyed.servers", server_id, b"")
        await self.wait_until_known(server_id, is_present=False)

    async def wait_until_known(
        self, server_id: str, *, is_present: bool, names: Iterable[str] | None = None
    ) -> None:
        """Wait until VMs, by default all running ones, know of a server or its end."""
        await wait_until(
            lambda: all(
                (server_id in self.vms[name].fleet.servers) == is_present
                for name in (self.tasks if names is None else names)
            )
        )

    async def begin(self, vm: str, attempt_id: str) -> str:
        """Begin a stream that breaks, and return its version."""
        for server_id, server in self.servers.items():
            version = self.version_of(server_id)
            server.steps = [versioned_stream(version, 2)] * 4
        answer = await call(self.addresses[vm], attempt_id)
        assert answer.versions, answer
        assert len(set(answer.versions)) == 1, answer
        return answer.versions[0]

    async def resume(self, vm: str, attempt_id: str, first: str) -> Answer:
        """Take a stream up again."""
        for server_id, server in self.servers.items():
            server.steps = [versioned_stream(self.version_of(server_id))] * 4
        return await call(
            self.addresses[vm], attempt_id, Resumes=first, Last_Event_Id="1"
        )

    def version_of(self, server_id: str) -> str:
        """Return the version that a server's newest entry has stated."""
        known = [
            vm.fleet.servers[server_id].software_version
            for vm in self.vms.values()
            if server_id in vm.fleet.servers
        ]
        return known[0] if known else "gone"

    async def close(self) -> None:
        """End all VMs, servers and the store."""
        for listening in self._listening:
            listening.close()
        await super().close()


@asynccontextmanager
async def running_cluster(count: int, **more: Any) -> AsyncIterator[VersionCluster]:
    """Run VMs that take callers; further arguments are as of `Cluster.start`."""
    cluster = VersionCluster()
    await cluster.start(count, **more)
    try:
        for name in list(cluster.vms):
            await cluster.open(name)
        await wait_until(
            lambda: all(vm.state.table is not None for vm in cluster.vms.values())
        )
        yield cluster
    finally:
        await cluster.close()


async def begin_at_another_version(
    cluster: VersionCluster, vm: str, numbers: Iterator[int], **headers: str
) -> tuple[str, Answer, float]:
    """Begin a stream that the server of the preferred version, "old", breaks off.

    Servers ``s1`` ("old") and ``s2`` ("new") must serve. Returns the attempt's id, the
    answer, which breaks after two events, and the seconds until then.
    """
    weights = {"old": 4, "new": 4}
    names = (f"a{number}" for number in numbers)
    name = next(n for n in names if preferred_version(n, weights) == "old")
    cluster.servers["s1"].steps = [break_connection]
    cluster.servers["s2"].steps = [versioned_stream("new", 2)] * 2
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    answer = await call(cluster.addresses[vm], name, **headers)
    return name, answer, loop.time() - began_s


class RecordWaitTests(unittest.TestCase):
    def test_the_first_event_waits_until_all_vms_have_been_sent_the_record(
        self,
    ) -> None:
        async def main() -> None:
            async with running_cluster(3) as cluster:
                for server, version in (("s1", "old"), ("s2", "new")):
                    await cluster.add_server(server, version)
                numbers = count()
                for vm in ("vm-0", "vm-1", "vm-2") * 3:
                    name, answer, _ = await begin_at_another_version(
                        cluster, vm, numbers
                    )
                    self.assertEqual(answer.versions, ["new"] * 2)
                    for other in cluster.vms.values():
                        origins = other.leader_client.origins
                        origin = origins.resolve(name, ServedModel("plain", ""))
                        self.assertEqual(origin.version, "new")

        run_in_virtual_time(main())

    def test_the_wait_for_a_record_that_is_not_relayed_is_bounded(self) -> None:
        async def main() -> None:
            patient = route("resume", "stream", "plain", resumable=True, timeoutMs=9000)
            async with running_cluster(2, routes=[patient]) as cluster:
                for server, version in (("s1", "old"), ("s2", "new")):
                    await cluster.add_server(server, version)
                leader = cluster.vms[cluster.leader()].leader_server
                with patch.object(leader, "_origins_batch"):
                    _, answer, seconds = await begin_at_another_version(
                        cluster, "vm-0", count(), X_Deadline_Ms="9000"
                    )
            # The record may still arrive, so the stream begins nowhere else, and the
            # status does not promise that it has not run.
            self.assertEqual((answer.status, answer.versions), (502, []))
            self.assertGreaterEqual(seconds, MAX_RECORD_WAIT_S)
            self.assertLess(seconds, MIN_CALLER_WAIT_S)

        run_in_virtual_time(main())

    def test_the_first_event_waits_until_the_store_has_the_record(self) -> None:
        # It was sent with the line to the other VMs, which may all end before the
        # leader has written the record.
        async def main() -> None:
            async with running_cluster(2) as cluster:
                for server, version in (("s1", "old"), ("s2", "new")):
                    await cluster.add_server(server, version)
                loop = asyncio.get_running_loop()
                numbers = count()
                for vm in cluster.vms:
                    end_s = loop.time() + STORE_REFUSES_S
                    cluster.store.refuses = lambda path, end_s=end_s: (
                        path == "/log-append" and loop.time() < end_s
                    )
                    _, answer, _ = await begin_at_another_version(cluster, vm, numbers)
                    self.assertEqual(answer.versions, ["new"] * 2)
                    self.assertGreaterEqual(loop.time(), end_s)
                    # All VMs hear that the leader writes again.
                    await asyncio.sleep(1.0)

        run_in_virtual_time(main())

    def test_behind_a_leader_that_confirms_nothing_its_line_is_enough(self) -> None:
        # As builds do that do not know of it.
        async def main() -> None:
            async with running_cluster(2) as cluster:
                for server, version in (("s1", "old"), ("s2", "new")):
                    await cluster.add_server(server, version)
                for vm in cluster.vms.values():
                    server = vm.leader_server
                    server._deps = server._deps._replace(stores_streams=None)
                await asyncio.sleep(1.0)
                cluster.store.refuses = lambda path: path == "/log-append"
                for vm in cluster.vms:
                    _, answer, seconds = await begin_at_another_version(
                        cluster, vm, count()
                    )
                    self.assertEqual(answer.versions, ["new"] * 2)
                    self.assertLess(seconds, 4.0 * BATCH_PERIOD_S)

        run_in_virtual_time(main())

    def test_the_record_of_a_failed_attempt_is_replaced_where_a_stream_is_passed_on(
        self,
    ) -> None:
        async def main() -> None:
            async with running_cluster(3) as cluster:
                for server, version in (("s1", "old"), ("s2", "new")):
                    await cluster.add_server(server, version)
                weights = {"old": 4, "new": 4}
                names = (f"a{number}" for number in count())
                name = next(n for n in names if preferred_version(n, weights) == "new")
                cluster.servers["s1"].steps = [break_connection]
                cluster.servers["s2"].steps = [versioned_stream("new", 2)] * 2
                first, other = (vm for vm in cluster.vms if vm != cluster.leader())
                leader = cluster.vms[cluster.leader()].leader_server
                peer = Peer(cluster.vms[other].settings.relay_address)
                cluster.vms[first].relays.choose = lambda service, excluded: peer
                # VMs record all streams until they have known the servers for so long.
                for vm in cluster.vms.values():
                    vm.leader_client.origins.refresh()
                await asyncio.sleep(RESUMPTION_GAP_S)
                # The next line of the leader waits for a batch.
                leader._origins_batch.add([StreamRecord("other", "old", 0.0)])
                with refusing_address() as refusing:
                    pools = cluster.vms[first].pools
                    pool_of = pools.pool_of
                    pools.pool_of = lambda server: pool_of(
                        server._replace(address=refusing)
                        if server.server_id == "s2"
                        else server
                    )
                    answer = await call(cluster.addresses[first], name)
                    pools.pool_of = pool_of
                self.assertEqual(len(cluster.servers["s1"].requests), 1)
                self.assertEqual(answer.versions, ["new"] * 2)
                await asyncio.sleep(0.3)
                for vm in cluster.vms:
                    answer = await cluster.resume(vm, f"b-{vm}", name)
                    self.assertEqual(set(answer.versions), {"new"}, vm)

        run_in_virtual_time(main())


class RecordBatchTests(unittest.TestCase):
    def test_a_record_is_sent_at_once_and_many_in_a_bounded_number_of_lines(
        self,
    ) -> None:
        lines: list[tuple[float, list[str]]] = []

        async def main() -> None:
            loop = asyncio.get_running_loop()

            def send(line: list[StreamOrigin]) -> bool:
                lines.append((loop.time(), [stream_id for stream_id, _, _ in line]))
                return True

            batch = RecordBatch(send)
            await asyncio.sleep(1.0)
            for number in range(100):
                batch.add([StreamRecord(f"a{number}", "old", 0.0)])
                await asyncio.sleep(0.01)
            await asyncio.sleep(1.0)

        run_in_virtual_time(main())
        sent_s, names = lines[0]
        self.assertEqual(names, ["a0"])
        self.assertAlmostEqual(sent_s, 1.0, places=3)
        self.assertLessEqual(len(lines), 1 + 1.0 / BATCH_PERIOD_S)
        sent = [stream_id for _, names in lines for stream_id in names]
        self.assertEqual(sent, [f"a{number}" for number in range(100)])

    def test_a_record_that_is_discarded_before_there_is_a_leader_is_not_sent(
        self,
    ) -> None:
        lines: list[list[str]] = []

        async def main() -> None:
            loop = asyncio.get_running_loop()

            def send(line: list[StreamOrigin]) -> bool:
                if loop.time() < 1.0:
                    return False
                lines.append([stream_id for stream_id, _, _ in line])
                return True

            batch = RecordBatch(send)
            for name in ("a", "b"):
                batch.add([StreamRecord(name, "old", 0.0)])
            await asyncio.sleep(0.5)
            self.assertTrue(batch.discard("a"))
            await asyncio.sleep(1.0)
            self.assertFalse(batch.discard("b"))

        run_in_virtual_time(main())
        self.assertEqual(lines, [["b"]])


class SeveralVmTests(VirtualTimeTestCase):
    async def test_a_stream_goes_on_at_its_version_at_any_vm_any_number_of_times(
        self,
    ) -> None:
        async with running_cluster(3) as cluster:
            for name, version in (("s1", "old"), ("s2", "new"), ("s3", "new")):
                await cluster.add_server(name, version)
            # VMs that do not know their number yet have no reserve of the rate limit.
            clients = [vm.leader_client for vm in cluster.vms.values()]
            await wait_until(
                lambda: all(client.reserve_member_count() == 3 for client in clients),
                5.0,
            )
            seen = set()
            for number in range(12):
                version = await cluster.begin("vm-0", f"a{number}")
                seen.add(version)
                await asyncio.sleep(0.02)
                for vm in ("vm-1", "vm-2"):
                    await wait_until(self._is_known(cluster, vm, f"a{number}"))
                    answer = await cluster.resume(vm, f"{vm}-{number}", f"a{number}")
                    self.assertEqual(set(answer.versions), {version})
            self.assertEqual(seen, {"old", "new"})

    def _is_known(
        self, cluster: VersionCluster, vm: str, first: str
    ) -> Callable[[], bool]:
        origins = cluster.vms[vm].leader_client.origins
        model = ServedModel("plain", "")
        return lambda: origins.resolve(first, model).version is not None

    async def test_a_stream_taken_up_elsewhere_at_once_stays_at_its_version(
        self,
    ) -> None:
        async with running_cluster(2) as cluster:
            for server, version in (("s1", "old"), ("s2", "new")):
                await cluster.add_server(server, version)
            name, answer, _ = await begin_at_another_version(cluster, "vm-0", count())
            self.assertEqual(answer.versions, ["new"] * 2)
            answer = await cluster.resume("vm-1", "b1", name)
            self.assertLessEqual(set(answer.versions), {"new"})

    async def test_a_stream_begun_before_a_version_came_goes_on_without_its_vm(
        self,
    ) -> None:
        async with running_cluster(3) as cluster:
            await cluster.add_server("s1", "old")
            begun_at = next(name for name in cluster.vms if name != cluster.leader())
            for number in range(12):
                self.assertEqual(await cluster.begin(begun_at, f"a{number}"), "old")
            await cluster.add_server("s2", "new")
            cluster.vms[begun_at].leader_client.origins.refresh()
            await asyncio.sleep(0.5)
            await cluster.kill(begun_at)
            for number in range(12):
                vm = next(name for name in cluster.tasks)
                answer = await cluster.resume(vm, f"b{number}", f"a{number}")
                self.assertEqual(set(answer.versions), {"old"}, (number, answer))

    async def test_the_versions_of_a_killed_leaders_streams_are_known_at_once(
        self,
    ) -> None:
        async with running_cluster(3) as cluster:
            await cluster.add_server("s1", "old")
            leader = cluster.leader()
            for number in range(12):
                await cluster.begin(leader, f"a{number}")
            await cluster.add_server("s2", "new")
            cluster.vms[leader].leader_client.origins.refresh()
            # VMs that do not know their number yet have no reserve of the rate limit.
            clients = [vm.leader_client for vm in cluster.vms.values()]
            await wait_until(
                lambda: all(client.reserve_member_count() == 3 for client in clients)
            )
            await cluster.kill(leader)
            for number in range(12):
                vm = next(name for name in cluster.tasks)
                answer = await cluster.resume(vm, f"b{number}", f"a{number}")
                self.assertEqual(set(answer.versions), {"old"}, (number, answer))

    async def test_a_vm_that_starts_learns_the_records_of_the_last_minute(
        self,
    ) -> None:
        async with running_cluster(2) as cluster:
            await cluster.add_server("s1", "old")
            for number in range(12):
                await cluster.begin("vm-0", f"a{number}")
            await cluster.add_server("s2", "new")
            cluster.vms["vm-0"].leader_client.origins.refresh()
            await asyncio.sleep(0.5)
            address = cluster.vms["vm-0"].settings.store_address
            cluster.launch("vm-9", address)
            await cluster.open("vm-9")
            await wait_until(
                lambda: (
                    cluster.all_have_replies(["vm-9"])
                    and cluster.vms["vm-9"].state.table is not None
                    and "s2" in cluster.vms["vm-9"].fleet.servers
                )
            )
            for number in range(12):
                answer = await cluster.resume("vm-9", f"b{number}", f"a{number}")
                self.assertEqual(set(answer.versions), {"old"}, (number, answer))

    async def test_a_vm_that_has_just_started_resumes_what_the_leader_resumes(
        self,
    ) -> None:
        for is_leader_older_build in (False, True):
            with self.subTest(is_leader_older_build=is_leader_older_build):
                await self.check_just_started(is_leader_older_build)

    async def check_just_started(self, is_leader_older_build: bool) -> None:
        async with running_cluster(2) as cluster:
            for server, version in (("s1", "old"), ("s2", "new"), ("s3", "gone")):
                await cluster.add_server(server, version)
            for vm in cluster.vms.values():
                vm.leader_client.origins.refresh()
            await asyncio.sleep(RESUMPTION_GAP_S + 1.0)
            await cluster.remove_server("s3")
            begun = {f"a{n}": await cluster.begin("vm-0", f"a{n}") for n in range(12)}
            if is_leader_older_build:
                for vm in cluster.vms.values():
                    vm.leader_client.origins.history = lambda known_s: None
            cluster.launch("vm-9", cluster.vms["vm-0"].settings.store_address)
            await cluster.open("vm-9")
            young = cluster.vms["vm-9"]
            await wait_until(
                lambda: young.state.table is not None and bool(young.fleet.servers)
            )
            young.leader_client.origins.refresh()
            # Without heartbeats of servers, the entries are proved each 2 s.
            await asyncio.sleep(3.0)
            old = cluster.vms[cluster.leader()].leader_client.origins
            model = ServedModel("plain", "")
            computed = [
                (name, old.resolve(name, model).version)
                for name in (f"x{number}" for number in range(100))
            ]
            self.assertIn(None, [version for _, version in computed])
            statuses = set()
            for name, version in computed:
                answer = await cluster.resume("vm-9", f"r-{name}", name)
                statuses.add(answer.status)
                if answer.versions:
                    self.assertEqual(set(answer.versions), {version})
            self.assertEqual(statuses, {503} if is_leader_older_build else {200, 502})
            for name, version in begun.items():
                answer = await cluster.resume("vm-9", f"b-{name}", name)
                self.assertLessEqual(set(answer.versions), {version})

    async def test_streams_passed_on_to_other_vms_stay_at_their_version(self) -> None:
        with refusing_address() as refusing:
            await self.check_streams_of_a_vm_without_servers(refusing)

    async def check_streams_of_a_vm_without_servers(
        self, refusing: HttpAddress
    ) -> None:
        async with running_cluster(3) as cluster:
            for name, version in zip("wxyz", ("old", "new") * 2, strict=True):
                await cluster.add_server(name, version)
            cut = next(name for name in cluster.vms if name != cluster.leader())
            cut_off(cluster.vms[cut], refusing)
            whole = 0
            for number in range(30):
                for server_id, server in cluster.servers.items():
                    version = cluster.version_of(server_id)
                    breaks_after = 3 if server_id in "wx" else None
                    server.steps = [versioned_stream(version, breaks_after)] * 5
                answer = await call(cluster.addresses[cut], f"a{number}")
                self.assertLessEqual(len(set(answer.versions)), 1)
                whole += answer.is_whole and bool(answer.versions)
            self.assertGreater(whole, 10)
            self.assertTrue(cluster.vms[cut].reach.is_unreachable("plain"))

    async def test_a_version_that_began_nothing_is_not_remembered_of_a_relayed_stream(
        self,
    ) -> None:
        with refusing_address() as refusing:
            async with running_cluster(2) as cluster:
                for server, version in (("s1", "old"), ("s2", "new")):
                    await cluster.add_server(server, version)
                cut = next(name for name in cluster.vms if name != cluster.leader())
                heal = cut_off(cluster.vms[cut], refusing)
                weights = {"old": 4, "new": 4}
                names = (f"a{number}" for number in count())
                name = next(n for n in names if preferred_version(n, weights) == "new")
                cluster.servers["s2"].steps = [versioned_stream("new", 2)] * 2
                answer = await call(cluster.addresses[cut], name)
                self.assertEqual(answer.versions, ["new"] * 2)
                heal()
                await asyncio.sleep(1.0)
                answer = await cluster.resume(cut, "b1", name)
                self.assertLessEqual(set(answer.versions), {"new"})

    async def test_records_wait_for_a_leader_that_relays_them(self) -> None:
        async with running_cluster(2) as cluster:
            await cluster.add_server("s1", "old")
            follower = next(name for name in cluster.vms if name != cluster.leader())
            for number in range(12):
                await cluster.begin(follower, f"a{number}")
            client = cluster.vms[follower].leader_client
            with patch.object(client, "_send_origins", return_value=False) as send:
                client.origins._batch._send = send
                await cluster.add_server("s2", "new")
                client.origins.refresh()
                await wait_until(lambda: send.call_count > 1)
            leader = cluster.vms[cluster.leader()].leader_client.origins
            self.assertEqual(leader.counts()[1], 0)
            client.origins._batch._send = client._send_origins
            await wait_until(lambda: leader.counts()[1] > 0)

    async def test_nothing_is_recorded_where_one_version_serves(self) -> None:
        async with running_cluster(2) as cluster:
            await cluster.add_server("s1", "old")
            await cluster.add_server("s2", "old")
            for number in range(6):
                await cluster.begin("vm-0", f"a{number}")
            await asyncio.sleep(0.3)
            for vm in cluster.vms.values():
                self.assertEqual(vm.leader_client.origins.counts()[1], 0)


# Where the store is away for long, keys of customers are too old to be relied on.
OPEN_ROUTE: Final = route(
    "resume", "stream", "plain", resumable=True, gapAimMs=150, anonymous=True
)


class TurnedAwayTests(VirtualTimeTestCase):
    """VMs that the store turns away while it serves the others, or nobody."""

    async def settle(self, cluster: VersionCluster) -> None:
        """Start a server, and let it serve for long enough to be relied on."""
        await cluster.add_server("s1", "old")
        for vm in cluster.vms.values():
            vm.leader_client.origins.refresh()
        await asyncio.sleep(RESUMPTION_GAP_S + 2.0)

    async def begin_beside_a_new_version(
        self, cluster: VersionCluster, former: str
    ) -> dict[str, str]:
        """Begin streams at the next leader, as servers of a new version join.

        Returns the version of each stream.
        """
        await wait_until(lambda: cluster.leader() != former, 5.0)
        leader = cluster.leader()
        await cluster.add_server("s2", "new", known_at=[leader])
        cluster.vms[leader].leader_client.origins.refresh()
        names = [f"a{number}" for number in range(20)]
        begun = {name: await cluster.begin(leader, name) for name in names}
        self.assertEqual(set(begun.values()), {"old", "new"})
        return begun

    async def check_refused(
        self, cluster: VersionCluster, vm: str, begun: dict[str, str]
    ) -> None:
        """Take streams up again at a VM that can't know their versions."""
        for name, version in begun.items():
            answer = await cluster.resume(vm, f"b-{name}", name)
            self.assertLessEqual(set(answer.versions), {version}, name)
            self.assertEqual(answer.status, 503, name)

    async def check_behind_a_leader(
        self, cluster: VersionCluster, turned_away: str, stopped: str
    ) -> dict[str, str]:
        """Turn a VM away, stop the leader or another VM, and check the first one."""
        await self.settle(cluster)
        former = cluster.leader()
        cluster.turn_away([turned_away])
        await cluster.vms[stopped].election.resign()
        begun = await self.begin_beside_a_new_version(cluster, former)
        await asyncio.sleep(LEADER_CHANGE_S)
        await self.check_refused(cluster, turned_away, begun)
        return begun

    async def test_a_resigned_leaders_replies_do_not_prove_the_only_version(
        self,
    ) -> None:
        # They counted as contact, so streams of a version that the VM could not have
        # heard of went on at the one that it knew.
        async with running_cluster(3, routes=[OPEN_ROUTE]) as cluster:
            leader = cluster.leader()
            cut = next(name for name in cluster.vms if name != leader)
            await self.check_behind_a_leader(cluster, cut, leader)

    async def test_a_turned_away_leaders_own_replies_do_not_prove_the_only_version(
        self,
    ) -> None:
        # It follows its own replies when the store turns it away and it gives up.
        async with running_cluster(3, routes=[OPEN_ROUTE]) as cluster:
            leader = cluster.leader()
            stopped = next(name for name in cluster.vms if name != leader)
            await self.check_behind_a_leader(cluster, leader, stopped)

    async def test_a_vm_that_finds_the_next_leader_late_is_told_all_records(
        self,
    ) -> None:
        # It asked for those since the last reply of the leader that had resigned.
        async with running_cluster(3, routes=[OPEN_ROUTE]) as cluster:
            leader = cluster.leader()
            cut = next(name for name in cluster.vms if name != leader)
            begun = await self.check_behind_a_leader(cluster, cut, leader)
            await asyncio.sleep(LEADER_CHANGE_S)
            cluster.turn_away([])
            client = cluster.vms[cut].leader_client
            await wait_until(lambda: client.contact_age_s() < 0.5, 5.0)
            for name, version in begun.items():
                answer = await cluster.resume(cut, f"c-{name}", name)
                self.assertEqual(set(answer.versions), {version}, name)

    async def test_contact_that_ends_with_old_entries_proves_nothing_soon_after(
        self,
    ) -> None:
        # The VM relied on the one version that it knew for 4 s after its contact ended,
        # though its entries were as old by then: the store had been away for all.
        async with running_cluster(3, routes=[OPEN_ROUTE]) as cluster:
            await self.settle(cluster)
            former = cluster.leader()
            cut = next(name for name in cluster.vms if name != former)
            cluster.turn_away(cluster.vms)
            await asyncio.sleep(LEADER_CHANGE_S)
            cluster.turn_away([cut, former])
            begun = await self.begin_beside_a_new_version(cluster, former)
            await asyncio.sleep(RECORD_REACH_S)
            await self.check_refused(cluster, cut, begun)

    async def test_streams_go_on_while_the_store_answers_nobody(self) -> None:
        async with running_cluster(3, routes=[OPEN_ROUTE]) as cluster:
            await cluster.add_server("s1", "old")
            await asyncio.sleep(2.0)
            cluster.turn_away(cluster.vms)
            await asyncio.sleep(LEADER_CHANGE_S + 1.0)
            for vm in cluster.vms.values():
                contact = vm.leader_client.origins.contact()
                self.assertGreater(contact.entries_age_s, LEADER_CHANGE_S)
            for vm in cluster.vms:
                await cluster.begin(vm, f"a-{vm}")
            for first, vm in permutations(cluster.vms, 2):
                answer = await cluster.resume(vm, f"b-{first}-{vm}", f"a-{first}")
                self.assertEqual(answer.versions, ["old"] * (EVENTS - 2), (first, vm))


if __name__ == "__main__":
    unittest.main()
