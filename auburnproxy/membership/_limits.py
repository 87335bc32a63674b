"""Interface that membership requires from the quotas."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from .epoch import Epoch


class SharedLimits(Protocol):
    """Limits whose slots the daemons divide among themselves."""

    def fits(self, epoch: Epoch) -> bool:
        """Return whether the calls in flight fit the shares of an epoch."""

    @property
    def free_by_key(self) -> Mapping[str, int]:
        """Return the free slots by the limit's key."""
