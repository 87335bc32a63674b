"""Evidence against prompt parts: processes that ended before an answer began."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ..gossip import HeldFact

MIN_PROCESSES = 3
"""Engine processes that must have ended before a part is blocked."""
MIN_REQUESTS = 2
"""Requests that must have ended them: a single one may have crashed its engines for a
reason that is not in the parts it shares with others."""


MAX_ID_CHARACTERS = 32
"""Characters of a caller's request id in the name of a request."""


class CrashEvidence(NamedTuple):
    """What ended while it had a request with one prompt part and no answer."""

    processes: frozenset[str]
    requests: frozenset[str]

    @property
    def suffices(self) -> bool:
        """Return whether the part is to be blocked."""
        enough_processes = len(self.processes) >= MIN_PROCESSES
        return enough_processes and len(self.requests) >= MIN_REQUESTS


def request_name(request_id: str, arrived_at: float) -> str:
    """Return a short name that tells a request from all others.

    The caller's id alone would not: it may be missing, long or the same every time.

    :param request_id: the caller's id of the request
    :param arrived_at: the loop's time in seconds at which it was received
    """
    return f"{request_id[:MAX_ID_CHARACTERS]}/{arrived_at:.6f}"


def crash_origin(process: str, request: str) -> str:
    """Return the origin of a crash fact.

    :param process: the process that ended
    :param request: name of a request that it had not begun to answer
    """
    return f"{process} {request}"


def collect_evidence(crashes: Iterable[HeldFact]) -> CrashEvidence:
    """Return the evidence of crash facts on one part."""
    origins = [crash.key.origin.partition(" ") for crash in crashes]
    return CrashEvidence(
        frozenset(process for process, _, _ in origins),
        frozenset(request for _, _, request in origins),
    )
