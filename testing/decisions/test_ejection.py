"""Tests of ejecting and readmitting backend servers."""

import random
import unittest

from _pistachiopond.decisions.ejection import BASE_EJECTION_S, Ejector

NAMES = frozenset({"a", "b", "c", "d", "e", "f"})


def make_ejector(names: frozenset[str] = NAMES) -> Ejector:
    ejector = Ejector()
    ejector.set_servers({"drafting": names})
    return ejector


class EjectionTests(unittest.TestCase):
    def test_only_consecutive_failures_eject(self) -> None:
        ejector = make_ejector()
        for _ in range(10):
            ejector.failed("a", "reset", 0.0)
            ejector.succeeded("a")
        self.assertFalse(ejector.is_ejected("a", 0.0))
        for _ in range(3):
            ejector.failed("a", "reset", 0.0)
        self.assertTrue(ejector.is_ejected("a", 0.1))

    def test_no_more_than_a_third_of_a_service_is_ejected(self) -> None:
        ejector = make_ejector()
        for name in sorted(NAMES):
            for _ in range(5):
                ejector.failed(name, "silent", 1.0)
        ejected = [name for name in NAMES if ejector.is_ejected(name, 1.0)]
        self.assertEqual(len(ejected), 2)

    def test_refusals_due_to_load_do_not_eject(self) -> None:
        ejector = make_ejector()
        for _ in range(50):
            ejector.failed("a", "refused", 0.0)
        self.assertFalse(ejector.is_ejected("a", 0.0))

    def test_a_readmitted_server_is_ejected_again_by_one_failed_probe(self) -> None:
        ejector = make_ejector()
        for _ in range(3):
            ejector.failed("a", "reset", 0.0)
        back_s = BASE_EJECTION_S + 0.1
        self.assertFalse(ejector.is_ejected("a", back_s))
        self.assertTrue(ejector.is_probing("a"))
        ejector.failed("a", "reset", back_s)
        self.assertTrue(ejector.is_ejected("a", back_s + 1.5 * BASE_EJECTION_S))
        ejector.succeeded("a")
        self.assertFalse(ejector.is_probing("a"))

    def test_a_server_much_slower_than_its_peers_is_ejected(self) -> None:
        ejector = make_ejector()
        for _ in range(10):
            for name in "bcd":
                ejector.record_delay(name, 0.05, 0.0)
            ejector.record_delay("a", 1.5, 0.0)
        self.assertTrue(ejector.is_ejected("a", 0.1))
        self.assertFalse(ejector.is_ejected("b", 0.1))

    def test_no_server_is_ejected_when_all_are_slow(self) -> None:
        ejector = make_ejector()
        for _ in range(10):
            for name in "abcd":
                ejector.record_delay(name, 1.5, 0.0)
        self.assertFalse(any(ejector.is_ejected(name, 0.1) for name in "abcd"))


class MembershipTests(unittest.TestCase):
    def test_servers_that_come_and_go_one_by_one_count_as_if_replaced(self) -> None:
        # Replacing all servers with each entry took 0.7 s for 3,000 entries.
        rng = random.Random(3)
        one_by_one, replaced = Ejector(), Ejector()
        services: dict[str, str] = {}
        ejections = 0
        for step in range(3_000):
            name = rng.choice("abcdefgh")
            if rng.random() < 0.3 and name in services:
                del services[name]
                one_by_one.remove_server(name)
            elif rng.random() < 0.7:
                services[name] = rng.choice(("drafting", "booking"))
                one_by_one.add_server(name, services[name])
            grouped: dict[str, set[str]] = {}
            for server, service in services.items():
                grouped.setdefault(service, set()).add(server)
            replaced.set_servers(grouped)
            if services:
                failing = rng.choice(sorted(services))
                ejected = one_by_one.failed(failing, "reset", step / 10.0)
                self.assertEqual(
                    ejected, replaced.failed(failing, "reset", step / 10.0)
                )
                ejections += ejected
        self.assertGreater(ejections, 20)
