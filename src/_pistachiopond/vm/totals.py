"""What the leader knows of requests in progress, over all members."""

from collections import Counter
from typing import NamedTuple

from _pistachiopond.decisions.model_plan import ModelDemand
from _pistachiopond.schema.peer_messages import MemberReport
from _pistachiopond.vm.fleet import WantedModel


class Totals(NamedTuple):
    """Requests in progress over all members.

    Attributes
    ----------
    load : dict of str to int
        At each server.
    runs : dict of (str, str) to int
        By server and model.
    demand : dict of str to dict
        By service: what callers ask of each model and adapter.
    doubtful : frozenset of str
        Servers that half of the members or more doubt.
    """

    load: dict[str, int]
    runs: dict[tuple[str, str], int]
    demand: dict[str, dict[WantedModel, ModelDemand]]
    doubtful: frozenset[str]


def add_demand(
    demand: dict[str, dict[WantedModel, ModelDemand]],
    wanted: WantedModel,
    more: ModelDemand,
) -> None:
    """Add to what callers ask of a model or adapter."""
    of_service = demand.setdefault(wanted.service, {})
    seen = of_service.get(wanted)
    if seen is not None:
        more = ModelDemand(seen.running + more.running, seen.waiting + more.waiting)
    of_service[wanted] = more


def add_up(reports: list[MemberReport]) -> Totals:
    """Return the sums over the members' reports."""
    load: dict[str, int] = {}
    runs: dict[tuple[str, str], int] = {}
    demand: dict[str, dict[WantedModel, ModelDemand]] = {}
    doubts: Counter[str] = Counter()
    for report in reports:
        for name, count in report["load"].items():
            load[name] = load.get(name, 0) + count
        doubts.update(report["doubtful"])
        for server, model, count in report["runs"]:
            runs[(server, model)] = runs.get((server, model), 0) + count
        for use in report["models"]:
            wanted = WantedModel(use["service"], use["model"], use["adapter"])
            add_demand(demand, wanted, ModelDemand(use["running"], use["waiting"]))
    half = max(1, len(reports) / 2)
    doubtful = frozenset(name for name, count in doubts.items() if count >= half)
    return Totals(load, runs, demand, doubtful)
