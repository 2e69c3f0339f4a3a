"""Finds a server for a replica, and makes room where none has it free.

Room is made without losing a model: first by replicas that are surplus, then by
moving a replica that fits elsewhere, which is loaded there before it is drained
here.
"""

from typing import NamedTuple

from _pistachiopond.decisions.placement_board import Board
from _pistachiopond.decisions.placement_types import (
    PlacementServer,
    Replica,
    replica_memory_mb,
)
from _pistachiopond.schema.manifest import Model


class Room(NamedTuple):
    """A way to free enough memory on one server.

    Attributes
    ----------
    drains : tuple of Replica
        Surplus replicas to drain there.
    relocations : tuple of Replica
        Replicas that must first be loaded elsewhere.
    """

    server: PlacementServer
    drains: tuple[Replica, ...]
    relocations: tuple[Replica, ...]


def choose_server(board: Board, model: Model) -> PlacementServer | None:
    """Return the best server that has room for the model now.

    Failure domains go first: another region than the model's other replicas, then
    another data centre, then another rack; then the least loaded server.
    """
    fitting = board.fitting(model)
    if not fitting:
        return None
    peers = [board.servers[replica.server] for replica in board.staying(model.name)]

    def cost(server: PlacementServer) -> tuple[int, int, int, float, int, str]:
        return (
            sum(peer.region == server.region for peer in peers),
            sum(peer.data_centre == server.data_centre for peer in peers),
            sum(peer.rack == server.rack for peer in peers),
            round(board.utilisation(server.name), 3),
            -board.free_mb[server.name],
            server.name,
        )

    return min(fitting, key=cost)


def find_room(board: Board, model: Model, *, is_urgent: bool) -> Room | None:
    """Return the cheapest way to make room for the model, if there is one.

    Parameters
    ----------
    board : Board
        Is not changed.
    model : Model
        What needs the room.
    is_urgent : bool
        Whether replicas may be moved and spare ones drained for it.
    """
    rooms = [
        room
        for server in board.servers.values()
        if board.can_host(server, model)
        and (room := _room_on(board, server, model, is_urgent)) is not None
    ]
    return min(rooms, key=_room_cost, default=None)


def _room_cost(room: Room) -> tuple[int, int, int, str]:
    new_drains = [replica for replica in room.drains if replica.state != "draining"]
    moved_mb = sum(replica.memory_mb for replica in room.relocations)
    return len(room.relocations), moved_mb, len(new_drains), room.server.name


def _room_on(
    board: Board, server: PlacementServer, model: Model, is_urgent: bool
) -> Room | None:
    missing_mb = replica_memory_mb(model) - board.free_mb[server.name]
    missing_mb -= sum(
        replica.memory_mb
        for replica in board.by_server[server.name]
        if replica.state == "unloading" or replica in board.draining
    )
    drains: list[Replica] = []
    relocations: list[Replica] = []
    for replica in _surplus_on(board, server, is_urgent):
        if missing_mb <= 0:
            break
        drains.append(replica)
        missing_mb -= replica.memory_mb
    if is_urgent and missing_mb > 0:
        for replica in _movable_on(board, server, model):
            if missing_mb <= 0:
                break
            relocations.append(replica)
            missing_mb -= replica.memory_mb
    if missing_mb > 0:
        return None
    return Room(server, tuple(drains), tuple(relocations))


def _surplus_on(
    board: Board, server: PlacementServer, is_urgent: bool
) -> list[Replica]:
    surplus = [
        replica
        for replica in board.by_server[server.name]
        if is_surplus(board, replica, is_urgent=is_urgent)
    ]

    def cost(replica: Replica) -> tuple[bool, float, str]:
        share = board.share_tokens_per_s(
            replica.model, len(board.serving(replica.model)) - 1
        )
        return replica.state != "draining", share, replica.model

    return sorted(surplus, key=cost)


def is_surplus(board: Board, replica: Replica, *, is_urgent: bool) -> bool:
    """Return whether the replica may go for the sake of something else.

    For an urgent need it is enough that another one answers: a busy model is better
    than an unreachable one. Otherwise the others must carry its load.
    """
    if replica.state not in ("ready", "draining") or replica in board.draining:
        return False
    model = board.models.get(replica.model)
    if model is None:
        return True
    peers = board.staying(model.name)
    if replica.version == model.version:
        peers = board.current(model)
    others = [other for other in peers if other != replica]
    ready = [other for other in others if other.state != "loading"]
    if not ready:
        return False
    if is_urgent:
        return True
    if len(others) < model.min_replicas:
        return False
    if board.protects_spares and is_spare_needed(board, others):
        return False
    more = board.share_tokens_per_s(model.name, len(others))
    more -= board.share_tokens_per_s(model.name, len(others) + 1)
    return all(_carries(board, other, more) for other in others)


def is_spare_needed(board: Board, replicas: list[Replica]) -> bool:
    """Return whether these replicas of a model cover too few failure domains."""
    held = [board.servers[replica.server] for replica in replicas]
    if len({server.region for server in held}) < len(board.regions):
        return True
    least_centres = min(board.options.spare_replicas, len(board.data_centres))
    return len({server.data_centre for server in held}) < least_centres


def _carries(board: Board, replica: Replica, more_tokens_per_s: float) -> bool:
    server = board.servers[replica.server]
    added = more_tokens_per_s / board.capacity_tokens_per_s(server)
    after = board.utilisation(replica.server) + added
    return after <= board.options.high_utilisation


def _movable_on(
    board: Board, server: PlacementServer, incoming: Model
) -> list[Replica]:
    """Return replicas that fit elsewhere, or are on their way there already.

    Each is checked against the free memory by itself; a later plan finds out if
    two of them wanted the same place.
    """
    movable = [
        replica
        for replica in board.by_server[server.name]
        if replica.state in ("ready", "draining")
        and replica not in board.draining
        and replica.model in board.models
        and replica.model != incoming.name
        and not is_surplus(board, replica, is_urgent=True)
        and _fits_elsewhere(board, replica)
    ]
    return sorted(movable, key=lambda replica: (-replica.memory_mb, replica.model))


def _fits_elsewhere(board: Board, replica: Replica) -> bool:
    model = board.models[replica.model]
    if _has_successor(board, replica):
        return True
    return choose_server(board, model) is not None


def _has_successor(board: Board, replica: Replica) -> bool:
    others = board.current(board.models[replica.model])
    return any(other != replica and other.state == "loading" for other in others)


def take_room(board: Board, room: Room) -> None:
    """Plan the drains and relocations that make the room."""
    for replica in room.drains:
        board.plan_drain(replica)
    for replica in room.relocations:
        if _has_successor(board, replica):
            continue
        model = board.models[replica.model]
        target = choose_server(board, model)
        if target is not None and target.name != room.server.name:
            board.plan_load(target, model)
