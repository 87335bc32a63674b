"""Tracking of the store's era, which identifies the history of its log."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

MAX_ERA_DIGITS = 15
"""Maximum digits of an accepted era; a longer number would not fit a JSON number."""


class EraTracker:
    """Newest era of the store that this daemon knows.

    A store that is restored from an older copy has lost its newest records and
    assigns their offsets again, so an offset is valid only within one era. The store
    increments its era with each restore and sends it in every response.
    """

    def __init__(self) -> None:
        self.number = 0
        """0 until an era is known, and for a store that sends none."""
        self.change_count = 0
        """Number of restores of the store that this daemon has observed."""
        self.on_change: list[Callable[[], None]] = []
        """Called when the store has been restored from an older copy."""
        self.log: Callable[..., None] = _discard
        """Writes a log line of a kind with its keys and values."""
        self._unusable_reason = ""

    def observe_header(self, text: str | None) -> None:
        """Process the era in a response of the store.

        A missing or invalid era is ignored and logged.

        :param text: value of the header, None if it was missing
        """
        if text is None:
            self._log_unusable("missing" if self.number else "")
        elif not (text.isascii() and text.isdigit() and len(text) <= MAX_ERA_DIGITS):
            self._log_unusable(f"unreadable: {text[:MAX_ERA_DIGITS]!r}")
        elif int(text) < self.number:
            self._log_unusable(f"lower: {int(text)}")
        else:
            self._log_unusable("")
            self.advance(int(text), source="store")

    def advance(self, number: int, *, source: str) -> None:
        """Advance to an era that the store or another daemon reports.

        :param number: the era; ignored unless it is higher than the known one
        :param source: source of the era, for the log
        """
        before = self.number
        if number <= before:
            return
        self.number = number
        self.log("store_era", era=number, before=before, told_by=source)
        if before:
            self.change_count += 1
            for callback in self.on_change:
                callback()

    def _log_unusable(self, reason: str) -> None:
        """Log a response without a usable era, once until the reason changes."""
        if reason and reason != self._unusable_reason:
            self.log("store_era_ignored", era=self.number, reason=reason)
        self._unusable_reason = reason


def _discard(kind: str, **inputs: Any) -> None:
    """Discard a log line."""
