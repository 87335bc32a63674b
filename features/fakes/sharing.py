"""Daemons of one failure domain that share reports over links on a switch."""

from __future__ import annotations

import asyncio
import math
from collections import defaultdict

from loguru import logger

from auburnproxy.errors import PlatformError, Ran, UpstreamError
from auburnproxy.external import HostEntry, HostKind, HostList, Presence
from auburnproxy.membership import Member, Reports
from auburnproxy.upstreams import Watcher
from auburnproxy.upstreams.engine import Engine, EngineReport, EngineState, Fence
from auburnproxy.upstreams.peers import Peers
from auburnproxy.upstreams.sharing import Sharing

DOMAIN = "d1"
RESOLUTION_S = 1e-6
TRANSIT_S = 0.002
"""Least seconds that a frame takes."""


logger.disable("auburnproxy.upstreams")


class StampedEngine(Engine):
    """One host; the number in flight tells which report it was."""

    def __init__(self, entry: HostEntry):
        self.entry = entry
        self.starts, self.state = 1, EngineState.IDLE
        self.alive, self.hangs = True, False
        self.prefixes: tuple[str, ...] = ()
        self.made: list[tuple[float, EngineReport]] = []

    def restart(self):
        self.starts += 1
        self.alive, self.hangs, self.state = True, False, EngineState.IDLE

    def report_now(self) -> EngineReport:
        report = EngineReport(
            self.entry.name,
            f"{self.entry.name}#{self.starts}",
            self.state,
            Fence(0, 0),
            None,
            in_flight=len(self.made),
            queued=0,
            weights=(),
            prefixes=self.prefixes,
            prefix_gaps=0,
        )
        self.made.append((now(), report))
        return report

    async def report(self):
        return self.report_now()

    async def order(self, order):
        raise NotImplementedError

    def generate(self, call):
        raise NotImplementedError

    async def close(self):
        pass


class Line(Engine):
    """One daemon's way to an engine."""

    def __init__(self, daemon: SharingDaemon, engine: StampedEngine):
        self.daemon, self.engine = daemon, engine

    async def report(self):
        await asyncio.sleep(TRANSIT_S)
        if not self.engine.alive or self.engine.entry.name in self.daemon.walls:
            raise UpstreamError("connection refused", ran=Ran.NO)
        if self.engine.hangs:
            await asyncio.Event().wait()
        report = self.engine.report_now()
        self.daemon.polls[self.engine.entry.name] += 1
        await asyncio.sleep(TRANSIT_S)
        await self.daemon.runs.wait()
        return report

    async def order(self, order):
        raise NotImplementedError

    def generate(self, call):
        raise NotImplementedError

    async def close(self):
        pass


class Switch(HostList):
    """The hosts and all links; frames of a link keep their order."""

    def __init__(self, hosts: int):
        self.engines_by_host: dict[str, StampedEngine] = {}
        self.daemons: list[SharingDaemon] = []
        self.cuts: set[frozenset[str]] = set()
        self.lossy: frozenset[str] = frozenset()
        """The pair of daemons whose frames get lost, though they are linked."""
        self.delay_s: dict[tuple[str, str], float] = defaultdict(lambda: TRANSIT_S)
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
            self.engines_by_host[entry.name] = StampedEngine(entry)

    async def fetch(self):
        if not self.engines_by_host:
            raise PlatformError("away")
        return tuple(engine.entry for engine in self.engines_by_host.values())

    def linked(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.cuts


class SharingDaemon(Peers):
    """The watcher and the sharing of one daemon, with a clock of its own.

    :param offset_s: what its clock shows when the loop's shows 0
    :param rate: seconds that its clock gains in a second
    """

    def __init__(self, switch: Switch, number: int, offset_s=0.0, rate=0.0):
        self._me = Member(f"fd1-{number}", "1", DOMAIN, f"127.0.0.1:{number + 1}", "")
        self.switch, self.offset_s, self.rate = switch, offset_s, rate
        self.runs = asyncio.Event()
        self.runs.set()
        self.walls: set[str] = set()
        self.polls: dict[str, int] = defaultdict(int)
        self.arrivals: asyncio.Queue = asyncio.Queue()
        self.sharing = Sharing(self, clock=self.clock)
        self.watcher = Watcher(
            switch,
            lambda entry: Line(self, switch.engines_by_host[entry.name]),
            lambda entry: None,
            failure_domain=DOMAIN,
            polls=self.sharing.polls,
            relay_grace_s=math.inf,
        )
        self.sharing.attach(self.watcher)
        self.tasks: list[asyncio.Task] = []

    @property
    def me(self):
        return self._me

    @property
    def near(self):
        return tuple(
            daemon.me
            for daemon in self.switch.daemons
            if daemon is not self and self.switch.linked(self.me.id, daemon.me.id)
        )

    def clock(self):
        return self.offset_s + now() * (1 + self.rate)

    def send(self, peer: Member, reports: Reports):
        at = self.offset_s + reports.sent_at * (1 + self.rate)
        by_id = {daemon.me.id: daemon for daemon in self.switch.daemons}
        frame = (now(), self, reports._replace(sent_at=at))
        self.switch.bytes_sent += len(reports.data)
        lost = frozenset((self.me.id, peer.id)) == self.switch.lossy
        if peer.id in by_id and not lost:
            by_id[peer.id].arrivals.put_nowait(frame)

    def start(self):
        self.tasks = [
            asyncio.create_task(work)
            for work in (self.watcher.run(), self.sharing.run(), self._receive())
        ]

    async def _receive(self):
        """Deliver frames in order, late on a slow link and not at all while frozen."""
        links: dict[str, asyncio.Queue] = {}
        async with asyncio.TaskGroup() as group:
            while True:
                frame = await self.arrivals.get()
                sender = frame[1].me.id
                if sender not in links:
                    links[sender] = asyncio.Queue()
                    group.create_task(self._deliver(links[sender]))
                links[sender].put_nowait(frame)

    async def _deliver(self, frames: asyncio.Queue):
        while True:
            sent_at, sender, reports = await frames.get()
            route = (sender.me.id, self.me.id)
            rest_s = sent_at + self.switch.delay_s[route] - now()
            if rest_s > RESOLUTION_S:
                await asyncio.sleep(rest_s)
            await sender.runs.wait()
            await self.runs.wait()
            if self.switch.linked(*route):
                self.sharing.take(sender.me, reports)

    def held(self, host: str) -> tuple[float, EngineReport, EngineReport] | None:
        """Return the report held for fresh, if one is, and when and what was made.

        :return: when the engine made it, what it made, and what is held
        """
        report = self.watcher.report(host)
        if report is None:
            return None
        made_at, made = self.switch.engines_by_host[host].made[report.in_flight]
        return made_at, made, report

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def now() -> float:
    return asyncio.get_running_loop().time()
