"""Several daemons under faults, checked against limits on what they use together."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from auburnproxy.journal import Record
from auburnproxy.membership import Heartbeat, Member, MembershipView, Roster
from auburnproxy.membership.roster import DIVIDE, JOIN, LEAVE, SETTLE
from auburnproxy.membership.view import ProbeResult
from auburnproxy.quotas import SlotLimiters, owner, owns

from ..fakes.journal import FakeJournal, FakeLog

UPSTREAM, PLAN, HOST = "upstream/u", "plan/p", "host/h"
LIMITS = {UPSTREAM: 4, PLAN: 5}
INITIAL_NAMES = ("a0", "a1", "b0")
NAMES = (*INITIAL_NAMES, "a2", "a3", "b1", "c0")
PARTITIONS = ("a0", "a1", "b0", frozenset("ab"), frozenset("ac"))
"""Network partitions: one daemon isolated, or two failure domains from each other."""
MAX_KEPT_HEARTBEATS = 40
MAX_DAEMONS = 7

picks = st.integers(0, 999)
keys = st.sampled_from([UPSTREAM, PLAN])


class Daemon:
    """One incarnation of a daemon."""

    def __init__(self, name, incarnation, address, log):
        self.me = Member(name, f"{incarnation:04}", name[0], address, "-")
        self.roster = Roster()
        self.journal = FakeJournal(log, self.roster)
        self.view = MembershipView(self.me, self.roster)
        self.limiters = SlotLimiters(lambda: self.view.window, self.me.id)
        for key, limit in LIMITS.items():
            self.limiters.limiter(key).limit = limit
        self.orders_host = False
        self.frozen = False

    def obeys(self, epoch):
        key_owner = owner(HOST, epoch, self.view.gone)
        return self.limiters.fits(epoch) and (
            not self.orders_host or key_owner == self.me
        )

    @property
    def owns_host(self):
        return self.orders_host or owns(HOST, self.view.window, self.me.id)

    def claim(self, key):
        """Return how many slots of a limit the daemon uses or may use next."""
        limiter = self.limiters.limiter(key)
        return max(limiter.in_flight, limiter.share)

    @property
    def idle(self):
        limiters = self.limiters.limiters_by_key.values()
        return not self.orders_host and not any(
            limiter.in_flight for limiter in limiters
        )

    def heartbeat(self):
        view = self.view
        return Heartbeat(
            epoch=view.epoch,
            acked=view.acked,
            settled=view.settled,
            offset=self.journal.offset,
            version=0,
            gone=view.unrecorded_gone(),
            summaries=view.summaries(),
        )


class QuotasMachine(RuleBasedStateMachine):
    """The daemons never claim more than a limit together, or own a host twice."""

    def __init__(self):
        super().__init__()
        self.log = FakeLog()
        self.by_id = {}
        self.start_count = 0
        self.partitions = set()
        self.sent_heartbeats = []

    @initialize()
    def settle_some(self):
        for name in INITIAL_NAMES:
            self.start(NAMES.index(name), moved=False)
        for _ in range(3):
            for place in range(len(INITIAL_NAMES)):
                self.tick(place)

    def propose(self, kind, body):
        record_id = f"r{len(self.log.entries)}"
        self.log.append(Record(record_id, "", kind, body, {}))

    def pick_running(self, pick):
        """Return one of the daemons that are not frozen."""
        daemons = [d for d in self.by_id.values() if not d.frozen]
        return daemons[pick % len(daemons)] if daemons else None

    def can_reach(self, one, other):
        domains = frozenset((one[0], other[0]))
        return domains not in self.partitions and not {one, other} & self.partitions

    @rule(pick=picks, moved=st.sampled_from([False, False, True]))
    def start(self, pick, moved):
        """Start a daemon at its name's usual address if that is free, or elsewhere."""
        name = NAMES[pick % len(NAMES)]
        taken = {d.me.peer_address for d in self.by_id.values()}
        if len(self.by_id) >= MAX_DAEMONS or (name in taken and not moved):
            return
        self.start_count += 1
        address = f"{name}/{self.start_count}" if moved else name
        daemon = Daemon(name, self.start_count, address, self.log)
        self.by_id[daemon.me.id] = daemon
        self.propose(JOIN, daemon.me._asdict())

    @rule(pick=picks, most=st.sampled_from([1, 2, 1_000]))
    def read(self, pick, most):
        daemon = self.pick_running(pick)
        if daemon and daemon.me.name not in self.partitions:
            daemon.journal.read(most=most)

    @rule()
    def tick_all(self):
        for place in range(len(self.by_id)):
            self.tick(place)

    @rule(pick=picks)
    def tick(self, pick):
        """Do what a daemon does periodically: read, acknowledge, send heartbeats."""
        daemon = self.pick_running(pick)
        if daemon:
            self.read(pick, 1_000)
            daemon.view.acknowledge(daemon.obeys)
            self.send(daemon, at_once=True)

    @rule(pick=picks, other=picks)
    def adopt(self, pick, other):
        """Restore a checkpoint of another daemon, skipping the records in between."""
        daemon, source = self.pick_running(pick), self.pick_running(other)
        if daemon and source.journal.offset > daemon.journal.offset:
            daemon.roster.restore(source.roster.snapshot())
            daemon.journal.offset = source.journal.offset

    @rule(pick=picks)
    def acknowledge(self, pick):
        daemon = self.pick_running(pick)
        if daemon:
            daemon.view.acknowledge(daemon.obeys)

    @rule(pick=picks)
    def beat(self, pick):
        """Send heartbeats that may arrive later, twice or never."""
        daemon = self.pick_running(pick)
        if daemon:
            self.send(daemon, at_once=False)

    def send(self, daemon, *, at_once):
        heartbeat = daemon.heartbeat()
        for other in self.by_id:
            self.sent_heartbeats.append((daemon.me, other, heartbeat))
            if at_once:
                self.deliver(len(self.sent_heartbeats) - 1)
        self.sent_heartbeats = self.sent_heartbeats[-MAX_KEPT_HEARTBEATS:]

    @precondition(lambda self: self.sent_heartbeats)
    @rule(pick=picks)
    def deliver(self, pick):
        sender, to, heartbeat = self.sent_heartbeats[pick % len(self.sent_heartbeats)]
        daemon = self.by_id.get(to)
        if daemon and not daemon.frozen and self.can_reach(sender.name, daemon.me.name):
            daemon.view.apply_heartbeat(sender, heartbeat)

    @rule(pick=picks, key=keys)
    def acquire(self, pick, key):
        daemon = self.pick_running(pick)
        if daemon and (key == PLAN or daemon.me.failure_domain == "a"):
            while daemon.limiters.limiter(key).try_acquire():
                pass

    @rule(pick=picks, key=keys)
    def release(self, pick, key):
        daemon = self.pick_running(pick)
        if daemon and daemon.limiters.limiter(key).in_flight:
            daemon.limiters.limiter(key).release()

    @rule(pick=picks)
    def order(self, pick):
        daemon = self.pick_running(pick)
        if daemon and daemon.me.failure_domain == "a":
            daemon.orders_host = not daemon.orders_host and daemon.owns_host

    @rule(pick=picks)
    def freeze_or_thaw(self, pick):
        frozen = [d for d in self.by_id.values() if d.frozen]
        for daemon in frozen or [d for d in [self.pick_running(pick)] if d]:
            daemon.frozen = not daemon.frozen

    @rule(pick=picks, graceful=st.booleans())
    def stop(self, pick, graceful):
        daemon = self.pick_running(pick)
        if not daemon or (graceful and not daemon.idle):
            return
        if graceful:
            daemon.view.mark_gone((daemon.me.id,))
            self.send(daemon, at_once=False)
            self.propose(LEAVE, {"member": daemon.me.id})
        del self.by_id[daemon.me.id]

    @rule(pick=picks, whom=picks)
    def probe(self, pick, whom):
        """Dial the address of a member of a kept epoch that does not run."""
        daemon = self.pick_running(pick)
        domains = daemon.roster.failure_domains if daemon else ()
        epochs = [e for d in domains for e in daemon.roster.epochs(d)]
        members = sorted({m for e in epochs for m in e.members})
        members = [m for m in members if self.probe_result(m)]
        if members:
            member = members[whom % len(members)]
            if self.can_reach(daemon.me.name, member.name):
                daemon.view.record_probe(member.id, self.probe_result(member))

    def probe_result(self, member):
        by_address = {d.me.peer_address: d for d in self.by_id.values()}
        listener = by_address.get(member.peer_address)
        if listener is None:
            return ProbeResult.REFUSED
        if listener.frozen:
            return ProbeResult.SILENT
        return ProbeResult.REPLACED if listener.me.id != member.id else None

    @rule(pick=picks)
    def record(self, pick):
        """Record the members that the daemon knows to be gone and the settled epoch."""
        daemon = self.pick_running(pick)
        if not daemon or daemon.me.name in self.partitions:
            return
        for domain in daemon.roster.failure_domains:
            for member in daemon.roster.members(domain):
                if member.id in daemon.view.gone:
                    self.propose(LEAVE, {"member": member.id})
        body = {
            "failure_domain": daemon.me.failure_domain,
            "number": daemon.view.settled,
        }
        self.propose(SETTLE, body)

    @rule(a=st.integers(0, 2), b=st.integers(1, 2))
    def divide(self, a, b):
        self.propose(DIVIDE, {"weights": {"a": a, "b": b}})

    @rule(what=st.sampled_from(PARTITIONS))
    def cut_or_heal(self, what):
        self.partitions = set() if self.partitions else {what}

    @invariant()
    def limits_hold(self):
        daemons = self.by_id.values()
        in_a = [d for d in daemons if d.me.failure_domain == "a"]
        upstream = {d.me.id: d.claim(UPSTREAM) for d in in_a}
        plan = {d.me.id: d.claim(PLAN) for d in daemons}
        assert sum(upstream.values()) <= LIMITS[UPSTREAM], upstream
        assert sum(plan.values()) <= LIMITS[PLAN], plan

    @invariant()
    def custody_is_exclusive(self):
        daemons = [d for d in self.by_id.values() if d.me.failure_domain == "a"]
        owners = [d.me.id for d in daemons if d.owns_host]
        assert len(owners) <= 1, owners


MACHINES = (QuotasMachine,)
