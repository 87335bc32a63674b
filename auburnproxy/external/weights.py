"""The platform's rate-limited store of model weights."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import NamedTuple


class ModelSpec(NamedTuple):
    """A model that engines can load."""

    name: str
    version: str
    hosts_per_replica: int
    load_cost: int = 1
    """Loads that one host's load counts as against the store's rate."""


class WeightStore(ABC):
    """The catalogue of models and the rate at which the store serves loads."""

    @abstractmethod
    async def models(self) -> tuple[ModelSpec, ...]:
        """Return the models on offer.

        :raises PlatformError: if the service does not answer
        """

    @abstractmethod
    async def loads_per_minute(self) -> int:
        """Return how many host loads the store serves a minute.

        :raises PlatformError: if the service does not answer
        """
