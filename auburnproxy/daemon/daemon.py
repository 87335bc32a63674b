"""One daemon: its slices, joined."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Iterator

from ..admission import Admission
from ..configuration import Configuration
from ..external.http import connect_hosts, connect_log, connect_weights
from ..journal import Journal
from ..ledger import AtMostOnceRunner, Ledger
from ..membership import Epoch, Member, Membership, Roster
from ..membership.rendezvous import rank
from ..operators import Overview
from ..quotas import OrphanedCalls, SlotLimiters, owner, owns, share
from ..replicas import Downtime, Planner, Readiness, Reconciler, Repairs, Replicas
from ..routing import Router
from ..serving import Frontend, PeerSelector, RequestLimits
from ..telemetry import Gauge, Reading, Telemetry, part
from ..upstreams import Watcher
from ..upstreams.http_engine import connect_engine
from ..upstreams.http_service import connect_service
from ..upstreams.sharing import Sharing
from ._local import DaemonView
from ._lost import LostDaemons
from ._moves import Moves
from ._peers import KnownPeers, Offers, Targets
from ._sharing import LinkedPeers
from ._wants import Wants
from .settings import Calls, Settings
from .tasks import Tasks

FAREWELL_S = 3.0
"""Longest wait for the journal at a shutdown."""
STORE_KEY = "plan/weight-store"
"""Quota of the weight store's loads, divided like a plan's limit."""

CHECKPOINT_KEY = "checkpoint"
"""Ranks the daemons in the order in which they write checkpoints."""
FITNESS_CHECK_S = 1.0

log = part("daemon")


def new_member(settings: Settings) -> Member:
    """Return this start of the daemon.

    :param settings: the daemon's settings
    """
    return Member(
        name=settings.name,
        incarnation=f"{time.time_ns():016x}",
        failure_domain=settings.failure_domain,
        peer_address=settings.listen.peers,
        internal_address=settings.listen.internal,
    )


class Daemon:
    """Owns the slices of one process and the tasks that they run in.

    It is made on the event loop that it runs on.

    :param settings: checked settings
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.me = new_member(settings)
        self.telemetry = Telemetry()
        self.drained = asyncio.Event()
        self._tasks = Tasks(_note_end)
        self._join_journal(settings)
        self._join_members(settings)
        self._join_upstreams(settings)
        self._join_serving(settings)
        self._join_operators(settings)

    def _join_journal(self, settings: Settings) -> None:
        self.roster = Roster()
        self.configuration = Configuration()
        self.replicas = Replicas()
        self.ledger = Ledger()
        self.log_service = connect_log(settings.platform.log)
        self.telemetry.gauges.append(self._log_readings)
        reducers = [self.roster, self.configuration, self.replicas, self.ledger]
        self.journal = Journal(
            self.log_service,
            reducers,
            author=self.me.id,
            failure_domain=self.me.failure_domain,
            failure_domains=lambda: self.roster.failure_domains,
            rank=self._checkpoint_rank,
        )

    def _log_readings(self) -> Iterator[Reading]:
        yield Reading(Gauge.STORE_ERA, self.log_service.era.number)

    def _join_members(self, settings: Settings) -> None:
        self.membership = Membership(
            self.me,
            self.roster,
            self.journal,
            secret=settings.secret.encode(),
            seeds=[seed.peers for seed in settings.seeds],
            version=lambda: self.configuration.version,
            lost_hosts=lambda: self.lost.names(),
            is_out=self.configuration.is_out,
        )
        self.lost = LostDaemons(lambda: self.watcher.listed_by_name, self._linked)
        self.limiters = SlotLimiters(lambda: self.membership.window, self.me.id)
        self.orphaned_calls = OrphanedCalls(
            self.limiters, self.membership.busy_slots, self._reported_calls
        )
        self.membership.advertise_busy_slots(lambda: self.limiters.busy_by_key)
        self.membership.add_ack_condition(self._gave_up_ownership)

    def _join_upstreams(self, settings: Settings) -> None:
        self.hosts = connect_hosts(settings.platform.hosts)
        self.weights = connect_weights(settings.platform.weights)
        self.wants = Wants(self.configuration)
        self.sharing = Sharing(LinkedPeers(self.membership))
        self.watcher = Watcher(
            self.hosts,
            connect_engine,
            connect_service,
            failure_domain=self.me.failure_domain,
            is_out=self.configuration.is_out,
            polls=self.sharing.polls,
            relay_grace_s=math.inf,
        )
        self.sharing.attach(self.watcher)
        self.membership.on_reports = self.sharing.take
        self.readiness = Readiness(self.replicas, self.watcher)
        self.downtime = Downtime(
            self.replicas, self.watcher, self.readiness, wanted=self.wants.replicas
        )
        self.targets = Targets(self.readiness, self.watcher)
        self.membership.attach_limits(
            Offers(self.limiters, self.configuration, self.targets)
        )
        repairs = Repairs(self.replicas)
        self.planner = Planner(
            self.replicas,
            self.journal,
            self.watcher,
            self.weights,
            wanted=self.wants.replicas,
            owns=self._owns,
            repairs=repairs,
            demand=self.wants.demand,
        )
        self.reconciler = Reconciler(
            self.replicas,
            self.watcher,
            self.weights,
            owns=self._owns,
            repairs=repairs,
            fence_epoch=lambda: self.membership.view.epoch,
            store_share=self._store_share,
        )

    def _join_serving(self, settings: Settings) -> None:
        self.router = Router(self.watcher, self.readiness, self.limiters)
        self.admission = Admission(self.configuration, self.limiters, self.router)
        self.runner = AtMostOnceRunner(self.ledger, self.journal)
        peers = KnownPeers(
            self.membership, self.configuration, self.limiters, self.targets
        )
        self.frontend = Frontend(
            self.configuration,
            self.admission,
            self.router,
            self.readiness,
            self.watcher,
            self.runner,
            PeerSelector(peers),
            self.telemetry,
            secret=settings.secret.encode(),
            incarnation=self.me.incarnation,
            ready=lambda: self.ready,
            limits=_limits(settings.calls),
        )

    def _join_operators(self, settings: Settings) -> None:
        self.moves = Moves(self.configuration, self.telemetry)
        self.view = DaemonView(self)
        self.overview = Overview(
            self.me.id,
            self.view,
            members=self._other_members,
            version=lambda: self.configuration.version,
            key=settings.operator_key,
        )

    @property
    def ready(self) -> bool:
        """Return whether the state is whole and this daemon has its shares."""
        return self.journal.ready and bool(self.membership.window.epochs)

    def start(self) -> None:
        """Start the tasks of all slices."""
        self._tasks.spawn("journal", self.journal.run())
        self._tasks.spawn("membership", self.membership.run())
        self._tasks.spawn("upstreams", self.watcher.run())
        self._tasks.spawn("sharing", self.sharing.run())
        self._tasks.spawn("planner", self.planner.run())
        self._tasks.spawn("custodian", self.reconciler.run())
        self._tasks.spawn("downtime", self.downtime.run())
        self._tasks.spawn("serving", self.frontend.run())
        self._tasks.spawn("orphans", self.orphaned_calls.run())
        self._tasks.spawn("moves", self.moves.run())
        self._tasks.spawn("fitness", self._until_unfit())
        log.info("{} started.", self.me.id)

    async def stop(self) -> None:
        """Finish what is in flight, hand over the parts and end every task."""
        try:
            async with asyncio.timeout(self.settings.drain_s):
                await self.frontend.drain()
        except TimeoutError:
            log.warning("{} requests were cut off.", self.frontend.in_flight)
        await self.membership.leave(timeout_s=FAREWELL_S)
        self.drained.set()
        await self._tasks.cancel()
        await self._close()
        log.info("{} stopped.", self.me.id)

    async def _close(self) -> None:
        await self.frontend.close()
        for service in (self.log_service, self.hosts, self.weights):
            await service.close()

    async def _until_unfit(self) -> None:
        """End when only a restart helps; the daemon stops with this task."""
        while True:
            await asyncio.sleep(FITNESS_CHECK_S)
            if self.journal.diverged:
                log.critical("The log went on from an older state; restart needed.")
                return
            if self.membership.expelled and not self.frontend.draining:
                log.critical("Peers took this daemon for gone; restart needed.")
                return

    def _other_members(self) -> dict[str, list[Member]]:
        return {
            domain: [m for m in self.roster.members(domain) if m != self.me]
            for domain in self.roster.failure_domains
        }

    def _checkpoint_rank(self) -> int:
        """Return this daemon's place among all members in writing checkpoints."""
        gone = self.membership.gone
        members = [m for group in self._other_members().values() for m in group]
        alive = (self.me, *(m for m in members if m.id not in gone))
        return rank(CHECKPOINT_KEY, alive).index(self.me)

    def _owns(self, key: str) -> bool:
        return owns(key, self.membership.window, self.me.id)

    def _reported_calls(self, host: str) -> int | None:
        """Return the calls that an upstream reports to run or queue."""
        engine = self.watcher.report(host)
        if engine is not None:
            return engine.in_flight + engine.queued
        service = self.watcher.service_report(host)
        return service.in_flight if service is not None else None

    def _linked(self) -> set[str]:
        return {link.peer.name for link in self.membership.links_by_id.values()}

    def _gave_up_ownership(self, epoch: Epoch) -> bool:
        """Return whether no order is under way for a host that an epoch takes away."""
        gone = self.membership.gone
        keys = self.reconciler.keys_with_open_orders
        return all(owner(key, epoch, gone) == self.me for key in keys)

    def _store_share(self, loads_per_minute: int) -> float:
        window = self.membership.window
        return float(share(loads_per_minute, STORE_KEY, window, self.me.id))


def _note_end(task: asyncio.Task[None]) -> None:
    log.opt(exception=task.exception()).critical("{} ended.", task.get_name())


def _limits(calls: Calls) -> RequestLimits:
    return RequestLimits(
        body_bytes=calls.body_bytes,
        body_timeout_s=calls.body_timeout_s,
        deadline_s=calls.default_deadline_s,
        longest_deadline_s=calls.longest_deadline_s,
    )
