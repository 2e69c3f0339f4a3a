"""Tests of how stalls of the event loop are recorded."""

import unittest
from unittest.mock import patch

from _pistachiopond.observe import loop_stalls
from _pistachiopond.observe.loop_stalls import LoopStalls
from _pistachiopond.observe.metrics import Metrics

PERIOD_S = 0.1


class LoopStallTests(unittest.TestCase):
    def test_a_stall_is_counted_and_a_long_one_logged(self) -> None:
        metrics = Metrics()
        used_s = 0.0
        stalls = LoopStalls(metrics, PERIOD_S, lambda: used_s)
        lines: list[dict[str, float]] = []
        with patch.object(
            loop_stalls, "log_warning", lambda message, **fields: lines.append(fields)
        ):
            for now_s, used in ((0.0, 0.0), (0.1, 0.01), (0.25, 0.1), (2.35, 2.1)):
                used_s = used
                stalls.tick(now_s)
        self.assertEqual(lines, [{"for_s": 2.0, "processor_s": 2.0}])
        read = metrics.registry.get_sample_value
        self.assertEqual(read("pond_event_loop_stalls_count"), 3.0)
        highest = read("pond_event_loop_stalls_quantile", {"quantile": "0.999"})
        self.assertAlmostEqual(highest or 0.0, 2.0, delta=0.05)


if __name__ == "__main__":
    unittest.main()
