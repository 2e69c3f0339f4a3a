"""A test deployment: a VM's components, a store and servers in one event loop."""

import asyncio
import json
import socket
from collections import deque
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from contextlib import asynccontextmanager, contextmanager
from typing import Any, Final, final

from _pistachiopond.http1.client import ClientConnection, connect
from _pistachiopond.http1.messages import (
    CompleteResponse,
    HttpAddress,
    RequestHead,
    encode_request,
)
from _pistachiopond.http1.server import (
    Handler,
    ServerConnection,
    ServerContext,
    ServerLimits,
)
from _pistachiopond.kernel.timer import RealTimer
from _pistachiopond.observe.metrics import Metrics
from _pistachiopond.schema.vm_settings import VmBounds, VmSettings
from _pistachiopond.vm.program import PROBE_CHECK_PERIOD_S, Vm, make_vm
from testing.vm.fake_server import FakeServer
from testing.vm.fake_store import FakeStore

MAX_BODY_BYTES: Final = 10_000_000
LIMITS = ServerLimits(16_384, 1_000_000, 2.0, 15.0)
BOUNDS = VmBounds(
    revoke_s=5.0,
    drain_s=2.0,
    stop_grace_s=8.0,
    retry_ratio=0.2,
    retry_reserve=56.0,
)
# No claim about a VM, only that a test whose set-up never ends fails.
SET_UP_LIMIT_S: Final = 30.0
HOST = "calls.example"
ANY_PORT: Final = HttpAddress("127.0.0.1", 0)
# More than the VMs and listeners of one test take.
MAX_HELD_PORTS: Final = 64
_held_ports: deque[socket.socket] = deque()
MODEL = {"name": "m1", "weightsMb": 60_000.0, "loadTimeS": 1.2, "adapters": 2}


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route in the operators' configuration format."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 1500,
        "targetLatencyMs": 200,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "anonymous": False,
        "resumable": False,
        **more,
    }


def configuration(version: int, **more: Any) -> dict[str, Any]:
    """Return a configuration in the operators' format."""
    return {
        "version": version,
        "routes": [
            route("safe", "safe", "plain"),
            route("once", "unsafe", "plain"),
            route("resume", "stream", "plain", resumable=True, gapAimMs=150),
            route("stream", "stream", "plain", maxAttempts=1, gapAimMs=150),
            route("open", "safe", "plain", anonymous=True),
            route("model", "stream", "engines", gapAimMs=150),
        ],
        "services": [
            {"name": "plain", "healthCheckPath": "/health", "connectionLimit": 50},
            {
                "name": "engines",
                "healthCheckPath": "/health",
                "connectionLimit": 50,
                "engine": {
                    "slots": 8,
                    "kvCapacityTokens": 10_000,
                    "weightsMb": 130_000.0,
                    "adapterSlots": 2,
                    "loadsPerS": 2.0,
                    "models": [MODEL],
                },
            },
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 100_000,
            "headerTimeoutMs": 2000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [
            {
                "name": "office",
                "apiKeys": ["office-key"],
                "unit": "tokens",
                "plainTokens": 10,
                "ratePerS": 1000,
                "burst": 1000,
            }
        ],
        **more,
    }


def server_entry(service: str, address: str, **more: Any) -> bytes:
    """Return a server's entry in the format that it writes to the store."""
    entry = {
        "service": service,
        "address": address,
        "zone": "here",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "born": 1_000,
        "sequence": 1,
        "models": [],
        **more,
    }
    return json.dumps(entry).encode()


def request_head(path: str, number: int, **headers: str) -> RequestHead:
    """Return the head of a caller's request; further headers are added or replaced."""
    plain = {
        "Host": HOST,
        "X-Attempt-Id": f"request-{number}",
        "X-Deadline-Ms": "1000",
        "X-Key": "office-key",
    }
    plain |= {name.replace("_", "-"): value for name, value in headers.items()}
    encoded = [(name.encode(), value.encode()) for name, value in plain.items()]
    return RequestHead(b"POST", path.encode(), encoded)


@final
class SingleVmDeployment:
    """One VM with a fake store and fake backend servers."""

    def __init__(self, vm: Vm, store: FakeStore, address: HttpAddress) -> None:
        self.vm = vm
        self.store = store
        self.address = address
        self.servers: dict[str, FakeServer] = {}
        self._count = 0
        self._listening: list[asyncio.Server] = []

    async def add_server(self, server_id: str, service: str, **more: Any) -> FakeServer:
        """Start a server, register it, and wait until the VM knows it."""
        server = FakeServer(server_id)
        listening, address = await listen(server.handle)
        self._listening.append(listening)
        self.servers[server_id] = server
        self.write_entry(server_id, service, address, **more)
        await wait_until(lambda: server_id in self.vm.fleet.servers, SET_UP_LIMIT_S)
        return server

    def write_entry(
        self, server_id: str, service: str, address: HttpAddress, **more: Any
    ) -> None:
        """Write a server's entry to the store."""
        entry = server_entry(service, f"{address.ip}:{address.port}", **more)
        self.store.put("keyed.servers", server_id, entry)

    def write_configuration(self, plain: dict[str, Any]) -> None:
        """Write a configuration to the store."""
        self.store.put("keyed.op", "config", json.dumps(plain).encode())

    async def call(self, path: str, **headers: str) -> CompleteResponse:
        """Send a request on a new connection and return the complete response."""
        connection = await self.send(path, **headers)
        head = await connection.read_head()
        body = await connection.read_body(MAX_BODY_BYTES)
        connection.close()
        return CompleteResponse(head, body)

    async def send(self, path: str, **headers: str) -> ClientConnection:
        """Send a request and return its connection."""
        self._count += 1
        connection = await connect(self.address, 1.0)
        head = request_head(path, self._count, **headers)
        connection.send(encode_request(head, b"body"))
        return connection

    def close(self) -> None:
        """Close the servers' listening sockets."""
        for listening in self._listening:
            listening.close()


async def wait_until(condition: Callable[[], bool], limit_s: float = 3.0) -> None:
    """Wait until the condition holds."""
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.01)


