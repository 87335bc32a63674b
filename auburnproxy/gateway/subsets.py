"""Deterministic subsetting: assigns each daemon a few heads of its failure domain.

If all daemons of a large failure domain chose among all of its heads, each would know
the requests of the others only from heartbeats older than the duration of a request,
and they would send to the same heads at once. Each daemon is assigned a few heads by
rendezvous hashing, and daemons that share a head tell each other about every request at
once.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping, Sequence

from ..rendezvous import rank_names

ServiceModel = tuple[str, str]
"""Names of a service and of one of its models."""
SUBSET_SIZE = 6
"""Heads of each model that a daemon prefers while they have room."""
NO_DAEMONS: frozenset[str] = frozenset()


class Subsets:
    """Assigns the heads of one failure domain to its daemons.

    :param name: name of this daemon
    :param daemons: returns the daemons of its failure domain
    """

    def __init__(self, name: str, daemons: Callable[[], Collection[str]]) -> None:
        self._name = name
        self._daemons = daemons
        self._assigned_for: (
            tuple[Mapping[ServiceModel, Sequence[str]], frozenset[str]] | None
        ) = None
        self._own: set[str] = set()
        self._sharers_by_head: dict[str, set[str]] = {}

    def assign(self, heads_by_model: Mapping[ServiceModel, Sequence[str]]) -> None:
        """Reassign the heads if they or the daemons have changed.

        :param heads_by_model: ids of the failure domain's heads by service and model
        """
        daemons = frozenset({self._name, *self._daemons()})
        if (heads_by_model, daemons) == self._assigned_for:
            return
        self._assigned_for = heads_by_model, daemons
        self._sharers_by_head = {}
        for heads in heads_by_model.values():
            for daemon in daemons:
                for head in rank_names(daemon, heads)[:SUBSET_SIZE]:
                    self._sharers_by_head.setdefault(head, set()).add(daemon)
        shared = self._sharers_by_head.items()
        self._own = {head for head, names in shared if self._name in names}

    def contains(self, head: str) -> bool:
        """Return whether a head is assigned to this daemon."""
        return head in self._own

    def sharers(self, head: str) -> Collection[str]:
        """Return the daemons that a head is assigned to."""
        return self._sharers_by_head.get(head, NO_DAEMONS)
