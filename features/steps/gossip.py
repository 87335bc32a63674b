"""Steps for facts that daemons tell each other."""

import asyncio
import math

import msgspec
from behave import given, then, when
from hypothesis import given as given_example
from hypothesis import settings as search_settings
from hypothesis import strategies as st

from auburnproxy.gossip import Fact, FactKind, FactTable
from features.fakes.gossip import GossipCluster
from features.machines.runner import run_virtual

HOUR_MS = 3_600_000
DATAGRAM_BYTES = 8_000
FAULTS = {
    "an unknown kind": {"kind": "weather"},
    "a subject of 1000 B": {"subject": "a" * 1000},
    "a negative age": {"age_ms": -1},
    "an age past its end": {"age_ms": 2_000},
    "a time of a year": {"ttl_ms": 365 * 24 * HOUR_MS},
    "a negative value": {"value": -1.0},
    "a value that is nan": {"value": math.nan},
}
TELLINGS = st.lists(
    st.tuples(
        st.integers(0, 2), st.sampled_from("ab"), st.sampled_from((0.0, 5.0, 9.0))
    ),
    min_size=1,
    max_size=8,
)


def make_fact(**values):
    fields = {"kind": FactKind.CRASH, "subject": "a", "origin": "", "version": 1}
    fields |= {"value": 0.0, "age_ms": 0, "ttl_ms": 1_000}
    return Fact(**fields | values)


@then("facts told in any order are the same at all daemons")
def check_agreement(context):
    @search_settings(max_examples=150, deadline=None, database=None, derandomize=True)
    @given_example(TELLINGS, st.randoms(use_true_random=False))
    def play(tellings, random):
        async def run():
            tables = [FactTable() for _ in range(3)]
            datagrams = []
            for teller, subject, value in tellings:
                await asyncio.sleep(0.01)
                tables[teller].tell(FactKind.VERDICT, subject, ttl_s=30, value=value)
                datagrams.append(tables[teller].outgoing())
                if random.random() < 0.5:
                    tables[random.randrange(3)].merge(random.choice(datagrams))
            for table in tables:
                for other in random.sample(tables, 3) + random.sample(tables, 3):
                    other.merge(table.outgoing())
            held = [
                {f.key: (f.version, f.value) for f in t.facts(FactKind.VERDICT)}
                for t in tables
            ]
            assert held[0] == held[1] == held[2], held

        run_virtual(run())

    play()


@given("{count:d} daemons that lose {loss:g} of their datagrams")
def set_cluster(context, count, loss):
    context.cluster_options = (count, loss)


@when("one of them tells a fact that lasts {seconds:d} s")
def tell_fact(context, seconds):
    count, loss = context.cluster_options
    context.holders = {}

    async def play():
        cluster = GossipCluster(count, loss=loss)

        def holders():
            return [d.name for d in cluster.daemons if d.facts.facts(FactKind.TRIAL)]

        cluster.daemons[0].facts.tell(FactKind.TRIAL, "a", ttl_s=seconds)
        await cluster.run(3.0)
        context.holders["after 3 s"] = len(holders())
        cluster.start("new")
        await cluster.run(3.0)
        context.holders["after 6 s"] = len(holders())
        await cluster.run(14.2)
        context.holders["at the end"] = len(holders())

    run_virtual(play())


@then("all hold it after 3 s, and a daemon that starts then after 3 s more")
def check_holders(context):
    count, _ = context.cluster_options
    assert context.holders["after 3 s"] == count, context.holders
    assert context.holders["after 6 s"] == count + 1, context.holders


@then("nobody holds it after {seconds:g} s")
def check_ended(context, seconds):
    assert context.holders["at the end"] == 0, context.holders


@when("a daemon is told {count:d} facts")
def tell_many(context, count):
    async def play():
        context.table = FactTable()
        for number in range(count):
            context.table.merge([make_fact(subject=f"{number:0128x}", ttl_ms=HOUR_MS)])
        context.sent = msgspec.msgpack.encode(context.table.outgoing())
        context.held = len(context.table.facts(FactKind.CRASH))

    run_virtual(play())


@then("it holds at most {count:d} of a kind and sends at most 8 kB of them")
def check_bounds(context, count):
    assert 0 < context.held <= count, context.held
    assert len(context.sent) <= DATAGRAM_BYTES, len(context.sent)


@when("a daemon is told a fact with {fault}")
def tell_faulty(context, fault):
    async def play():
        table = FactTable()
        table.merge([make_fact(**FAULTS[fault])])
        context.held = [f for kind in FactKind for f in table.facts(kind)]
        context.held += table.facts("weather")

    run_virtual(play())


@then("it holds no fact")
def check_nothing(context):
    assert not context.held, context.held


@when("a daemon tells a failure of a process")
def tell_failure(context):
    async def play():
        teller, told = FactTable(), FactTable()
        teller.tell(FactKind.FAILURE, "e1@1", ttl_s=4, value=1.0, origin="d1")
        told.merge(teller.outgoing())
        assert told.get(FactKind.FAILURE, "e1@1", origin="d1")
        context.sent = [len(teller.outgoing())], [len(told.outgoing())]
        await asyncio.sleep(0.6)
        for table, counts in zip((teller, told), context.sent, strict=True):
            counts.append(len(table.outgoing()))

    run_virtual(play())


@then("it sends the failure for 0.5 s, and a daemon that was told of it never does")
def check_sent(context):
    assert context.sent == ([1, 0], [0, 0]), context.sent
