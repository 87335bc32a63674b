"""What one daemon's own requests have come to at each upstream process, lately."""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Mapping
from enum import StrEnum

from ..clock import loop_time
from ..errors import Ran
from .call import AttemptError

HALF_LIFE_S = 2.0
"""Time after which an outcome counts half."""
ANSWER_WEIGHT = 0.5
"""Weight of an answer beside a failure: one that fails every third request is not
sound."""
RESTORED_BY_ANSWER = 0.5
"""Factor by which an answer reduces what earlier failures count."""
FAILING = 0.3
"""Failures from which a process counts as failing."""
MAX_PROCESSES = 1024
"""Processes with a record; of more, the one that was used last long ago is dropped."""


class Outcome(StrEnum):
    """What has become of one try of a request at an upstream."""

    ANSWERED = "answered"
    RESET = "reset"
    """The connection ended before any answer, and the process lives."""
    CUT = "cut"
    """The answer broke off midway, and the process lives."""
    FAILED = "failed"
    """The upstream answered with a server error of its own."""
    GARBLED = "garbled"
    """The answer was none in the protocol, or belonged to another request."""
    SLOW = "slow"
    """The upstream was silent for so long that another one took over."""
    REFUSED = "refused"
    """The upstream promised not to run it, which is no failure."""


FAILURE_WEIGHTS: Mapping[Outcome, float] = {
    Outcome.RESET: 1.0,
    Outcome.GARBLED: 1.0,
    Outcome.FAILED: 0.5,
    Outcome.CUT: 0.5,
    Outcome.SLOW: 0.5,
}
"""What each outcome counts as a failure. Requests may cause some of them."""


OUTCOME_BY_CODE: Mapping[str, Outcome] = {
    "broken": Outcome.RESET,
    "truncated": Outcome.RESET,
    "reset": Outcome.CUT,
    "foreign_answer": Outcome.GARBLED,
    "encoded_answer": Outcome.GARBLED,
    "unsigned_answer": Outcome.GARBLED,
    "unreadable": Outcome.GARBLED,
    "out_of_order": Outcome.GARBLED,
    "stalled": Outcome.SLOW,
    "silent": Outcome.SLOW,
}
SERVER_ERROR = 500


def failed_outcome(error: AttemptError, *, begun: bool = False) -> Outcome | None:
    """Return the outcome of a failed try, None if it shows nothing of the upstream.

    A connection that was not accepted is left to the health checks.

    :param error: how the try failed
    :param begun: whether an answer had begun
    """
    if error.ran is Ran.NO:
        return Outcome.REFUSED if error.sent else None
    if error.code.startswith("answered_"):
        return Outcome.FAILED
    outcome = OUTCOME_BY_CODE.get(error.code)
    return Outcome.CUT if begun and outcome is Outcome.RESET else outcome


def answered_outcome(status: int) -> Outcome:
    """Return the outcome of a whole answer, by its status."""
    return Outcome.FAILED if status >= SERVER_ERROR else Outcome.ANSWERED


class OutcomeRecord:
    """The outcomes at one process, each of which counts less as time passes."""

    def __init__(self) -> None:
        self.failures: Counter[Outcome] = Counter()
        """All failures by kind, for the log."""
        self._failures = 0.0
        self._answers = 0.0
        self._at = loop_time()

    def add(self, outcome: Outcome) -> None:
        """Add the outcome of one try."""
        self._decay()
        if outcome is Outcome.ANSWERED:
            self._answers += 1
            self._failures *= RESTORED_BY_ANSWER
        elif weight := FAILURE_WEIGHTS.get(outcome, 0.0):
            self._failures += weight
            self.failures[outcome] += 1

    @property
    def failing(self) -> bool:
        """Return whether the process counts as one that fails."""
        self._decay()
        return self._failures > FAILING and self._failures > self._answers

    @property
    def answering(self) -> bool:
        """Return whether the process answers."""
        self._decay()
        return self._answers > max(self._failures, FAILING)

    @property
    def evidence(self) -> float:
        """Return the failures that count, as far as answers don't outweigh them."""
        self._decay()
        if not self._failures:
            return 0.0
        share = self._failures / (self._failures + ANSWER_WEIGHT * self._answers)
        return self._failures * share

    def _decay(self) -> None:
        now = loop_time()
        factor = 0.5 ** ((now - self._at) / HALF_LIFE_S)
        self._failures *= factor
        self._answers *= factor
        self._at = now


class OutcomeRecords:
    """The records of the processes that this daemon has used lately."""

    def __init__(self) -> None:
        self._by_process: OrderedDict[str, OutcomeRecord] = OrderedDict()
        self._failed_in_a_row: set[str] = set()
        """Processes that have failed since the last answer of any."""

    def add(self, process: str, outcome: Outcome) -> OutcomeRecord:
        """Add the outcome of one try and return the record of its process."""
        record = self._by_process.setdefault(process, OutcomeRecord())
        record.add(outcome)
        if outcome is Outcome.ANSWERED:
            self._failed_in_a_row.clear()
        elif outcome in FAILURE_WEIGHTS and len(self._failed_in_a_row) < MAX_PROCESSES:
            self._failed_in_a_row.add(process)
        self._by_process.move_to_end(process)
        if len(self._by_process) > MAX_PROCESSES:
            self._by_process.popitem(last=False)
        return record

    def failing(self) -> dict[str, OutcomeRecord]:
        """Return the records of the processes that fail."""
        return {
            process: record
            for process, record in self._by_process.items()
            if record.failing
        }

    def credibility(self) -> float:
        """Return how far failures seen here speak of upstreams and not of this daemon.

        :return: 1 for one that fails at a single upstream, close to 0 for one that
            fails at all that it uses
        """
        failing = max(len(self.failing()), 1)
        answering = sum(record.answering for record in self._by_process.values())
        among_all = (answering + 1) / (answering + failing)
        return min(among_all, 1 / max(len(self._failed_in_a_row), 1))
