"""Interface between a gateway daemon and the platform that it is deployed on."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import NamedTuple

from ..formation import EngineCommands
from ..gateway.header_codec import HeaderCodec
from ..gateway.host import Host
from ..gateway.retry_budget import RetryAllowance
from ..gateway.route import Configuration
from ..store import Change, Store


class GatewaySettings(NamedTuple):
    """Settings of one gateway daemon."""

    name: str
    failure_domain: str
    callers: str
    """Address for callers, IP number and port."""
    readiness: str
    """Address of the load balancer's readiness check."""
    beats: str
    """Address for heartbeat datagrams of other daemons."""
    internal: str
    """Address that other daemons fetch records from."""
    metrics: str
    """Address of the metrics listener."""
    store: str
    """Address of the platform's log service."""
    first_start: bool
    """Whether the whole system starts for the first time."""
    allowance: RetryAllowance
    grace_s: float
    """Time from the stop signal until the platform kills the process."""
    cores: float
    """CPU time that the host provides, in cores."""
    drain_s: float
    """Time within which requests to a leaving upstream must stop."""
    apply_s: float
    """Time within which a new configuration must be in force."""
    answer_bytes: int
    """Maximum size of an upstream's response body that is held in memory."""
    body_bytes: int = 50_000_000
    """Maximum size of the bodies of all requests in flight together."""
    load_aware: bool = False
    """Whether upstreams are a large pool that daemons share: placement then follows
    demand, and upstreams are selected by predicted times and shared outcomes."""
    connections: int = 2048
    """Maximum number of open connections of callers."""
    unread_bytes: int = 25_000_000
    """Maximum size of all answers together that are held whole, or that callers have
    not taken."""
    ignored: tuple[str, ...] = ()
    """Findings on settings in place of which defaults are used."""


class DomainMark(NamedTuple):
    """An operator's mark that a failure domain is out of service, or back in it."""

    failure_domain: str
    out: bool


class Deployment(ABC):
    """Adapts an external platform to the gateway daemon."""

    operator_topic: str
    """Topic of the operators' records."""
    upstream_topic: str
    """Topic of the upstreams' registrations."""

    @abstractmethod
    def settings(self) -> GatewaySettings:
        """Return the current settings.

        :raises DocumentError: with every finding
        """

    @abstractmethod
    def store(self, settings: GatewaySettings) -> Store:
        """Return the platform's log service."""

    @abstractmethod
    def header_codec(self) -> HeaderCodec:
        """Return the codec of the deployment's headers."""

    @abstractmethod
    def engine_commands(self) -> EngineCommands:
        """Return the client for the platform's engine commands."""

    @abstractmethod
    def read_operator_record(self, change: Change) -> Configuration | DomainMark | None:
        """Parse an operators' record; None if it is not for daemons.

        :raises PlatformError: if the record is malformed
        """

    @abstractmethod
    def significant_part(self, registration: bytes) -> bytes:
        """Return a registration without the fields that change with each write."""

    @abstractmethod
    def read_upstream_record(self, change: Change, *, now: float) -> Host:
        """Parse the registration of a host.

        :param now: the loop's time in seconds
        :raises PlatformError: if the record describes no usable host
        """
