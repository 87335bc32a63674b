"""Orders to the engines of replicas, whatever their wire dialect."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import StrEnum

from ..gateway.host import Host
from .record import Formed, Member


class Answer(StrEnum):
    """How an engine took an order."""

    DONE = "done"
    """The state that was ordered holds."""
    BEGUN = "begun"
    REFUSED = "refused"
    """The order does not fit the engine's state; nothing was done."""
    OTHER_LIFE = "other_life"
    """The process that was meant is gone: another one answered at its address."""
    SILENT = "silent"
    """No answer; the order may be carried out, at once or later."""


class Orders(ABC):
    """Sends orders; each is sent once and its answer is no proof of its effect."""

    @abstractmethod
    async def join(self, member: Member, formed: Formed) -> Answer:
        """Order a member to take its part in a replica."""

    @abstractmethod
    async def open(self, formed: Formed) -> Answer:
        """Order the head of a replica to serve."""

    @abstractmethod
    async def close(self, formed: Formed) -> Answer:
        """Order the head to finish its requests and to take no further ones."""

    @abstractmethod
    async def leave(self, member: Member, formed: Formed) -> Answer:
        """Order a member to give its part up, at once."""

    @abstractmethod
    async def stage(self, member: Member, model: str) -> Answer:
        """Order a host to load a model's weights."""

    @abstractmethod
    async def report(self, host: Host) -> Host:
        """Return a host as it reports itself now.

        :param host: the host as it was last known
        :raises UpstreamError: if it does not answer
        :raises PlatformError: if its report cannot be read
        """
