"""Benchmark of a daemon's cost of its peer links by their number.

``python -m bench.peers`` runs full meshes of daemons of several sizes in one
process, with the target's rate of configuration changes, 17 other failure
domains and 130 limiters, and prints the usage of one daemon with a linear fit.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import defopt
import uvloop
from loguru import logger

from auburnproxy.journal import Entry, Outcome, Record
from auburnproxy.membership import Heartbeat, Member, Membership, Roster, Summary
from auburnproxy.membership.link import LENGTH_BYTES, Link
from auburnproxy.membership.roster import JOIN
from auburnproxy.quotas import SlotLimiters

from .fit import print_fit

LINKS = (4, 8, 16, 22, 32)
TARGET_LINKS = 23
"""The 22 other daemons of a full failure domain, and a delegate of another one."""
LISTEN_WAIT_S = 0.5
"""Time for all to listen before any joins the roster, as a daemon does."""
START_TIMEOUT_S = 60.0
SETTLE_S = 4.0
MEASURE_S = 24.0
CHANGE_INTERVAL_S = 86_400 / 7_400
OTHER_DOMAINS = 17
LIMITERS = 130
LIMIT = 64
TCP_IP_BYTES = 52
"""TCP/IP headers with timestamps; a frame takes one segment and one ACK."""
KB = 1024


class Usage(NamedTuple):
    """Resources used by one daemon for its peers."""

    core_percent: float
    payload_kb_s: float
    """Frames sent and received."""
    wire_kb_s: float
    """The same with TCP and IP headers, and an ACK for each frame."""
    memory_kb: float


class FakeJournal:
    """Journal without entries; the roster gets the joins directly."""

    def __init__(self) -> None:
        self.offset = 0
        self.up = self.ready = True
        self.diverged = False

    async def propose(
        self,
        kind: str,
        body: Mapping[str, Any],
        *,
        expects: Mapping[str, int],
        timeout_s: float,
        record_id: str = "",
    ) -> Outcome:
        """Accept every record without effect."""
        return Outcome(record_id, self.offset, True)

    def entries_after(self, offset: int, limit: int) -> Sequence[Entry]:
        """Return nothing."""
        return ()

    def apply_entries(self, entries: Iterable[Entry]) -> None:
        """Take nothing."""

    def checkpoint(self) -> bytes:
        """Return nothing."""
        return b""

    def install_checkpoint(self, checkpoint: bytes) -> bool:
        """Take nothing."""
        return False


class Traffic:
    """Counts the frames that all links of this process send."""

    def __init__(self) -> None:
        self.frames = 0
        self.bytes = 0
        send = Link.send

        def send_counted(link: Link, frame: bytes) -> None:
            self.frames += 1
            self.bytes += len(frame) + LENGTH_BYTES
            send(link, frame)

        Link.send = send_counted  # type: ignore[method-assign]


def free_addresses(count: int) -> list[str]:
    """Return addresses on which nothing listens."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    addresses = [f"127.0.0.1:{each.getsockname()[1]}" for each in sockets]
    for each in sockets:
        each.close()
    return addresses


def make_daemons(count: int) -> tuple[list[Membership], list[Entry]]:
    """Return the daemons of one failure domain, and their joins."""
    members = [
        Member(f"entry-{index:02}", "1", "region-1/domain-1", address, "127.0.0.1:1")
        for index, address in enumerate(free_addresses(count))
    ]
    entries = [
        Entry(offset, Record(member.id, "", JOIN, member._asdict(), {}))
        for offset, member in enumerate(members, start=1)
    ]
    return [make_daemon(member) for member in members], entries


def make_daemon(me: Member) -> Membership:
    """Return one daemon with limiters that all have free slots."""
    journal = FakeJournal()
    membership = Membership(me, Roster(), journal, secret=b"bench", version=version)
    limiters = SlotLimiters(lambda: membership.window, me.id)
    for number in range(LIMITERS):
        limiters.limiter(f"upstream/engine-{number:04}").limit = LIMIT
    membership.attach_limits(limiters)
    return membership


def version() -> int:
    """Return a configuration version that changes at the target's rate."""
    return int(time.monotonic() / CHANGE_INTERVAL_S)


def summaries() -> tuple[Summary, ...]:
    """Return the current summaries of the other failure domains."""
    return tuple(
        Summary(f"region-{index % 8}/domain-{index}", 1, version())
        for index in range(2, 2 + OTHER_DOMAINS)
    )


async def receive_remote_heartbeats(daemon: Membership) -> None:
    """Deliver heartbeats of other failure domains to one daemon, as to a delegate."""
    remote_member = Member("other", "1", "region-2/domain-2", "-", "-")
    while True:
        beat = Heartbeat(1, 1, 1, 1, version(), summaries=summaries())
        daemon.view.apply_heartbeat(remote_member, beat)
        await asyncio.sleep(1.0)


def memory_kb() -> float:
    """Return the resident memory of this process in KB."""
    lines = Path("/proc/self/status").read_text().splitlines()
    return float(next(li for li in lines if li.startswith("VmRSS:")).split()[1])


async def until_linked(daemons: Sequence[Membership], links: int) -> None:
    """Wait until every daemon has all its links."""
    while True:
        if all(len(daemon.links) == links for daemon in daemons):
            return
        await asyncio.sleep(1.0)


async def measure(links: int, traffic: Traffic) -> Usage:
    """Return the usage of a daemon with a number of links.

    :param links: peers of each daemon
    :param traffic: counts the frames that this process sends
    """
    before_kb = memory_kb()
    daemons, joins = make_daemons(links + 1)
    tasks = [asyncio.create_task(daemon.run()) for daemon in daemons]
    await asyncio.sleep(LISTEN_WAIT_S)
    for daemon in daemons:
        for entry in joins:
            daemon.roster.apply(entry)
    tasks.append(asyncio.create_task(receive_remote_heartbeats(daemons[0])))
    async with asyncio.timeout(START_TIMEOUT_S):
        await until_linked(daemons, links)
    await asyncio.sleep(SETTLE_S)
    frames, sent, cpu_s = traffic.frames, traffic.bytes, time.process_time()
    await asyncio.sleep(MEASURE_S)
    share = 1 / MEASURE_S / len(daemons)
    cpu = (time.process_time() - cpu_s) * share
    payload = 2 * (traffic.bytes - sent) * share
    headers = 4 * (traffic.frames - frames) * TCP_IP_BYTES * share
    added_kb = (memory_kb() - before_kb) / len(daemons)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return Usage(cpu * 100, payload / KB, (payload + headers) / KB, added_kb)


async def measure_all(sizes: tuple[int, ...]) -> list[Usage]:
    """Return the usage at each size; measures small sizes first, on unused memory."""
    traffic = Traffic()
    usage_by_size = {size: await measure(size, traffic) for size in sorted(sizes)}
    return [usage_by_size[size] for size in sizes]


def main(*, sizes: tuple[int, ...] = LINKS, target: int = TARGET_LINKS) -> None:
    """Measure the links of one daemon at several sizes.

    :param sizes: numbers of links
    :param target: number of links to extrapolate the usage to
    """
    logger.remove()
    uvloop.install()
    usages = asyncio.run(measure_all(sizes))
    titles = (
        ("Peers, core", "% of a core"),
        ("Peers, frames both ways", "KB/s"),
        ("Peers, on the wire both ways", "KB/s"),
        ("Peers, memory", "KB"),
    )
    for index, (title, unit) in enumerate(titles):
        values = [usage[index] for usage in usages]
        print_fit(title, "links", sizes, values, unit, target=target)


if __name__ == "__main__":
    defopt.run(main)
