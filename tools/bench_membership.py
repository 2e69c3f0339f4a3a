"""Measures the cost of membership for each daemon at several fleet sizes.

Runs the membership decisions and the encoding of their messages on a virtual clock,
and prints messages, bytes and processor time per daemon and second for each size.
The cost of gRPC for each message is not included.
"""

import sys
import time
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).parents[1]
sys.path[:0] = [str(ROOT / "src"), str(ROOT)]

from _pistachiopond.schema.codec import from_json, to_json  # noqa: E402
from _pistachiopond.schema.heartbeat import Heartbeat  # noqa: E402
from testing.decisions.gossip_network import GossipNetwork  # noqa: E402

SIZES: Final = (8, 50, 100, 200, 390)
DATA_CENTRES: Final = 5
SETTLE_S: Final = 40
MEASUREMENT_S: Final = 10


def main() -> None:
    """Print the measurements, one line for each size."""
    print("daemons  messages/s  bytes/s  cpu_ms/s  (each daemon)")
    for size in SIZES:
        print(measure(size))


def measure(size: int) -> str:
    """Measure one size and return its line of the table."""
    network = GossipNetwork(size, DATA_CENTRES)
    network.run(SETTLE_S)
    network.messages = 0
    sent_bytes = 0

    def encode_and_decode(heartbeat: Heartbeat) -> None:
        nonlocal sent_bytes
        text = to_json(heartbeat)
        sent_bytes += len(text.encode())
        from_json(Heartbeat, text)

    network.on_message = encode_and_decode
    started_s = time.process_time()
    network.run(MEASUREMENT_S)
    cpu_s = time.process_time() - started_s
    per_daemon_second = 1.0 / (size * MEASUREMENT_S)
    # A message counts twice, for the daemon that sends it and the one that receives it.
    return (
        f"{size:7d}  {2 * network.messages * per_daemon_second:10.1f}"
        f"  {2 * sent_bytes * per_daemon_second:7.0f}"
        f"  {1000 * cpu_s * per_daemon_second:8.2f}"
    )


if __name__ == "__main__":
    main()
