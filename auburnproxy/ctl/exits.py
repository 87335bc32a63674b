"""Exit codes for scripts."""

from __future__ import annotations

from enum import IntEnum

from ..operators.bodies import Verdict


class Exit(IntEnum):
    """Exit codes of ``auburnctl``."""

    DONE = 0
    """Done; a change is accepted and in force everywhere; diff: nothing differs."""
    UNEXPECTED = 1
    """The tool or a daemon failed in a way that it should not."""
    FINDINGS = 2
    """Something is wrong with the command line, the settings or the lists."""
    REJECTED = 3
    """Another change came first; nothing was changed."""
    PENDING = 4
    """Accepted for good, but some failure domain has not said that it is in force."""
    UNKNOWN = 5
    """The outcome is unknown; send the change again under the same id."""
    UNREACHABLE = 6
    """No daemon answered; nothing was changed."""
    REFUSED = 7
    """The log did not take the change; nothing was changed."""
    DIFFERS = 8
    """diff: the files differ from what is in force."""
    UNAUTHORIZED = 9
    """The daemon does not know the operator key."""
    UNNAMED = 10
    """explain: no line of the logs names the request."""


EXIT_BY_VERDICT = {
    Verdict.ACCEPTED: Exit.DONE,
    Verdict.PENDING: Exit.PENDING,
    Verdict.REJECTED: Exit.REJECTED,
    Verdict.UNKNOWN: Exit.UNKNOWN,
    Verdict.REFUSED: Exit.REFUSED,
    Verdict.FINDINGS: Exit.FINDINGS,
}
