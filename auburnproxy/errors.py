"""Errors that carry a code, and the refusals that callers are told."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from errno import ECONNREFUSED
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .findings import Finding


class Ran(StrEnum):
    """What is known about whether a request was run by an upstream."""

    NO = "no"
    UNKNOWN = "unknown"


class AuburnError(Exception):
    """Base of every error of this package; ``code`` is stable, the text is not."""

    code = "internal"


class DocumentError(AuburnError):
    """A document has findings; all of them are carried.

    :param findings: the findings, in the order of their places
    """

    code = "invalid"

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("; ".join(str(finding) for finding in findings))
        self.findings = findings


class PlatformError(AuburnError):
    """An outside service did not answer; a read may be tried again."""

    code = "platform"


class AppendUncertainError(PlatformError):
    """The answer to an append was lost; the append may have taken effect."""

    code = "append_uncertain"


class OutcomeUnknownError(AuburnError):
    """A record may or may not have been accepted by the time limit.

    :param record_id: id under which the record can be appended again, safely
    """

    code = "outcome_unknown"

    def __init__(self, record_id: str) -> None:
        super().__init__(f"the outcome of record {record_id} is not known yet")
        self.record_id = record_id


class UpstreamError(AuburnError):
    """A call to an upstream failed.

    :param reason: what failed, for the log
    :param ran: whether the upstream may have run the call
    """

    code = "upstream"

    def __init__(self, reason: str, *, ran: Ran = Ran.UNKNOWN) -> None:
        super().__init__(reason)
        self.ran = ran

    @property
    def nothing_listens(self) -> bool:
        """Return whether the other side refused the connection."""
        cause = self.__cause__
        return isinstance(cause, OSError) and cause.errno == ECONNREFUSED


class SilenceError(AuburnError):
    """An upstream held a call and its slot without an answer."""

    code = "silence"


class StaleFenceError(AuburnError):
    """An upstream refused an order because its fencing token is old."""

    code = "stale_fence"


class RefusalError(AuburnError):
    """A request that is given up on, as its caller is told.

    :param code: stable code of the reason
    :param message: one sentence for people
    :param status: HTTP status
    :param ran: whether the request may have been run
    :param retry_after_s: seconds until a new try is worthwhile, None for never
    """

    def __init__(
        self,
        code: str,
        message: str,
        *,
        status: int = 503,
        ran: Ran = Ran.NO,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.code = code
        self.status = status
        self.ran = ran
        self.retry_after_s = retry_after_s
        self.inputs: Mapping[str, object] = {}
        """What decided it, for the logs."""


class PeerError(AuburnError):
    """A peer could not be reached, is not authentic, or broke the protocol."""

    code = "peer"
