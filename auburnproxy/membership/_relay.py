"""Passes journal entries and checkpoints between peers."""

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
MAX_ENTRIES = 128
PIECE_BYTES = MAX_FRAME_BYTES // 2
MAX_CHECKPOINT_BYTES = 32 * 1024 * 1024

log = logger.bind(part="relay")


class Relay:
    """Fetches from one peer at a time while the log cannot be read, and serves others.

    :param membership: the daemon's membership
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._answered = asyncio.Event()
        self._silent: set[str] = set()
        self._pieces: list[bytes] = []

    async def run(self) -> None:
        """Fetch while the log does not answer and a peer is ahead; until cancelled."""
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
                self._silent.clear()
            except TimeoutError:
                self._silent.add(source.peer.id)
                log.debug("{} relayed nothing.", source.peer.id)

    def take(self, link: Link, message: Message) -> None:
        """Serve or use one message.

        :param link: where it came from
        :param message: anything but a beat
        :raises PeerError: if it has no place after the greeting
        """
        journal = self._membership.journal
        match message:
            case Fetch(after):
                self._answer(link, after)
            case Entries(entries):
                journal.offer(entries)
                self._answered.set()
            case CheckpointPart():
                self._collect(message)
            case _:
                raise PeerError("a greeting out of place")

    def _source(self) -> Link | None:
        """Return the link of the peer that is furthest ahead, if one is."""
        membership = self._membership
        journal = membership.journal
        if journal.up and journal.ready:
            return None
        beats = membership.beats_by_member
        ahead = {m for m, beat in beats.items() if beat.offset > journal.offset}
        if not ahead:
            return None
        if ahead <= self._silent:
            self._silent.clear()
        ahead -= self._silent
        best = max(ahead, key=lambda member_id: (beats[member_id].offset, member_id))
        return membership.links_by_id.get(best)

    def _answer(self, link: Link, after: int) -> None:
        journal = self._membership.journal
        if journal.diverged:
            return
        entries = list(journal.entries_after(after, MAX_ENTRIES))
        if entries and entries[0].offset == after + 1:
            link.send(encode(Entries(_fitting(entries))))
        elif journal.offset > after and journal.ready:
            self._send_checkpoint(link, journal.checkpoint())

    def _send_checkpoint(self, link: Link, data: bytes) -> None:
        pieces = [
            data[start : start + PIECE_BYTES]
            for start in range(0, len(data), PIECE_BYTES)
        ]
        for part, piece in enumerate(pieces):
            link.send(encode(CheckpointPart(part, len(pieces), piece)))

    def _collect(self, piece: CheckpointPart) -> None:
        if piece.part == 0:
            self._pieces = []
        if piece.part != len(self._pieces):
            return
        self._pieces.append(piece.data)
        if sum(map(len, self._pieces)) > MAX_CHECKPOINT_BYTES:
            self._pieces = []
            raise PeerError("the checkpoint is too long")
        if len(self._pieces) == piece.parts:
            self._membership.journal.adopt(b"".join(self._pieces))
            self._pieces = []
            self._answered.set()


def _fitting(entries: list[Entry]) -> list[Entry]:
    """Return the first entries that fit one frame, at least one."""
    size = 0
    fitting: list[Entry] = []
    for entry in entries:
        size += len(msgspec.msgpack.encode(entry))
        if fitting and size > PIECE_BYTES:
            break
        fitting.append(entry)
    return fitting
