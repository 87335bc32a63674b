"""A plain engine as a process: its answers have no length and end with the connection.

Usage: engine.py NAME PORT LOG
"""

from __future__ import annotations

import asyncio
import hashlib
import sys
import time

WORK_S = 0.045
PIECES, PIECE_BYTES, PAUSE_S = 8, 100, 0.03


def whole_answer(attempt: str) -> bytes:
    """Return the body of the answer to a request."""
    seed = hashlib.sha256(attempt.encode()).hexdigest().encode()
    return (seed * PIECES * PIECE_BYTES)[: PIECES * PIECE_BYTES]


async def serve(
    name: str, log, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer one request."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.strip().split("\r\n")[1:]
        headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in lines)}
        await reader.readexactly(int(headers.get("content-length", 0)))
        attempt = headers.get("attempt-id", "")
        top = f"HTTP/1.1 %s\r\nAttempt-Id: {attempt}\r\nConnection: close\r\n"
        if headers.get("expect-instance") != name:
            writer.write((top % "421 -").encode() + b"Content-Length: 0\r\n\r\n")
            return
        log.write(f"{time.monotonic():.3f} {name} runs {attempt}\n")
        log.flush()
        await asyncio.sleep(WORK_S)
        stamp = f"Engine-Stamp: {name}.{attempt}\r\n\r\n"
        writer.write((top % "200 OK").encode() + stamp.encode())
        body = whole_answer(attempt)
        for start in range(0, len(body), PIECE_BYTES):
            writer.write(body[start : start + PIECE_BYTES])
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
        log.write(f"{time.monotonic():.3f} {name} has answered {attempt}\n")
        log.flush()
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def main() -> None:
    """Serve until the process is ended."""
    name, port, path = sys.argv[1:]
    with open(path, "a") as log:  # noqa: ASYNC230
        server = await asyncio.start_server(
            lambda r, w: serve(name, log, r, w), "127.0.0.1", int(port)
        )
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
