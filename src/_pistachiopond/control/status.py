"""Collects the status of one control daemon for operators."""

from _pistachiopond.control.configuration import ConfigFollower
from _pistachiopond.control.gossip import UNKNOWN_AGE_S, GossipState
from _pistachiopond.control.membership import FleetService
from _pistachiopond.control.ownership import Shards
from _pistachiopond.control.ports import LogAccess
from _pistachiopond.control.views import Views
from _pistachiopond.decisions.flapping import is_damped
from _pistachiopond.decisions.membership import MemberTable
from _pistachiopond.kernel.service import Kernel
from _pistachiopond.schema.manifest import Manifest
from _pistachiopond.schema.routing import RoutingView
from _pistachiopond.schema.status import ControlStatus, MemberStatus


def make_status(kernel: Kernel) -> ControlStatus:
    """Return this daemon's current status."""
    follower = kernel.find("config-follower", ConfigFollower)
    service = kernel.find("fleet", FleetService)
    views = kernel.find("views", Views)
    down_s = kernel.find("log", LogAccess).down_for_s()
    now_s = service.now_s()
    freshness = follower.freshness()
    revision = follower.revision()
    manifest = None if revision is None else revision.manifest
    age_s = freshness.fresh_age_s
    return ControlStatus(
        *service.member_table.me,
        revision_number=0 if revision is None else revision.number,
        withdrawn_keys=follower.withdrawn_count(),
        config_offset=follower.covers_offset(),
        config_fresh_age_s=-1.0 if age_s >= UNKNOWN_AGE_S else round(age_s, 3),
        keys_closed=freshness.keys_closed,
        log_reached=down_s == 0.0,
        list_reached=service.list_reached,
        log_down_s=round(down_s, 1),
        members=_members(service.member_table, now_s),
        shards=kernel.find("shards", Shards).status(),
        servers=() if views.routing is None else views.routing.servers,
        leaving=kernel.find("exchange", GossipState).leaving(now_s),
        unplaced_models=_models_without_ready_replica(manifest, views.routing),
        publications=tuple(follower.publications),
    )


def _members(member_table: MemberTable, now_s: float) -> tuple[MemberStatus, ...]:
    return tuple(
        MemberStatus(
            *known.identity,
            state="damped" if is_damped(known.damping, now_s) else known.standing,
        )
        for known in member_table.known()
    )


def _models_without_ready_replica(
    manifest: Manifest | None, routing: RoutingView | None
) -> tuple[str, ...]:
    if manifest is None:
        return ()
    ready = {
        resident.model
        for server in (() if routing is None else routing.servers)
        if server.availability == "serving"
        for resident in server.residents
        if resident.state == "ready"
    }
    return tuple(model.name for model in manifest.models if model.name not in ready)
