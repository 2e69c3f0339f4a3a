"""Tests of the choice of a server for a new replica."""

import random
import unittest
from typing import Final
from unittest.mock import patch

from _pistachiopond.decisions.engine_fleet import (
    EngineFleet,
    ServerInventory,
    largest_adapter_mb,
)
from _pistachiopond.decisions.hosting_options import (
    HostingIndex,
    HostingNeed,
    HostingOption,
    HostingServer,
    Removal,
)
from _pistachiopond.http1.messages import HttpAddress
from _pistachiopond.schema.deployment import BackendServer, EngineSpec, ModelSpec

EXAMPLES: Final = 400
VERSIONS: Final = ("v1", "v2")


def make_fleet(rng: random.Random, models: int, servers: int) -> EngineFleet:
    """Return servers with drawn models, copies of weights and reservations."""
    specs = {
        f"m{n}": ModelSpec(
            f"m{n}",
            rng.choice((40.0, 60.0, 75.0)),
            rng.choice((0.3, 1.2, 5.8)),
            rng.choice((0.2, 1.0)),
            rng.choice((0.1, 0.6)),
            3,
            1.0,
        )
        for n in range(models)
    }

    def draw(most: int) -> tuple[str, ...]:
        return tuple(rng.sample(list(specs), min(models, rng.randrange(most))))

    described = {
        f"s{n}": BackendServer(
            server_id=f"s{n}",
            started_ms=1,
            service="engines",
            address=HttpAddress("127.0.0.1", 1),
            data_centre="here",
            slots=16,
            is_leaving=False,
            models=dict.fromkeys(draw(4), ()),
            models_in_memory=draw(3),
            models_on_disk=draw(3),
            software_version=rng.choice(VERSIONS),
        )
        for n in range(servers)
    }
    fleet = EngineFleet(EngineSpec(16, 200.0, 4, 2.0, specs))
    fleet.set_servers(described)
    for inventory in fleet.servers.values():
        if rng.random() < 0.2:
            inventory.reserved_for = rng.choice(list(specs))
    return fleet


def make_servers(rng: random.Random, fleet: EngineFleet) -> list[HostingServer]:
    return [
        HostingServer(
            inventory=inventory,
            free_mb=inventory.free_mb(fleet.spec, largest_adapter_mb(fleet.spec)),
            utilisation=rng.randrange(4) / 4.0,
            has_adapters=rng.random() < 0.3,
            takes_any=rng.random() < 0.9,
            removals=sorted(
                Removal(rng.random(), held, fleet.spec.models[held].memory_mb)
                for held in inventory.models
            ),
        )
        for inventory in fleet.servers.values()
    ]


def best_of_all(
    index: HostingIndex,
    servers: list[HostingServer],
    need: HostingNeed,
    ordered: set[str],
) -> HostingOption | None:
    """Return what a look at each server finds."""
    options = []
    for server in servers:
        inventory = server.inventory
        if server.name in ordered or need.model in inventory.models:
            continue
        if need.software_version not in (None, inventory.server.software_version):
            continue
        is_reserved = inventory.reserved_for == need.model
        if inventory.reserved_for and not is_reserved:
            continue
        option = index.option_at(server, need)
        if option is not None and is_reserved:
            return option._replace(cost=float("-inf"))
        if option is not None and need.needs_more and server.takes_any:
            options.append(option)
    return min(options, default=None, key=lambda option: option[:3])


class HostingIndexTests(unittest.TestCase):
    def test_no_server_is_cheaper_than_the_one_that_the_index_finds(self) -> None:
        # A server that the groups leave out must never be the best one.
        rng = random.Random(5)
        found_count = 0
        for example in range(EXAMPLES):
            fleet = make_fleet(rng, rng.randrange(1, 20), rng.randrange(1, 14))
            servers = make_servers(rng, fleet)
            may_load_any = rng.random() < 0.8

            def may_load(
                inventory: ServerInventory,
                model: str,
                fleet: EngineFleet = fleet,
                may_load_any: bool = may_load_any,
            ) -> bool:
                return may_load_any or not fleet.is_store_load(inventory, model)

            index = HostingIndex(fleet, servers, may_load)
            ordered = {server.name for server in servers if rng.random() < 0.2}
            for model in fleet.spec.models:
                need = HostingNeed(
                    model,
                    rng.random() < 0.8,
                    rng.random() < 0.5,
                    rng.choice((None, None, *VERSIONS)),
                )
                expected = best_of_all(index, servers, need, ordered)
                found_count += expected is not None
                self.assertEqual(index.best(need, ordered), expected, example)
        # Most needs have a server, so the comparison is not one of nothing.
        self.assertGreater(found_count, 4 * EXAMPLES)

    def test_the_servers_looked_at_do_not_grow_with_the_fleet(self) -> None:
        # 191 models on 56 servers took 0.2 s for one plan, ten times a second.
        for server_count in (56, 224):
            rng = random.Random(7)
            fleet = make_fleet(rng, 191, server_count)
            servers = make_servers(rng, fleet)
            index = HostingIndex(fleet, servers, lambda inventory, model: True)
            with patch.object(
                HostingIndex, "option_at", autospec=True, return_value=None
            ) as looked_at:
                for model in fleet.spec.models:
                    index.best(HostingNeed(model, True, True, None), set())
            local = sum(
                len({*s.inventory.server.models_in_memory})
                + len({*s.inventory.server.models_on_disk})
                + bool(s.inventory.reserved_for)
                for s in servers
            )
            self.assertLessEqual(looked_at.call_count, 4 * 191 + local)


if __name__ == "__main__":
    unittest.main()
