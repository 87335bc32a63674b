"""Interface to a plain service, independent of its wire protocol."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import NamedTuple


class ServiceReport(NamedTuple):
    """State and load of a plain service, as reported by the service."""

    host: str
    incarnation: str
    leaving: bool
    in_flight: int


class PlainCall(NamedTuple):
    """A call as sent to a plain service."""

    request_id: str
    method: str
    path: str
    """Path and query, relative to the service's root."""
    body: bytes
    content_type: str
    idempotency_key: str
    """The caller's idempotency key, empty if there is none."""
    deadline_s: float
    """Seconds remaining."""


class PlainAnswer(NamedTuple):
    """A plain service's response, forwarded unchanged."""

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
        """Send a call and return its response.

        :raises UpstreamError: with ``ran`` NO only if nothing was sent
        """

    @abstractmethod
    async def close(self) -> None:
        """Close all connections to the service."""