async def listen(
    handler: Handler,
    connections: set[ServerConnection] | None = None,
    address: HttpAddress = ANY_PORT,
) -> tuple[asyncio.Server, HttpAddress]:
    """Listen on an address, by default on a free port of the loopback address."""
    context = ServerContext(
        handler,
        lambda: LIMITS,
        RealTimer().now_s,
        lambda: False,
        set() if connections is None else connections,
    )
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: ServerConnection(context), *address)
    return server, HttpAddress(*server.sockets[0].getsockname())


def free_port() -> int:
    """Return a port on which only a listener that reuses addresses can listen.

    The port stays bound, so that no other socket gets it before that listener does. The
    sockets of the last `MAX_HELD_PORTS` calls are kept.
    """
    if len(_held_ports) == MAX_HELD_PORTS:
        _held_ports.popleft().close()
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind(("127.0.0.1", 0))
    _held_ports.append(held)
    return int(held.getsockname()[1])


@contextmanager
def refusing_address() -> Iterator[HttpAddress]:
    """Return an address that refuses connections.

    The port stays bound without listening, so that no other process takes it.
    """
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        yield HttpAddress(*bound.getsockname())


def make_settings(store: HttpAddress, name: str = "vm-1") -> VmSettings:
    """Return the settings of a VM on the loopback address."""
    unused = HttpAddress("127.0.0.1", 1)
    return VmSettings(
        name=name,
        ip="127.0.0.1",
        data_centre="here",
        caller_address=unused,
        ready_address=unused,
        peer_address=HttpAddress("127.0.0.1", free_port()),
        relay_address=HttpAddress("127.0.0.1", free_port()),
        heartbeat_s=1.2,
        cpu_cores=1.0,
        link_mbps=1000.0,
        bounds=BOUNDS,
        store_address=store,
    )


def start_vm(vm: Vm) -> "list[asyncio.Task[None]]":
    """Start all components of a VM except the listener for callers."""
    works: list[Coroutine[Any, Any, None]] = [f.run() for f in vm.followers]
    works += [vm.leader_client.run(), vm.election.run(), vm.placer.run()]
    works += [vm.version_store.run(), vm.refusal_store.run()]
    works.append(vm.leader_server.run(*vm.settings.peer_address))
    works += [_take_over_requests(vm), _probe_servers(vm)]
    return [asyncio.ensure_future(work) for work in works]


async def _take_over_requests(vm: Vm) -> None:
    connections: set[ServerConnection] = set()
    server, _ = await listen(
        vm.relay_handler.handle, connections, vm.settings.relay_address
    )
    try:
        await asyncio.Event().wait()
    finally:
        server.close()
        for connection in list(connections):
            connection.abort()


async def _probe_servers(vm: Vm) -> None:
    while True:
        vm.reach.probe(vm.pools)
        await asyncio.sleep(PROBE_CHECK_PERIOD_S)


async def _confirm_crashes(vm: Vm) -> None:
    while True:
        vm.leader_server.confirm_crashes()
        await asyncio.sleep(0.05)


@asynccontextmanager
async def running_deployment() -> AsyncIterator[SingleVmDeployment]:
    """Run a VM that has a configuration in force and no servers."""
    store = FakeStore()
    store_server, store_address = await listen(store.handle)
    vm = make_vm(make_settings(store_address), Metrics())
    caller_server, address = await listen(vm.request_handler.handle)
    deployment = SingleVmDeployment(vm, store, address)
    deployment.write_configuration(configuration(1))
    tasks = [*start_vm(vm), asyncio.ensure_future(_confirm_crashes(vm))]
    try:
        await wait_until(
            lambda: vm.state.table is not None and vm.leader_client.reply_age_s() < 1.0,
            SET_UP_LIMIT_S,
        )
        yield deployment
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        deployment.close()
        caller_server.close()
        store_server.close()
