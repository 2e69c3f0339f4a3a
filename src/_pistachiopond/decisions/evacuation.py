"""Says which servers may get work while data centres are evacuated.

Load that this answers: operators empty a data centre within seconds while callers go
on. Its servers stay registered and reachable, and run what they have begun. They get no
new request, and their replicas of models count for nobody, until the operators take the
evacuation back.

The rule goes by the data centre in a server's entry, so it holds for servers that are
replaced there, and for several data centres at once.
"""

from collections.abc import Collection, Iterable

from _pistachiopond.schema.deployment import BackendServer


def may_get_work(server: BackendServer, evacuated: Collection[str]) -> bool:
    """Return whether new requests may be sent to the server.

    Parameters
    ----------
    server : BackendServer
        The server.
    evacuated : collection of str
        The evacuated data centres.
    """
    return server.data_centre not in evacuated


def are_all_evacuated(
    servers: Iterable[BackendServer], evacuated: Collection[str]
) -> bool:
    """Return whether evacuation leaves none of a service's servers.

    Servers that shut down get nothing new in the long run, so they do not count. False
    if no server is evacuated, whatever else keeps them from getting work.
    """
    if not evacuated:
        return False
    staying = [server for server in servers if not server.is_leaving]
    return bool(staying) and not any(may_get_work(item, evacuated) for item in staying)


def mark_evacuated(
    servers: Iterable[BackendServer], evacuated: Collection[str]
) -> list[BackendServer]:
    """Return the servers for placement, with evacuated ones as leaving ones.

    Models are then loaded elsewhere as if these servers shut down, and nothing is
    ordered from them.
    """
    return [
        server if may_get_work(server, evacuated) else server._replace(is_leaving=True)
        for server in servers
    ]
