"""Log of the values of other writers that could not be used."""

from __future__ import annotations

from .decoding import shorten
from .errors import AuburnError
from .telemetry.decisions import DecisionLog

MAX_SOURCES = 1024
"""Sources whose last reason is remembered; of more, the oldest are forgotten."""


class UnreadableValues:
    """Logs a value that cannot be used once, until its reason changes or it is usable.

    :param kind: kind of the log lines
    :param source_field: name of the field that says where a value came from
    :param decisions: the log
    """

    def __init__(self, kind: str, source_field: str, decisions: DecisionLog) -> None:
        self._kind = kind
        self._source_field = source_field
        self._decisions = decisions
        self._reason_by_source: dict[str, str] = {}

    def report(self, source: str, error: Exception) -> None:
        """Log a value of a source, unless it was logged with the same reason.

        :param source: where the value came from, such as the key of a record
        :param error: why it cannot be used
        """
        reason = shorten(error if isinstance(error, AuburnError) else repr(error))
        known = self._reason_by_source.pop(source, None)
        self._reason_by_source[source] = reason
        if len(self._reason_by_source) > MAX_SOURCES:
            del self._reason_by_source[next(iter(self._reason_by_source))]
        if reason != known:
            fields = {self._source_field: shorten(source), "reason": reason}
            self._decisions.belief(self._kind, **fields)

    def clear(self, source: str) -> None:
        """Forget a source, whose value can be used again.

        :param source: where the value came from
        """
        self._reason_by_source.pop(source, None)
