"""Tests of what the runner of all tests makes of its processes' output."""

import unittest

from tools.run_tests import ROOT, SLOW_MODULES, find_modules, make_batches, read_result


class RunTestsTests(unittest.TestCase):
    def test_each_module_is_in_one_batch(self) -> None:
        modules = find_modules(ROOT)
        self.assertIn(__name__, modules)
        batched = [name for batch in make_batches(modules) for name in batch]
        self.assertEqual(sorted(batched), sorted(modules))
        self.assertEqual(set(SLOW_MODULES) - set(modules), set())

    def test_only_a_whole_output_without_failures_has_passed(self) -> None:
        for output, exit_code, is_passed in (
            ("OK\n3 passed, 0 failed, 1 skipped\n", 0, True),
            ("OK\n3 passed, 0 failed, 0 skipped\n", 1, False),
            ("3 passed, 1 failed, 0 skipped\n", 1, False),
            ("3 passed, 1 failed, 0 skipped\n", 0, False),
            ("0 passed, 0 failed, 0 skipped\n", 0, False),
            ("Segmentation fault\n", 139, False),
            ("", 0, False),
        ):
            self.assertEqual(read_result(output, exit_code).is_passed, is_passed)

    def test_tests_that_failed_as_expected_are_listed(self) -> None:
        line = "known red, passed over: testing.x.T.test_y"
        result = read_result(f"{line}\n1 passed, 0 failed, 0 skipped\n", 0)
        self.assertEqual(result.known_red, (line,))
        self.assertTrue(result.is_passed)


if __name__ == "__main__":
    unittest.main()
