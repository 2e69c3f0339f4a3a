"""All processes are killed while the store is down.

Six VMs, and model servers of two software versions, of which one is busy. With
``TROUBLE=0`` the store stays up and nothing is killed.
"""

import asyncio
import json
import random
import signal
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Final

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins4"))

from model_service import MODEL, add_model_servers, make_stream_config
from world import (
    FRONT_PORT,
    CannotRunError,
    World,
    encode_request,
    read_head,
    run_case,
)

VMS: Final = 6
EVENTS: Final = 60
# The servers of each version, and the time between two events of theirs.
VERSIONS: Final = {"v1": (2, 0.2), "v2": (4, 0.05)}
STREAMS_PER_S: Final = 20.0
DEADLINE_MS: Final = 15000
# The store is down from DOWN_S for DOWN_FOR_S, and all VMs are killed meanwhile.
DOWN_S: Final = 18.0
DOWN_FOR_S: Final = 4.5
KILL_S: Final = 22.0
RESTART_S: Final = 0.6
STOP_S: Final = 23.0
END_S: Final = 34.0
TRIES: Final = 5
TRY_PAUSE_S: Final = 0.6
# A client gives up a stream after a pause of this length.
GAP_S: Final = 2.0
# More streams than this with events of two versions break the rule.
ALLOWED: Final = 2

CONFIG: Final = make_stream_config(
    "/archive/",
    timeoutMs=DEADLINE_MS,
    targetLatencyMs=3000,
    priority=1,
    maxAttempts=2,
    resumable=True,
)


class Stream:
    """One client's stream, over all of its tries."""

    def __init__(self, world: World, number: int) -> None:
        self._world = world
        self._number = number
        self._began_s = time.monotonic()
        # The versions of the events, in the order in which they came.
        self.versions: list[str] = []
        self.last_id = 0
        self.first_attempt = ""
        self.statuses: list[int] = []
        self.is_whole = False

    async def run(self) -> None:
        """Send the request, and take the stream up again where it breaks."""
        for attempt in range(TRIES):
            if attempt:
                await asyncio.sleep(TRY_PAUSE_S)
            self.statuses.append(await self._try(f"s{self._number}.{attempt}"))
            left_s = self._began_s + DEADLINE_MS / 1000 - time.monotonic()
            if self.is_whole or left_s < 1.0 or self.statuses[-1] in (400, 404):
                return

    async def _try(self, attempt: str) -> int:
        vm = random.choice(self._world.vms)
        used_ms = int(1000 * (time.monotonic() - self._began_s))
        prefix = f"aa{self._number % 16:06x}:172,{self._number:08x}:543"
        headers = {
            "X-Model": MODEL,
            "X-Token-Counts": "715,300",
            "X-Prompt-Prefix": prefix,
        }
        if self.last_id:
            headers["Last-Event-Id"] = str(self.last_id)
            headers["Resumes"] = self.first_attempt
        body = b"%d" % self._number
        head = encode_request(
            "POST", "/archive/1", attempt, DEADLINE_MS - used_ms, body, headers
        )
        writer = None
        status = 0
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(vm.ip, FRONT_PORT)
            writer.write(head.encode() + body)
            start, found = await asyncio.wait_for(read_head(reader), 12.0)
            status = int(start[1])
            if status == 200:
                await self._read_events(reader, attempt)
            elif status == 503:
                await asyncio.sleep(min(3.0, float(found.get("retry-after", "0.1"))))
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer is not None:
                writer.transport.abort()
        self._world.log_answer(attempt, vm.name, status)
        return status

    async def _read_events(self, reader: asyncio.StreamReader, attempt: str) -> None:
        text = b""
        while True:
            line = await asyncio.wait_for(reader.readline(), GAP_S)
            if not line:
                return
            size = int(line.strip(), 16)
            if not size:
                self.is_whole = self.last_id == EVENTS
                return
            text += await reader.readexactly(size)
            await reader.readexactly(2)
            *events, text = text.split(b"\n\n")
            for event in events:
                fields = dict(
                    item.split(": ", 1) for item in event.decode().split("\n")
                )
                if "id" not in fields:
                    continue
                self.first_attempt = self.first_attempt or attempt
                self.last_id = int(fields["id"])
                self.versions.append(fields["data"].split()[0])


async def send_streams(world: World, began_s: float) -> list[Stream]:
    """Send streams at a constant rate, and wait for all of them."""
    streams: list[Stream] = []
    tasks = []
    while time.monotonic() < began_s + STOP_S:
        await asyncio.sleep(random.expovariate(STREAMS_PER_S))
        streams.append(Stream(world, len(streams) + 1))
        tasks.append(asyncio.create_task(streams[-1].run()))
    await asyncio.gather(*tasks)
    return streams


async def play(world: World, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    world.store.put("keyed.op", "config", json.dumps(CONFIG).encode())
    for version, (count, pause_s) in VERSIONS.items():
        names = [f"i-{version}-{number}" for number in range(count)]
        for server in await add_model_servers(world, names, EVENTS):
            server.version, server.pause_s = version, pause_s
            server.beat()
    await world.start_vms(VMS)
    world.began_s = began_s = time.monotonic()
    sending = asyncio.create_task(send_streams(world, began_s))
    if has_trouble:
        until_s = began_s + DOWN_S + DOWN_FOR_S
        await asyncio.sleep(DOWN_S)
        world.log(event="store down", leader=world.store.leader())
        world.store.refuses = lambda path, topic: time.monotonic() < until_s
        await asyncio.sleep(began_s + KILL_S - time.monotonic())
        for vm in world.vms:
            vm.send(signal.SIGKILL)
        world.log(event="all VMs killed")
        await asyncio.sleep(RESTART_S)
        for vm in world.vms:
            vm.start()
        await world.wait_ready(world.vms)
        world.log(event="all VMs ready again")
    return judge(world, await sending)


def judge(world: World, streams: list[Stream]) -> bool:
    """Write what was seen to the record; return whether the rule held."""
    mixed = 0
    for stream in streams:
        counts = Counter(stream.versions)
        if len(counts) > 1 or len(stream.statuses) > 1:
            world.log(
                event="stream with several tries",
                first_attempt=stream.first_attempt,
                statuses=stream.statuses,
                events=dict(counts),
                is_whole=stream.is_whole,
            )
        mixed += len(counts) > 1
    whole = sum(stream.is_whole for stream in streams)
    if whole < len(streams) / 3:
        raise CannotRunError(f"only {whole} of {len(streams)} streams were whole")
    world.log(
        event="end",
        streams=len(streams),
        whole=whole,
        with_two_versions=mixed,
        allowed=ALLOWED,
        starts=dict(
            Counter(stream.versions[0] for stream in streams if stream.versions)
        ),
    )
    print(f"{mixed} streams of {len(streams)} hold two versions, allowed {ALLOWED}")
    return mixed <= ALLOWED


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).with_name("record.txt"), 110.0))
