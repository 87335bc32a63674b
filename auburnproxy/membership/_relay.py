"""Relays journal entries and checkpoints between peers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from ..errors import PeerError
from ..journal import Entry
from ._wire import CheckpointPart, Entries, Fetch, Message, encode
from .link import MAX_FRAME_BYTES, Link

if TYPE_CHECKING:
    from .membership import Membership

TICK_S = 0.25
ANSWER_TIMEOUT_S = 3.0
MAX_ENTRIES_PER_ANSWER = 128
PART_BYTES = MAX_FRAME_BYTES // 2
MAX_CHECKPOINT_BYTES = 32 * 1024 * 1024

log = logger.bind(part="relay")


class Relay:
    """Fetches from one peer at a time while the log is unreachable, and serves others.

    :param membership: the daemon's membership
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._answered = asyncio.Event()
        self._unresponsive: set[str] = set()
        self._parts: list[bytes] = []

    async def run(self) -> None:
        """Fetch while the log is unreachable and a peer is ahead, until cancelled."""
        while True:
            source = self._source()
            if source is None:
                await asyncio.sleep(TICK_S)
                continue
            self._answered.clear()
            source.send(encode(Fetch(self._membership.journal.offset)))
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    await self._answered.wait()
                self._unresponsive.clear()
            except TimeoutError:
                self._unresponsive.add(source.peer.id)
                log.debug(
                    "{} did not answer a fetch of journal entries.", source.peer.id
                )

    def handle(self, link: Link, message: Message) -> None:
        """Answer a request or apply an answer.

        :param link: the link that it came from
        :param message: a message other than a heartbeat or reports
        :raises PeerError: if it belongs to the handshake
        """
        journal = self._membership.journal
        match message:
            case Fetch(after):
                self._answer(link, after)
            case Entries(entries):
                journal.apply_entries(entries)
                self._answered.set()
            case CheckpointPart():
                self._collect_part(message)
            case _:
                raise PeerError("handshake message on an authenticated link")

    def _source(self) -> Link | None:
        """Return the link of the peer that is furthest ahead, or None."""
        membership = self._membership
        journal = membership.journal
        if journal.up and journal.ready:
            return None
        heartbeats = membership.heartbeats_by_id
        ahead = {
            m
            for m, heartbeat in heartbeats.items()
            if heartbeat.offset > journal.offset
        }
        if not ahead:
            return None
        if ahead <= self._unresponsive:
            self._unresponsive.clear()
        ahead -= self._unresponsive
        most_advanced = max(
            ahead, key=lambda member_id: (heartbeats[member_id].offset, member_id)
        )
        return membership.links_by_id.get(most_advanced)

    def _answer(self, link: Link, after: int) -> None:
        journal = self._membership.journal
        if journal.diverged:
            return
        entries = list(journal.entries_after(after, MAX_ENTRIES_PER_ANSWER))
        if entries and entries[0].offset == after + 1:
            link.send(encode(Entries(_fit_frame(entries))))
        elif journal.offset > after and journal.ready:
            self._send_checkpoint(link, journal.checkpoint())

    def _send_checkpoint(self, link: Link, data: bytes) -> None:
        parts = [
            data[start : start + PART_BYTES]
            for start in range(0, len(data), PART_BYTES)
        ]
        for index, part in enumerate(parts):
            link.send(encode(CheckpointPart(index, len(parts), part)))

    def _collect_part(self, part: CheckpointPart) -> None:
        if part.part == 0:
            self._parts = []
        if part.part != len(self._parts):
            return
        self._parts.append(part.data)
        if sum(map(len, self._parts)) > MAX_CHECKPOINT_BYTES:
            self._parts = []
            raise PeerError("the checkpoint exceeds the size limit")
        if len(self._parts) == part.parts:
            self._membership.journal.install_checkpoint(b"".join(self._parts))
            self._parts = []
            self._answered.set()


def _fit_frame(entries: list[Entry]) -> list[Entry]:
    """Return the leading entries that fit into one frame, at least one."""
    size = 0
    fitting: list[Entry] = []
    for entry in entries:
        size += len(msgspec.msgpack.encode(entry))
        if fitting and size > PART_BYTES:
            break
        fitting.append(entry)
    return fitting
