"""A caller that makes as many calls as a daemon's share of each limit allows."""

from __future__ import annotations

import asyncio

from auburnproxy.membership.epoch import Epoch, EpochWindow
from auburnproxy.membership.member import Member
from auburnproxy.quotas import share
from auburnproxy.upstreams import Observation, Result


class Caller:
    """Calls replicas of a model with this daemon's share of each limit."""

    def __init__(self, platform, daemon, model, rank, daemons):
        self.platform, self.daemon, self.model = platform, daemon, model
        members = tuple(
            Member(f"daemon{number}", "1", "d1", "", "") for number in range(daemons)
        )
        self.window = EpochWindow((Epoch(1, members),), frozenset())
        self.member_id = members[rank].id
        self.in_flight: dict[str, int] = {}

    def share(self, host):
        limit = self.daemon.watcher.limit(host)
        return share(limit, f"upstream/{host}", self.window, self.member_id)

    def start_calls(self, call_s):
        """Start as many calls as the shares allow now."""
        for replica in self.daemon.readiness.serving(self.model):
            while self.in_flight.get(replica.head, 0) < self.share(replica.head):
                if not self.call(replica, call_s):
                    break

    def call(self, replica, call_s):
        """Start one call that ends after ``call_s``; return whether it was accepted."""
        watcher, engine = (
            self.daemon.watcher,
            self.platform.engines_by_host[replica.head],
        )
        report = watcher.report(replica.head)
        if not engine.accept(report.incarnation, replica.generation):
            refused = Observation(Result.REFUSED, incarnation=report.incarnation)
            watcher.observe(replica.head, refused)
            return False
        self.in_flight[replica.head] = self.in_flight.get(replica.head, 0) + 1
        started_on = (engine.start_count, engine.assignment)
        asyncio.get_running_loop().call_later(
            call_s, self.end, engine, started_on, report
        )
        return True

    def end(self, engine, started_on, report):
        host = engine.entry.name
        self.in_flight[host] -= 1
        completed = (
            engine.alive and (engine.start_count, engine.assignment) == started_on
        )
        engine.in_flight -= completed
        result = Result.COMPLETED if completed else Result.CLOSED
        observation = Observation(result, engine.first_token_s, report.incarnation)
        self.daemon.watcher.observe(host, observation)
