"""Endpoints that a single attempt of a call can be sent to."""

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


class ModelEndpoint(ABC):
    """Endpoint with a slot for one model call, local or at a peer."""

    host: str
    """Name under which a retry excludes this endpoint: a head host or a peer."""
    free_retry_after_refusal: bool = False
    """Whether a retry after a refusal is not charged to the retry budget."""

    @abstractmethod
    def generate(self, call: ModelCall) -> AsyncIterator[Chunk]:
        """Run the call and yield its chunks, without validation.

        :raises UpstreamError: with ``ran`` NO if the call was refused
        """

    async def wait_until_lost(self) -> None:
        """Wait until the endpoint can no longer complete the call."""
        await asyncio.get_running_loop().create_future()

    @property
    def process_ended(self) -> bool:
        """Return whether the process that received the call is known to have ended."""
        return False

    def observe(self, observation: Observation) -> None:  # noqa: B027
        """Record how the attempt ended."""

    def release(self) -> None:  # noqa: B027
        """Release the slot; repeated calls do nothing."""


class ReplicaEndpoint(ModelEndpoint):
    """A replica in this failure domain, with a slot acquired at its head.

    :param replica: the replica
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
        self._slot_held = True

    def generate(self, call: ModelCall) -> AsyncIterator[Chunk]:
        """Run the call at the replica's head, if the replica still serves.

        The call carries the incarnation and the generation that it is meant for.

        :raises UpstreamError: with ``ran`` NO if the replica does not serve
        """
        report = self._watcher.report(self.host)
        engine = self._watcher.engines_by_host.get(self.host)
        serving = self._readiness.serving(self._replica.model)
        if engine is None or report is None or self._replica not in serving:
            raise UpstreamError(f"{self._replica.name} does not serve", ran=Ran.NO)
        self._incarnation = report.incarnation
        fenced_call = call._replace(
            incarnation=report.incarnation, generation=self._replica.generation
        )
        return engine.generate(fenced_call)

    async def wait_until_lost(self) -> None:
        """Wait until the replica stops serving."""
        await self._readiness.wait_until_lost(self._replica)

    @property
    def process_ended(self) -> bool:
        """Return whether the head has restarted since the call was sent.

        A replica may be considered lost while its head is still running.
        """
        report = self._watcher.report(self.host)
        return report is not None and report.incarnation != self._incarnation

    def observe(self, observation: Observation) -> None:
        """Report to the watcher how the attempt ended."""
        attributed = observation._replace(incarnation=self._incarnation)
        self._watcher.observe(self.host, attributed)

    def release(self) -> None:
        """Release the slot; repeated calls do nothing."""
        if self._slot_held:
            self._slot_held = False
            self._router.release(self.host)


class ServiceEndpoint:
    """A host of a plain service in this failure domain, with an acquired slot.

    :param host: the host
    """

    def __init__(self, host: str, router: Router, watcher: Watcher) -> None:
        self.host = host
        self._router = router
        self._watcher = watcher
        self._slot_held = True

    async def call(self, call: PlainCall) -> PlainAnswer:
        """Send the call, if the host may still receive calls.

        :raises UpstreamError: with ``ran`` NO if it may not
        """
        service = self._watcher.services_by_host.get(self.host)
        if service is None or not self._watcher.usable(self.host):
            raise UpstreamError(f"{self.host} is not usable", ran=Ran.NO)
        return await service.call(call)

    def observe(self, observation: Observation) -> None:
        """Report to the watcher how the attempt ended."""
        self._watcher.observe(self.host, observation)

    def release(self) -> None:
        """Release the slot; repeated calls do nothing."""
        if self._slot_held:
            self._slot_held = False
            self._router.release(self.host)
