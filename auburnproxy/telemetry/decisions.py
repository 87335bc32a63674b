"""Structured log of decisions: rate-limited JSON lines that never block the process."""

from __future__ import annotations

import json
import os
import select
import time
from collections.abc import Callable
from typing import Any

import msgspec

LINES_PER_S = 50
"""Limit per kind of line; the busiest entry host receives 40 requests per second."""
STDOUT = 1


class DecisionLog:
    """Writes one JSON line for each decision to a file descriptor.

    Lines of a kind that exceeds its rate limit are omitted until the next second;
    the next line of that kind gives their number in ``omitted``. If the reader of
    the descriptor is too slow, lines are dropped and counted in ``dropped``, so
    that writing never blocks the process. Final lines, those of a process that is
    stopping, are neither omitted nor dropped, but held back until the descriptor is
    ready for writing.

    :param host: name of this daemon's host, included in every line
    :param descriptor: non-blocking file descriptor to write to
    :param lines_per_s: rate limit for each kind of line
    :param clock: returns the Unix time in seconds
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
        """Number of lines dropped because the descriptor was not ready for writing or
        its reader has gone."""
        self._host = host
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._clock = clock
        self._second = 0
        self._line_count_by_kind: dict[str, int] = {}
        self._omitted_by_kind: dict[str, int] = {}
        self._final = False
        self._unsent = b""
        """The rest of a truncated line, and final lines that are held back."""

    def request(self, kind: str, request_id: str, **inputs: Any) -> None:
        """Log a decision about a request.

        :param kind: the decision
        :param request_id: id of the request
        :param inputs: the state that it was based on, with ages in seconds or versions
        """
        self._write(kind, {"request": request_id, **inputs})

    def belief(self, kind: str, **inputs: Any) -> None:
        """Log a change of this daemon's view of the system or of its own state.

        :param kind: the change
        :param inputs: the state that caused it
        """
        self._write(kind, inputs)

    def begin_final_lines(self) -> None:
        """Keep every line from now on, since the process is stopping."""
        self._final = True

    def flush(self, timeout_s: float) -> None:
        """Write what is held back, and wait for a slow reader if necessary.

        :param timeout_s: longest wait in seconds
        """
        until = time.monotonic() + timeout_s
        while self._unsent:
            wait_s = max(until - time.monotonic(), 0.0)
            if not select.select([], [self._descriptor], [], wait_s)[1]:
                return
            self._unsent = self._unsent[self._write_some(self._unsent) :]

    def _write(self, kind: str, fields: dict[str, Any]) -> None:
        now = self._clock()
        if self._final:
            self._unsent += self._encode(now, kind, fields)
            self._unsent = self._unsent[self._write_some(self._unsent) :]
            return
        if int(now) != self._second:
            self._second = int(now)
            self._line_count_by_kind.clear()
        count = self._line_count_by_kind.get(kind, 0)
        self._line_count_by_kind[kind] = count + 1
        if count >= self._lines_per_s:
            self._omitted_by_kind[kind] = self._omitted_by_kind.get(kind, 0) + 1
            return
        omitted = self._omitted_by_kind.pop(kind, 0)
        if omitted:
            fields["omitted"] = omitted
        self._send(self._encode(now, kind, fields))

    def _encode(self, now: float, kind: str, fields: dict[str, Any]) -> bytes:
        line = {"at": round(now, 3), "host": self._host, "kind": kind, **fields}
        try:
            return msgspec.json.encode(line) + b"\n"
        except UnicodeEncodeError:
            # Surrogate escapes of a header value that is not UTF-8 become "?".
            text = json.dumps(line, default=str, ensure_ascii=False)
            return text.encode(errors="replace") + b"\n"

    def _send(self, line: bytes) -> None:
        unsent = self._unsent
        written = self._write_some(unsent + line)
        if written <= len(unsent):
            self.dropped += 1
            line = b""
        # The rest of a truncated line is kept, so that the reader sees complete lines.
        self._unsent = (unsent + line)[written:]

    def _write_some(self, data: bytes) -> int:
        """Return the number of bytes that need not be written again."""
        try:
            return os.write(self._descriptor, data)
        except BlockingIOError:
            return 0
        except OSError:
            # The reader has gone. Callers must not lose their answers with the log.
            self.dropped += 1
            return len(data)


def open_decision_log(host: str) -> DecisionLog:
    """Set standard output to non-blocking and return a decision log that writes to it.

    :param host: name of this daemon's host
    """
    os.set_blocking(STDOUT, False)
    return DecisionLog(host)
