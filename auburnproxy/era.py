"""Tracking of the store's era, which identifies the history of its log."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

ERA_DIGITS = 15
"""Most digits of an era that are accepted; a longer one would not fit a JSON number."""


class Era:
    """Newest era of the store that this daemon knows.

    A store that is restored from an older copy has lost its newest records and
    assigns their offsets again, so an offset is valid only within one era. The store
    increments its era with each restore and sends it in every response.
    """

    def __init__(self) -> None:
        self.number = 0
        """0 until an era is known, and for a store that sends none."""
        self.changes = 0
        """Number of restores of the store that this daemon has observed."""
        self.on_change: list[Callable[[], None]] = []
        """Called when the store has been restored from an older copy."""
        self.note: Callable[..., None] = _discard
        """Writes a log line of a kind with its keys and values."""
        self._unusable_reason = ""

    def read(self, text: str | None) -> None:
        """Process the era in a response of the store.

        A missing or invalid era is ignored and logged.

        :param text: value of the header, None if it was missing
        """
        if text is None:
            self._log_unusable("missing" if self.number else "")
        elif not (text.isascii() and text.isdigit() and len(text) <= ERA_DIGITS):
            self._log_unusable(f"unreadable: {text[:ERA_DIGITS]!r}")
        elif int(text) < self.number:
            self._log_unusable(f"lower: {int(text)}")
        else:
            self._log_unusable("")
            self.learn(int(text), told_by="store")

    def learn(self, number: int, *, told_by: str) -> None:
        """Advance to an era that the store or another daemon reports.

        :param number: the era; ignored unless it is higher than the known one
        :param told_by: source of the era, for the log
        """
        before = self.number
        if number <= before:
            return
        self.number = number
        self.note("store_era", era=number, before=before, told_by=told_by)
        if before:
            self.changes += 1
            for callback in self.on_change:
                callback()

    def _log_unusable(self, reason: str) -> None:
        """Log a response without a usable era, once until the reason changes."""
        if reason and reason != self._unusable_reason:
            self.note("store_era_ignored", era=self.number, reason=reason)
        self._unusable_reason = reason


def _discard(kind: str, **inputs: Any) -> None:
    """Discard a log line."""
