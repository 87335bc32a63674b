"""Prompt parts on which an answer has recently begun at this daemon."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from ..clock import loop_time

MAX_PARTS = 4096
"""Parts that are remembered; of more, those answered the longest time ago are
forgotten."""


class AnsweredParts:
    """The latest time of an answer by prompt part."""

    def __init__(self) -> None:
        self._answered_at: OrderedDict[str, float] = OrderedDict()

    def record(self, parts: Iterable[str]) -> None:
        """Record that an answer has begun.

        :param parts: the parts of its prompt
        """
        now = loop_time()
        for part in parts:
            self._answered_at[part] = now
            self._answered_at.move_to_end(part)
        while len(self._answered_at) > MAX_PARTS:
            self._answered_at.popitem(last=False)

    def answered_since(self, part: str, since: float) -> bool:
        """Return whether an answer on a part has begun.

        :param since: the loop's time in seconds from which answers count
        """
        answered_at = self._answered_at.get(part)
        return answered_at is not None and answered_at >= since
