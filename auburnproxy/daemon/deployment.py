"""What a deployment provides to a daemon that routes by host name and path."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import NamedTuple

from ..formation import EngineCommands
from ..gateway.header_codec import HeaderCodec
from ..gateway.host import Host
from ..gateway.retry_budget import RetryAllowance
from ..gateway.route import Configuration
from ..store import Change, Store


class RoutedSettings(NamedTuple):
    """Settings of one routed daemon."""

    name: str
    failure_domain: str
    callers: str
    """Address for callers, IP number and port."""
    readiness: str
    """Address that a balancer asks whether to send callers here."""
    beats: str
    """Address for the datagrams of other daemons."""
    internal: str
    """Address that other daemons read records from."""
    metrics: str
    store: str
    first_start: bool
    """Whether the whole system starts for the first time."""
    allowance: RetryAllowance
    grace_s: float
    """Time from the signal to stop until the process is killed."""
    cores: float
    """Processor time that the host gives, in cores."""
    drain_s: float
    """Time after which an upstream that leaves gets no request."""
    apply_s: float
    """Time after which a configuration is in force."""
    answer_bytes: int
    """Longest body of an upstream's answer that is taken into memory."""


class DomainMark(NamedTuple):
    """An operator's mark on a failure domain."""

    failure_domain: str
    out: bool


class Deployment(ABC):
    """Translates between an outside platform and the product."""

    operator_topic: str
    """Topic of the operators' records."""
    upstream_topic: str
    """Topic of the upstreams' registrations."""

    @abstractmethod
    def settings(self) -> RoutedSettings:
        """Return the settings as they are now.

        :raises DocumentError: with every finding
        """

    @abstractmethod
    def store(self, settings: RoutedSettings) -> Store:
        """Return the platform's log service."""

    @abstractmethod
    def header_codec(self) -> HeaderCodec:
        """Return the codec of the deployment's headers."""

    @abstractmethod
    def engine_commands(self) -> EngineCommands:
        """Return the engines' order dialect."""

    @abstractmethod
    def read_operator(self, change: Change) -> Configuration | DomainMark | None:
        """Return what an operator's record says, None if it is not for daemons.

        :raises PlatformError: if it cannot be read
        """

    @abstractmethod
    def essence(self, registration: bytes) -> bytes:
        """Return a registration without what changes each time that it is written."""

    @abstractmethod
    def read_upstream(self, change: Change, *, now: float) -> Host:
        """Return a host as it registered.

        :param now: the loop's time in seconds
        :raises PlatformError: if the record names no host to use
        """
