"""Blocks prompt parts that crash engines, at all daemons alike.

A part is suspect after a crash: an engine process has ended while it had a request with
that part and had not begun its answer. An answer that begins anywhere clears its parts.

Sufficient evidence blocks a part for a time. Parts of the same requests are equally
suspect; then the last one, which the fewest other requests share, is blocked and
explains the crashes of the others. After the block single requests try the part, each
at one engine, until one is answered or crashes its engine, which blocks the part for
twice as long.
"""

from __future__ import annotations

import asyncio
from collections import Counter as Counts
from collections.abc import Callable, Collection, Iterable, Iterator, Sequence

from ..clock import loop_time
from ..errors import RefusalError
from ..gossip import FactKind, FactTable, HeldFact
from ..telemetry import Gauge, GaugeReading
from ..telemetry.decisions import DecisionLog
from ..trial_turns import is_turn
from .answered_parts import AnsweredParts
from .crash_evidence import CrashEvidence, collect_evidence, crash_origin, request_name

BLOCKED = "blocked_part"
"""Code of the refusal of a request with a blocked part."""
FIRST_BLOCK_S = 10.0
MAX_BLOCK_S = 300.0
BLOCK_REMEMBERED_S = 300.0
"""Time after the end of a block for which the next one is longer."""
EVIDENCE_S = 120.0
"""Time for which a crash counts."""
CLEARED_S = 120.0
"""Time for which a cleared part is known; longer than crashes from before count."""
FRESH_S = 2.0
"""Time after the beginning of an answer within which its parts cause no crash."""
ANSWERS_REMEMBERED_S = 30.0
"""Time for which a part with an answer is less suspect than one without."""
TRIAL_S = 3.0
"""Time within which a trial shows something; then another request may be tried."""
TRIAL_TURN_S = 1.0
"""Time after which the number of daemons that may start a trial doubles."""
REVIEW_S = 0.1
"""Time after a crash at which its parts are judged again."""
MAX_SUSPECTS = 16
"""Suspect parts of one request; the others are not told."""


