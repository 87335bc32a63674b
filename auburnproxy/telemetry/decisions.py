"""Structured logs of decisions: JSON lines, bounded in rate, never blocking."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from typing import Any

import msgspec

LINES_PER_S = 50
"""Lines of one kind in a second; the heaviest entry host takes 40 requests a second."""
STDOUT = 1


class Decisions:
    """Writes one JSON line for each decision to a file descriptor.

    A kind of line that exceeds its rate is cut off until the next second; the
    line that follows tells how many were left out. A reader that does not read
    costs lines, which are counted, and never holds the process up.

    :param host: name of this daemon's host, in every line
    :param descriptor: where the lines go
    :param lines_per_s: bound for each kind of line
    :param clock: the time of day in seconds
    """

    def __init__(
        self,
        host: str,
        *,
        descriptor: int = STDOUT,
        lines_per_s: int = LINES_PER_S,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self.dropped = 0
        """Lines that the reader of the descriptor did not take."""
        self._host = host
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._clock = clock
        self._second = 0
        self._count_by_kind: dict[str, int] = {}
        self._omitted_by_kind: dict[str, int] = {}
        self._rest = b""

    def request(self, kind: str, request_id: str, **inputs: Any) -> None:
        """Write a decision on one request.

        :param kind: what was decided
        :param request_id: the request
        :param inputs: what decided it, with ages in seconds or versions
        """
        self._write(kind, {"request": request_id, **inputs})

    def belief(self, kind: str, **inputs: Any) -> None:
        """Write a change of what this daemon believes or of its own state.

        :param kind: what has changed
        :param inputs: what made it change
        """
        self._write(kind, inputs)

    def _write(self, kind: str, fields: dict[str, Any]) -> None:
        now = self._clock()
        if int(now) != self._second:
            self._second = int(now)
            self._count_by_kind.clear()
        count = self._count_by_kind.get(kind, 0)
        self._count_by_kind[kind] = count + 1
        if count >= self._lines_per_s:
            self._omitted_by_kind[kind] = self._omitted_by_kind.get(kind, 0) + 1
            return
        line = {"at": round(now, 3), "host": self._host, "kind": kind, **fields}
        omitted = self._omitted_by_kind.pop(kind, 0)
        if omitted:
            line["omitted"] = omitted
        self._send(msgspec.json.encode(line) + b"\n")

    def _send(self, line: bytes) -> None:
        data = self._rest + line
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            self.dropped += 1
            return
        # Only the rest of a line that was cut is kept, so that no line is torn.
        cut = data[written:]
        self._rest = cut[: cut.find(b"\n") + 1] if written else b""


def open_decisions(host: str) -> Decisions:
    """Return decisions on standard output, made non-blocking.

    :param host: name of this daemon's host
    """
    os.set_blocking(STDOUT, False)
    return Decisions(host)
