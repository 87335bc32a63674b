"""Which daemons send to which heads, so that few share one and tell each other.

Answers herds at size: where all daemons of a failure domain choose among all of its
heads, each knows the others' requests only from beats that are older than a request
lasts. Each daemon is dealt a few heads by rendezvous hashing; those that share one
tell each other of each request at once. (The field calls it deterministic subsetting.)
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping, Sequence

from ..rendezvous import rank_names

HEADS = 6
"""Heads of each model that a daemon sends to while they have room."""
NOBODY: frozenset[str] = frozenset()


class Subsets:
    """Deals the heads of one failure domain to its daemons.

    :param name: name of this daemon
    :param daemons: returns the daemons of its failure domain
    """

    def __init__(self, name: str, daemons: Callable[[], Collection[str]]) -> None:
        self._name = name
        self._daemons = daemons
        self._dealt: tuple[Mapping[str, Sequence[str]], frozenset[str]] | None = None
        self._own: set[str] = set()
        self._sharers_by_head: dict[str, set[str]] = {}

    def deal(self, heads_by_model: Mapping[str, Sequence[str]]) -> None:
        """Deal the heads anew if they or the daemons have changed.

        :param heads_by_model: ids of the failure domain's heads
        """
        daemons = frozenset({self._name, *self._daemons()})
        if (heads_by_model, daemons) == self._dealt:
            return
        self._dealt = heads_by_model, daemons
        self._sharers_by_head = {}
        for heads in heads_by_model.values():
            for daemon in daemons:
                for head in rank_names(daemon, heads)[:HEADS]:
                    self._sharers_by_head.setdefault(head, set()).add(daemon)
        shared = self._sharers_by_head.items()
        self._own = {head for head, names in shared if self._name in names}

    def holds(self, head: str) -> bool:
        """Return whether a head is one of this daemon's."""
        return head in self._own

    def sharers(self, head: str) -> Collection[str]:
        """Return the daemons that a head was dealt to."""
        return self._sharers_by_head.get(head, NOBODY)
