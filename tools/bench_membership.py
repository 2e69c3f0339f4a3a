"""Measures what membership costs one daemon, at several sizes of the fleet.

Runs the membership decisions with the encoding of their messages on a virtual
clock, and prints for each size the messages, bytes and processor time a daemon
spends in a second. gRPC's own cost comes on top, for each message.
"""

import sys
import time
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).parents[1]
sys.path[:0] = [str(ROOT / "src"), str(ROOT)]

from _pistachiopond.schema.codec import from_json, to_json  # noqa: E402
from _pistachiopond.schema.heartbeat import Heartbeat  # noqa: E402
from testing.decisions.fleet_network import FleetNetwork  # noqa: E402

SIZES: Final = (8, 50, 100, 200, 390)
DATA_CENTRES: Final = 5
SETTLE_S: Final = 40
MEASURED_S: Final = 10


def main() -> None:
    """Print one line for each size."""
    print("daemons  messages/s  bytes/s  cpu_ms/s  (each daemon)")
    for size in SIZES:
        print(measure(size))


def measure(size: int) -> str:
    """Return the line for one size."""
    network = FleetNetwork(size, DATA_CENTRES)
    network.run(SETTLE_S)
    network.messages = 0
    sent_bytes = 0

    def encode(heartbeat: Heartbeat) -> None:
        nonlocal sent_bytes
        text = to_json(heartbeat)
        sent_bytes += len(text.encode())
        from_json(Heartbeat, text)

    network.on_message = encode
    started_s = time.process_time()
    network.run(MEASURED_S)
    cpu_s = time.process_time() - started_s
    share = 1.0 / (size * MEASURED_S)
    # A daemon sends a half of its messages and receives as many.
    return (
        f"{size:7d}  {2 * network.messages * share:10.1f}"
        f"  {2 * sent_bytes * share:7.0f}  {1000 * cpu_s * share:8.2f}"
    )


if __name__ == "__main__":
    main()
