"""Steps for limits divided between daemons."""

from behave import given, then, when

from auburnproxy.journal import Record
from auburnproxy.membership.roster import JOIN
from features.fakes.journal import FakeLog
from features.machines.quotas import UPSTREAM, Daemon, QuotasMachine
from features.machines.search import search


@given("the machine of quotas")
def take_machine(context):
    context.machine = QuotasMachine


@when("it is searched with {examples:d} examples of {steps:d} steps")
def search_machine(context, examples, steps):
    search(context.machine, examples=examples, steps=steps)


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
    while context.daemon.gates.gate(UPSTREAM).try_acquire():
        pass
    assert context.daemon.gates.gate(UPSTREAM).in_flight == 4


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
        context.daemon.gates.gate(UPSTREAM).release()


@then("all three epochs are acknowledged")
def all_three(context):
    assert acknowledged(context) == 3
    assert len(context.daemon.view.epochs) == 3
