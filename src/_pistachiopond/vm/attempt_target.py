"""Where an attempt sends a request: to a backend server, or to another VM."""

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from _pistachiopond.http1.messages import Request, ResponseHead
from _pistachiopond.http1.pool import ConnectionPool, ConnectOutcome
from _pistachiopond.platform.requests import classify_response, encode_forwarded
from _pistachiopond.platform.servers import decode_notice
from _pistachiopond.schema.caller_request import ForwardContext, ResponseKind
from _pistachiopond.schema.deployment import BackendServer
from _pistachiopond.schema.relayed_request import RelayedRequest
from _pistachiopond.vm.admission import Admitted
from _pistachiopond.vm.fleet import Fleet
from _pistachiopond.vm.peer_relays import Peer, PeerRelays
from _pistachiopond.vm.relay_messages import classify_relayed, encode_relay
from _pistachiopond.vm.server_pools import ServerPools


class Target(NamedTuple):
    """The receiver of one attempt.

    Attributes
    ----------
    name : str
        The server's id or the other VM's address, for the log.
    pool : ConnectionPool
        Connections to it.
    max_idle_s : float or None
        Connections that have been idle for longer are not used; None for no limit.
    is_open : callable
        Whether it may get a request now.
    encode : callable
        ``encode(left_s, resume_after)`` returns the request to send, from the seconds
        until the deadline and the id of the last event that the caller has, or None.
    classify : callable
        Returns what became of the request, from the head of the response.
    take_notice : callable
        Called with the head of each response.
    record_sent : callable
        Called when the request is sent.
    record_prefill : callable
        Called with the prompt's tokens and the seconds from sending the request to the
        first bytes of a stream.
    record_time : callable
        Called with the seconds that the server took for a plain request, or for an
        event of a stream.
    record_reset : callable
        Called when a kept connection was found closed, with the seconds that it had
        been idle and the seconds since the request was sent.
    record_timeout : callable
        Called when a connection ended because sent data was not acknowledged.
    """

    name: str
    pool: ConnectionPool
    max_idle_s: float | None
    is_open: Callable[[], bool]
    encode: Callable[[float, str | None], Request]
    classify: Callable[[ResponseHead], ResponseKind]
    take_notice: Callable[[ResponseHead], None]
    record_sent: Callable[[], None]
    record_prefill: Callable[[int, float], None]
    record_time: Callable[[float], None]
    record_reset: Callable[[float, float], None]
    record_timeout: Callable[[], None]


def make_server_target(
    server: BackendServer,
    request: Request,
    admitted: Admitted,
    pools: ServerPools,
    fleet: Fleet,
    record_prefill: Callable[[BackendServer, int, float], None],
    record_connect: Callable[[BackendServer, ConnectOutcome], None],
    is_open: Callable[[], bool],
) -> Target:
    """Return the target for an attempt at a backend server."""

    def encode(left_s: float, resume_after: str | None) -> Request:
        context = ForwardContext(
            server_id=server.server_id,
            customer=admitted.customer.name if admitted.customer else None,
            deadline_s=left_s,
            urgency_rank=admitted.rank,
            resume_after=resume_after,
        )
        return encode_forwarded(request, context)

    # Requests of a route to one model take about the same time for each event.
    kind = f"{server.service}/{admitted.caller.model}/{admitted.route.name}"
    return Target(
        name=server.server_id,
        pool=pools.pool_of(server),
        max_idle_s=pools.max_idle_s(admitted.route, server.service),
        is_open=is_open,
        encode=encode,
        classify=classify_response,
        take_notice=lambda head: fleet.apply_notice(server, decode_notice(head)),
        record_sent=lambda: fleet.request_sent(server),
        record_prefill=lambda tokens, seconds: record_prefill(server, tokens, seconds),
        record_time=partial(fleet.speed_samples.add, server.incarnation(), kind),
        record_reset=lambda idle_s, after_s: pools.record_reset(
            server.service, idle_s, after_s
        ),
        record_timeout=lambda: record_connect(server, "failed"),
    )


def make_peer_target(
    peer: Peer,
    request: Request,
    admitted: Admitted,
    relays: PeerRelays,
    *,
    max_servers: int,
    fingerprint: str,
    is_trial: bool,
) -> Target:
    """Return the target for an attempt through another VM.

    Parameters
    ----------
    peer : Peer
        The other VM.
    request : Request
        The caller's request.
    admitted : Admitted
        Its route, service, customer and deadline.
    relays : PeerRelays
        The connections to other VMs.
    max_servers : int
        The number of servers that may still run the request.
    fingerprint : str
        The digest by which requests that crash servers are known.
    is_trial : bool
        Whether the leader has permitted that the request runs.
    """

    def encode(left_s: float, resume_after: str | None) -> Request:
        relayed = RelayedRequest(
            route=admitted.route.name,
            service=admitted.service,
            customer=admitted.customer.name if admitted.customer else None,
            rank=admitted.rank,
            left_s=round(left_s, 3),
            max_servers=max_servers,
            fingerprint=fingerprint,
            first_attempt_id=admitted.caller.known_stream_id(),
            is_trial=is_trial,
        )
        return encode_relay(request, relayed, resume_after)

    def ignore_notice(head: ResponseHead) -> None:
        """Ignore the head; the other VM takes what it says about the server."""

    def ignore_prefill(tokens: int, seconds: float) -> None:
        """Ignore the time; the other VM measures the server's."""

    def ignore_time(seconds: float) -> None:
        """Ignore the time; the other VM measures the server's."""

    def ignore_reset(idle_s: float, after_s: float) -> None:
        """Ignore a closed connection; it says nothing about servers."""

    return Target(
        name=peer.name(),
        pool=relays.pool_of(peer),
        max_idle_s=None,
        is_open=lambda: True,
        encode=encode,
        classify=classify_relayed,
        take_notice=ignore_notice,
        record_sent=lambda: None,
        record_prefill=ignore_prefill,
        record_time=ignore_time,
        record_reset=ignore_reset,
        record_timeout=lambda: None,
    )
