"""Fake network and engines for daemons that share reports."""

from __future__ import annotations

import asyncio
import math
from collections import defaultdict

from loguru import logger

from auburnproxy.errors import PlatformError, Ran, UpstreamError
from auburnproxy.external import HostEntry, HostKind, HostList, Presence
from auburnproxy.membership import Member, Reports
from auburnproxy.upstreams import Watcher
from auburnproxy.upstreams.engine import Engine, EngineReport, EngineState, FencingToken
from auburnproxy.upstreams.peers import Peers
from auburnproxy.upstreams.report_sharing import ReportSharing

DOMAIN = "d1"
RESOLUTION_S = 1e-6
NETWORK_DELAY_S = 0.002
"""Default one-way delay of polls and frames in seconds."""


logger.disable("auburnproxy.upstreams")


class NumberedReportEngine(Engine):
    """An engine that numbers its reports in ``in_flight`` and records them."""

    def __init__(self, entry: HostEntry):
        self.entry = entry
        self.starts, self.state = 1, EngineState.IDLE
        self.alive, self.hangs = True, False
        self.prefixes: tuple[str, ...] = ()
        self.sent_reports: list[tuple[float, EngineReport]] = []

    def restart(self):
        self.starts += 1
        self.alive, self.hangs, self.state = True, False, EngineState.IDLE

    def next_report(self) -> EngineReport:
        report = EngineReport(
            self.entry.name,
            f"{self.entry.name}#{self.starts}",
            self.state,
            FencingToken(0, 0),
            None,
            in_flight=len(self.sent_reports),
            queued=0,
            weights=(),
            prefixes=self.prefixes,
            prefix_gaps=0,
        )
        self.sent_reports.append((now(), report))
        return report

    async def report(self):
        return self.next_report()

    async def order(self, order):
        raise NotImplementedError

    def generate(self, call):
        raise NotImplementedError

    async def close(self):
        pass


class EngineConnection(Engine):
    """The connection of one daemon to an engine."""

    def __init__(self, daemon: SharingDaemon, engine: NumberedReportEngine):
        self.daemon, self.engine = daemon, engine

    async def report(self):
        await asyncio.sleep(NETWORK_DELAY_S)
        if not self.engine.alive or self.engine.entry.name in self.daemon.blocked_hosts:
            raise UpstreamError("connection refused", ran=Ran.NO)
        if self.engine.hangs:
            await asyncio.Event().wait()
        report = self.engine.next_report()
        self.daemon.polls[self.engine.entry.name] += 1
        await asyncio.sleep(NETWORK_DELAY_S)
        await self.daemon.running.wait()
        return report

    async def order(self, order):
        raise NotImplementedError

    def generate(self, call):
        raise NotImplementedError

    async def close(self):
        pass


class FakeNetwork(HostList):
    """The hosts, and the links between daemons; links preserve frame order."""

    def __init__(self, hosts: int):
        self.engines_by_host: dict[str, NumberedReportEngine] = {}
        self.daemons: list[SharingDaemon] = []
        self.cut_links: set[frozenset[str]] = set()
        self.lossy_link: frozenset[str] = frozenset()
        """The pair of connected daemons whose frames are dropped."""
        self.delay_s: dict[tuple[str, str], float] = defaultdict(
            lambda: NETWORK_DELAY_S
        )
        self.bytes_sent = 0
        for number in range(hosts):
            entry = HostEntry(
                f"h{number}",
                f"127.0.0.1:{9000 + number}",
                DOMAIN,
                "f1",
                HostKind.ENGINE,
                Presence.LIVE,
            )
            self.engines_by_host[entry.name] = NumberedReportEngine(entry)

    async def fetch(self):
        if not self.engines_by_host:
            raise PlatformError("no hosts")
        return tuple(engine.entry for engine in self.engines_by_host.values())

    def linked(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.cut_links


class SharingDaemon(Peers):
    """The watcher and report sharing of one daemon, with its own clock.

    :param offset_s: reading of its clock when the event loop's clock is 0
    :param rate: seconds that its clock gains per second
    """

    def __init__(self, network: FakeNetwork, number: int, offset_s=0.0, rate=0.0):
        self._me = Member(f"fd1-{number}", "1", DOMAIN, f"127.0.0.1:{number + 1}", "")
        self.network, self.offset_s, self.rate = network, offset_s, rate
        self.running = asyncio.Event()
        self.running.set()
        self.blocked_hosts: set[str] = set()
        self.polls: dict[str, int] = defaultdict(int)
        self.arrivals: asyncio.Queue = asyncio.Queue()
        self.sharing = ReportSharing(self, clock=self.clock)
        self.watcher = Watcher(
            network,
            lambda entry: EngineConnection(self, network.engines_by_host[entry.name]),
            lambda entry: None,
            failure_domain=DOMAIN,
            should_poll=self.sharing.should_poll,
            relay_grace_s=math.inf,
        )
        self.sharing.attach(self.watcher)
        self.tasks: list[asyncio.Task] = []

    @property
    def me(self):
        return self._me

    @property
    def connected(self):
        return tuple(
            daemon.me
            for daemon in self.network.daemons
            if daemon is not self and self.network.linked(self.me.id, daemon.me.id)
        )

    def clock(self):
        return self.offset_s + now() * (1 + self.rate)

    def send(self, peer: Member, reports: Reports):
        at = self.offset_s + reports.sent_at * (1 + self.rate)
        by_id = {daemon.me.id: daemon for daemon in self.network.daemons}
        frame = (now(), self, reports._replace(sent_at=at))
        self.network.bytes_sent += len(reports.data)
        lost = frozenset((self.me.id, peer.id)) == self.network.lossy_link
        if peer.id in by_id and not lost:
            by_id[peer.id].arrivals.put_nowait(frame)

    def start(self):
        self.tasks = [
            asyncio.create_task(work)
            for work in (self.watcher.run(), self.sharing.run(), self._receive())
        ]

    async def _receive(self):
        """Deliver the frames of each link in order and delayed; pause while frozen."""
        queues_by_sender: dict[str, asyncio.Queue] = {}
        async with asyncio.TaskGroup() as group:
            while True:
                frame = await self.arrivals.get()
                sender = frame[1].me.id
                if sender not in queues_by_sender:
                    queues_by_sender[sender] = asyncio.Queue()
                    group.create_task(self._deliver(queues_by_sender[sender]))
                queues_by_sender[sender].put_nowait(frame)

    async def _deliver(self, frames: asyncio.Queue):
        while True:
            sent_at, sender, reports = await frames.get()
            route = (sender.me.id, self.me.id)
            remaining_s = sent_at + self.network.delay_s[route] - now()
            if remaining_s > RESOLUTION_S:
                await asyncio.sleep(remaining_s)
            await sender.running.wait()
            await self.running.wait()
            if self.network.linked(*route):
                self.sharing.receive(sender.me, reports)

    def stored(self, host: str) -> tuple[float, EngineReport, EngineReport] | None:
        """Return the unexpired report of a host with what the host sent, or None.

        :return: when the engine sent it, what it sent, and what is stored
        """
        report = self.watcher.report(host)
        if report is None:
            return None
        sent_at, sent = self.network.engines_by_host[host].sent_reports[
            report.in_flight
        ]
        return sent_at, sent, report

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def now() -> float:
    return asyncio.get_running_loop().time()
