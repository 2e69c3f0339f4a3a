"""The configuration of a small deployment, and the servers of its model service."""

from collections.abc import Iterable
from typing import Any, Final

from world import Server, World

MODEL: Final = "m0"
SLOTS: Final = 16
QUEUE: Final = 48
LIMITS: Final = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


def make_config(route: dict[str, Any], engine: dict[str, Any] | None) -> dict[str, Any]:
    """Return a configuration with one route to one service.

    Parameters
    ----------
    route : dict
        What the route has besides its host and whether it needs a key.
    engine : dict or None
        The engine of the service; None for a service without models.
    """
    service = {
        "name": route["service"],
        "healthCheckPath": "/health",
        "connectionLimit": 290,
        "protocol": "h1",
        "tls": False,
    }
    if engine is not None:
        service["engine"] = engine
    return {
        "version": 1,
        "routes": [{"host": "pond.example", "anonymous": False, **route}],
        "services": [service],
        "limits": LIMITS,
    }


def make_stream_config(path: str, **route: object) -> dict[str, Any]:
    """Return a configuration with a route for streams of one model.

    Parameters
    ----------
    path : str
        The prefix of its paths.
    **route
        Its other fields that a case chooses.
    """
    plain: dict[str, Any] = {
        "name": "r-stream",
        "pathPrefix": path,
        "kind": "stream",
        "service": "models",
        "sessionAffinity": True,
        "gapAimMs": 150,
        **route,
    }
    engine = {
        "slots": SLOTS,
        "kvCapacityTokens": 123730,
        # One model at a time, so nothing is to be loaded beside it.
        "weightsMb": 80000.0,
        "adapterSlots": 5,
        "loadsPerS": 2.2,
        "models": [
            {
                "name": MODEL,
                "weightsMb": 65100.0,
                "loadTimeS": 3.8,
                "adapters": 0,
                "adapterMb": 12.0,
                "warmS": 0.6,
                "diskS": 0.78,
            }
        ],
    }
    return make_config(plain, engine)


async def add_model_servers(
    world: World, names: Iterable[str], events: int
) -> list[Server]:
    """Start servers that hold the model and answer with streams.

    Parameters
    ----------
    world : World
        The world that they belong to.
    names : iterable of str
        Their ids.
    events : int
        The number of events of each stream.
    """
    servers = []
    for name in names:
        server = await world.add_server(name, "models", slots=SLOTS, queue=QUEUE)
        server.models, server.events = (MODEL,), events
        server.work_s = lambda: 0.06
        server.beat()
        servers.append(server)
    return servers
