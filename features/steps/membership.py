"""Steps for the membership of daemons, over loopback."""

import asyncio
from types import SimpleNamespace

import async_solipsism
import uvloop
from behave import given, then, when

from auburnproxy.errors import PeerError
from auburnproxy.journal import Record
from auburnproxy.membership import Heartbeat, Member, Membership, Roster, link
from auburnproxy.membership._lost_members import LostMemberDetector
from auburnproxy.membership._relay import Relay
from auburnproxy.membership.membership import MAX_PAUSE_S, MIN_LINK_TIMEOUT_S
from auburnproxy.membership.roster import JOIN
from features.fakes.journal import FakeJournal
from features.fakes.journal import FakeLog as FoldedLog
from features.fakes.log import FakeLog
from features.fakes.peers import LIMIT, PLAN_KEY, SECRET, UPSTREAM_KEY, FrozenPeer, Peer
from features.loopback import free_addresses

TIMEOUT_S = 30.0


def run_on_loop(context, awaitable):
    return context.loop.run_until_complete(asyncio.wait_for(awaitable, TIMEOUT_S))


async def until(condition):
    while True:
        if condition():
            return
        await asyncio.sleep(0.02)


def wait(context, condition):
    run_on_loop(context, until(condition))


async def start(context, name, incarnation="1", address=None):
    address = address or free_addresses(1)[0]
    peer = Peer(name, incarnation, context.log, address, context.out)
    context.peers[name] = peer


def stop_all(context):
    for peer in context.peers.values():
        run_on_loop(context, peer.stop())
    context.loop.close()


@given("daemons {names}")
def start_daemons(context, names):
    context.loop = uvloop.new_event_loop()
    context.log, context.peers, context.out = FakeLog(), {}, set()
    context.add_cleanup(stop_all, context)
    for name in names.split(" and "):
        run_on_loop(context, start(context, name))
    wait(context, lambda: all(p.membership.joined for p in context.peers.values()))


@given("every epoch is settled")
def wait_settled(context):
    peers = context.peers.values()

    def settled(peer):
        view = peer.membership.view
        read = peer.journal.offset == context.log.end - 1
        return read and view.settled == view.epoch > 0

    wait(context, lambda: all(settled(peer) for peer in peers))


def unknown_member(name="a9"):
    return Member(name, "1", "a", "127.0.0.1:1", "127.0.0.1:1")


@when("a peer dials a0 with another secret")
def dial_with_wrong_secret(context):
    address = context.peers["a0"].me.peer_address
    context.error = None
    try:
        run_on_loop(context, link.dial(address, unknown_member(), b"another"))
    except PeerError as error:
        context.error = error


@when("a peer replays the recorded handshake of another one")
def replay_recorded(context):
    address = context.peers["a0"].me.peer_address
    run_on_loop(context, replay_handshake(context, address))


async def replay_handshake(context, address):
    """Record the frames of one dial and send them again unchanged."""
    sent, send = [], link.Link.send
    link.Link.send = lambda self, frame: (sent.append(frame), send(self, frame))[1]
    try:
        recorded_link = await link.dial(address, unknown_member(), SECRET)
    finally:
        link.Link.send = send
    recorded_link.close()
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    replayed = link.Link(reader, writer, dialed=True)
    for frame in (sent[0], sent[-1]):
        replayed.send(frame)
    context.error = None
    try:
        await replayed.read_frame(link.MAX_HANDSHAKE_BYTES)
        await replayed.read_frame(link.MAX_HANDSHAKE_BYTES)
        await replayed.read_frame(link.MAX_HANDSHAKE_BYTES)
    except PeerError as error:
        context.error = error


@then("the handshake is rejected")
def handshake_rejected(context):
    assert context.error is not None


@then("a0 has no links")
def no_links(context):
    assert not context.peers["a0"].linked_names


@when("a1 announces a frame above the size limit to a0")
def announce_long_frame(context):
    a0, a1 = context.peers["a0"], context.peers["a1"]
    wait(context, lambda: a1.linked_names and a0.linked_names)
    context.closed_link = a0.membership.links_by_id[a1.me.id]
    sender = a1.membership.links_by_id[a0.me.id]
    header = (link.MAX_FRAME_BYTES + 1).to_bytes(link.LENGTH_BYTES, "big")
    sender._writer.write(header)


