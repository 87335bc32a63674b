"""Steps for limits divided among daemons."""

import msgspec
from behave import given, then, when

from auburnproxy.journal import Record
from auburnproxy.membership import Heartbeat, Roster
from auburnproxy.membership.roster import JOIN, LEAVE
from auburnproxy.membership.view import ProbeResult
from auburnproxy.quotas import OrphanedCalls, domain_share
from features.fakes.journal import FakeLog
from features.machines.quotas import LIMITS, PLAN, UPSTREAM, Daemon, QuotasMachine
from features.machines.runner import run_examples


@given("the state machine for quotas")
def set_machine(context):
    context.machine = QuotasMachine


@when("it runs {examples:d} examples of {steps:d} steps")
def run_machine(context, examples, steps):
    run_examples(context.machine, examples=examples, steps=steps)


@then("the daemons never claimed more than a limit together")
def check_no_violation(context):
    """The run raises an error at the first step that violates an invariant."""


def join(context, name, address):
    daemon = Daemon(name, len(context.log.entries), address, context.log)
    body = daemon.me._asdict()
    context.log.append(Record(daemon.me.id, "", JOIN, body, {}))
    return daemon


def acknowledged_epoch(context):
    daemon = context.daemon
    daemon.journal.read()
    daemon.view.acknowledge(daemon.obeys)
    return daemon.view.acked


@given("a daemon that uses all 4 slots in the epoch of its join")
def use_all(context):
    context.log = FakeLog()
    context.daemon = join(context, "a0", "x")
    assert acknowledged_epoch(context) == 1
    while context.daemon.limiters.limiter(UPSTREAM).try_acquire():
        pass
    assert context.daemon.limiters.limiter(UPSTREAM).in_flight == 4


@when("another joins, and moves to another failure domain in the next epoch")
def join_and_move(context):
    joined = join(context, "a1", "y").me
    moved = joined._replace(incarnation="9", failure_domain="b", peer_address="z")
    context.log.append(Record("move", "", JOIN, moved._asdict(), {}))


@then("only the first epoch is acknowledged")
def check_first_acknowledged(context):
    assert acknowledged_epoch(context) == 1


@when("2 calls end")
def end_two(context):
    for _ in range(2):
        context.daemon.limiters.limiter(UPSTREAM).release()


@then("all three epochs are acknowledged")
def check_all_acknowledged(context):
    assert acknowledged_epoch(context) == 3
    assert len(context.daemon.view.epochs) == 3


def start(context, name):
    daemon = join(context, name, name)
    context.by_name[name] = daemon
    daemon.limiters.limiters_by_key.clear()
    daemon.orphaned_calls = OrphanedCalls(
        daemon.limiters, lambda key: {}, context.report
    )
    daemon.limiters.limiter(UPSTREAM).limit = 4


def exchange_state(context):
    """Let all daemons read, acknowledge and exchange heartbeats."""
    for _ in range(3):
        for daemon in context.by_name.values():
            daemon.journal.read()
            daemon.view.acknowledge(daemon.obeys)
            for other in context.by_name.values():
                other.view.apply_heartbeat(daemon.me, daemon.heartbeat())


def free_slots(context, name):
    return context.by_name[name].limiters.limiter(UPSTREAM).free


@given("two daemons, a0 and a1, that share 4 slots of which a1 uses 2")
def share_slots(context):
    context.log, context.by_name, context.reported = FakeLog(), {}, None
    context.report = lambda host: context.reported
    start(context, "a0")
    start(context, "a1")
    exchange_state(context)
    assert (free_slots(context, "a0"), free_slots(context, "a1")) == (2, 2)


@when("a1 dies and a0 detects it")
def kill_a1(context):
    context.dead = context.by_name.pop("a1").me
    context.by_name["a0"].view.record_probe(context.dead.id, ProbeResult.REFUSED)


@then("a0 may use {slots:d} slots")
def check_free_slots(context, slots):
    assert free_slots(context, "a0") == slots, free_slots(context, "a0")


@when("the upstream reports 2 calls, and the leave of a1 is recorded")
def report_two(context):
    update_orphans(context, 2)
    context.log.append(Record("leave", "", LEAVE, {"member": context.dead.id}, {}))
    exchange_state(context)
    assert context.by_name["a0"].limiters.limiter(UPSTREAM).share == 4


def update_orphans(context, reported):
    context.reported = reported
    for _ in range(3):
        for daemon in context.by_name.values():
            daemon.orphaned_calls.update()


@when("a1 restarts and both obey its epoch")
def restart_a1(context):
    start(context, "a1")
    exchange_state(context)
    update_orphans(context, 2)


@then("together they may use only the 2 remaining slots")
def check_remaining_slots(context):
    assert free_slots(context, "a0") + free_slots(context, "a1") == 2


@when("the upstream reports no calls")
def report_none(context):
    update_orphans(context, 0)


@then("together they may use 4 slots")
def check_all_slots(context):
    assert free_slots(context, "a0") + free_slots(context, "a1") == 4


@given("a daemon a0, and daemons c0 and c1 of another failure domain")
def start_in_two(context):
    context.log = FakeLog()
    context.daemon = join(context, "a0", "a0")
    context.c0, context.c1 = (join(context, n, n).me for n in ("c0", "c1"))


@when("c0 restarts in a third domain at another address, and c1 leaves")
def move_and_leave(context):
    moved = context.c0._replace(incarnation="9", failure_domain="b", peer_address="z")
    context.log.append(Record("move", "", JOIN, moved._asdict(), {}))
    leave = Record("leave", "", LEAVE, {"member": context.c1.id}, {})
    newest = context.log.append(leave).offset
    acknowledged_epoch(context)
    context.daemon.view.apply_heartbeat(
        moved, Heartbeat(newest, newest, newest, newest, 0)
    )


def plan_share(context):
    return context.daemon.limiters.limiter(PLAN).share


@then("a0 obeys the divisions that have a share for c")
def check_obeyed_divisions(context):
    shares = [
        domain_share(LIMITS[PLAN], PLAN, (division,), "a")
        for division in context.daemon.roster.divisions
        if "c" in dict(division.weights)
    ]
    assert plan_share(context) == min(shares), (plan_share(context), shares)


@when("a0 finds that nothing listens at the old address of c0")
def find_gone(context):
    context.before = plan_share(context)
    context.daemon.view.record_probe(context.c0.id, ProbeResult.REFUSED)


@then("a0 has its share of the newest division")
def check_newest_share(context):
    newest = context.daemon.roster.divisions[-1:]
    assert plan_share(context) == domain_share(LIMITS[PLAN], PLAN, newest, "a")
    assert plan_share(context) > context.before


@then("the roster restored from a checkpoint is the same")
def check_restored_roster(context):
    roster, copy = context.daemon.roster, Roster()
    copy.restore(msgspec.json.decode(msgspec.json.encode(roster.snapshot())))
    assert [len(roster.epochs(d)) for d in ("a", "b", "c")] == [4, 2, 4]
    assert copy.gone == roster.gone == {context.c1.id}
    assert copy.divisions == roster.divisions
    for domain in ("a", "b", "c"):
        assert copy.epochs(domain) == roster.epochs(domain)
