"""A replica as the journal records it."""

from __future__ import annotations

from typing import NamedTuple


class Replica(NamedTuple):
    """One copy of a model over several hosts of one fabric domain."""

    name: str
    generation: int
    """Offset of the record that formed it or last repaired it."""
    model: str
    failure_domain: str
    fabric_domain: str
    hosts: tuple[str, ...]
    """Host names by rank; rank 0 is the head."""

    @property
    def head(self) -> str:
        """Return the name of the host that takes calls."""
        return self.hosts[0]
