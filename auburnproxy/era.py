"""Which history of the store is current: it may come back from an older copy."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

ERA_DIGITS = 15
"""Longest number of an era that is read; more would not fit a JSON number."""


class Era:
    """The newest era of a store that this daemon knows of.

    A store that comes back from an older copy has lost its newest records and gives
    their offsets out again, so an offset means something only within an era. The
    store counts its eras and tells the current one with each answer.
    """

    def __init__(self) -> None:
        self.number = 0
        """0 until one is known, and for a store that tells none."""
        self.changes = 0
        """How often the store has come back older while this daemon watched."""
        self.on_change: list[Callable[[], None]] = []
        """Called when the store has come back older."""
        self.note: Callable[..., None] = _nothing
        """Takes the kind and the inputs of a line for the log."""
        self._odd = ""

    def read(self, text: str | None) -> None:
        """Take what an answer of the store says.

        A text that is missing or makes no sense changes nothing.

        :param text: the number as it was written, None if there was none
        """
        if text is None:
            self._note_odd("missing" if self.number else "")
        elif not (text.isascii() and text.isdigit() and len(text) <= ERA_DIGITS):
            self._note_odd(f"unreadable: {text[:ERA_DIGITS]!r}")
        elif int(text) < self.number:
            self._note_odd(f"lower: {int(text)}")
        else:
            self._note_odd("")
            self.learn(int(text), told_by="store")

    def learn(self, number: int, *, told_by: str) -> None:
        """Take an era that the store or another daemon has told.

        :param number: the era; one that is not higher than the known one is ignored
        :param told_by: where it comes from, for the log
        """
        before = self.number
        if number <= before:
            return
        self.number = number
        self.note("store_era", era=number, before=before, told_by=told_by)
        if before:
            self.changes += 1
            for call in self.on_change:
                call()

    def _note_odd(self, odd: str) -> None:
        """Log an answer without a usable era, once until that changes."""
        if odd and odd != self._odd:
            self.note("store_era_ignored", era=self.number, reason=odd)
        self._odd = odd


def _nothing(kind: str, **inputs: Any) -> None:
    """Log nothing until somebody takes the lines."""
