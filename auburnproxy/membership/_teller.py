"""Chooses what the next beat says, and when it cannot wait."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from ._limits import SharedLimits
from ._wire import encode
from .beat import Beat, Summary, choose_slots
from .member import Member

if TYPE_CHECKING:
    from .membership import Membership

MAX_FREE_TOLD = 24
MAX_BUSY_TOLD = 128
MAX_SUMMARIES_TOLD = 6
COUNTING_S = 5.0
"""How long peers are asked for the slots that they use, after each need of them."""


class Teller:
    """Makes the frames of one daemon's beats.

    :param membership: the daemon's membership
    :param version: returns the configuration version in force here
    """

    def __init__(self, membership: Membership, version: Callable[[], int]) -> None:
        self.limits: SharedLimits | None = None
        self.busy: Callable[[], Mapping[str, int]] = dict
        self._membership = membership
        self._version = version
        self._first_hand: set[str] = set()
        self._told_by_domain: dict[str, Summary] = {}
        self._told: tuple[object, ...] = ()
        self._frame = b""
        self._turn = 0
        self._counting_until = 0.0

    @property
    def frame(self) -> bytes:
        """Return the last frame, for a peer that has just been linked."""
        return self._frame or self.next_frame()

    @property
    def has_news(self) -> bool:
        """Return whether peers should hear something before the next beat is due."""
        return self._news() != self._told

    def heard_from(self, peer: Member) -> None:
        """Note that another failure domain is heard here, so that others are told.

        :param peer: the sender of a beat
        """
        self._first_hand.add(peer.failure_domain)

    def count(self) -> None:
        """Ask peers for the slots that they use, for some seconds."""
        self._counting_until = asyncio.get_running_loop().time() + COUNTING_S

    def next_frame(self) -> bytes:
        """Return a new beat as a frame."""
        view, journal = self._membership.view, self._membership.journal
        me = self._membership.me.id
        self._told = self._news()
        free = self.limits.free_by_key if self.limits else {}
        busy = self.busy() if self._is_asked else {}
        beat = Beat(
            epoch=view.epoch,
            acked=view.acked,
            settled=view.settled,
            offset=journal.offset,
            version=self._version(),
            needs_relay=not journal.up,
            gone=view.gone_to_tell(),
            free=choose_slots(free, me, most=MAX_FREE_TOLD),
            summaries=self._choose_summaries(),
            busy=choose_slots(busy, me, most=MAX_BUSY_TOLD),
            counting=self._counting,
        )
        self._frame = encode(beat)
        return self._frame

    def _news(self) -> tuple[object, ...]:
        membership, view = self._membership, self._membership.view
        beats = membership.beats_by_member.values()
        relayed = any(beat.needs_relay for beat in beats)
        offset = membership.journal.offset if relayed else 0
        first_hand = tuple(s for s in view.summaries() if self._is_first_hand(s))
        counts = (self._counting, self._is_asked)
        facts = (view.epoch, view.acked, view.settled, view.gone, self._version())
        return (*facts, offset, first_hand, counts)

    def _choose_summaries(self) -> tuple[Summary, ...]:
        """Return those that changed first-hand, and others in turn."""
        summaries = self._membership.view.summaries()
        told = self._told_by_domain
        changed = [
            summary
            for summary in summaries
            if self._is_first_hand(summary)
            and told.get(summary.failure_domain) != summary
        ]
        start = self._turn % max(len(summaries), 1)
        others = [s for s in summaries[start:] + summaries[:start] if s not in changed]
        chosen = (changed + others)[:MAX_SUMMARIES_TOLD]
        self._turn = start + max(MAX_SUMMARIES_TOLD - len(changed), 0)
        self._told_by_domain |= {s.failure_domain: s for s in chosen}
        return tuple(chosen)

    def _is_first_hand(self, summary: Summary) -> bool:
        return summary.failure_domain in self._first_hand

    @property
    def _counting(self) -> bool:
        return asyncio.get_running_loop().time() < self._counting_until

    @property
    def _is_asked(self) -> bool:
        beats = self._membership.beats_by_member.values()
        return any(beat.counting for beat in beats)
