"""Clients that the operators don't control: many whole bodies of legal size at once.

Each head is within the limit of the config and names as many parts of a prompt as fit.
"""

import asyncio
import sys

BODY_BYTES = 60_000
# The limit of the config is 16,384.
HEADER_BYTES = 16_000


async def send_request(address: tuple[str, int], number: int, key: str) -> None:
    """Send one whole request, and wait for its answer."""
    try:
        reader, writer = await asyncio.open_connection(*address)
        head = (
            "POST /archive/x HTTP/1.1\r\nHost: site.example\r\n"
            f"X-Attempt-Id: archive-{number}\r\nX-Key: {key}\r\n"
            "X-Model: m9\r\nX-Token-Counts: 1000,80\r\n"
            f"X-Deadline-Ms: 15000\r\nContent-Length: {BODY_BYTES}\r\n"
            "X-Prompt-Prefix: "
        )
        parts = "7:1," * ((HEADER_BYTES - len(head)) // 4)
        writer.write((head + parts + "7:1\r\n\r\n").encode() + bytes(BODY_BYTES))
        await writer.drain()
        await reader.read()
    except OSError:
        # The system may refuse the request or close the connection.
        return


async def main() -> None:
    """Run the clients until all have an answer, or the process is ended."""
    ip, port, count, key = sys.argv[1:]
    await asyncio.gather(
        *(send_request((ip, int(port)), number, key) for number in range(int(count)))
    )


asyncio.run(main())
