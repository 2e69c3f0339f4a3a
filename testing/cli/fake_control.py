"""A fake control daemon that serves only the RPC ``Status``."""

from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager

from _pistachiopond.schema.codec import to_json
from _pistachiopond.schema.status import ControlStatus, MemberStatus
from _pistachiopond.transport.generated import pond_pb2, pond_pb2_grpc
from _pistachiopond.transport.server import bind_server, make_server


class FakeControl(pond_pb2_grpc.ControlServicer):
    """Answers with `status`, which the test sets."""

    def __init__(self, status: ControlStatus) -> None:
        self.status = status

    async def Status(
        self, request: pond_pb2.StatusRequest, context: object
    ) -> pond_pb2.StatusReply:
        del request, context
        return pond_pb2.StatusReply(status_json=to_json(self.status).encode())


def make_status(
    address: str = "",
    *,
    number: int = 0,
    offset: int = -1,
    members: tuple[str, ...] = (),
) -> ControlStatus:
    return ControlStatus(
        address="",
        data_centre="a",
        incarnation="one",
        revision_number=number,
        withdrawn_keys=0,
        config_offset=offset,
        config_fresh_age_s=0.1,
        keys_closed=False,
        log_reached=True,
        list_reached=True,
        log_down_s=0.0,
        members=tuple(MemberStatus(item, "a", "x", "alive") for item in members),
    )


@asynccontextmanager
async def serve_control(control: FakeControl) -> AsyncGenerator[str, None]:
    server = make_server()
    pond_pb2_grpc.add_ControlServicer_to_server(control, server)
    port = bind_server(server, "127.0.0.1:0", None)
    await server.start()
    try:
        yield f"127.0.0.1:{port}"
    finally:
        await server.stop(None)
