"""Steps for PeerSelector, on a virtual clock."""

import asyncio

from behave import given, then, when

from auburnproxy.membership import Member
from auburnproxy.serving import PeerSelector
from auburnproxy.serving.peer_selector import queueing_exclusion
from features.fakes.serving import FakePeers
from features.machines.search import run_virtual

PLAN, TARGET = "works", "model/quote"


def make_peer(name):
    return Member(name, "1", name[0], "127.0.0.1:1", "127.0.0.1:2")


@given("near peers a1 and a2, and far peers b1, b2 in domain b and c1 in domain c")
def make_peers(context):
    context.peers = FakePeers()
    context.peers.near_by_id = {p.id: p for p in map(make_peer, ("a1", "a2"))}
    context.peers.far_by_domain = {
        "b": [make_peer("b1"), make_peer("b2")],
        "c": [make_peer("c1")],
    }
    context.peer_selector = PeerSelector(context.peers)
    context.refused = False


@given("a1 reports 2 and a2 reports 3 free slots of plan and target")
def report_both(context):
    free = {"a1@1": 2, "a2@1": 3}
    context.peers.free_by_key = {f"plan/{PLAN}": free, TARGET: free}


@given("a1 reports 2 and a2 reports 3 free slots of the target, only a1 of the plan")
def report_one(context):
    target = {"a1@1": 2, "a2@1": 3}
    context.peers.free_by_key = {f"plan/{PLAN}": {"a1@1": 1}, TARGET: target}


@when("a far peer of domain b refuses")
def refuse_probe(context):
    context.refused = True


def choose(context, times, *, wait_s=0.0, exclude=()):
    async def choose_peers():
        if context.refused:
            context.peer_selector.record_refusal(make_peer("b1"), PLAN, TARGET)
        await asyncio.sleep(wait_s)
        choose_peer = context.peer_selector.choose_for_forwarding
        return [choose_peer(PLAN, TARGET, exclude=exclude) for _ in range(times)]

    return run_virtual(choose_peers())


@then("peer {name} is chosen")
def check_chosen(context, name):
    (peer,) = choose(context, 1)
    assert peer.name == name, peer


@then("{times:d} choices go to domains {domains}")
def check_domains(context, times, domains):
    peers = choose(context, times)
    seen = [peer.failure_domain for peer in peers]
    assert seen == domains.split(", "), seen


@then("{wait_s:d} s later {times:d} choices go to both domains")
def check_both_domains(context, wait_s, times):
    peers = choose(context, times, wait_s=wait_s)
    assert {peer.failure_domain for peer in peers} == {"b", "c"}, peers


@then("no peer is chosen for a call that has failed on b1")
def check_none_chosen(context):
    assert choose(context, 1, exclude=("b1@1",)) == [None]


@given("near peers a1 and a2 have shares and this daemon has none")
def near_peers_have_shares(context):
    context.peers.near_with_share = list(context.peers.near_by_id.values())
    context.peers.shares = False


@given("no daemon of this domain has shares")
def nobody_has_shares(context):
    context.peers.shares = False


@then("a call queues at far peers, at most 4 of them, and not here")
def check_queues_far(context):
    context.peers.far_by_domain["b"] += [make_peer(f"b{n}") for n in range(3, 9)]
    excluded = []
    while (peer := queueing_peer(context, *excluded)) is not None:
        assert peer.failure_domain in "bc", peer
        excluded.append(queueing_exclusion(peer))
    assert len(set(excluded)) == 4, excluded
    assert not context.peer_selector.may_queue_here(PLAN, TARGET)


def queueing_peer(context, *excluded):
    return context.peer_selector.choose_for_queueing(PLAN, TARGET, exclude=excluded)


@then("a call queues at a1 or a2, not here")
def check_queues_near(context):
    assert queueing_peer(context).name in ("a1", "a2")
    assert not context.peer_selector.may_queue_here(PLAN, TARGET)


@then("a call that found no free slot at a1 and a2 still queues at one of them")
def check_still_queues(context):
    assert queueing_peer(context, "a1@1", "a2@1").name in ("a1", "a2")


@then("a call that a1 refused to queue is queued at a2")
def check_queues_at_other(context):
    assert queueing_peer(context, queueing_exclusion(make_peer("a1"))).name == "a2"


@then("a call that both refused to queue is queued in another domain")
def check_queues_in_other_domain(context):
    excluded = [queueing_exclusion(make_peer(name)) for name in ("a1", "a2")]
    assert queueing_peer(context, *excluded).failure_domain in "bc"
    assert not context.peer_selector.may_queue_here(PLAN, TARGET)


@then("a call queues here")
def check_queues_here(context):
    assert context.peer_selector.may_queue_here(PLAN, TARGET)
    assert queueing_peer(context) is None
