"""What a plain service beside the model engines is to this system."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import NamedTuple


class ServiceReport(NamedTuple):
    """A plain service's own report of its load."""

    host: str
    incarnation: str
    leaving: bool
    in_flight: int


class PlainCall(NamedTuple):
    """One call to a plain service."""

    request_id: str
    method: str
    path: str
    """Path and query below the service's root."""
    body: bytes
    content_type: str
    idempotency_key: str
    """The caller's key, empty if it gave none."""
    deadline_s: float
    """Seconds that remain."""


class PlainAnswer(NamedTuple):
    """A plain service's answer, passed on unchanged."""

    status: int
    content_type: str
    body: bytes


class PlainService(ABC):
    """A plain service on one host."""

    @abstractmethod
    async def report(self) -> ServiceReport:
        """Return the service's newest report.

        :raises UpstreamError: if the service does not answer
        """

    @abstractmethod
    async def call(self, call: PlainCall) -> PlainAnswer:
        """Run a call.

        :raises UpstreamError: with ``ran`` NO only if nothing was sent
        """

    @abstractmethod
    async def close(self) -> None:
        """Close every connection to the service."""
