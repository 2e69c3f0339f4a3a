"""Runs all test modules in several processes, and sums up what they print.

Each process runs one batch of modules after another by nose2, so every test runs as it
does alone. A batch that prints no summary counts as failed.
"""

import os
import re
import subprocess
import sys
import threading
from collections.abc import Sequence
from pathlib import Path
from typing import Final, NamedTuple, final

ROOT: Final = Path(__file__).resolve().parents[1]
# Several tests run in real time, so half of the processors stay free.
MAX_PROCESSES: Final = 4
# Modules that take more than half a minute begin first, each in a batch of its own.
SLOW_MODULES: Final = (
    "testing.vm.test_stranded_streams",
    "testing.vm.test_crashing_parts",
    "testing.vm.test_server_rates",
    "testing.vm.test_versions_after_kill",
    "testing.vm.test_crashing_requests",
    "testing.decisions.test_stream_versions",
    "testing.vm.test_server_crashes",
    "testing.decisions.test_leadership",
    "testing.live.test_stream_soak",
    "testing.live.test_end_to_end",
    "testing.live.test_held_memory",
    "testing.vm.test_response_endings",
    "testing.decisions.test_brittle_servers",
    "testing.vm.test_stream_versions",
    "testing.vm.test_callers_beside_faults",
)
BATCH_MODULES: Final = 6
SUMMARY: Final = re.compile(
    r"^(\d+) passed, (\d+) failed, (\d+) skipped$", re.MULTILINE
)
KNOWN_RED: Final = re.compile(r"^known red, passed over: .*$", re.MULTILINE)


class BatchResult(NamedTuple):
    """What one batch of modules printed.

    Attributes
    ----------
    counts : tuple of int
        The tests that passed, failed and were skipped.
    known_red : tuple of str
        The lines about tests that failed as expected.
    is_whole : bool
        Whether the process printed its summary.
    is_passed : bool
        Whether it ended without a failure.
    """

    counts: tuple[int, int, int]
    known_red: tuple[str, ...]
    is_whole: bool
    is_passed: bool


def find_modules(root: Path) -> list[str]:
    """Return the names of all test modules."""
    paths = sorted((root / "testing").rglob("test_*.py"))
    return [".".join(path.relative_to(root).with_suffix("").parts) for path in paths]


def make_batches(modules: Sequence[str]) -> list[list[str]]:
    """Return the batches, in the order in which they begin."""
    slow = [name for name in SLOW_MODULES if name in modules]
    others = [name for name in modules if name not in slow]
    batches = [[name] for name in slow]
    for start in range(0, len(others), BATCH_MODULES):
        batches.append(others[start : start + BATCH_MODULES])
    return batches


def read_result(output: str, exit_code: int) -> BatchResult:
    """Return what a batch's output says."""
    found = SUMMARY.findall(output)
    is_whole = len(found) == 1
    passed, failed, skipped = map(int, found[0]) if is_whole else (0, 0, 0)
    return BatchResult(
        (passed, failed, skipped),
        tuple(KNOWN_RED.findall(output)),
        is_whole,
        is_whole and exit_code == 0 and failed == 0 and passed + skipped > 0,
    )


@final
class Runner:
    """Takes batches from a queue in several threads, each with a child process."""

    def __init__(self, batches: Sequence[Sequence[str]]) -> None:
        self._batches = list(batches)
        self._lock = threading.Lock()
        self.results: list[BatchResult] = []

    def run(self, processes: int) -> None:
        """Run all batches."""
        threads = [threading.Thread(target=self._work) for _ in range(processes)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _work(self) -> None:
        while True:
            with self._lock:
                if not self._batches:
                    return
                batch = self._batches.pop(0)
            child = subprocess.run(
                [sys.executable, "-m", "nose2", *batch],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                check=False,
            )
            output = child.stdout.decode("utf-8", "replace")
            result = read_result(output, child.returncode)
            with self._lock:
                self.results.append(result)
                print(f"{' '.join(batch)}:\n{output}", flush=True)
                if not result.is_passed:
                    print(f"FAILED, exit code {child.returncode}: {' '.join(batch)}")


def main() -> None:
    """Run all tests; exit with 1 unless all of them passed or are known to fail."""
    batches = make_batches(find_modules(ROOT))
    runner = Runner(batches)
    runner.run(max(1, min(MAX_PROCESSES, (os.cpu_count() or 1) // 2)))
    results = runner.results
    for line in sorted(line for result in results for line in result.known_red):
        print(line)
    broken = sum(not result.is_whole for result in results)
    if broken:
        print(f"{broken} batches ended without a summary")
    passed, failed, skipped = (
        sum(result.counts[i] for result in results) for i in range(3)
    )
    print(f"{passed} passed, {failed + broken} failed, {skipped} skipped")
    is_passed = len(results) == len(batches) and all(r.is_passed for r in results)
    sys.exit(0 if is_passed else 1)


if __name__ == "__main__":
    main()
