"""Measures the latency that an entry daemon adds and the load that it can carry.

``python -m tools.bench_entry latency`` compares requests through an entry daemon with
requests sent directly to the stand-in engines, alternating within one run.
``python -m tools.bench_entry capacity`` raises the number of streams until the 95th
percentile of the gaps between tokens exceeds the target, and shows the daemon's
processor time.

Separate processes generate the load over raw sockets, to keep the measurement's own
overhead small.
"""

import json
import os
import subprocess
import sys
import tempfile
import time
import uuid
from pathlib import Path
from typing import Any, Final, NamedTuple

import anyio
import cyclopts
import httpx

from _pistachiopond.entry.headers import digest_key
from _pistachiopond.schema.codec import to_json
from _pistachiopond.schema.manifest import (
    BackendServer,
    Customer,
    Manifest,
    Model,
    Route,
)
from _pistachiopond.schema.records import ManifestRecord
from tools.fleet import Fleet, FleetOptions
from tools.make_examples import demo_key

TARGET_GAP_S: Final = 0.029
# One daemon's part of the tokens that the target fleet generates.
DAEMON_SHARE_TOKENS_PER_S: Final = 1_600
TOKENS_PER_STREAM: Final = 246
PROMPT_WORDS: Final = 120
MODEL_LOAD_TIMEOUT_S: Final = 120.0
CUSTOMER: Final = "bench"
MODEL: Final = "bench-model"

app = cyclopts.App(name="bench_entry", help=__doc__)


class StreamLoad(NamedTuple):
    """A load of concurrent streams that one process generates.

    Attributes
    ----------
    addresses : list of str
        Addresses to which the streams are sent in turn.
    streams : int
        Number of concurrent streams.
    duration_s : float
        Time during which new streams are started, in seconds.
    tokens : int
        Number of tokens to generate in each stream.
    """

    addresses: list[str]
    streams: int
    duration_s: float
    tokens: int


class Measurements(NamedTuple):
    """Measurements of one load; first-token times and token gaps in seconds."""

    first_s: list[float]
    gaps_s: list[float]
    requests: int
    failures: int
    tokens: int
    took_s: float


@app.command
def latency(*, streams: int = 8, rounds: int = 4, duration_s: float = 4.0) -> None:
    """Compare requests through the daemon with direct ones."""
    with _deployment(engines=2) as deployment:
        direct: list[Measurements] = []
        via_daemon: list[Measurements] = []
        for _ in range(rounds):
            load = StreamLoad(deployment.engines, streams, duration_s, 64)
            direct.append(_run_loads([load])[0])
            via_daemon.append(
                _run_loads([load._replace(addresses=[deployment.entry])])[0]
            )
        _print_summary("direct", _merge(direct))
        _print_summary("through the entry daemon", _merge(via_daemon))


@app.command
def capacity(
    *, engines: int = 6, steps: str = "40,80,120,160,200", duration_s: float = 12.0
) -> None:
    """Raise the load until the gaps between tokens exceed the target."""
    with _deployment(engines=engines) as deployment:
        print(f"entry daemon idle: {deployment.entry_mb():.1f} MB resident")
        for streams in (int(step) for step in steps.split(",")):
            direct = _measure_load(deployment.engines, streams, duration_s)
            cpu_before_s = deployment.entry_cpu_s()
            started_s = time.monotonic()
            via_daemon = _measure_load([deployment.entry], streams, duration_s)
            cores = (deployment.entry_cpu_s() - cpu_before_s) / (
                time.monotonic() - started_s
            )
            print(f"-- {streams} streams; entry daemon used {cores:.2f} cores")
            _print_summary("direct", direct)
            _print_summary("through the entry daemon", via_daemon)
            rate = via_daemon.tokens / via_daemon.took_s
            share = rate / DAEMON_SHARE_TOKENS_PER_S
            print(f"   {rate:.0f} tokens/s, {share:.2f} times its share at the target")
            if _quantile(via_daemon.gaps_s, 0.95) > TARGET_GAP_S:
                print("   the 95th percentile of the gaps exceeds the target")
                break


@app.command
def generate(load_json: str) -> None:
    """Run one load and print its measurements; started by the other commands."""
    fields = json.loads(load_json)
    result = anyio.run(_generate, StreamLoad(**fields))
    print(json.dumps(result._asdict()))


