"""Steps for many daemons that select heads at the same time, without a network."""

import async_solipsism
from behave import given, then, when

from auburnproxy.gateway.subsets import Subsets
from features.fakes.herd import DaemonFleet


def make(context, **options):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(context.loop.close)

    async def build():
        return DaemonFleet(**options)

    context.fleet = context.loop.run_until_complete(build())


def run(context, seconds, per_s):
    fleet = context.fleet
    context.loop.run_until_complete(fleet.run(seconds, per_s=per_s))


@given(
    "{daemons:d} daemons in {domains:d} failure domains with {heads:d} heads of"
    " {slots:d} slots in each"
)
def make_fleet(context, daemons, domains, heads, slots):
    make(context, daemons=daemons, domains=domains, heads=heads, slots=slots)


@given(
    "{daemons:d} daemons in {domains:d} failure domains with {heads:d} cold heads of"
    " {slots:d} slots in each"
)
def make_cold_fleet(context, daemons, domains, heads, slots):
    make(
        context, daemons=daemons, domains=domains, heads=heads, slots=slots, cold_s=60.0
    )


@given("{count:d} heads of the first failure domain have been dissolved")
def end_heads(context, count):
    context.fleet.end({f"fd0-{number}" for number in range(count)})


@then(
    "the remaining heads there have at most {part:g} of their slots filled on average"
)
def compare_mean(context, part):
    mean = context.fleet.mean_load("fd0")
    assert mean <= part * context.fleet.slots, mean


@given("{daemons:d} daemons that are assigned {heads:d} heads")
def make_subsets(context, daemons, heads):
    context.names = [f"d{number}" for number in range(daemons)]
    context.heads_by_model = {"small": tuple(f"h{number}" for number in range(heads))}
    context.subsets = Subsets("d0", lambda: context.names)
    context.subsets.assign(context.heads_by_model)


@when("one of them is replaced by another")
def replace_one(context):
    context.names[-1] = "new"
    context.subsets.assign(context.heads_by_model)


def sharers_of(context):
    return [context.subsets.sharers(head) for head in context.heads_by_model["small"]]


@then("no head is assigned to the one that is gone")
def compare_gone(context):
    assert not any("d3" in names for names in sharers_of(context))


@then("the new one is assigned {count:d} heads")
def compare_dealt(context, count):
    assert sum("new" in names for names in sharers_of(context)) == count


@when("they send requests for {seconds:d} s that fill {part:g} of the slots")
def send(context, seconds, part):
    context.per_s = context.fleet.slots_at_first * part
    run(context, seconds, context.per_s)
    context.loop.run_until_complete(context.fleet.finish())


@when("they send requests for {seconds:d} s at {per_s:d} a second")
def send_at(context, seconds, per_s):
    run(context, seconds, per_s)
    context.loop.run_until_complete(context.fleet.finish())


@when("a head is lost, and requests go on for {seconds:d} s")
def lose_head(context, seconds):
    fleet = context.fleet
    context.lost = fleet.heads[0]
    fleet.dead.add(context.lost)
    run(context, seconds, context.per_s)
    context.loop.run_until_complete(fleet.finish())


@then("no request is refused while a slot is free")
def compare_refused(context):
    assert not context.fleet.refused_while_free, context.fleet.refused_while_free


@then(
    "at most 1 in {many:d} requests meets a full head while its daemon has others free"
)
def compare_full_heads(context, many):
    fleet = context.fleet
    assert fleet.over_with_own_free * many <= fleet.placed, (
        fleet.over_with_own_free,
        fleet.placed,
    )


@then("no request is placed beyond a head's slots while another head has a free one")
def compare_over(context):
    assert not context.fleet.over, (context.fleet.over, context.fleet.placed)


@then("no head gets more than {most:d} requests in any second")
def compare_cold(context, most):
    assert context.fleet.placed, "nothing was sent"
    for head, times in context.fleet.sent_at.items():
        for index, at in enumerate(times):
            got = sum(at <= t < at + 1.0 for t in times[index:])
            assert got <= most, (head, got)


@then("it gets none later than {seconds:g} s after the first daemon has noticed")
def compare_lost(context, seconds):
    sent = [at for at, _, head in context.fleet.sent_to_dead if head == context.lost]
    assert sent, "no daemon sent to it"
    noticed_at = context.fleet.noticed_at[context.lost]
    late = [round(at - noticed_at, 2) for at in sent if at > noticed_at + seconds]
    assert not late, late


@then("each request is announced to at most {most:d} daemons on average")
def compare_announced(context, most):
    announced, placed = context.fleet.announced, context.fleet.placed
    assert announced <= most * placed, (announced, placed)
