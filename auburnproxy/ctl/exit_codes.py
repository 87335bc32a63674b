"""Exit codes of ``auburnctl``, for use in scripts."""

from __future__ import annotations

from enum import IntEnum

from ..operators.bodies import Verdict


class ExitCode(IntEnum):
    """Exit codes of ``auburnctl``."""

    DONE = 0
    """Success. A change is accepted and in force everywhere; diff: no differences."""
    UNEXPECTED = 1
    """The tool or a daemon failed unexpectedly."""
    FINDINGS = 2
    """The command line, the settings or the lists are invalid."""
    REJECTED = 3
    """Rejected because another change was made first; nothing was changed."""
    PENDING = 4
    """Accepted durably, but not yet confirmed as in force by every failure domain."""
    UNKNOWN = 5
    """The outcome is unknown; send the change again with the same id."""
    UNREACHABLE = 6
    """No daemon answered; nothing was changed."""
    REFUSED = 7
    """The change was not accepted by the log; nothing was changed."""
    DIFFERS = 8
    """diff: the files differ from the configuration in force."""
    UNAUTHORIZED = 9
    """The daemon rejected the operator key."""
    NOT_FOUND = 10
    """explain: no log line names the request; summary: no line is a daemon's."""


EXIT_CODE_BY_VERDICT = {
    Verdict.ACCEPTED: ExitCode.DONE,
    Verdict.PENDING: ExitCode.PENDING,
    Verdict.REJECTED: ExitCode.REJECTED,
    Verdict.UNKNOWN: ExitCode.UNKNOWN,
    Verdict.REFUSED: ExitCode.REFUSED,
    Verdict.FINDINGS: ExitCode.FINDINGS,
}
