"""Tests of the simulator: reproducibility, and stated outcomes on short traces."""

import unittest

from _pistachiopond.replay.experiment import Experiment, add_comparisons, run_experiment


def find_missed(experiment: Experiment) -> list[str]:
    result = run_experiment(experiment)
    return [miss.outcome.measure for miss in result.misses]


class DeterminismTests(unittest.TestCase):
    def test_same_seed_same_result_to_the_last_digit(self) -> None:
        experiment = Experiment("kereru", length_s=20.0, scenario="server_loss")
        first = run_experiment(experiment).measures
        self.assertEqual(first, run_experiment(experiment).measures)
        other = run_experiment(experiment._replace(seed=2)).measures
        self.assertNotEqual(first, other)


def find_missed_with_heavy(heavy: str) -> list[str]:
    """Return the measures that miss their bounds when one customer is heavy."""
    calm = run_experiment(Experiment("fjordmegling", length_s=60.0))
    experiment = Experiment("fjordmegling", heavy=heavy, length_s=60.0)
    result = add_comparisons([calm, run_experiment(experiment)])[1]
    return [miss.outcome.measure for miss in result.misses]


class StatedOutcomeTests(unittest.TestCase):
    def test_fault_free_days(self) -> None:
        found = {
            workload: find_missed(Experiment(workload, length_s=60.0))
            for workload in ("fjordmegling", "kereru")
        }
        self.assertEqual(found, {"fjordmegling": [], "kereru": []})

    def test_one_fault(self) -> None:
        scenarios = (
            "server_loss",
            "failing_server",
            "vm_loss",
            "log_outage",
            "stale_reports",
        )
        found = {
            scenario: find_missed(
                Experiment("kereru", scenario=scenario, length_s=60.0)
            )
            for scenario in scenarios
        }
        self.assertEqual(found, {scenario: [] for scenario in scenarios})

    def test_regions_lose_each_other(self) -> None:
        experiment = Experiment("regions", scenario="region_cut", length_s=60.0)
        self.assertEqual(find_missed(experiment), [])

    def test_two_faults(self) -> None:
        scenario = "server_loss+stale_reports"
        experiment = Experiment("fjordmegling", scenario=scenario, length_s=60.0)
        self.assertEqual(find_missed(experiment), [])

    def test_loss_of_a_data_centre(self) -> None:
        experiment = Experiment(
            "fjordmegling", scenario="data_centre_loss", length_s=120.0
        )
        self.assertEqual(find_missed(experiment), [])

    def test_loss_of_a_data_centre_on_another_seed(self) -> None:
        experiment = Experiment(
            "fjordmegling", scenario="data_centre_loss", length_s=120.0, seed=3
        )
        self.assertEqual(find_missed(experiment), [])

    def test_a_customer_at_eight_times_its_share(self) -> None:
        self.assertEqual(find_missed_with_heavy("limited"), [])

    def test_a_customer_at_eight_times_its_share_without_limits(self) -> None:
        self.assertEqual(find_missed_with_heavy("unlimited"), [])

    def test_ours_is_close_to_the_central_queue(self) -> None:
        ours = Experiment("fjordmegling", length_s=60.0, load=1.7)
        central = ours._replace(policy="central")
        results = add_comparisons(
            [run_experiment(experiment) for experiment in (ours, central)]
        )
        self.assertGreaterEqual(results[0].measures["share_of_upper_bound"], 0.90)

    def test_ours_beats_least_load_near_capacity(self) -> None:
        ours = Experiment("kereru", length_s=60.0, load=1.4)
        least = ours._replace(policy="least_load")
        values = [
            run_experiment(experiment).measures["attainment"]
            for experiment in (ours, least)
        ]
        self.assertGreater(values[0], values[1])
