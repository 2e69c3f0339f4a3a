"""Tests of the JSON codec and of manifest validation."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from _pistachiopond.schema.codec import from_json, from_plain, to_json, to_plain
from _pistachiopond.schema.manifest import Customer, Manifest, Model
from _pistachiopond.schema.revision import Revision
from _pistachiopond.schema.settings import EntrySettings

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


def small_manifest() -> Manifest:
    return Manifest(
        replaces_revision=0,
        deployment="test",
        objective="worst_served_customer",
        models=(Model("summary", "1", 100),),
        backend_servers=(),
        routes=(),
        customers=(Customer("one", 10.0, 100.0),),
    )


class CodecTests(unittest.TestCase):
    def test_manifest_survives_encoding_and_decoding(self) -> None:
        manifest = small_manifest()
        self.assertEqual(from_json(Manifest, to_json(manifest)).ok(), manifest)

    def test_set_is_encoded_sorted_and_decoded_again(self) -> None:
        revision = Revision(1, small_manifest(), frozenset({"b", "a"}), 0)
        self.assertIn('"withdrawn_digests":["a","b"]', to_json(revision))
        self.assertEqual(from_json(Revision, to_json(revision)).ok(), revision)

    def test_unknown_field_is_rejected_with_its_path(self) -> None:
        plain = to_plain(small_manifest())
        plain["models"][0]["memroy_mb"] = 5
        errors = from_plain(Manifest, plain).err()
        self.assertIn("$.models[0].memroy_mb", errors[0])

    def test_invalid_value_is_rejected_with_its_path(self) -> None:
        plain = to_plain(small_manifest())
        plain["customers"][0]["rate_tokens_per_s"] = -1
        errors = from_plain(Manifest, plain).err()
        self.assertIn("$.customers[0].rate_tokens_per_s", errors[0])

    def test_settings_reject_an_address_with_a_host_name(self) -> None:
        errors = from_plain(
            EntrySettings,
            {
                "listen_address": "example.org:80",
                "data_centre": "a",
                "region": "r",
                "control_addresses": ["127.0.0.1:1"],
            },
        ).err()
        self.assertIn("$.listen_address", errors[0])

    @given(JSON_VALUES)
    @settings(max_examples=200, derandomize=True, deadline=None)
    def test_arbitrary_json_is_rejected_without_an_exception(
        self, value: object
    ) -> None:
        result = from_plain(Manifest, value)
        self.assertTrue(result.is_err())

    @given(st.binary())
    @settings(max_examples=200, derandomize=True, deadline=None)
    def test_arbitrary_bytes_are_rejected_without_an_exception(
        self, text: bytes
    ) -> None:
        self.assertTrue(from_json(Manifest, text).is_err())
