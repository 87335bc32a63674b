"""Orders to the engines of replicas, whatever their wire dialect."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import TypeVar

from ..errors import UpstreamError
from ..gateway.host import Host, Life
from ..gateway.rests import Rests
from .record import Formed, Member

Subject = TypeVar("Subject")


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


class RestError(UpstreamError):
    """Nothing was sent, since the upstream wants to be left alone for a while."""

    code = "upstream_rests"


class Orders(ABC):
    """Sends orders; each is sent once and its answer is no proof of its effect."""

    on_leaving: Callable[[Life], None] = staticmethod(lambda life: None)
    """Called with a process whose answer says that it leaves."""

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

    async def close_connections(self) -> None:
        """Close what is open to the engines."""
        return


class RestingOrders(Orders):
    """Sends nothing to an upstream that wants to be left alone.

    :param orders: sends to the others
    :param rests: the upstreams that want nothing for a while
    """

    def __init__(self, orders: Orders, rests: Rests) -> None:
        self._orders = orders
        self._rests = rests

    async def join(self, member: Member, formed: Formed) -> Answer:
        """Order a member to take its part in a replica."""
        return await self._unless_resting(member, self._orders.join, formed)

    async def open(self, formed: Formed) -> Answer:
        """Order the head of a replica to serve."""
        if self._rests.left_s(formed.head.life):
            return Answer.SILENT
        return await self._orders.open(formed)

    async def close(self, formed: Formed) -> Answer:
        """Order the head to finish its requests and to take no further ones."""
        if self._rests.left_s(formed.head.life):
            return Answer.SILENT
        return await self._orders.close(formed)

    async def leave(self, member: Member, formed: Formed) -> Answer:
        """Order a member to give its part up, at once."""
        return await self._unless_resting(member, self._orders.leave, formed)

    async def stage(self, member: Member, model: str) -> Answer:
        """Order a host to load a model's weights."""
        return await self._unless_resting(member, self._orders.stage, model)

    async def report(self, host: Host) -> Host:
        """Return a host as it reports itself now.

        :raises RestError: if it wants to be left alone
        :raises UpstreamError: if it does not answer
        :raises PlatformError: if its report cannot be read
        """
        if self._rests.left_s(host.life):
            raise RestError(f"{host.id} rests")
        return await self._orders.report(host)

    async def _unless_resting(
        self,
        member: Member,
        order: Callable[[Member, Subject], Awaitable[Answer]],
        subject: Subject,
    ) -> Answer:
        if self._rests.left_s(member.life):
            return Answer.SILENT
        return await order(member, subject)

    async def close_connections(self) -> None:
        """Close what is open to the engines."""
        await self._orders.close_connections()
