"""Measures how the processor time of a function grows with its input."""

import gc
import time
from collections.abc import Callable
from typing import Any, Final

# From one size to the next, which is twice as large. Twice the time is linear.
MAX_GROWTH: Final = 2.5
REPEATS: Final = 3
# Shorter times differ by more than the growth that is looked for.
MIN_S: Final = 0.005
MAX_S: Final = 2.0
MAX_LOOKS: Final = 5
MAX_SIZE_INCREASE: Final = 4
DOUBLINGS: Final = 2


def cpu_s(run: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the least processor time of several runs."""
    times = []
    gc.collect()
    gc.disable()
    try:
        for _ in range(repeats):
            start_s = time.process_time()
            run()
            times.append(time.process_time() - start_s)
            if times[-1] > MAX_S:
                break
    finally:
        gc.enable()
    return min(times)


def check_growth(
    run: Callable[[Any], object], make: Callable[[int], Any], size: int
) -> None:
    """Check that the time for inputs of n, 2n and 4n bytes doubles each time.

    Parameters
    ----------
    run : callable
        Takes an input.
    make : callable
        Returns an input of about so many bytes.
    size : int
        The first size; doubled until a run takes `MIN_S`. An input that takes less
        than that at `MAX_SIZE_INCREASE` times the size delays nobody.

    Raises
    ------
    AssertionError
        When the time grows by more than `MAX_GROWTH`.
    """

    def measure(size: int) -> float:
        data = make(size)
        return cpu_s(lambda: run(data))

    most = MAX_SIZE_INCREASE * size
    while (known_s := measure(size)) < MIN_S:
        size *= 2
        if size > most:
            return
    for _ in range(DOUBLINGS):
        size *= 2
        grown_s = measure(size)
        for _ in range(MAX_LOOKS):
            if grown_s <= MAX_GROWTH * known_s:
                break
            # A busy machine lengthens single runs, and never shortens one.
            known_s = min(known_s, measure(size // 2))
            grown_s = min(grown_s, measure(size))
        assert grown_s <= MAX_GROWTH * known_s, (
            f"{size} bytes take {grown_s:.4f} s, half of them {known_s:.4f} s"
        )
        known_s = grown_s
