"""A monotonic clock that keeps counting while the VM is suspended."""

import time


def boot_s() -> float:
    """Return seconds since boot, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
