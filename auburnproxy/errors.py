"""Exceptions with stable codes, and the refusals returned to callers."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from errno import ECONNREFUSED
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .findings import Finding


class Ran(StrEnum):
    """Whether an upstream may have run a request."""

    NO = "no"
    UNKNOWN = "unknown"


class AuburnError(Exception):
    """Base of this package's errors; ``code`` is stable, the message is not."""

    code = "internal"


class DocumentError(AuburnError):
    """A document failed validation.

    :param findings: all findings, ordered by their position in the document
    """

    code = "invalid"

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("; ".join(str(finding) for finding in findings))
        self.findings = findings


class PlatformError(AuburnError):
    """An external service did not answer; a read can be retried."""

    code = "platform"


class UnreadableError(PlatformError):
    """Bytes of another writer could not be decoded; reading them again is useless."""

    code = "unreadable"


class AppendUncertainError(PlatformError):
    """The response to an append was lost; the record may have been appended."""

    code = "append_uncertain"


class OutcomeUnknownError(AuburnError):
    """It is unknown at the timeout whether a record was accepted.

    :param record_id: id under which the record can safely be appended again
    """

    code = "outcome_unknown"

    def __init__(self, record_id: str) -> None:
        super().__init__(f"the outcome of record {record_id} is not known yet")
        self.record_id = record_id


class UpstreamError(AuburnError):
    """A call to an upstream failed.

    :param reason: cause of the failure, for the log
    :param ran: whether the upstream may have run the call
    """

    code = "upstream"

    def __init__(self, reason: str, *, ran: Ran = Ran.UNKNOWN) -> None:
        super().__init__(reason)
        self.ran = ran

    @property
    def connection_refused(self) -> bool:
        """Return whether the upstream's host refused the connection."""
        cause = self.__cause__
        return isinstance(cause, OSError) and cause.errno == ECONNREFUSED


class CallTimeoutError(AuburnError):
    """An upstream did not answer a call, which held its slot until the timeout."""

    code = "silence"


class StaleFenceError(AuburnError):
    """An upstream refused a command because its fencing token is outdated."""

    code = "stale_fence"


class RefusalError(AuburnError):
    """A refusal of a request, as returned to the caller.

    :param code: stable code of the reason
    :param message: one human-readable sentence
    :param status: HTTP status
    :param ran: whether the request may have been run
    :param retry_after_s: seconds after which to retry, None if a retry is useless
    :param retry_within_deadline: whether a retry before the caller's deadline may be
        served, so that the caller is told a shorter time if necessary
    """

    def __init__(
        self,
        code: str,
        message: str,
        *,
        status: int = 503,
        ran: Ran = Ran.NO,
        retry_after_s: float | None = None,
        retry_within_deadline: bool = True,
    ) -> None:
        super().__init__(message)
        self.code = code
        self.status = status
        self.ran = ran
        self.retry_after_s = retry_after_s
        self.retry_within_deadline = retry_within_deadline
        self.inputs: Mapping[str, object] = {}
        """Values that led to the refusal, for the logs."""


class PeerError(AuburnError):
    """A peer is unreachable, failed authentication or violated the protocol."""

    code = "peer"
