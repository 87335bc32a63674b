"""Server-sent events of an answer, passed on whole and in order."""

from __future__ import annotations

import re
from typing import NamedTuple

SEPARATOR = re.compile(rb"\r?\n\r?\n")
SEPARATOR_BYTES = 4
LONGEST_EVENT_BYTES = 1_048_576
_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")


class Event(NamedTuple):
    """One whole event."""

    data: bytes
    """Its bytes as they arrived, the separator included."""
    id: str
    """Empty if it has none."""


class EventReader:
    """Splits the bytes of a stream into whole events."""

    def __init__(self) -> None:
        self._rest = bytearray()

    @property
    def rest(self) -> bytes:
        """Return the bytes of an event that is not whole yet."""
        return bytes(self._rest)

    def feed(self, block: bytes) -> list[Event]:
        """Return the events that a block completes.

        :param block: bytes as they arrived
        :raises ValueError: for an event that is too long
        """
        data, start = self._rest, 0
        search_from = max(len(data) - SEPARATOR_BYTES + 1, 0)
        data += block
        events = []
        for match in SEPARATOR.finditer(data, search_from):
            event = bytes(data[start : match.end()])
            start = match.end()
            events.append(Event(event, _event_id(event)))
        self._rest = data[start:]
        if len(self._rest) > LONGEST_EVENT_BYTES:
            raise ValueError("event is too long")
        return events


def follows(event_id: str, last_id: str) -> bool:
    """Return whether an event may come after another in one stream.

    :param event_id: id of the event
    :param last_id: id of the event before it, empty for the first
    """
    if not event_id or not last_id:
        return True
    if event_id.isdigit() and last_id.isdigit():
        return int(event_id) > int(last_id)
    return event_id != last_id


def _event_id(event: bytes) -> str:
    match = _ID.search(event)
    return match.group(1).decode(errors="replace") if match else ""
