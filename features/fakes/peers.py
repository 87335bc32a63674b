"""Daemons that run only membership and quotas, and a frozen one, on loopback."""

import asyncio

from auburnproxy.journal import Journal
from auburnproxy.membership import Member, Membership, Roster
from auburnproxy.quotas import SlotLimiters

from .log import LogPort

SECRET = b"peers of the test"
LIMIT = 12
UPSTREAM_KEY, PLAN_KEY = "upstream/u", "plan/p"


class Peer:
    """One daemon with its tasks."""

    def __init__(self, name, incarnation, log, address, out):
        self.me = Member(name, incarnation, name[0], address, "127.0.0.1:1")
        self.port = LogPort(log)
        self.roster = Roster()
        self.journal = Journal(self.port, [self.roster], author=self.me.id)
        self.membership = Membership(
            self.me,
            self.roster,
            self.journal,
            secret=SECRET,
            version=lambda: self.roster.revision,
            is_out=lambda domain, host: domain in out,
        )
        self.limiters = SlotLimiters(lambda: self.membership.window, self.me.id)
        for key in (UPSTREAM_KEY, PLAN_KEY):
            self.limiters.limiter(key).limit = LIMIT
        self.membership.attach_limits(self.limiters)
        self.membership.advertise_busy_slots(lambda: self.limiters.busy_by_key)
        runs = (self.journal.run(), self.membership.run())
        self.tasks = [asyncio.get_running_loop().create_task(run) for run in runs]

    @property
    def share(self):
        return self.limiters.limiter(UPSTREAM_KEY).share

    @property
    def linked_names(self):
        return {i.partition("@")[0] for i in self.membership.links_by_id}

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class FrozenPeer:
    """Behaves as a stopped process does: listens on an address and never answers."""

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self.opening = asyncio.start_server(lambda r, w: None, host, int(port))

    async def start(self):
        self.server = await self.opening
        return self

    async def stop(self):
        self.server.close()
