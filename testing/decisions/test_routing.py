"""Tests of choosing a backend server."""

import random
import unittest
from collections import Counter

from _pistachiopond.decisions.dispatch_types import AttemptFinished
from _pistachiopond.decisions.routing import (
    SUBSET_SIZE,
    Place,
    PrefixMap,
    choose_server,
    make_subset,
    preferred_server,
)
from _pistachiopond.replay.fleets import TARGET, make_fleet
from _pistachiopond.schema.verdict import Verdict
from testing.decisions.dispatch_fixtures import (
    arrive,
    failure,
    make_facts,
    make_ready_dispatcher,
    make_server,
    starts,
)

SERVERS = tuple(f"s{number}" for number in range(60))
HERE = Place("a", "west")


def place_of(server: str) -> Place:
    number = int(server[1:])
    return (HERE, Place("b", "west"), Place("c", "east"))[number % 3]


class SubsetTests(unittest.TestCase):
    def test_the_nearest_servers_come_first(self) -> None:
        subset = make_subset("d1", SERVERS, HERE, place_of)
        self.assertEqual(len(subset), SUBSET_SIZE)
        self.assertEqual({place_of(server) for server in subset}, {HERE})

    def test_subsets_of_many_daemons_cover_all_servers_evenly(self) -> None:
        counts: Counter[str] = Counter()
        for number in range(400):
            counts.update(make_subset(f"d{number}", SERVERS, HERE, lambda s: HERE))
        self.assertEqual(len(counts), len(SERVERS))
        mean = 400 * SUBSET_SIZE / len(SERVERS)
        self.assertLess(max(counts.values()), 1.5 * mean)


class StaleViewTests(unittest.TestCase):
    def test_daemons_with_the_same_stale_view_do_not_all_choose_one_server(
        self,
    ) -> None:
        """In the stale view s0 is idle; the least-loaded policy would overload it."""
        counts: Counter[str] = Counter()
        for number in range(200):
            chosen = choose_server(
                SERVERS[:12],
                SERVERS,
                (),
                lambda server: 0.0 if server == "s0" else 1.0,
                lambda server: True,
                random.Random(number),
            )
            counts[chosen or ""] += 1
        self.assertLess(counts["s0"], 200 * 0.3)


class PrefixTests(unittest.TestCase):
    def test_requests_with_a_common_prefix_share_a_server_without_cache_events(
        self,
    ) -> None:
        servers = [make_server(f"s{number}") for number in range(8)]
        used = set()
        for daemon in range(6):
            dispatcher = make_ready_dispatcher(servers, daemon=f"d{daemon}")
            facts = make_facts("1", prefix_ids=("p1", "p2", "p3"))
            used |= {s.server for s in starts(arrive(dispatcher, facts, 0.0))}
        self.assertEqual(used, {preferred_server(("p1",), [s.name for s in servers])})

    def test_a_busy_server_with_the_cached_prefix_is_not_chosen(self) -> None:
        busy = make_server("s0", cached_prefixes=("p1",), queued_tokens=90_000.0)
        dispatcher = make_ready_dispatcher([busy, make_server("s1")])
        facts = make_facts("1", prefix_ids=("p1",))
        self.assertEqual(starts(arrive(dispatcher, facts, 0.0))[0].server, "s1")

    def test_a_lost_cache_is_forgotten(self) -> None:
        prefixes = PrefixMap()
        prefixes.learn(("p1", "p2"), "a")
        self.assertEqual(prefixes.cached_tokens(("p1", "p2")), {"a": 128})
        prefixes.forget_server("a")
        self.assertEqual(prefixes.cached_tokens(("p1", "p2")), {})


class ServerChoiceTests(unittest.TestCase):
    def test_the_own_region_and_data_centre_are_preferred(self) -> None:
        manifest = make_fleet(TARGET, 1).manifest
        names = [s.name for s in manifest.backend_servers[:10]]
        west_c = Place("west-c", "west")
        dispatcher = make_ready_dispatcher(
            [make_server(name) for name in names], place=west_c
        )
        dispatcher.servers.set_manifest(manifest)
        centres = {s.name: s.data_centre for s in manifest.backend_servers}
        used = []
        for number in range(30):
            for start in starts(arrive(dispatcher, make_facts(str(number)), 0.0)):
                used.append(centres[start.server])
                done = AttemptFinished(start.request_id, start.attempt)
                dispatcher.handle(done, 0.0)
        self.assertEqual({centre[:4] for centre in used}, {"west"})
        self.assertGreater(used.count("west-c"), 15)

    def test_other_regions_are_used_when_the_own_region_has_no_room(self) -> None:
        manifest = make_fleet(TARGET, 1).manifest
        names = [s.name for s in manifest.backend_servers[:5]]
        dispatcher = make_ready_dispatcher(
            [make_server(name) for name in names], place=Place("west-a", "west")
        )
        dispatcher.servers.set_manifest(manifest)
        used = {
            start.server
            for number in range(35)
            for start in starts(arrive(dispatcher, make_facts(str(number)), 0.0))
        }
        self.assertEqual(used, set(names))

    def test_an_ejected_server_gets_no_requests(self) -> None:
        servers = [make_server(name) for name in ("a", "b", "c")]
        dispatcher = make_ready_dispatcher(servers)
        for _ in range(2):
            dispatcher.servers.ejector.failed("a", "silent", 0.0)
        for number in range(12):
            for start in starts(arrive(dispatcher, make_facts(str(number)), 1.0)):
                self.assertNotEqual(start.server, "a")

    def test_compared_servers_do_not_grow_with_the_fleet(self) -> None:
        compared = []
        for size in (20, 200):
            servers = [make_server(f"s{number}") for number in range(size)]
            dispatcher = make_ready_dispatcher(servers)
            for number in range(20):
                facts = make_facts(str(number), prefix_ids=(f"p{number}",))
                arrive(dispatcher, facts, 0.0)
                dispatcher.handle(AttemptFinished(str(number), 1), 0.1)
            compared.append(dispatcher.servers.compared)
        self.assertLessEqual(max(compared), 20 * (SUBSET_SIZE + 4))

    def test_a_retry_goes_to_another_server(self) -> None:
        servers = [make_server(name) for name in ("a", "b", "c")]
        dispatcher = make_ready_dispatcher(servers)
        start = starts(arrive(dispatcher, make_facts("1"), 0.0))[0]
        used = [start.server]
        event = failure(start, Verdict.NOT_RUN, "connect")
        used += [s.server for s in starts(dispatcher.handle(event, 0.1))]
        self.assertEqual(len(set(used)), 2)
