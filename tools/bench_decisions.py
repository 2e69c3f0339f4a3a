"""Measures the cost of dispatch decisions by number of servers, models and customers.

Each line gives, for one size, the processor time of a request that is admitted,
routed and finished, and its operation counts (servers compared, queue heads
examined). The last line of each block gives the slope.
Usage: ``python tools/bench_decisions.py``.
"""

import time
from collections.abc import Callable
from typing import Final, NamedTuple

from _pistachiopond.decisions.dispatch import Dispatcher, make_dispatcher
from _pistachiopond.decisions.dispatch_options import DispatchOptions
from _pistachiopond.decisions.dispatch_types import (
    Arrived,
    AttemptFinished,
    FirstToken,
    Progress,
    RequestFacts,
    StartAttempt,
    ViewReceived,
)
from _pistachiopond.decisions.routing import Place
from _pistachiopond.schema.routing import ResidentModel, RoutingView, ServerView

REQUESTS: Final = 2_000
CONCURRENT_REQUESTS: Final = 33
LOCAL_PLACE: Final = Place("dc-0", "west")
SERVERS: Final = (50, 200, 400, 810)
MODELS: Final = (10, 60, 120, 230)
CUSTOMERS: Final = (5, 50, 200, 500)
REPLICAS_PER_MODEL: Final = 12


class Cost(NamedTuple):
    """Cost of one request and of one view, in processor time and operation counts."""

    request_us: float
    view_us: float
    compared: float
    examined: float


def make_view(servers: int, models: int) -> RoutingView:
    """Return a routing view with up to `REPLICAS_PER_MODEL` replicas of each model."""
    residents: list[list[ResidentModel]] = [[] for _ in range(servers)]
    for model in range(models):
        for replica in range(min(servers, REPLICAS_PER_MODEL)):
            server_index = (model * REPLICAS_PER_MODEL + replica) % servers
            residents[server_index].append(ResidentModel(f"m{model}", "1", (), "ready"))
    views = tuple(
        ServerView(
            f"s{number}",
            "http://10.0.0.1:8000",
            f"dc-{number % 5}",
            "engines",
            "serving",
            tuple(resident_models),
            float(number % 7) * 500.0,
            0.5,
        )
        for number, resident_models in enumerate(residents)
    )
    return RoutingView(1, views)


def make_facts(number: int, models: int, customers: int) -> RequestFacts:
    """Return the attributes of a request that dispatch uses."""
    return RequestFacts(
        f"r{number}",
        f"c{number % customers}",
        "engines",
        f"m{number % models}",
        None,
        400,
        300,
        tuple(f"p{number % 50}-{block}" for block in range(6)),
        "normal",
        True,
        f"f{number}",
    )


def run_requests(dispatcher: Dispatcher, models: int, customers: int) -> float:
    """Dispatch all requests and return the processor time, in seconds."""
    running: list[StartAttempt] = []
    started_s = time.process_time()
    for number in range(REQUESTS):
        now_s = number * 0.15
        facts = make_facts(number, models, customers)
        for action in dispatcher.handle(Arrived(facts), now_s):
            if isinstance(action, StartAttempt):
                running.append(action)
        if len(running) > CONCURRENT_REQUESTS:
            finished = running.pop(0)
            key = (finished.request_id, finished.attempt)
            dispatcher.handle(FirstToken(*key), now_s)
            dispatcher.handle(Progress(*key, 250), now_s)
            dispatcher.handle(AttemptFinished(*key), now_s)
    return time.process_time() - started_s


def measure(servers: int, models: int, customers: int) -> Cost:
    """Measure the cost at one size."""
    dispatcher = make_dispatcher(DispatchOptions("d", LOCAL_PLACE), seed=1)
    view = make_view(servers, models)
    dispatcher.handle(ViewReceived(view), 0.0)
    started_s = time.process_time()
    for _ in range(20):
        dispatcher.handle(ViewReceived(view), 0.0)
    view_s = (time.process_time() - started_s) / 20
    requests_s = run_requests(dispatcher, models, customers)
    return Cost(
        request_us=1e6 * requests_s / REQUESTS,
        view_us=1e6 * view_s,
        compared=dispatcher.servers.compared / REQUESTS,
        examined=dispatcher.queue.examined / REQUESTS,
    )


def print_block(
    name: str, sizes: tuple[int, ...], measure_at: Callable[[int], Cost]
) -> None:
    """Print a line for each size and the slope between the first and the last."""
    costs = [measure_at(size) for size in sizes]
    for size, cost in zip(sizes, costs, strict=True):
        print(
            f"{name} {size:4d}: request {cost.request_us:7.1f} us, "
            f"view {cost.view_us:8.1f} us, compared {cost.compared:5.2f}, "
            f"examined {cost.examined:5.2f}"
        )
    span = sizes[-1] - sizes[0]
    request = (costs[-1].request_us - costs[0].request_us) / span
    view = (costs[-1].view_us - costs[0].view_us) / span
    print(f"{name} slope: request {request:.4f} us, view {view:.4f} us each")


def main() -> None:
    """Measure and print all blocks."""
    print_block("servers", SERVERS, lambda size: measure(size, 60, 20))
    print_block("models", MODELS, lambda size: measure(400, size, 20))
    print_block("customers", CUSTOMERS, lambda size: measure(400, 60, size))


if __name__ == "__main__":
    main()
