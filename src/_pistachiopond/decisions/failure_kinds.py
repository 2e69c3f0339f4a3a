"""The ways in which an attempt at a backend server fails."""

from typing import Literal

FailureKind = Literal[
    "connect", "reset", "timeout", "silent", "refused", "server_error", "mismatch"
]
