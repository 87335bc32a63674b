"""Steps for limits divided between daemons."""

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


@given("the machine of quotas")
def take_machine(context):
    context.machine = QuotasMachine


@when("it is searched with {examples:d} examples of {steps:d} steps")
def search_machine(context, examples, steps):
    run_examples(context.machine, examples=examples, steps=steps)


@then("no daemons together claimed more than there is")
def passed(context):
    """The search raises at the first step that breaks an invariant."""


def join(context, name, address):
    daemon = Daemon(name, len(context.log.entries), address, context.log)
    body = daemon.me._asdict()
    context.log.append(Record(daemon.me.id, "", JOIN, body, {}))
    return daemon


def acknowledged(context):
    daemon = context.daemon
    daemon.journal.read()
    daemon.view.acknowledge(daemon.obeys)
    return daemon.view.acked


@given("a daemon that uses all 4 slots in the epoch of its join")
def use_all(context):
    context.log = FakeLog()
    context.daemon = join(context, "a0", "x")
    assert acknowledged(context) == 1
    while context.daemon.limiters.limiter(UPSTREAM).try_acquire():
        pass
    assert context.daemon.limiters.limiter(UPSTREAM).in_flight == 4


@when("another joins, and in the next epoch is on the roster of another domain")
def join_and_move(context):
    moved = join(context, "a1", "y").me
    elsewhere = moved._replace(incarnation="9", failure_domain="b", peer_address="z")
    context.log.append(Record("move", "", JOIN, elsewhere._asdict(), {}))


@then("only the first epoch is acknowledged")
def first_only(context):
    assert acknowledged(context) == 1


@when("2 calls end")
def end_two(context):
    for _ in range(2):
        context.daemon.limiters.limiter(UPSTREAM).release()


@then("all three epochs are acknowledged")
def all_three(context):
    assert acknowledged(context) == 3
    assert len(context.daemon.view.epochs) == 3


def start(context, name):
    daemon = join(context, name, name)
    context.by_name[name] = daemon
    daemon.limiters.limiters_by_key.clear()
    daemon.orphaned_calls = OrphanedCalls(
        daemon.limiters, lambda key: {}, context.report
    )
    daemon.limiters.limiter(UPSTREAM).limit = 4


def settle(context):
    """Let all read, acknowledge and hear each other."""
    for _ in range(3):
        for daemon in context.by_name.values():
            daemon.journal.read()
            daemon.view.acknowledge(daemon.obeys)
            for other in context.by_name.values():
                other.view.apply_heartbeat(daemon.me, daemon.beat())


def free(context, name):
    return context.by_name[name].limiters.limiter(UPSTREAM).free


@given("two daemons, a0 and a1, that share 4 slots of which a1 uses 2")
def share_slots(context):
    context.log, context.by_name, context.reported = FakeLog(), {}, None
    context.report = lambda host: context.reported
    start(context, "a0")
    start(context, "a1")
    settle(context)
    assert (free(context, "a0"), free(context, "a1")) == (2, 2)


@when("a1 dies and a0 knows it")
def die(context):
    context.dead = context.by_name.pop("a1").me
    context.by_name["a0"].view.record_probe(context.dead.id, ProbeResult.REFUSED)


@then("a0 may use {slots:d} slots")
def may_use(context, slots):
    assert free(context, "a0") == slots, free(context, "a0")


@when("the upstream reports 2 calls, and the leave of a1 is recorded")
def report_two(context):
    count(context, 2)
    context.log.append(Record("leave", "", LEAVE, {"member": context.dead.id}, {}))
    settle(context)
    assert context.by_name["a0"].limiters.limiter(UPSTREAM).share == 4


def count(context, reported):
    context.reported = reported
    for _ in range(3):
        for daemon in context.by_name.values():
            daemon.orphaned_calls.update()


@when("a1 starts anew and both obey its epoch")
def start_anew(context):
    start(context, "a1")
    settle(context)
    count(context, 2)


@then("neither has more than the dead one left")
def little(context):
    assert free(context, "a0") + free(context, "a1") == 2


@when("the upstream reports no calls")
def report_none(context):
    count(context, 0)


@then("together they may use 4 slots")
def all_slots(context):
    assert free(context, "a0") + free(context, "a1") == 4


@given("a daemon a0, and daemons c0 and c1 of another failure domain")
def start_in_two(context):
    context.log = FakeLog()
    context.daemon = join(context, "a0", "a0")
    context.old, context.other = (join(context, n, n).me for n in ("c0", "c1"))


@when("c0 starts in a third domain at another address, and c1 leaves")
def move_and_leave(context):
    moved = context.old._replace(incarnation="9", failure_domain="b", peer_address="z")
    context.log.append(Record("move", "", JOIN, moved._asdict(), {}))
    leave = Record("leave", "", LEAVE, {"member": context.other.id}, {})
    newest = context.log.append(leave).offset
    acknowledged(context)
    context.daemon.view.apply_heartbeat(
        moved, Heartbeat(newest, newest, newest, newest, 0)
    )


def part(context):
    return context.daemon.limiters.limiter(PLAN).share


@then("a0 keeps to the divisions that have a part for c")
def keeps(context):
    least = [
        domain_share(LIMITS[PLAN], PLAN, (division,), "a")
        for division in context.daemon.roster.divisions
        if "c" in dict(division.weights)
    ]
    assert part(context) == min(least), (part(context), least)


@when("a0 finds that nothing listens at the old address of c0")
def find_gone(context):
    context.before = part(context)
    context.daemon.view.record_probe(context.old.id, ProbeResult.REFUSED)


@then("a0 has its part of the newest division")
def newest_part(context):
    newest = context.daemon.roster.divisions[-1:]
    assert part(context) == domain_share(LIMITS[PLAN], PLAN, newest, "a")
    assert part(context) > context.before


@then("the roster of a checkpoint is the same")
def restored(context):
    roster, copy = context.daemon.roster, Roster()
    copy.restore(msgspec.json.decode(msgspec.json.encode(roster.snapshot())))
    assert [len(roster.epochs(d)) for d in ("a", "b", "c")] == [4, 2, 4]
    assert copy.gone == roster.gone == {context.other.id}
    assert copy.divisions == roster.divisions
    for domain in ("a", "b", "c"):
        assert copy.epochs(domain) == roster.epochs(domain)
