"""Reducer that keeps a list of values and rejects one value."""

from __future__ import annotations

from auburnproxy.journal import Entry, Reducer

REJECTED_VALUE = 13


class Notes(Reducer):
    """Every accepted value with its offset."""

    name = "notes"

    def __init__(self) -> None:
        self.values: list[tuple[int, int]] = []

    def check(self, entry: Entry) -> str:
        return "unlucky" if entry.record.body["value"] == REJECTED_VALUE else ""

    def apply(self, entry: Entry) -> None:
        self.values.append((entry.offset, entry.record.body["value"]))

    def snapshot(self):
        return self.values

    def restore(self, snapshot) -> None:
        self.values = [tuple(pair) for pair in snapshot]
