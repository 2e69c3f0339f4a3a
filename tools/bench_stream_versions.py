"""Measures what the versions of streams cost a VM and the leader.

Run with the root and `src` on the path: `PYTHONPATH=src:. python
tools/bench_stream_versions.py`. It prints, for several numbers of VMs, the bytes and
the processor time of the leader's relay, and the memory of the records.
"""

import time
import tracemalloc
from collections.abc import Callable
from typing import Final

from _pistachiopond.decisions.stream_versions import (
    ServedModel,
    StreamRecord,
    StreamVersions,
)
from _pistachiopond.schema.peer_messages import encode_line
from _pistachiopond.vm.stream_origins import (
    BATCH_PERIOD_S,
    encode_history,
    encode_record,
)

STREAMS_PER_VM_S: Final = 8.0
RECORDED_SHARES: Final = (0.2, 1.0)
MEMORY_S: Final = 60.0
MODELS: Final = 400
REPEATS: Final = 20_000
# Numbers of VMs, and of models and of sets of versions that serve beside them.
HISTORIES: Final = (
    (6, 12, 8),
    (6, 12, 33),
    (79, 100, 8),
    (79, 100, 33),
    (195, 300, 8),
    (195, 300, 33),
)


def seconds(work: Callable[[], object], repeats: int) -> float:
    """Return the mean processor time of one call."""
    began_s = time.process_time()
    for _ in range(repeats):
        work()
    return (time.process_time() - began_s) / repeats


def make_versions(sets: int, models: int = MODELS) -> StreamVersions:
    """Return a VM's knowledge of many models, each with several earlier sets."""
    versions = StreamVersions()
    for number in range(sets):
        weights = {
            ServedModel("engines", f"m{n}"): {"v1": 48, "v2": 48 + number}
            for n in range(models)
        }
        versions.sets.update(
            {"engines": ("v1", "v2")}, lambda _, w=weights: w, float(number)
        )
    return versions


def main() -> None:
    """Print the figures."""
    model = ServedModel("engines", "m7")
    for sets in (1, 8):
        versions = make_versions(sets)
        took_s = seconds(lambda v=versions: v.resolve("a-1", model, 50.0), REPEATS)
        print(f"resolve with {sets} sets: {took_s * 1e6:.1f} us")
    for vms, models, sets in HISTORIES:
        history = make_versions(sets, models).sets.history(50.0)
        assert history is not None
        reply = encode_line({"versions": encode_history(history)})
        took_s = seconds(lambda h=history: encode_line(encode_history(h)), 50)
        print(
            f"{vms} VMs, {models} models with {sets} sets: history of "
            f"{len(reply) / 1e3:.1f} kB, {took_s * 1e3:.2f} ms"
        )
    for vms in (8, 79, 195):
        for share in RECORDED_SHARES:
            records_per_s = vms * STREAMS_PER_VM_S * share
            count = max(1, int(records_per_s * BATCH_PERIOD_S))
            records = [StreamRecord(f"{n:016x}", "v2", 0.1) for n in range(count)]
            plain = [encode_record(record, 0.0) for record in records]
            line = encode_line({"origins": plain})
            encode_s = seconds(lambda p=plain: encode_line({"origins": p}), 200)
            tracemalloc.start()
            kept = StreamVersions()
            kept.add_records(
                (
                    StreamRecord(f"{n:016x}", "v2", 0.1)
                    for n in range(int(records_per_s * MEMORY_S))
                ),
                0.0,
            )
            memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
            tracemalloc.stop()
            print(
                f"{vms} VMs, {share:.0%} recorded: {records_per_s:.0f} records/s, "
                f"line {len(line)} bytes each {BATCH_PERIOD_S} s, "
                f"to one VM {len(line) / BATCH_PERIOD_S / 1e3:.1f} kB/s, "
                f"leader sends {vms * len(line) / BATCH_PERIOD_S / 1e6:.2f} MB/s, "
                f"encoding {encode_s / BATCH_PERIOD_S:.2%} of a core, "
                f"{kept.count()[1]} records kept in {memory_mb:.2f} MB"
            )


if __name__ == "__main__":
    main()
