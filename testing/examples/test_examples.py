"""Tests of the example manifests and of the script that generates them."""

import hashlib
import unittest

from _pistachiopond.schema.codec import from_json
from _pistachiopond.schema.manifest import Manifest
from tools.make_examples import (
    EXAMPLES,
    demo_key,
    make_fjordmegling,
    make_kereru,
    total_engine_mb,
    total_model_mb,
)


def count_adapters(manifest: Manifest) -> int:
    return sum(len(model.adapters) for model in manifest.models)


def count_workers(manifest: Manifest, service: str) -> int:
    return sum(server.service == service for server in manifest.backend_servers)


class ExampleTests(unittest.TestCase):
    def test_committed_files_equal_the_generated_manifests(self) -> None:
        for manifest in (make_fjordmegling(), make_kereru()):
            text = (EXAMPLES / f"{manifest.deployment}.json").read_bytes()
            self.assertEqual(from_json(Manifest, text).unwrap(), manifest)

    def test_example_sizes_are_as_specified(self) -> None:
        fjord, kereru = make_fjordmegling(), make_kereru()
        self.assertEqual((len(fjord.models), count_adapters(fjord)), (17, 56))
        self.assertEqual((len(kereru.models), count_adapters(kereru)), (15, 80))
        self.assertEqual(count_workers(fjord, "drafting-assist"), 5)
        self.assertEqual(count_workers(fjord, "booking-core"), 4)
        self.assertEqual(count_workers(kereru, "summary-models"), 6)
        self.assertEqual(count_workers(kereru, "station-api"), 3)
        self.assertEqual(len({s.data_centre for s in fjord.backend_servers}), 4)
        self.assertEqual(len({s.data_centre for s in kereru.backend_servers}), 3)

    def test_one_replica_of_each_model_uses_half_to_four_fifths_of_memory(self) -> None:
        for manifest in (make_fjordmegling(), make_kereru()):
            share = total_model_mb(manifest) / total_engine_mb(manifest)
            self.assertGreater(share, 0.5)
            self.assertLess(share, 0.8)

    def test_model_and_adapter_names_are_unique(self) -> None:
        for manifest in (make_fjordmegling(), make_kereru()):
            names = [model.name for model in manifest.models]
            names += [a.name for model in manifest.models for a in model.adapters]
            self.assertEqual(len(names), len(set(names)))

    def test_customers_have_the_digests_of_their_demo_keys(self) -> None:
        for customer in make_fjordmegling().customers:
            digest = hashlib.sha256(demo_key(customer.name).encode()).hexdigest()
            self.assertEqual(customer.key_digests, (digest,))
