"""Counts the servers that a request takes down if it crashes each one it runs on.

The simulation uses the production classes `SuspectTable` and `Permits`. The delays
until each daemon learns of a crash are drawn from the periods at which the services
report and distribute crash records.

    python tools/crash_experiment.py --seed 1
"""

import argparse
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Final

from _pistachiopond.decisions.suspects import Permits, SuspectTable
from _pistachiopond.schema.suspects import CrashRecord

TIME_TO_CRASH_S: Final = 0.2
REPORT_PERIOD_S: Final = 1.0
LOG_DELAY_S: Final = 0.02
VIEW_PERIOD_S: Final = 1.0
RESTART_S: Final = 5.0
POLL_PERIOD_S: Final = 1.0
HORIZON_S: Final = 60.0
CRASHING_FINGERPRINT: Final = "bad"
NO_PROTECTION: Final = "without"
RETRY_AT_ONCE: Final = "suspects"
RETRY_BY_PERMIT: Final = "retry by permit"
POLICIES: Final = (NO_PROTECTION, RETRY_AT_ONCE, RETRY_BY_PERMIT)


class CrashSimulation:
    """Simulates daemons that each run the crashing request whenever it is admitted."""

    def __init__(self, daemons: int, seed: int, policy: str) -> None:
        self.rng = random.Random(seed)
        self.daemons = daemons
        self.has_protection = policy != NO_PROTECTION
        self.retry_needs_permit = policy == RETRY_BY_PERMIT
        self.crashes = 0
        self.now_s = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.suspect_tables = [SuspectTable() for _ in range(daemons)]
        self.refusing_daemons: set[int] = set()
        self.permits = Permits()

    def schedule(self, at_s: float, action: Callable[[], None]) -> None:
        """Schedule an action at a simulated time."""
        heapq.heappush(self.events, (at_s, next(self.sequence), action))

    def run(self) -> int:
        """Run until `HORIZON_S` and return the number of crashed servers."""
        while self.events and self.events[0][0] < HORIZON_S:
            self.now_s, _, action = heapq.heappop(self.events)
            action()
        return self.crashes

    def send(self, daemon: int) -> None:
        """Send the crashing request to a daemon, which runs it if it is admitted."""
        if not self.has_protection:
            self.schedule(
                self.now_s + TIME_TO_CRASH_S, lambda: self.crash(daemon, False)
            )
            return
        if daemon in self.refusing_daemons:
            return
        suspects = self.suspect_tables[daemon].view(self.now_s).suspects
        if not suspects:
            self.schedule(
                self.now_s + TIME_TO_CRASH_S, lambda: self.crash(daemon, False)
            )
        elif suspects[0].standing == "probation":
            if self.permits.ask(CRASHING_FINGERPRINT, self.now_s) <= 0.0:
                self.schedule(
                    self.now_s + TIME_TO_CRASH_S, lambda: self.crash(daemon, True)
                )

    def crash(self, daemon: int, on_probation: bool) -> None:
        """Crash a server and report it; after the first crash, retry the request alone.

        A request on probation runs alone on its server.
        """
        self.crashes += 1
        if not self.has_protection:
            return
        crash_id = f"crash-{self.crashes}"
        probation = (CRASHING_FINGERPRINT,) if on_probation else ()
        report_s = self.now_s + self.rng.uniform(0.0, REPORT_PERIOD_S) + LOG_DELAY_S
        self.deliver_record(
            CrashRecord("suspected", crash_id, (CRASHING_FINGERPRINT,), probation),
            report_s,
        )
        confirm_s = self.now_s + RESTART_S + self.rng.uniform(0.0, POLL_PERIOD_S)
        confirmed = CrashRecord(
            "confirmed", crash_id, (CRASHING_FINGERPRINT,), probation
        )
        self.deliver_record(confirmed, max(report_s, confirm_s))
        if on_probation:
            self.refusing_daemons.add(daemon)
        elif self.retry_needs_permit:
            if self.permits.ask(CRASHING_FINGERPRINT, self.now_s) <= 0.0:
                self.schedule(
                    self.now_s + TIME_TO_CRASH_S, lambda: self.crash(daemon, True)
                )
        elif daemon not in self.refusing_daemons:
            self.refusing_daemons.add(daemon)
            self.schedule(
                self.now_s + TIME_TO_CRASH_S, lambda: self.crash(daemon, True)
            )

    def deliver_record(self, record: CrashRecord, at_s: float) -> None:
        """Deliver a crash record to each daemon, after a delay of its own."""
        for suspect_table in self.suspect_tables:
            delivery_s = at_s + LOG_DELAY_S + self.rng.uniform(0.0, VIEW_PERIOD_S)
            self.schedule(
                delivery_s,
                lambda suspect_table=suspect_table: suspect_table.apply(
                    record, self.now_s
                ),
            )


def count_crashes_by_resending(
    daemons: int, seed: int, gap_s: float, policy: str
) -> int:
    """Return the number of crashes if a caller resends the request periodically."""
    simulation = CrashSimulation(daemons, seed, policy)
    for number in range(int(HORIZON_S / gap_s)):
        daemon = simulation.rng.randrange(daemons)
        simulation.schedule(
            number * gap_s, lambda daemon=daemon: simulation.send(daemon)
        )
    return simulation.run()


def count_crashes_by_copies(daemons: int, seed: int, copies: int, policy: str) -> int:
    """Return the number of crashes if copies of the request arrive simultaneously."""
    simulation = CrashSimulation(daemons, seed, policy)
    for daemon in simulation.rng.sample(range(daemons), copies):
        simulation.schedule(0.0, lambda daemon=daemon: simulation.send(daemon))
    return simulation.run()


def describe(crashes: list[int]) -> str:
    """Return the mean and the maximum as text."""
    return f"{sum(crashes) / len(crashes):7.2f} mean {max(crashes):4d} max"


def main() -> None:
    """Run all combinations and print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=20)
    arguments = parser.parse_args()
    seeds = [arguments.seed * 1000 + run for run in range(arguments.runs)]
    for daemons in (1, 8, 390):
        for policy in POLICIES:
            for gap_s in (0.5, 2.0):
                crashes = [
                    count_crashes_by_resending(daemons, s, gap_s, policy) for s in seeds
                ]
                print(
                    f"{daemons:4d} {policy:15s} again each {gap_s} s "
                    f"{describe(crashes)}"
                )
            copies = min(daemons, 8)
            crashes = [
                count_crashes_by_copies(daemons, s, copies, policy) for s in seeds
            ]
            print(
                f"{daemons:4d} {policy:15s} {copies} copies at once {describe(crashes)}"
            )


if __name__ == "__main__":
    main()
