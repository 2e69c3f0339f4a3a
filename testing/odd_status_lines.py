"""Status lines that no sound server sends as its answer to a request.

For the tests of `pond-vm` and of the entry daemon.
"""

from typing import Final

ODD_STATUSES: Final = (
    *(b"HTTP/1.1 %03d Odd" % status for status in (0, 1, 20, 99)),
    # Interim, but only sent where the request asks for them.
    *(b"HTTP/1.1 %d Odd" % status for status in (101, 104, 150, 199)),
    *(b"HTTP/1.1 %d Odd" % status for status in (600, 700, 999)),
)
ODD_STATUS_LINES: Final = (
    *ODD_STATUSES,
    b"HTTP/1.1 000",
    b"HTTP/1.1 0 Odd",
    b"HTTP/1.1 0000 Odd",
    b"HTTP/1.1 0200 OK",
    b"HTTP/1.1 1000 Odd",
    b"HTTP/1.1 2x0 OK",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1 +20 OK",
    b"HTTP/1.1 -200 OK",
    b"HTTP/1.1 2e2 OK",
    b"HTTP/1.1 OK",
    b"HTTP/1.1",
    b"HTTP/0.9 200 OK",
    b"HTTP/2.0 200 OK",
    b"HTTP/3.0 200 OK",
    b"HTTP/1.10 200 OK",
    b"HTTPS/1.1 200 OK",
    b"ICY 200 OK",
)
SOUND_INTERIM_STATUSES: Final = (100, 102, 103)