class PartQuarantine:
    """Suspect and blocked prompt parts.

    :param facts: facts shared with the other daemons
    :param decisions: log of parts that become suspect, blocked or cleared
    :param name: name of this daemon
    :param daemons: returns the names of all live daemons
    """

    def __init__(
        self,
        facts: FactTable,
        decisions: DecisionLog,
        *,
        name: str = "",
        daemons: Callable[[], Collection[str]] = tuple,
    ) -> None:
        self._facts = facts
        self._decisions = decisions
        self._name = name
        self._daemons = daemons
        self._answered = AnsweredParts()
        facts.observe(FactKind.CRASH, self._review_crash)
        facts.observe(FactKind.VERDICT, self._log_told_verdict)

    def admit(self, request_id: str, parts: Sequence[str]) -> None:
        """Admit a request with unblocked parts, or one that is to try blocked ones.

        :param request_id: id of the request
        :param parts: the shared parts of its prompt
        :raises RefusalError: if one of them is blocked
        """
        blocked = [v for part in parts if (v := self._block(part)) is not None]
        if not blocked:
            return
        wait_s = max(self._wait_s(verdict) for verdict in blocked)
        if wait_s > 0:
            raise _refusal(blocked[0].key.subject, wait_s)
        for verdict in blocked:
            part = verdict.key.subject
            self._facts.tell(FactKind.TRIAL, part, ttl_s=TRIAL_S)
            self._decisions.request("part_tried", request_id, part=part)

    def is_blocked(self, parts: Iterable[str]) -> bool:
        """Return whether a request must not be sent again because of its parts."""
        return any(self._block(part) is not None for part in parts)

    def record_answer(self, parts: Sequence[str]) -> None:
        """Record that the answer to a request with some parts has begun."""
        self._answered.record(parts)
        for part in parts:
            if self._block(part) is not None or self._crashes(part):
                self._clear(part, reason="answered")

    def record_crash(
        self,
        request_id: str,
        parts: Sequence[str],
        process: str,
        *,
        arrived_at: float = 0.0,
    ) -> None:
        """Record that an engine process has ended before it answered a request.

        :param request_id: id of the request
        :param parts: the shared parts of its prompt
        :param process: the process that has ended
        :param arrived_at: the loop's time in seconds at which the request was received
        """
        origin = crash_origin(process, request_name(request_id, arrived_at))
        suspects = [
            part
            for part in self._suspects(parts)
            if self._cleared_until(part) <= loop_time()
        ][-MAX_SUSPECTS:]
        for part in suspects:
            self._facts.tell(FactKind.CRASH, part, ttl_s=EVIDENCE_S, origin=origin)
            evidence = collect_evidence(self._crashes(part))
            self._decisions.request(
                "part_suspected",
                request_id,
                part=part,
                process=process,
                processes=len(evidence.processes),
                requests=len(evidence.requests),
            )
        self._judge(suspects)
        # Other daemons may be telling crashes of the same parts at this moment.
        asyncio.get_running_loop().call_later(REVIEW_S, self._judge, suspects)

    def lift(self, part: str) -> bool:
        """Lift the block of a part for an operator, and return whether there was one.

        :param part: id of the part
        """
        if self._block(part) is None:
            return False
        self._clear(part, reason="operator")
        return True

    @property
    def blocked_parts(self) -> dict[str, float]:
        """Return the blocked parts with the seconds until each may be tried."""
        return {
            verdict.key.subject: max(_trial_at(verdict) - loop_time(), 0.0)
            for verdict in self._facts.facts(FactKind.VERDICT)
            if self._block(verdict.key.subject) is not None
        }

    def readings(self) -> Iterator[GaugeReading]:
        """Yield the current gauge values of this package."""
        suspects = {f.key.subject for f in self._facts.facts(FactKind.CRASH)}
        counts = Counts(blocked=len(self.blocked_parts), suspected=0)
        counts["suspected"] = sum(bool(self._crashes(part)) for part in suspects)
        for state, count in counts.items():
            yield GaugeReading(Gauge.PROMPT_PARTS, count, state=state)
        yield GaugeReading(Gauge.FACTS_DROPPED, self._facts.dropped)

    def _suspects(self, parts: Sequence[str]) -> list[str]:
        """Return the parts that may have ended a process.

        Parts without any recent answer are suspect before those with one; a part that
        was answered a moment ago is not suspect at all.
        """
        now = loop_time()
        for remembered_s in (ANSWERS_REMEMBERED_S, FRESH_S):
            since = now - remembered_s
            if found := [
                p for p in parts if not self._answered.answered_since(p, since)
            ]:
                return found
        return []

    def _review_crash(self, crash: HeldFact) -> None:
        """Clear the parts of a crash told by another daemon that were answered here."""
        since = crash.began_at - ANSWERS_REMEMBERED_S
        fresh_since = crash.began_at - FRESH_S
        group = [
            other.key.subject
            for other in self._facts.facts(FactKind.CRASH)
            if other.key.origin == crash.key.origin
        ]
        answered = {p for p in group if self._answered.answered_since(p, since)}
        for part in answered:
            fresh = self._answered.answered_since(part, fresh_since)
            if (fresh or len(answered) < len(group)) and self._crashes(part):
                self._clear(part, reason="answered here")

    def _judge(self, parts: Sequence[str]) -> None:
        """Block parts if the evidence suffices, and longer if a trial has crashed.

        :param parts: the suspect parts of one request
        """
        for part in reversed(parts):
            self._judge_part(part, collect_evidence(self._crashes(part)))

    def _judge_part(self, part: str, evidence: CrashEvidence) -> None:
        block = self._block(part)
        if block is None and evidence.suffices:
            self._tell_block(part, FIRST_BLOCK_S, evidence)
        elif block is not None and any(
            crash.began_at > _trial_at(block)
            for crash in self._facts.facts_on(FactKind.CRASH, part)
        ):
            self._tell_block(part, min(2 * block.value, MAX_BLOCK_S), evidence)

    def _tell_block(self, part: str, block_s: float, evidence: CrashEvidence) -> None:
        ttl_s = block_s + BLOCK_REMEMBERED_S
        self._facts.tell(FactKind.VERDICT, part, ttl_s=ttl_s, value=block_s)
        self._decisions.belief(
            "part_blocked",
            part=part,
            block_s=block_s,
            processes=sorted(evidence.processes),
            requests=sorted(evidence.requests),
        )

    def _clear(self, part: str, *, reason: str) -> None:
        self._facts.tell(FactKind.VERDICT, part, ttl_s=CLEARED_S, value=0.0)
        self._decisions.belief("part_cleared", part=part, reason=reason)

    def _log_told_verdict(self, verdict: HeldFact) -> None:
        kind = "part_blocked" if verdict.value else "part_cleared"
        self._decisions.belief(
            kind, part=verdict.key.subject, block_s=verdict.value, reason="told"
        )

    def _block(self, part: str) -> HeldFact | None:
        """Return the verdict that blocks a part, None if it is not blocked."""
        verdict = self._facts.get(FactKind.VERDICT, part)
        return verdict if verdict is not None and verdict.value > 0 else None

    def _crashes(self, part: str) -> list[HeldFact]:
        """Return the crashes that count against a part that is not blocked."""
        since = self._cleared_until(part)
        return [
            crash
            for crash in self._facts.facts_on(FactKind.CRASH, part)
            if crash.began_at > since and not self._is_explained(crash)
        ]

    def _is_explained(self, crash: HeldFact) -> bool:
        """Return whether the request of a crash holds another part that is blocked."""
        return any(
            verdict.value
            and verdict.key.subject != crash.key.subject
            and self._facts.get(
                FactKind.CRASH, verdict.key.subject, origin=crash.key.origin
            )
            for verdict in self._facts.facts(FactKind.VERDICT)
        )

    def _cleared_until(self, part: str) -> float:
        """Return the loop's time up to which crashes do not count against a part."""
        verdict = self._facts.get(FactKind.VERDICT, part)
        if verdict is None or verdict.value:
            return -1.0
        return verdict.began_at + FRESH_S

    def _wait_s(self, verdict: HeldFact) -> float:
        """Return the seconds until this daemon may try a blocked part."""
        overdue_s = loop_time() - _trial_at(verdict)
        if overdue_s < 0:
            return -overdue_s
        part = verdict.key.subject
        trial = self._facts.get(FactKind.TRIAL, part)
        if trial is not None:
            return max(trial.ends_at - loop_time(), TRIAL_TURN_S)
        may_try = is_turn(
            self._name,
            f"trial {part}",
            {self._name, *self._daemons()},
            overdue_s=overdue_s,
            turn_s=TRIAL_TURN_S,
        )
        return 0.0 if may_try else TRIAL_TURN_S


def _trial_at(verdict: HeldFact) -> float:
    """Return the loop's time from which a blocked part may be tried."""
    return verdict.began_at + verdict.value


def _refusal(part: str, wait_s: float) -> RefusalError:
    message = f"Requests with the prompt part {part} end the engines that run them."
    refusal = RefusalError(
        BLOCKED, message, retry_after_s=wait_s, retry_within_deadline=False
    )
    refusal.inputs = {"part": part}
    return refusal
