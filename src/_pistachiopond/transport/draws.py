"""Converts draws of rate-limit tokens to and from protobuf messages."""

from _pistachiopond.decisions.pools import (
    Draw,
    DrawItem,
    DrawReply,
    GrantedTotal,
)
from _pistachiopond.transport.generated import pond_pb2


def draw_to_message(pool: str, draw: Draw) -> pond_pb2.DrawRequest:
    """Return the message for a draw from a pool."""
    items = [
        pond_pb2.DrawItem(
            customer=item.customer,
            grant_id=item.grant_id,
            hold_tokens=item.hold_tokens,
            spent_tokens=item.spent_tokens,
            returned_tokens=item.returned_tokens,
        )
        for item in draw.items
    ]
    return pond_pb2.DrawRequest(
        entry_id=draw.entry_id,
        sequence=draw.sequence,
        items=items,
        pool=pool,
        epoch=draw.epoch,
    )


def draw_from_message(message: pond_pb2.DrawRequest) -> Draw:
    """Return the draw in a message."""
    items = tuple(
        DrawItem(
            item.customer,
            item.grant_id,
            item.hold_tokens,
            item.spent_tokens,
            item.returned_tokens,
        )
        for item in message.items
    )
    return Draw(message.entry_id, message.sequence, message.epoch, items)


def reply_to_message(reply: DrawReply) -> pond_pb2.DrawReply:
    """Return the message for the reply to a draw."""
    grants = [
        pond_pb2.Grant(
            customer=grant.customer,
            grant_id=grant.grant_id,
            granted_tokens=grant.granted_tokens,
            retry_after_s=grant.retry_after_s,
        )
        for grant in reply.grants
    ]
    return pond_pb2.DrawReply(
        grants=grants, epoch=reply.epoch, lifetime_s=reply.lifetime_s
    )


def reply_from_message(message: pond_pb2.DrawReply) -> DrawReply:
    """Return the reply to a draw in a message."""
    grants = tuple(
        GrantedTotal(
            grant.customer, grant.grant_id, grant.granted_tokens, grant.retry_after_s
        )
        for grant in message.grants
    )
    return DrawReply(message.epoch, message.lifetime_s, grants)
