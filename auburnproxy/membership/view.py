"""A daemon's knowledge of the other members, and the window derived from it."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum, auto

from .epoch import EMPTY_WINDOW, Epoch, EpochWindow
from .heartbeat import Heartbeat, Summary
from .member import Member
from .roster import Roster, divisions_since


class ProbeResult(Enum):
    """Result of an attempt to connect to a member's address."""

    REFUSED = auto()
    """Nothing listens there: the process has ended. A frozen process still listens."""
    REPLACED = auto()
    """An authenticated peer with another incarnation listens there."""
    SILENT = auto()
    """No answer; a pause, a network partition and a crash cannot be told apart."""


class MembershipView:
    """Combines the roster with heartbeats and probes of other members.

    Everything in it is monotonic: epochs and versions only grow, and a member that
    is gone stays gone.

    :param me: this daemon
    :param roster: the members as folded from the journal
    """

    def __init__(self, me: Member, roster: Roster) -> None:
        self.me = me
        self.acked = 0
        """Newest epoch that this daemon obeys."""
        self.settled_by_domain: dict[str, int] = {}
        self.version_by_domain: dict[str, int] = {}
        self._roster = roster
        self._acked_by_id: dict[str, int] = {}
        self._gone: frozenset[str] = frozenset()
        self._change_count = 0
        self._window = EMPTY_WINDOW
        self._window_version = (-1, -1)

    @property
    def epochs(self) -> tuple[Epoch, ...]:
        """Return the kept epochs of the own failure domain, oldest first."""
        return self._roster.epochs(self.me.failure_domain)

    @property
    def epoch(self) -> int:
        """Return the number of the newest epoch, 0 if there is none."""
        epochs = self.epochs
        return epochs[-1].number if epochs else 0

    @property
    def settled(self) -> int:
        """Return the newest epoch of the own failure domain known to be settled."""
        return self._settled(self.me.failure_domain)

    @property
    def gone(self) -> frozenset[str]:
        """Return the ids of all members known to be gone."""
        return self._gone | self._roster.gone

    @property
    def expelled(self) -> bool:
        """Return whether this daemon itself is considered gone."""
        return self.me.id in self._gone or self.me.id in self._roster.gone

    @property
    def window(self) -> EpochWindow:
        """Return what this daemon has to obey, the same object until it changes."""
        version = (self._roster.revision, self._change_count)
        if version != self._window_version:
            self._window = self._make_window()
            self._window_version = version
        return self._window

    def mark_gone(self, member_ids: Iterable[str]) -> bool:
        """Mark members as gone, which is never undone.

        :param member_ids: ids of members that can never act again
        :return: whether one of them was not known to be gone
        """
        gone = self._gone | frozenset(member_ids)
        if gone == self._gone:
            return False
        self._gone = gone
        self._change_count += 1
        return True

    def record_probe(self, member_id: str, result: ProbeResult) -> bool:
        """Record the result of an attempt to connect to a member.

        :param member_id: the member's id
        :param result: what the attempt showed
        :return: whether the member was not known to be gone before and is now
        """
        if result is ProbeResult.SILENT:
            return False
        return self.mark_gone((member_id,))

    def apply_heartbeat(self, member: Member, heartbeat: Heartbeat) -> bool:
        """Merge a heartbeat; late and repeated ones have no effect.

        :param member: its authenticated sender
        :param heartbeat: the heartbeat
        :return: whether it brought anything new that others should receive soon
        """
        domain = member.failure_domain
        changed = self.mark_gone(heartbeat.gone)
        if heartbeat.acked > self._acked_by_id.get(member.id, 0):
            self._acked_by_id[member.id] = heartbeat.acked
        summaries = (
            Summary(domain, heartbeat.settled, heartbeat.version),
            *heartbeat.summaries,
        )
        for summary in summaries:
            changed |= self._merge_summary(summary)
        return self.settle() or changed

    def acknowledge(self, obeys: Callable[[Epoch], bool]) -> bool:
        """Acknowledge the epochs that this daemon obeys, in order.

        :param obeys: whether the calls in flight fit an epoch
        :return: whether a newer one was acknowledged
        """
        before = self.acked
        for epoch in self.epochs:
            if epoch.number <= self.acked:
                continue
            if not obeys(epoch):
                break
            self.acked = epoch.number
        self._acked_by_id[self.me.id] = self.acked
        return self.settle() or self.acked > before

    def settle(self) -> bool:
        """Find the newest epoch obeyed by all members of older ones that are not gone.

        :return: whether it is newer than before
        """
        before = self.settled
        earlier_ids: set[str] = set()
        newest = before
        for epoch in self.epochs:
            if epoch.number > before and self._all_obey(earlier_ids, epoch.number):
                newest = epoch.number
            if epoch.number >= before:
                earlier_ids |= {member.id for member in epoch.members}
        return self._merge_summary(Summary(self.me.failure_domain, newest, 0))

    def summaries(self) -> tuple[Summary, ...]:
        """Return the summaries of the other failure domains, in order of name."""
        domains = self.settled_by_domain.keys() | self.version_by_domain.keys()
        return tuple(
            Summary(
                domain,
                self.settled_by_domain.get(domain, 0),
                self.version_by_domain.get(domain, 0),
            )
            for domain in sorted(domains - {self.me.failure_domain})
        )

    def unrecorded_gone(self) -> tuple[str, ...]:
        """Return the ids of gone members that the journal does not record, in order."""
        unrecorded = self._gone - self._roster.gone
        if not unrecorded:
            return ()
        domains = self._roster.failure_domains
        epochs = (epoch for domain in domains for epoch in self._roster.epochs(domain))
        known = {member.id for epoch in epochs for member in epoch.members}
        return tuple(sorted(unrecorded & (known | {self.me.id})))

    def _all_obey(self, member_ids: set[str], number: int) -> bool:
        gone = self.gone
        return all(
            self._acked_by_id.get(member_id, 0) >= number
            for member_id in member_ids
            if member_id not in gone
        )

    def _merge_summary(self, summary: Summary) -> bool:
        domain, settled, version = summary
        changed = False
        if settled > self.settled_by_domain.get(domain, 0):
            self.settled_by_domain[domain] = settled
            self._change_count += 1
            changed = True
        if version > self.version_by_domain.get(domain, 0):
            self.version_by_domain[domain] = version
            changed = True
        return changed

    def _settled(self, domain: str) -> int:
        epochs = self._roster.epochs(domain)
        oldest = epochs[0].number if epochs else 0
        return max(self.settled_by_domain.get(domain, 0), oldest)

    def _obeyed_offset(self, domain: str) -> int:
        """Return the newest offset whose division a failure domain surely obeys."""
        epochs = self._roster.epochs(domain)
        ids = {member.id for epoch in epochs for member in epoch.members}
        return epochs[-1].number if ids <= self.gone else self._settled(domain)

    def _make_window(self) -> EpochWindow:
        settled = self.settled
        epochs = tuple(e for e in self.epochs if e.number >= settled)
        if not epochs or self.expelled:
            return EMPTY_WINDOW
        oldest_obeyed = min(
            self._obeyed_offset(domain) for domain in self._roster.failure_domains
        )
        divisions = divisions_since(self._roster.divisions, oldest_obeyed)
        return EpochWindow(epochs, self.gone, divisions, self.me.failure_domain)
