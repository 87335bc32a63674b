"""What membership needs of the quotas."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from .epoch import Epoch


class SharedLimits(Protocol):
    """What membership needs of the gates."""

    def fits(self, epoch: Epoch) -> bool:
        """Return whether everything in flight fits an epoch."""

    @property
    def free_by_key(self) -> Mapping[str, int]:
        """Return the free slots by key."""