@then("a frame sent on the closed link is dropped")
def send_on_closed_link(context):
    assert context.closed_link._writer.is_closing()
    context.closed_link.send(b"late")


@then("a0 closes that link before the link timeout")
def link_closed(context):
    closed = until(lambda: context.closed_link not in links_of(context.peers["a0"]))
    in_time = asyncio.wait_for(closed, MIN_LINK_TIMEOUT_S / 2)
    context.loop.run_until_complete(in_time)


def links_of(peer):
    return list(peer.membership.links_by_id.values())


@then("a0 and a1 are linked again")
def linked_again(context):
    a0, a1 = context.peers["a0"], context.peers["a1"]
    wait(context, lambda: a0.linked_names and a1.linked_names)
    wait(context, lambda: a1.me.id in a0.membership.heartbeats_by_id)


@when("daemon {name} is frozen")
def freeze(context, name):
    peer = context.peers[name]
    run_on_loop(context, replace(context, name, FrozenPeer(peer.me.peer_address)))


async def replace(context, name, frozen):
    await context.peers[name].stop()
    context.peers[name] = await frozen.start()


@then("a0 finds a2 silent and a0's own share is unchanged")
def a2_is_silent(context):
    a0 = context.peers["a0"]
    wait(context, lambda: a0.membership._dialer.silent)
    assert a0.share == LIMIT / 3, a0.share
    assert not a0.membership.gone


@when("daemon {name} is killed")
def kill(context, name):
    run_on_loop(context, context.peers.pop(name).stop())


@then("a0 and a1 take over its share")
def share_taken_over(context):
    a0, a1 = context.peers["a0"], context.peers["a1"]
    wait(context, lambda: a0.share + a1.share == LIMIT and a0.share and a1.share)


@when("a1 restarts on its address")
def restart(context):
    old = context.peers["a1"]
    kill(context, "a1")
    run_on_loop(context, start(context, "a1", "2", old.me.peer_address))


@then("a0 and the new a1 share the whole limit in one epoch")
def share_whole_limit(context):
    a0, a1 = context.peers["a0"], context.peers["a1"]
    wait(context, lambda: a0.share + a1.share == LIMIT and a0.share and a1.share)
    wait(context, lambda: len(a0.membership.window.epochs) == 1)
    assert a0.membership.gone >= {"a1@1"}


@when("the log is cut off from b")
def cut_log(context):
    for name in ("b0", "b1"):
        context.peers[name].port.disconnected = True


@when("a2 joins")
def join(context):
    run_on_loop(context, start(context, "a2"))


@then("b0 and b1 fold its join")
def join_is_folded(context):
    a2 = context.peers["a2"].me
    for name in ("b0", "b1"):
        peer = context.peers[name]
        wait(context, lambda peer=peer: a2 in peer.roster.members("a"))
        assert not peer.journal.up


@then("each failure domain learns the version in force in the other")
def versions_learned(context):
    newest = context.peers["a0"].roster.revision
    for peer in context.peers.values():
        wait(
            context, lambda m=peer.membership: has_versions(m.versions_in_force, newest)
        )


def has_versions(versions, newest):
    return versions.keys() == {"a", "b"} and min(versions.values()) >= newest


@then("exactly one link connects a and b")
def one_link(context):
    def links_between(domain, other):
        peers = [p for name, p in context.peers.items() if name[0] == domain]
        peers = [p for p in peers if isinstance(p, Peer)]
        return [n for p in peers for n in p.linked_names if n[0] == other]

    wait(
        context,
        lambda: len(links_between("a", "b")) == len(links_between("b", "a")) == 1,
    )
    (context.delegate,) = links_between("a", "b")
    assert isinstance(context.peers[context.delegate], Peer)


@when("the daemon in b at the end of this link freezes")
def freeze_delegate(context):
    freeze(context, context.delegate)


@when("operators take b out of service")
def take_out(context):
    context.out.add("b")


@when("operators return b to service")
def bring_back(context):
    context.out.clear()


@then("a has {a:d} slots of the plan and b has {b:d}")
def plan_is_divided(context, a, b):
    def shares(domain):
        peers = [p for name, p in context.peers.items() if name[0] == domain]
        return sum(peer.limiters.limiter(PLAN_KEY).share for peer in peers)

    wait(context, lambda: (shares("a"), shares("b")) == (a, b))