def _measure_load(
    addresses: list[str], streams: int, duration_s: float
) -> Measurements:
    processes = 4 if streams >= 40 else 1
    loads = [
        StreamLoad(addresses, streams // processes, duration_s, TOKENS_PER_STREAM)
        for _ in range(processes)
    ]
    return _merge(_run_loads(loads))


def _run_loads(loads: list[StreamLoad]) -> list[Measurements]:
    command = [sys.executable, "-m", "tools.bench_entry", "generate"]
    processes = [
        subprocess.Popen(
            [*command, json.dumps(load._asdict())], stdout=subprocess.PIPE, text=True
        )
        for load in loads
    ]
    outputs = [process.communicate()[0] for process in processes]
    return [Measurements(**json.loads(output)) for output in outputs]


def _merge(measurements: list[Measurements]) -> Measurements:
    return Measurements(
        first_s=[value for part in measurements for value in part.first_s],
        gaps_s=[value for part in measurements for value in part.gaps_s],
        requests=sum(part.requests for part in measurements),
        failures=sum(part.failures for part in measurements),
        tokens=sum(part.tokens for part in measurements),
        took_s=max(part.took_s for part in measurements),
    )


def _print_summary(name: str, result: Measurements) -> None:
    first, gaps = result.first_s, result.gaps_s
    print(
        f"   {name}: {result.requests} requests, {result.failures} failed; "
        f"first token p50 {_ms(first, 0.5)} p95 {_ms(first, 0.95)} ms; "
        f"between tokens p50 {_ms(gaps, 0.5)} p95 {_ms(gaps, 0.95)} ms"
    )


def _ms(values_s: list[float], quantile: float) -> str:
    return f"{_quantile(values_s, quantile) * 1000:.2f}"


def _quantile(values_s: list[float], quantile: float) -> float:
    ordered = sorted(values_s)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


async def _generate(load: StreamLoad) -> Measurements:
    result = Measurements([], [], 0, 0, 0, 0.0)
    counts = [0, 0, 0]
    started_s = time.monotonic()
    async with anyio.create_task_group() as group:
        for number in range(load.streams):
            group.start_soon(
                _stream_repeatedly, load, number, started_s, result, counts
            )
    took_s = time.monotonic() - started_s
    return result._replace(
        requests=counts[0], failures=counts[1], tokens=counts[2], took_s=took_s
    )


async def _stream_repeatedly(
    load: StreamLoad,
    number: int,
    started_s: float,
    result: Measurements,
    counts: list[int],
) -> None:
    # Starting all streams at once would not resemble the traffic of real callers.
    await anyio.sleep(number * 1.0 / load.streams)
    request_index = number
    while time.monotonic() - started_s < load.duration_s:
        address = load.addresses[request_index % len(load.addresses)]
        request_index += 1
        counts[0] += 1
        try:
            tokens = await _stream_once(address, load.tokens, result)
            counts[2] += tokens
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
            counts[1] += 1


async def _stream_once(address: str, tokens: int, result: Measurements) -> int:
    host, port = address.rsplit(":", 1)
    sent_s = time.monotonic()
    last_s = sent_s
    received = 0
    tail = b""
    async with await anyio.connect_tcp(host, int(port)) as stream:
        await stream.send(_encode_request(tokens))
        while b"[DONE]" not in tail:
            chunk = await stream.receive()
            now_s = time.monotonic()
            count = chunk.count(b"data: {")
            if count and received == 0:
                result.first_s.append(now_s - sent_s)
            elif count:
                result.gaps_s.append(now_s - last_s)
                result.gaps_s.extend([0.0] * (count - 1))
            if count:
                last_s = now_s
                received += count
            tail = tail[-16:] + chunk
    if received < tokens:
        raise OSError(f"the stream ended after {received} of {tokens} tokens")
    return tokens


def _encode_request(tokens: int) -> bytes:
    prompt = f"{uuid.uuid4().hex} " + "word " * PROMPT_WORDS
    body = json.dumps(
        {
            "model": MODEL,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": True,
        }
    ).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n"
        f"Authorization: Bearer {demo_key(CUSTOMER)}\r\n"
        f"X-Request-Id: {uuid.uuid4().hex}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + body


class _Deployment:
    """Context manager that runs stand-in engines, a control and an entry daemon."""

    def __init__(self, engines: int) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="pond-bench-")
        options = ("--token-gap-s", "0.02", "--batch-slowdown", "0")
        self._fleet = Fleet(
            Path(self._folder.name),
            _manifest(engines),
            FleetOptions(vms=1, engine_options=(*options, "--max-batch", "256")),
        )
        self.engines: list[str] = []
        self.entry = ""

    def __enter__(self) -> "_Deployment":
        fleet = self._fleet
        try:
            fleet.start_vms()
            _publish(fleet)
            fleet.wait_until_ready()
            fleet.wait_for_models(MODEL_LOAD_TIMEOUT_S)
            self._wait_for_replicas()
        except BaseException:
            self.__exit__()
            raise
        self.engines = [program.address for program in fleet.backends.values()]
        self.entry = fleet.vms[0].entry.address
        return self

    def _wait_for_replicas(self) -> None:
        deadline_s = time.monotonic() + MODEL_LOAD_TIMEOUT_S
        for name in self._fleet.backends:
            while not any(
                model["state"] == "ready"
                for model in self._fleet.get_json(name, "/state")["models"]
            ):
                if time.monotonic() > deadline_s:
                    raise TimeoutError(
                        f"{name} did not load the model in {MODEL_LOAD_TIMEOUT_S:g} s"
                    )
                time.sleep(0.1)

    def __exit__(self, *unused: Any) -> None:
        self._fleet.close()
        self._folder.cleanup()

    def entry_mb(self) -> float:
        """Return the entry daemon's resident memory, in MB."""
        return self._fleet.vms[0].entry.resident_mb()

    def entry_cpu_s(self) -> float:
        """Return the processor time that the entry daemon has used, in seconds."""
        pid = self._fleet.vms[0].entry.pid
        fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _deployment(engines: int) -> _Deployment:
    return _Deployment(engines)


def _manifest(engines: int) -> Manifest:
    servers = tuple(
        BackendServer(
            f"bench-engine-{number}",
            "http://127.0.0.1:1",
            "dc-a",
            "region",
            f"rack-{number}",
            "bench-service",
            1,
            80_000,
            True,
        )
        for number in range(engines)
    )
    digest = digest_key(demo_key(CUSTOMER))
    return Manifest(
        replaces_revision=0,
        deployment="bench",
        objective="attainment_per_accelerator",
        models=(Model(MODEL, "1", 10_000, (), engines),),
        backend_servers=servers,
        routes=(Route("/v1", "bench-service", "engine"),),
        customers=(Customer(CUSTOMER, 1e9, 1e9, 1.0, (digest,)),),
    )


def _publish(fleet: Fleet) -> None:
    record = ManifestRecord(uuid.uuid4().hex, fleet.manifest)
    url = f"{fleet.platform.url}/streams/config/records"
    response = httpx.post(url, json={"payload": to_json(record)}, timeout=10)
    response.raise_for_status()


if __name__ == "__main__":
    app()
