"""Counts backend servers lost to one request that crashes each server it runs on.

The records go through the live `SuspectBook` and `Permits`; delays between a crash
and each daemon's knowledge are drawn from the periods of the live services.

    python tools/crash_experiment.py --seed 1
"""

import argparse
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Final

from _pistachiopond.decisions.suspects import Permits, SuspectBook
from _pistachiopond.schema.suspects import CrashRecord

RUN_S: Final = 0.2
REPORT_PERIOD_S: Final = 1.0
LOG_S: Final = 0.02
VIEW_PERIOD_S: Final = 1.0
RESTART_S: Final = 5.0
POLL_PERIOD_S: Final = 1.0
HORIZON_S: Final = 60.0
BAD: Final = "bad"
NO_PROTECTION: Final = "without"
RETRY_AT_ONCE: Final = "suspects"
RETRY_BY_PERMIT: Final = "retry by permit"
WAYS: Final = (NO_PROTECTION, RETRY_AT_ONCE, RETRY_BY_PERMIT)


class Fleet:
    """Daemons that run one bad request whenever they are allowed to."""

    def __init__(self, daemons: int, seed: int, way: str) -> None:
        self.rng = random.Random(seed)
        self.daemons = daemons
        self.protected = way != NO_PROTECTION
        self.retry_needs_permit = way == RETRY_BY_PERMIT
        self.lost = 0
        self.now_s = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.books = [SuspectBook() for _ in range(daemons)]
        self.own_refused: set[int] = set()
        self.permits = Permits()

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        """Do something later."""
        heapq.heappush(self.events, (at_s, next(self.order), action))

    def run(self) -> int:
        """Run to the horizon; return the servers lost."""
        while self.events and self.events[0][0] < HORIZON_S:
            self.now_s, _, action = heapq.heappop(self.events)
            action()
        return self.lost

    def send(self, daemon: int) -> None:
        """Let a caller send the request to a daemon."""
        if not self.protected:
            self.at(self.now_s + RUN_S, lambda: self.crash(daemon, False))
            return
        if daemon in self.own_refused:
            return
        suspects = self.books[daemon].view(self.now_s).suspects
        if not suspects:
            self.at(self.now_s + RUN_S, lambda: self.crash(daemon, False))
        elif suspects[0].standing == "probation":
            if self.permits.ask(BAD, self.now_s) <= 0.0:
                self.at(self.now_s + RUN_S, lambda: self.crash(daemon, True))

    def crash(self, daemon: int, alone: bool) -> None:
        """Lose a server; the daemon retries alone after the first."""
        self.lost += 1
        if not self.protected:
            return
        crash_id = f"crash-{self.lost}"
        probation = (BAD,) if alone else ()
        report_s = self.now_s + self.rng.uniform(0.0, REPORT_PERIOD_S) + LOG_S
        self.tell(CrashRecord("suspected", crash_id, (BAD,), probation), report_s)
        confirm_s = self.now_s + RESTART_S + self.rng.uniform(0.0, POLL_PERIOD_S)
        confirmed = CrashRecord("confirmed", crash_id, (BAD,), probation)
        self.tell(confirmed, max(report_s, confirm_s))
        if alone:
            self.own_refused.add(daemon)
        elif self.retry_needs_permit:
            if self.permits.ask(BAD, self.now_s) <= 0.0:
                self.at(self.now_s + RUN_S, lambda: self.crash(daemon, True))
        elif daemon not in self.own_refused:
            self.own_refused.add(daemon)
            self.at(self.now_s + RUN_S, lambda: self.crash(daemon, True))

    def tell(self, record: CrashRecord, at_s: float) -> None:
        """Let each daemon learn of a record at its own time."""
        for book in self.books:
            heard_s = at_s + LOG_S + self.rng.uniform(0.0, VIEW_PERIOD_S)
            self.at(heard_s, lambda book=book: book.apply(record, self.now_s))


def lost_by_resending(daemons: int, seed: int, gap_s: float, way: str) -> int:
    """Return the servers lost to a caller that sends again after each gap."""
    fleet = Fleet(daemons, seed, way)
    for number in range(int(HORIZON_S / gap_s)):
        daemon = fleet.rng.randrange(daemons)
        fleet.at(number * gap_s, lambda daemon=daemon: fleet.send(daemon))
    return fleet.run()


def lost_by_copies(daemons: int, seed: int, copies: int, way: str) -> int:
    """Return the servers lost to copies that are sent at the same moment."""
    fleet = Fleet(daemons, seed, way)
    for daemon in fleet.rng.sample(range(daemons), copies):
        fleet.at(0.0, lambda daemon=daemon: fleet.send(daemon))
    return fleet.run()


def describe(lost: list[int]) -> str:
    """Return the mean and the most."""
    return f"{sum(lost) / len(lost):7.2f} mean {max(lost):4d} most"


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=20)
    given = parser.parse_args()
    seeds = [given.seed * 1000 + run for run in range(given.runs)]
    for daemons in (1, 8, 390):
        for name in WAYS:
            for gap_s in (0.5, 2.0):
                lost = [lost_by_resending(daemons, s, gap_s, name) for s in seeds]
                print(f"{daemons:4d} {name:15s} again each {gap_s} s {describe(lost)}")
            copies = min(daemons, 8)
            lost = [lost_by_copies(daemons, s, copies, name) for s in seeds]
            print(f"{daemons:4d} {name:15s} {copies} copies at once {describe(lost)}")


if __name__ == "__main__":
    main()
