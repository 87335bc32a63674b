"""Daemon on the product's own platform: builds its components and runs them."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable, Iterator, Sequence

from ..admission import Admission
from ..clock import loop_time
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
from ..stop_budget import StopBudget, plan_stop
from ..telemetry import Gauge, GaugeReading, Telemetry, component_logger
from ..upstreams import Watcher
from ..upstreams.http_engine import connect_engine
from ..upstreams.http_service import connect_service
from ..upstreams.report_sharing import ReportSharing
from ._daemon_view import DaemonView
from ._desired_replicas import DesiredReplicas
from ._domain_transitions import DomainTransitions
from ._linked_peers import LinkedPeers
from ._lost_daemons import LostDaemons
from ._peers import AdvertisedCapacity, ForwardingPeers, TargetHosts
from .settings import Calls, Settings
from .stop_signals import StopRequest
from .suspension_detector import SuspensionDetector
from .tasks import Tasks

BALANCER_DRAIN_S = 3.0
"""Seconds after the stop signal for which the load balancer may still send requests."""
BALANCER_DRAIN_FRACTION = 0.25
"""Upper bound of the same, as a fraction of the time in which the daemon must stop."""
LEAVE_TIMEOUT_S = 3.0
"""Longest wait at a shutdown for the journal to record outcomes and the leave."""
RECORD_MARGIN_S = 0.1
"""Time for ending the background tasks after that."""
WEIGHT_STORE_KEY = "plan/weight-store"
"""Quota key of the weight store's loads, which is divided like a plan's limit."""
CHECKPOINT_RANK_KEY = "checkpoint"
"""Rendezvous hash key that ranks the daemons that may write checkpoints."""
RESTART_CHECK_INTERVAL_S = 1.0
SUSPENSION_TICK_S = 0.1
"""A stop signal is taken to be up to this much older than it is."""

log = component_logger("daemon")


def create_member(settings: Settings) -> Member:
    """Return the daemon as a member with a new incarnation.

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
    """Builds the components of one process and owns the tasks that they run in.

    Must be created on the event loop that it runs on.

    :param settings: checked settings
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.me = create_member(settings)
        self.telemetry = Telemetry()
        self.drained = asyncio.Event()
        self.request_stop: Callable[[], None] = lambda: None
        """Requests an ordinary stop of the process."""
        self._suspension = SuspensionDetector()
        self._stop_budget: StopBudget | None = None
        self._tasks = Tasks(_log_task_end, lambda: self.request_stop())
        self._build_journal(settings)
        self._build_membership(settings)
        self._build_upstreams(settings)
        self._build_serving(settings)
        self._build_operator_api(settings)

    def _build_journal(self, settings: Settings) -> None:
        self.roster = Roster()
        self.configuration = Configuration()
        self.replicas = Replicas()
        self.ledger = Ledger()
        self.log_service = connect_log(settings.platform.log)
        self.telemetry.gauges.append(self._gauge_readings)
        reducers = [self.roster, self.configuration, self.replicas, self.ledger]
        self.journal = Journal(
            self.log_service,
            reducers,
            author=self.me.id,
            failure_domain=self.me.failure_domain,
            failure_domains=lambda: self.roster.failure_domains,
            rank=self._checkpoint_rank,
        )

    def _gauge_readings(self) -> Iterator[GaugeReading]:
        yield GaugeReading(Gauge.STORE_ERA, self.log_service.era.number)

    def _build_membership(self, settings: Settings) -> None:
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
        self.lost = LostDaemons(
            lambda: self.watcher.all_entries_by_name, self._linked_names
        )
        self.limiters = SlotLimiters(lambda: self.membership.window, self.me.id)
        self.orphaned_calls = OrphanedCalls(
            self.limiters, self.membership.busy_slots, self._reported_calls
        )
        self.membership.advertise_busy_slots(lambda: self.limiters.busy_by_key)
        self.membership.add_ack_condition(self._keeps_hosts_with_orders)

    def _build_upstreams(self, settings: Settings) -> None:
        self.hosts = connect_hosts(settings.platform.hosts)
        self.weights = connect_weights(settings.platform.weights)
        self.desired_replicas = DesiredReplicas(self.configuration)
        self.sharing = ReportSharing(LinkedPeers(self.membership))
        self.watcher = Watcher(
            self.hosts,
            connect_engine,
            connect_service,
            failure_domain=self.me.failure_domain,
            is_out=self.configuration.is_out,
            should_poll=self.sharing.should_poll,
            relay_grace_s=math.inf,
        )
        self.sharing.attach(self.watcher)
        self.membership.on_reports = self.sharing.receive
        self.readiness = Readiness(self.replicas, self.watcher)
        self.downtime = Downtime(
            self.replicas,
            self.watcher,
            self.readiness,
            desired_replicas=self.desired_replicas.count_by_model,
        )
        self.targets = TargetHosts(self.readiness, self.watcher)
        self.membership.attach_limits(
            AdvertisedCapacity(self.limiters, self.configuration, self.targets)
        )
        repairs = Repairs(self.replicas)
        self.planner = Planner(
            self.replicas,
            self.journal,
            self.watcher,
            self.weights,
            desired_replicas=self.desired_replicas.count_by_model,
            owns=self._owns,
            repairs=repairs,
            demand=self.desired_replicas.weight_by_model,
        )
        self.reconciler = Reconciler(
            self.replicas,
            self.watcher,
            self.weights,
            owns=self._owns,
            repairs=repairs,
            fence_epoch=lambda: self.membership.view.epoch,
            store_share=self._weight_store_share,
        )

    def _build_serving(self, settings: Settings) -> None:
        self.router = Router(self.watcher, self.readiness, self.limiters)
        self.admission = Admission(self.configuration, self.limiters, self.router)
        self.runner = AtMostOnceRunner(self.ledger, self.journal)
        peers = ForwardingPeers(
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
            limits=_request_limits(settings.calls),
        )

    def _build_operator_api(self, settings: Settings) -> None:
        self.domain_transitions = DomainTransitions(self.configuration, self.telemetry)
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
        """Return whether the journal has caught up and this daemon has quota shares."""
        return self.journal.ready and bool(self.membership.window.epochs)

    def start(self) -> None:
        """Start the tasks of all components."""
        self._tasks.spawn("journal", self.journal.run())
        self._tasks.spawn("membership", self.membership.run())
        self._tasks.spawn("upstreams", self.watcher.run())
        self._tasks.spawn("sharing", self.sharing.run())
        self._tasks.spawn("planner", self.planner.run())
        self._tasks.spawn("custodian", self.reconciler.run())
        self._tasks.spawn("downtime", self.downtime.run())
        self._tasks.spawn("serving", self.frontend.run())
        self._tasks.spawn("orphans", self.orphaned_calls.run())
        self._tasks.spawn("moves", self.domain_transitions.run())
        self._tasks.spawn("suspension", self._detect_suspension())
        self._tasks.spawn("fitness", self._wait_until_restart_needed())
        log.info("{} started.", self.me.id)

    def log_held(self, address: str, error: OSError) -> None:
        """Log that a listener waits for its address.

        :param address: IP number and port
        :param error: why it cannot be bound
        """
        log.warning("Waiting for {}: {}.", address, error)

    def log_failed_start(self, error: Exception) -> None:
        """Log why the process ends before it has started.

        :param error: what failed
        """
        log.opt(exception=error).critical("The daemon could not start.")

    @property
    def failed_task(self) -> str:
        """Return the name of a task whose error stops the daemon, empty for none."""
        return self._tasks.failed

    @property
    def grace_s(self) -> float:
        """Return the seconds from a stop signal until the process would be killed."""
        return self.settings.drain_s

    @property
    def last_ran_at(self) -> float:
        """Return the loop's time before which a signal noticed now was not sent."""
        return self._suspension.last_ran_at()

    def begin_stop(self, request: StopRequest) -> StopBudget:
        """Begin to drain and return the budget of the stop.

        A daemon that is not ready gets no requests from the load balancer, so it does
        not wait for it.

        :param request: when the process was asked to stop
        """
        drain_s = self.settings.drain_s
        balancer_s = min(BALANCER_DRAIN_S, BALANCER_DRAIN_FRACTION * drain_s)
        self._stop_budget = plan_stop(
            noticed_at=request.noticed_at,
            last_ran_at=request.last_ran_at,
            grace_s=drain_s,
            refuse_after_s=balancer_s if self.ready else 0.0,
        )
        self.frontend.announce_stop(self._stop_budget.cut_at)
        return self._stop_budget

    def log_signal(self, name: str) -> None:
        """Log that a stop signal arrived; all but the first change nothing.

        :param name: name of the signal
        """
        log.info("{} arrived.", name)

    def log_overrun(self, what: str, *, where: Sequence[str] = ()) -> None:
        """Log that something did not stop within the budget and was left as it is.

        :param what: name of what did not stop
        :param where: innermost calls of a process that hangs
        """
        calls = f" It is in {', '.join(where)}." if where else ""
        log.error("{} did not stop in time.{}", what, calls)

    def log_stopped(self) -> None:
        """Log that the daemon has stopped, after everything else that it logs."""
        log.info("{} stopped.", self.me.id)

    def flush_logs(self, timeout_s: float) -> None:
        """Write the log lines that are still held back; there are none.

        :param timeout_s: longest wait in seconds for a slow reader of the log
        """

    async def stop(self) -> None:
        """Drain requests, leave the group for peers to take over, cancel all tasks."""
        now = loop_time()
        budget = self._stop_budget or self.begin_stop(StopRequest(now, now))
        await asyncio.sleep(budget.refuse_at - loop_time())
        await self.frontend.drain(cut_at=budget.cut_at, answered_at=budget.answered_at)
        leaving = asyncio.create_task(self._leave(budget.close_at - RECORD_MARGIN_S))
        await asyncio.wait({leaving}, timeout=budget.answered_at - loop_time())
        self.drained.set()
        await leaving
        await self._tasks.cancel()
        await self._close()

    async def _leave(self, until: float) -> None:
        """Record the outcomes of calls, and that this daemon leaves its group.

        :param until: the loop's time at which the log is no longer waited for
        """
        timeout_s = min(LEAVE_TIMEOUT_S, until - loop_time())
        await asyncio.gather(
            self.frontend.wait_recorded(timeout_s=timeout_s),
            self.membership.leave(timeout_s=timeout_s),
        )

    async def _close(self) -> None:
        await self.frontend.close()
        for service in (self.log_service, self.hosts, self.weights):
            await service.close()

    async def _detect_suspension(self) -> None:
        while True:
            self._suspension.tick()
            await asyncio.sleep(SUSPENSION_TICK_S)

    async def _wait_until_restart_needed(self) -> None:
        """Return once only a restart helps; the end of this task stops the daemon."""
        while True:
            await asyncio.sleep(RESTART_CHECK_INTERVAL_S)
            if self.journal.diverged:
                log.critical(
                    "The log service returned to an older state; restart needed."
                )
                return
            if self.membership.expelled and not self.frontend.draining:
                log.critical("Peers consider this daemon gone; restart needed.")
                return

    def _other_members(self) -> dict[str, list[Member]]:
        return {
            domain: [m for m in self.roster.members(domain) if m != self.me]
            for domain in self.roster.failure_domains
        }

    def _checkpoint_rank(self) -> int:
        """Return this daemon's rank among the live members for writing checkpoints."""
        gone = self.membership.gone
        members = [m for group in self._other_members().values() for m in group]
        alive = (self.me, *(m for m in members if m.id not in gone))
        return rank(CHECKPOINT_RANK_KEY, alive).index(self.me)

    def _owns(self, key: str) -> bool:
        return owns(key, self.membership.window, self.me.id)

    def _reported_calls(self, host: str) -> int | None:
        """Return the calls that an upstream reports as running or queued."""
        engine = self.watcher.report(host)
        if engine is not None:
            return engine.in_flight + engine.queued
        service = self.watcher.service_report(host)
        return service.in_flight if service is not None else None

    def _linked_names(self) -> set[str]:
        return {link.peer.name for link in self.membership.links_by_id.values()}

    def _keeps_hosts_with_orders(self, epoch: Epoch) -> bool:
        """Return whether each host with an order under way stays with this daemon.

        :param epoch: the epoch that may assign hosts to other daemons
        """
        gone = self.membership.gone
        keys = self.reconciler.keys_with_open_orders
        return all(owner(key, epoch, gone) == self.me for key in keys)

    def _weight_store_share(self, loads_per_minute: int) -> float:
        window = self.membership.window
        return float(share(loads_per_minute, WEIGHT_STORE_KEY, window, self.me.id))


def _log_task_end(task: asyncio.Task[None]) -> None:
    log.opt(exception=task.exception()).critical(
        "Task {} ended unexpectedly.", task.get_name()
    )


def _request_limits(calls: Calls) -> RequestLimits:
    return RequestLimits(
        body_bytes=calls.body_bytes,
        body_timeout_s=calls.body_timeout_s,
        deadline_s=calls.default_deadline_s,
        longest_deadline_s=calls.longest_deadline_s,
    )
