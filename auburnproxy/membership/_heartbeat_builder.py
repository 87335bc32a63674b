"""Builds heartbeats, and determines when one is to be sent early."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from ._limits import SharedLimits
from ._wire import encode
from .heartbeat import Heartbeat, Summary, select_slots
from .member import Member

if TYPE_CHECKING:
    from .membership import Membership

MAX_FREE_KEYS = 24
MAX_BUSY_KEYS = 128
MAX_SUMMARIES = 6
BUSY_REQUEST_S = 5.0
"""Time for which one request asks peers for the slots that they use."""


class HeartbeatBuilder:
    """Builds the frames of this daemon's heartbeats.

    :param membership: the daemon's membership
    :param version: returns the configuration version in force at this daemon
    """

    def __init__(self, membership: Membership, version: Callable[[], int]) -> None:
        self.limits: SharedLimits | None = None
        self.busy: Callable[[], Mapping[str, int]] = dict
        self._membership = membership
        self._version = version
        self._linked_domains: set[str] = set()
        self._sent_summary_by_domain: dict[str, Summary] = {}
        self._sent_state: tuple[object, ...] = ()
        self._frame = b""
        self._rotation = 0
        self._busy_requested_until = 0.0

    @property
    def frame(self) -> bytes:
        """Return the last frame, for a peer that has just linked."""
        return self._frame or self.next_frame()

    @property
    def has_urgent_change(self) -> bool:
        """Return whether a heartbeat should be sent before the next one is due."""
        return self._urgent_state() != self._sent_state

    def add_linked_domain(self, peer: Member) -> None:
        """Record that a failure domain is linked here, to forward its summary to peers.

        :param peer: the sender of a heartbeat
        """
        self._linked_domains.add(peer.failure_domain)

    def request_busy_slots(self) -> None:
        """Ask peers for the slots that they use, for some seconds."""
        self._busy_requested_until = asyncio.get_running_loop().time() + BUSY_REQUEST_S

    def next_frame(self) -> bytes:
        """Return a new heartbeat as a frame."""
        view, journal = self._membership.view, self._membership.journal
        me = self._membership.me.id
        self._sent_state = self._urgent_state()
        free = self.limits.free_by_key if self.limits else {}
        busy = self.busy() if self._busy_is_requested else {}
        heartbeat = Heartbeat(
            epoch=view.epoch,
            acked=view.acked,
            settled=view.settled,
            offset=journal.offset,
            version=self._version(),
            needs_relay=not journal.up,
            gone=view.unrecorded_gone(),
            free=select_slots(free, me, max_keys=MAX_FREE_KEYS),
            summaries=self._choose_summaries(),
            busy=select_slots(busy, me, max_keys=MAX_BUSY_KEYS),
            counting=self._requests_busy,
        )
        self._frame = encode(heartbeat)
        return self._frame

    def _urgent_state(self) -> tuple[object, ...]:
        membership, view = self._membership, self._membership.view
        heartbeats = membership.heartbeats_by_id.values()
        relays = any(heartbeat.needs_relay for heartbeat in heartbeats)
        offset = membership.journal.offset if relays else 0
        linked_summaries = tuple(
            s for s in view.summaries() if self._is_of_linked_domain(s)
        )
        requests = (self._requests_busy, self._busy_is_requested)
        state = (view.epoch, view.acked, view.settled, view.gone, self._version())
        return (*state, offset, linked_summaries, requests)

    def _choose_summaries(self) -> tuple[Summary, ...]:
        """Return changed summaries of linked domains, then the others in rotation."""
        summaries = self._membership.view.summaries()
        sent = self._sent_summary_by_domain
        changed = [
            summary
            for summary in summaries
            if self._is_of_linked_domain(summary)
            and sent.get(summary.failure_domain) != summary
        ]
        start = self._rotation % max(len(summaries), 1)
        others = [s for s in summaries[start:] + summaries[:start] if s not in changed]
        chosen = (changed + others)[:MAX_SUMMARIES]
        self._rotation = start + max(MAX_SUMMARIES - len(changed), 0)
        self._sent_summary_by_domain |= {s.failure_domain: s for s in chosen}
        return tuple(chosen)

    def _is_of_linked_domain(self, summary: Summary) -> bool:
        return summary.failure_domain in self._linked_domains

    @property
    def _requests_busy(self) -> bool:
        return asyncio.get_running_loop().time() < self._busy_requested_until

    @property
    def _busy_is_requested(self) -> bool:
        heartbeats = self._membership.heartbeats_by_id.values()
        return any(heartbeat.counting for heartbeat in heartbeats)
