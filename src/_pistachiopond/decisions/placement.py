"""Decides which backend server holds which model.

The plan is worked out anew from what the engines report and what intents are
open; nothing is remembered between plans, so a new planner goes on where the last
one stopped. See ``docs/design/placement.md`` for the ways weighed.
"""

import heapq
import math
from typing import Final

from _pistachiopond.decisions.placement_board import Board
from _pistachiopond.decisions.placement_room import (
    choose_server,
    find_room,
    is_spare_needed,
    take_room,
)
from _pistachiopond.decisions.placement_types import (
    PlacementInput,
    PlacementPlan,
    PlacementServer,
    Replica,
    replica_memory_mb,
)
from _pistachiopond.schema.manifest import Model

HOT_SERVERS: Final = 4
HOT_MODELS: Final = 3


def make_plan(source: PlacementInput) -> PlacementPlan:
    """Return the steps that should be in progress now.

    Parameters
    ----------
    source : PlacementInput
        Servers, replicas, intents and load as now known.

    Returns
    -------
    PlacementPlan
        Equal inputs give equal plans.
    """
    board = Board(source)
    _drain_unlisted(board)
    unplaced = _place_missing(board)
    _leave_servers(board)
    _roll_versions(board)
    if board.protects_spares:
        _add_spares(board)
        _scale_up(board)
    else:
        _scale_up(board)
        _add_spares(board)
    _keep_useful_drains(board)
    return PlacementPlan(
        tuple(board.loads), board.drain_steps(), board.unload_steps(), unplaced
    )


def _drain_unlisted(board: Board) -> None:
    for model_name, replicas in board.by_model.items():
        if model_name not in board.models:
            for replica in list(replicas):
                board.plan_drain(replica)


def _by_size(models: list[Model]) -> list[Model]:
    return sorted(models, key=lambda model: (-replica_memory_mb(model), model.name))


def _place_missing(board: Board) -> tuple[str, ...]:
    missing = [
        model for model in board.models.values() if not board.serving(model.name)
    ]
    waiting = [model for model in _by_size(missing) if not _place(board, model)]
    return tuple(model.name for model in waiting)


def _place(board: Board, model: Model) -> bool:
    """Plan a replica of the model; return whether a place for it is known."""
    server = choose_server(board, model)
    if server is not None:
        board.plan_load(server, model)
        return True
    room = find_room(board, model, is_urgent=True)
    if room is None:
        return False
    take_room(board, room)
    return True


def _leave_servers(board: Board) -> None:
    """Load what only leaving servers hold, and drain them once others answer."""
    leaving = [server for server in board.servers.values() if server.is_leaving]
    held = {replica.model for s in leaving for replica in board.by_server[s.name]}
    stranded = [
        model
        for name, model in board.models.items()
        if name in held and board.serving(name) and not board.staying(name)
    ]
    for model in _by_size(stranded):
        _place(board, model)
    for server in leaving:
        for replica in list(board.by_server[server.name]):
            if _others_answer(board, replica):
                board.plan_drain(replica)


def _others_answer(board: Board, replica: Replica) -> bool:
    return any(
        other.state != "loading" and other.server != replica.server
        for other in board.staying(replica.model)
    )


def _roll_versions(board: Board) -> None:
    """Load the named version beside the old one, then drain the old one."""
    for model in _by_size(list(board.models.values())):
        old = [
            replica
            for replica in board.staying(model.name)
            if replica.version != model.version
        ]
        if old:
            _roll_one(board, model, old)


def _roll_one(board: Board, model: Model, old: list[Replica]) -> None:
    wanted = wanted_replicas(board, model)
    if len(board.current(model)) < wanted:
        _place(board, model)
    ready = [r for r in board.current(model) if r.state != "loading"]
    if not ready:
        return
    spare_count = len(ready) + len(old) - wanted
    for replica in sorted(old)[: max(0, spare_count)]:
        board.plan_drain(replica)


