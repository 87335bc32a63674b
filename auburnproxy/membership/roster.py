"""The daemons of every failure domain, folded from the journal."""

from __future__ import annotations

from typing import Any, ClassVar

from ..journal import Entry, Reducer
from .epoch import Division, DomainWeight, Epoch
from .member import Member

JOIN = "roster.join"
LEAVE = "roster.leave"
SETTLE = "roster.settle"
DIVIDE = "roster.divide"
MAX_WEIGHT_SUM = 1024
"""Largest sum of a division's weights."""


class Roster(Reducer):
    """Folds joins and leaves into epochs.

    A leave is recorded only for a member that can never act again, by the member
    itself or by a peer that knows it to be gone. Epochs are kept until a
    ``roster.settle`` record confirms that every daemon obeys a newer one.
    """

    name: ClassVar[str] = "roster"

    def __init__(self) -> None:
        self._epochs_by_domain: dict[str, tuple[Epoch, ...]] = {}
        self._divisions: tuple[Division, ...] = ()
        self._weight_by_domain: dict[str, int] = {}
        self._gone: frozenset[str] = frozenset()
        self.revision = 0
        """Offset of the newest record that changed the roster."""

    @property
    def failure_domains(self) -> tuple[str, ...]:
        """Return the failure domains that have kept epochs, in order of name."""
        return tuple(sorted(self._epochs_by_domain))

    @property
    def divisions(self) -> tuple[Division, ...]:
        """Return the kept divisions among failure domains, oldest first."""
        return self._divisions

    @property
    def gone(self) -> frozenset[str]:
        """Return the ids of members of kept epochs that left or were replaced."""
        return self._gone

    def epochs(self, failure_domain: str) -> tuple[Epoch, ...]:
        """Return the kept epochs of a failure domain, oldest first.

        :param failure_domain: its name
        """
        return self._epochs_by_domain.get(failure_domain, ())

    def members(self, failure_domain: str) -> tuple[Member, ...]:
        """Return the members of the newest epoch, in order of name.

        :param failure_domain: its name
        """
        epochs = self.epochs(failure_domain)
        return epochs[-1].members if epochs else ()

    def check(self, entry: Entry) -> str:
        """Return the code of a rejection, or an empty string to accept.

        :param entry: a record of this reducer's kinds
        """
        body = entry.record.body
        try:
            if entry.record.kind == JOIN:
                return self._check_join(Member(**body))
            if entry.record.kind == LEAVE:
                return "" if self._find_by_id(body["member"]) else "no_member"
            if entry.record.kind == SETTLE:
                return self._check_settle(body["failure_domain"], body["number"])
            if entry.record.kind == DIVIDE:
                return _check_weights(body["weights"])
        except (KeyError, TypeError):
            return "malformed"
        return "unknown_kind"

    def apply(self, entry: Entry) -> None:
        """Apply an accepted record to the roster.

        :param entry: a record that :meth:`check` accepted
        """
        body, offset = entry.record.body, entry.offset
        if entry.record.kind == JOIN:
            self._join(Member(**body), offset)
        elif entry.record.kind == LEAVE:
            self._leave(body["member"], offset)
        elif entry.record.kind == SETTLE:
            self._drop_settled(body["failure_domain"], body["number"])
        else:
            self._weight_by_domain = dict(body["weights"])
            self._update_divisions(offset)
        self.revision = offset

    def snapshot(self) -> Any:
        """Return the kept epochs and divisions as plain values."""
        return {
            "epochs": {
                domain: [[e.number, [list(m) for m in e.members]] for e in epochs]
                for domain, epochs in self._epochs_by_domain.items()
            },
            "divisions": [
                [d.number, [list(w) for w in d.weights]] for d in self._divisions
            ],
            "weights": self._weight_by_domain,
            "gone": sorted(self._gone),
            "revision": self.revision,
        }

    def restore(self, snapshot: Any) -> None:
        """Replace the state with a snapshot.

        :param snapshot: a value that :meth:`snapshot` returned
        """
        self._epochs_by_domain = {
            domain: tuple(
                Epoch(number, tuple(Member(*m) for m in members))
                for number, members in epochs
            )
            for domain, epochs in snapshot["epochs"].items()
        }
        self._divisions = tuple(
            Division(number, tuple(DomainWeight(*w) for w in weights))
            for number, weights in snapshot["divisions"]
        )
        self._weight_by_domain = dict(snapshot["weights"])
        self._gone = frozenset(snapshot["gone"])
        self.revision = snapshot["revision"]

    def _check_join(self, member: Member) -> str:
        if not all(isinstance(field, str) and field for field in member):
            return "malformed"
        if member.id in self._gone:
            return "gone"
        old = self._find_by_name(member.name)
        if old and old.incarnation >= member.incarnation:
            return "superseded"
        return ""

    def _check_settle(self, failure_domain: str, number: int) -> str:
        numbers = [epoch.number for epoch in self.epochs(failure_domain)]
        return "" if number in numbers[1:] else "no_epoch"

    def _find_by_id(self, member_id: str) -> Member | None:
        for domain in self._epochs_by_domain:
            for member in self.members(domain):
                if member.id == member_id:
                    return member
        return None

    def _find_by_name(self, name: str) -> Member | None:
        for domain in self._epochs_by_domain:
            for member in self.members(domain):
                if member.name == name:
                    return member
        return None

    def _join(self, member: Member, offset: int) -> None:
        old = self._find_by_name(member.name)
        if old:
            # A join from another address does not prove that the old process has ended.
            if old.peer_address == member.peer_address:
                self._gone |= {old.id}
            if old.failure_domain != member.failure_domain:
                self._remove(old, offset)
        domain = member.failure_domain
        others = [m for m in self.members(domain) if m.name != member.name]
        self._start_epoch(domain, (*others, member), offset)
        self._update_divisions(offset)

    def _leave(self, member_id: str, offset: int) -> None:
        member = self._find_by_id(member_id)
        if member is None:
            return
        self._gone |= {member_id}
        self._remove(member, offset)
        self._remove_domain_if_empty(member.failure_domain)
        self._update_divisions(offset)

    def _remove(self, member: Member, offset: int) -> None:
        domain = member.failure_domain
        others = tuple(m for m in self.members(domain) if m.id != member.id)
        self._start_epoch(domain, others, offset)

    def _start_epoch(
        self, domain: str, members: tuple[Member, ...], offset: int
    ) -> None:
        epoch = Epoch(offset, tuple(sorted(members)))
        self._epochs_by_domain[domain] = (*self.epochs(domain), epoch)

    def _update_divisions(self, offset: int) -> None:
        """Start a division, and an epoch in every domain, if the weights changed."""
        weights = tuple(
            DomainWeight(domain, self._weight_by_domain.get(domain, 1))
            for domain in self.failure_domains
            if self.members(domain)
        )
        if self._divisions and self._divisions[-1].weights == weights:
            return
        self._divisions = (*self._divisions, Division(offset, weights))
        for domain in self.failure_domains:
            if self.epochs(domain)[-1].number != offset:
                self._start_epoch(domain, self.members(domain), offset)

    def _drop_settled(self, domain: str, number: int) -> None:
        kept = tuple(e for e in self.epochs(domain) if e.number >= number)
        self._epochs_by_domain[domain] = kept
        self._remove_domain_if_empty(domain)
        epochs = [e for kept in self._epochs_by_domain.values() for e in kept]
        self._gone &= {member.id for epoch in epochs for member in epoch.members}
        oldest = min((e.number for e in epochs), default=number)
        self._divisions = divisions_since(self._divisions, oldest)

    def _remove_domain_if_empty(self, domain: str) -> None:
        """Remove a failure domain if no member of its epochs can act any more."""
        ids = {m.id for epoch in self.epochs(domain) for m in epoch.members}
        if ids <= self._gone:
            del self._epochs_by_domain[domain]


def divisions_since(
    divisions: tuple[Division, ...], number: int
) -> tuple[Division, ...]:
    """Return the division in force at an offset, and all later ones.

    :param divisions: oldest first
    :param number: the offset
    """
    older = [division for division in divisions if division.number <= number]
    return divisions[max(len(older) - 1, 0) :]


def _check_weights(weights: Any) -> str:
    if not isinstance(weights, dict) or not weights:
        return "malformed"
    valid = all(isinstance(w, int) and w >= 0 for w in weights.values())
    total = sum(weights.values()) if valid else 0
    return "" if 0 < total <= MAX_WEIGHT_SUM else "malformed"
