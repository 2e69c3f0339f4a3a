"""The identity of this process among the control daemons."""

import secrets
import time

from _pistachiopond.decisions.member_types import Identity
from _pistachiopond.schema.settings import ControlSettings


def make_identity(settings: ControlSettings) -> Identity:
    """Return this process's identity; incarnations sort by start time."""
    started_ms = time.time_ns() // 1_000_000
    incarnation = f"{started_ms:013d}-{secrets.token_hex(4)}"
    return Identity(settings.listen_address, settings.data_centre, incarnation)
