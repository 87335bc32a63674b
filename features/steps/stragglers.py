"""Steps for upstreams that are slower than their peers."""

from behave import given, then

from auburnproxy.upstreams.stragglers import StragglerEjection

FAST_S = 0.2


@given("{count:d} upstreams of which {slow:d} have {times:d} times the latency")
def record_latencies(context, count, slow, times):
    context.stragglers = StragglerEjection()
    context.groups = {f"h{number}": "m" for number in range(count)}
    context.slow = {f"h{number}" for number in range(slow)}
    for host in context.groups:
        for _ in range(10):
            seconds = FAST_S * (times if host in context.slow else 1)
            context.stragglers.add(host, seconds)


@then("{count:d} of the slow ones are ejected, and no other")
def check_ejected(context, count):
    ejected = context.stragglers.ejected(context.groups, 0.0)
    assert len(ejected) == count, ejected
    assert ejected <= context.slow
    context.first = ejected


@then("the ejected ones are readmitted {seconds:d} seconds later")
def check_readmitted(context, seconds):
    ejected = context.stragglers.ejected(context.groups, float(seconds))
    assert not ejected & context.first, ejected