@given("a member that is out of service and answers")
def take_member_out(context):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(context.loop.close)
    members = [Member(n, "1", "a", n, "-") for n in ("a0", "a1")]
    roster, log = Roster(), FoldedLog()
    journal = FakeJournal(log, roster)
    for member in members:
        log.append(Record(member.id, "", JOIN, member._asdict(), {}))
    journal.read()
    membership = Membership(members[0], roster, journal, secret=SECRET)
    membership.heartbeats_by_id["a1@1"] = None
    context.membership = membership
    context.detector = LostMemberDetector(
        membership, frozenset, lambda domain, host: host == "a1", MAX_PAUSE_S
    )
    context.detecting = context.loop.create_task(context.detector.run())


@when("the maximum pause passes")
def wait_maximum_pause(context):
    context.loop.run_until_complete(asyncio.sleep(MAX_PAUSE_S + 5))


@when("it falls silent, and its peer is frozen for the maximum pause")
def freeze_detector(context):
    context.membership.heartbeats_by_id.clear()
    context.detecting.cancel()
    wait_maximum_pause(context)
    context.loop.run_until_complete(check_once(context.detector))


async def check_once(detector):
    detector.check()


@then("the member is not gone")
def not_gone(context):
    assert not context.membership.gone
    if context.detecting.cancelled():
        context.detecting = context.loop.create_task(context.detector.run())


@then("the member is gone")
def is_gone(context):
    assert context.membership.gone == {"a1@1"}
    context.detecting.cancel()
    context.loop.run_until_complete(asyncio.sleep(1))


@when("a0 finds that it was paused for 60 s")
def pause(context):
    context.peers["a0"].membership._last_ran_at -= 60


@then("a0 has no share")
def has_no_share(context):
    assert context.peers["a0"].share == 0


@then("a0 has its share again after a new link")
def share_restored(context):
    a0, a1 = context.peers["a0"], context.peers["a1"]
    old = a0.membership.links_by_id[a1.me.id]
    wait(context, lambda: a0.share)
    assert a0.share == LIMIT / 2
    assert a0.membership.links_by_id[a1.me.id] is not old


@when("a1 marks a0 as gone")
def mark_as_gone(context):
    context.peers["a1"].membership.view.mark_gone(["a0@1"])


@then("a0 learns that it is expelled and a1 takes over its share")
def expelled(context):
    a0, a1 = context.peers["a0"], context.peers["a1"]
    wait(context, lambda: a0.membership.expelled and a1.share == LIMIT)
    assert a0.share == 0


@given("a daemon without the log, and two peers that are ahead and do not answer")
def start_without_log(context):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(context.loop.close)
    me, *peers = (Member(n, "1", "a", n, "-") for n in ("a0", "a1", "a2"))
    journal = FakeJournal(FoldedLog(), Roster())
    journal.up = False
    membership = Membership(me, Roster(), journal, secret=SECRET)
    context.asked = []
    for peer in peers:
        link_to_peer = SimpleNamespace(
            peer=peer, send=lambda f, p=peer: record_asked(context, p)
        )
        membership.links_by_id[peer.id] = link_to_peer
        membership.heartbeats_by_id[peer.id] = Heartbeat(0, 0, 0, 5, 0)
    context.relay = Relay(membership)


def record_asked(context, peer):
    context.asked.append(peer.name)


@when("it fetches for 10 seconds")
def fetch(context):
    fetching = context.loop.create_task(context.relay.run())
    context.loop.run_until_complete(asyncio.sleep(10))
    fetching.cancel()
    context.loop.run_until_complete(asyncio.sleep(1))


@then("both peers were asked")
def both_asked(context):
    assert set(context.asked) == {"a1", "a2"}, context.asked


@when("a0 uses 3 slots")
def use_slots(context):
    limiter = context.peers["a0"].limiters.limiter(UPSTREAM_KEY)
    assert all(limiter.try_acquire() for _ in range(3))


@then("a1 learns on request that a0 uses 3 slots")
def busy_slots_learned(context):
    a1 = context.peers["a1"].membership
    wait(context, lambda: a1.busy_slots(UPSTREAM_KEY) == {"a0@1": 3})
