"""Where one attempt of a call runs."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator

from ..errors import Ran, UpstreamError
from ..replicas import Replica
from ..routing import Router
from ..routing._protocols import Readiness, Watcher
from ..upstreams.engine import Chunk, ModelCall
from ..upstreams.observation import Observation
from ..upstreams.service import PlainAnswer, PlainCall


class ModelPlacement(ABC):
    """A slot for a model call, here or at a peer."""

    host: str
    """Head or peer; a retry avoids it."""
    refusal_is_free: bool = False
    """Whether a new try after a refusal spends nothing of the retry budget."""

    @abstractmethod
    def generate(self, call: ModelCall) -> AsyncIterator[Chunk]:
        """Run the call and yield its chunks, unchecked.

        :raises UpstreamError: with ``ran`` NO if the call was refused
        """

    async def lost(self) -> None:
        """Wait until the call can't be completed there."""
        await asyncio.get_running_loop().create_future()

    @property
    def ended(self) -> bool:
        """Return whether the process that got the call is known to have ended."""
        return False

    def observe(self, observation: Observation) -> None:  # noqa: B027
        """Learn from how the attempt ended."""

    def release(self) -> None:  # noqa: B027
        """Give the slot back; a second call does nothing."""


class LocalReplica(ModelPlacement):
    """A replica of this failure domain.

    :param replica: the replica, whose head's slot is taken
    """

    def __init__(
        self, replica: Replica, router: Router, watcher: Watcher, readiness: Readiness
    ) -> None:
        self.host = replica.head
        self._replica = replica
        self._router = router
        self._watcher = watcher
        self._readiness = readiness
        self._incarnation = ""
        self._held = True

    def generate(self, call: ModelCall) -> AsyncIterator[Chunk]:
        """Run the call at the replica's head, if the replica still serves.

        :raises UpstreamError: with ``ran`` NO if it does not
        """
        report = self._watcher.report(self.host)
        engine = self._watcher.engines_by_host.get(self.host)
        serving = self._readiness.serving(self._replica.model)
        if engine is None or report is None or self._replica not in serving:
            raise UpstreamError(f"{self._replica.name} does not serve", ran=Ran.NO)
        self._incarnation = report.incarnation
        meant = call._replace(
            incarnation=report.incarnation, generation=self._replica.generation
        )
        return engine.generate(meant)

    async def lost(self) -> None:
        """Wait until the replica is not whole any more."""
        await self._readiness.lost(self._replica)

    @property
    def ended(self) -> bool:
        """Return whether another process reports in place of the one that was sent to.

        A replica may be taken for lost while its head runs on.
        """
        report = self._watcher.report(self.host)
        return report is not None and report.incarnation != self._incarnation

    def observe(self, observation: Observation) -> None:
        """Tell the watcher how the attempt ended."""
        seen = observation._replace(incarnation=self._incarnation)
        self._watcher.observe(self.host, seen)

    def release(self) -> None:
        """Give the slot back; a second call does nothing."""
        if self._held:
            self._held = False
            self._router.release(self.host)


class LocalService:
    """A host of a plain service of this failure domain.

    :param host: the host, whose slot is taken
    """

    def __init__(self, host: str, router: Router, watcher: Watcher) -> None:
        self.host = host
        self._router = router
        self._watcher = watcher
        self._held = True

    async def call(self, call: PlainCall) -> PlainAnswer:
        """Run the call, if the host may still get new work.

        :raises UpstreamError: with ``ran`` NO if it may not
        """
        service = self._watcher.services_by_host.get(self.host)
        if service is None or not self._watcher.usable(self.host):
            raise UpstreamError(f"{self.host} is not usable", ran=Ran.NO)
        return await service.call(call)

    def observe(self, observation: Observation) -> None:
        """Tell the watcher how the attempt ended."""
        self._watcher.observe(self.host, observation)

    def release(self) -> None:
        """Give the slot back; a second call does nothing."""
        if self._held:
            self._held = False
            self._router.release(self.host)
