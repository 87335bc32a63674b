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
    """Number of loads that a load by one host counts as in the store's rate limit."""


class WeightStore(ABC):
    """The catalogue of models and the rate limit of loading them."""

    @abstractmethod
    async def models(self) -> tuple[ModelSpec, ...]:
        """Return the models that the store offers.

        :raises PlatformError: if the service does not respond
        """

    @abstractmethod
    async def loads_per_minute(self) -> int:
        """Return the number of host loads that the store serves per minute.

        :raises PlatformError: if the service does not respond
        """
