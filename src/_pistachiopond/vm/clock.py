"""A clock that goes on while the VM is suspended."""

import time


def boot_s() -> float:
    """Return seconds since boot, those of suspensions included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