def wanted_replicas(board: Board, model: Model) -> int:
    """Return how many replicas the model's own load asks for."""
    capacity = max(
        (board.capacity_tokens_per_s(server) for server in board.servers.values()),
        default=1.0,
    )
    tokens_per_s = board.tokens_per_s.get(model.name, 0.0)
    by_load = math.ceil(tokens_per_s / (capacity * board.options.high_utilisation))
    return max(model.min_replicas, by_load, 1)


def _add_spares(board: Board) -> None:
    """Add replicas in other regions and data centres, where memory is free."""
    thin = [model for model in board.models.values() if _is_thin(board, model)]
    for model in sorted(thin, key=lambda model: _spare_order(board, model)):
        if not board.has_free_slot():
            return
        server = choose_server(board, model)
        if server is not None and _helps(board, model, server):
            board.plan_load(server, model)


def _is_thin(board: Board, model: Model) -> bool:
    staying = board.staying(model.name)
    return len(staying) < model.min_replicas or is_spare_needed(board, staying)


def _spare_order(board: Board, model: Model) -> tuple[int, float, str]:
    return (
        len(board.staying(model.name)),
        -board.tokens_per_s.get(model.name, 0.0),
        model.name,
    )


def _helps(board: Board, model: Model, server: PlacementServer) -> bool:
    staying = [board.servers[r.server] for r in board.staying(model.name)]
    if len(staying) < model.min_replicas:
        return True
    return all(peer.data_centre != server.data_centre for peer in staying)


def _scale_up(board: Board) -> None:
    """Add replicas of the hottest models until no server is too busy.

    Only the few hottest servers and their hottest models are looked at, so that
    the cost of a plan is bounded when the whole fleet is too busy.
    """
    while board.has_free_slot() and _relieve_hottest(board):
        pass


def _relieve_hottest(board: Board) -> bool:
    """Plan one more load, or drains that make room for one; return if one came."""
    usable = [name for name, server in board.servers.items() if server.is_usable]
    hottest = heapq.nsmallest(
        HOT_SERVERS, usable, key=lambda name: (-board.utilisation(name), name)
    )
    for name in hottest:
        if board.utilisation(name) <= board.options.high_utilisation:
            return False
        models = _hot_models(board, name)[:HOT_MODELS]
        if any(_add_replica(board, model, name) for model in models):
            return True
    return False


def _hot_models(board: Board, server_name: str) -> list[Model]:
    models = [
        board.models[replica.model]
        for replica in board.by_server[server_name]
        if replica.model in board.models and replica in board.serving(replica.model)
    ]

    def share(model: Model) -> float:
        return board.share_tokens_per_s(model.name, len(board.serving(model.name)))

    return sorted(models, key=lambda model: (-share(model), model.name))


def _add_replica(board: Board, model: Model, hot_name: str) -> bool:
    count = len(board.serving(model.name))
    share = board.share_tokens_per_s(model.name, count + 1)
    ceiling = board.utilisation(hot_name) - board.options.least_gain
    if not any(replica.state == "loading" for replica in board.serving(model.name)):
        server = _coolest_fit(board, model)
        if server is None:
            return _make_room_for_load(board, model)
        added = share / board.capacity_tokens_per_s(server)
        if board.utilisation(server.name) + added < ceiling:
            board.plan_load(server, model)
            return True
    return False


def _coolest_fit(board: Board, model: Model) -> PlacementServer | None:
    return min(
        board.fitting(model),
        key=lambda s: (board.utilisation(s.name), s.name),
        default=None,
    )


def _make_room_for_load(board: Board, model: Model) -> bool:
    room = find_room(board, model, is_urgent=False)
    if room is None or _is_too_busy(board, room.server):
        return False
    take_room(board, room)
    board.hold_slot()
    return True


def _is_too_busy(board: Board, server: PlacementServer) -> bool:
    return board.utilisation(server.name) > board.options.high_utilisation


def _keep_useful_drains(board: Board) -> None:
    """Withdraw drains that would leave a listed model without a ready replica."""
    for replica in sorted(board.draining):
        if replica.model in board.models and not board.ready(replica.model):
            board.cancel_drain(replica)
