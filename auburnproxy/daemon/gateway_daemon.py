"""Daemon that routes HTTP requests by host name and path on an external platform."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Collection, Iterator, Sequence
from functools import partial
from random import Random
from types import FrameType

from aiohttp import ClientTimeout, web

from .. import __version__
from ..clock import loop_time
from ..decoding import shorten
from ..errors import AuburnError, DocumentError, PlatformError, UnreadableError
from ..formation import ReplicaController, ReplicaRegistry
from ..formation.demand_layout import DemandLayout
from ..formation.engine_commands import BackoffEngineCommands, BackoffError
from ..formation.leader_election import LeaderElection
from ..formation.registry import TOPIC as REPLICAS_TOPIC
from ..gateway.backoffs import UpstreamBackoffs
from ..gateway.body_memory import BodyMemory
from ..gateway.call import CONNECT_TIMEOUT_S
from ..gateway.caller_connections import CallerConnections, ConnectionLimits
from ..gateway.directory import Directory
from ..gateway.frontend import HttpFrontend
from ..gateway.header_codec import HeaderCodec
from ..gateway.health import Health
from ..gateway.liveness import LivenessChecker
from ..gateway.named_limits import NamedLimits
from ..gateway.outcomes import Outcomes, OutcomeTracker, UnusedOutcomes
from ..gateway.peer_forwarder import PeerForwarder, serve_forwarded
from ..gateway.plain_forwarder import PlainForwarder
from ..gateway.predicted_cost import build_scoring
from ..gateway.process_exits import ProcessExits
from ..gateway.reachability import UpstreamReachability, probe_while_isolated
from ..gateway.route import Configuration, RequestLimits
from ..gateway.sender import Sender
from ..gateway.shared_rates import SharedRates
from ..gateway.stream_forwarder import StreamForwarder
from ..gateway.subsets import Subsets
from ..gateway.upstream_selector import UpstreamSelector
from ..gossip import FactTable
from ..heartbeats import DaemonRecord, Heartbeat, PeerGroup
from ..quarantine import PartQuarantine
from ..quarantine.endpoints import add_endpoints
from ..stop_budget import StopBudget, plan_stop
from ..store import (
    CallPacing,
    Change,
    CountedStore,
    EraChangePolicy,
    Follower,
    HttpPeerClient,
    PacedStore,
    PauseRange,
    PeerClient,
    PeerSync,
)
from ..telemetry import Counter, Gauge, GaugeReading, Telemetry
from ..telemetry.decisions import DecisionLog, open_decision_log
from ..upstreams.client import open_session
from .deployment import Deployment, DomainMark
from .stop_signals import StopRequest
from .suspension_detector import SuspensionDetector
from .tasks import Tasks

DAEMONS_TOPIC = "daemons"
DAEMONS_WAIT_S = 20.0
"""Seconds that a long poll of the daemons' records waits for a new one."""
DAEMONS_PAUSE_S = 1.0
"""Pause between two such polls; at the start every daemon writes a record."""
OPERATORS_WAIT_FRACTION = 0.4
"""Long poll of the operators' records, as a fraction of the time within which a
configuration must be in force. A poll that reached the store while the store did not
respond is abandoned one second after this."""
REPLICAS_WAIT_S = 2.5
"""Long poll of the replicas' records. It may be slower, since the registrations of the
hosts show replicas as well."""
PEER_SYNC_INTERVAL_S = 0.1
SUFFIX_BITS = 24
"""Random bits in the name of a replica. The log offset alone is not unique: after the
store has lost data, two histories may assign the same offset."""
FORMING_PAUSE_S = 0.25
"""Pause between two polls of the registrations by the leader while replicas form."""
FIRST_START_PAUSE_S = 0.12
"""The same at the first start of the system until the first request, while model loads
take a tenth of their usual time."""
LEADER_PAUSE_S = 0.45
"""The same at other times, for the leader, which forms the replicas."""
NON_LEADER_PAUSE_FRACTION = 0.35
"""The same for all other daemons, as a fraction of the time within which a leaving
upstream must no longer be sent requests."""
DISPATCH_TIME_S = 0.1
"""Upper bound in seconds until a dispatched request reaches its upstream."""
LEADER_STORE_PAUSES = PauseRange(0.25, 0.5)
"""Pauses of the leader's calls to a store that does not serve it."""
REPLICAS_PAUSE_S = 0.5
EXPIRY_INTERVAL_S = 0.5
REGISTRATION_RETRY_S = 1.0
REGISTRATION_CONFIRM_S = 5.0
"""Seconds after which a daemon record that was appended, but has not been read back, is
appended again."""
FIRST_START_REGISTRATION_S = 0.4
"""Seconds at the first start of the system within which most daemons have registered;
the daemons' records are read after that."""
PEER_WAIT_S = 1.5
"""Seconds after the start for which a daemon that does not read the store waits for
data from a peer, and counts registered daemons as present."""
FIRST_START_PEER_WAIT_S = 5.0
"""The same at the first start of the system; small hosts take some seconds to start."""
DEDICATED_CORES = 1.0
"""Minimum cores of a host whose daemon is preferred as the leader, which forms the
replicas."""
BALANCER_DRAIN_S = 3.0
"""Seconds after the stop signal for which the load balancer may still send requests."""
CONNECTION_CLOSE_S = 0.2
"""Timeout for closing connections once all requests have been answered."""


class GatewayDaemon:
    """Builds the components of one process and owns the tasks that they run in.

    Must be created on the event loop that it runs on.

    :param deployment: adapter to the external platform
    :param decisions: structured log; standard output by default
    """

    def __init__(
        self, deployment: Deployment, *, decisions: DecisionLog | None = None
    ) -> None:
        self.settings = settings = deployment.settings()
        self.drained = asyncio.Event()
        self.on_limits: Callable[[RequestLimits], None] = lambda limits: None
        """Called with the request limits of each configuration that takes effect."""
        self.decisions = decisions or open_decision_log(settings.name)
        self.telemetry = Telemetry()
        self._deployment = deployment
        self.accepts_callers: Callable[[], bool] = lambda: True
        """Returns whether the callers' listener is open."""
        self.request_stop: Callable[[], None] = lambda: None
        """Requests an ordinary stop of the process."""
        self._suspension = SuspensionDetector()
        self.stop_budget: StopBudget | None = None
        self.tasks = Tasks(self._log_task_end, lambda: self.request_stop())
        self._was_ready = False
        self._random = self._open_random()
        self._pacing = CallPacing(
            self.decisions,
            self.telemetry,
            pauses=self._store_pauses,
            random=self._random,
        )
        self._store = PacedStore(
            CountedStore(deployment.store(settings), self.telemetry), self._pacing
        )
        self._session = open_session(
            reuse_connections=False,
            timeout=ClientTimeout(sock_connect=CONNECT_TIMEOUT_S),
        )
        self._started_at = loop_time()
        self._started = False
        self._peer_wait_s = (
            FIRST_START_PEER_WAIT_S if settings.first_start else PEER_WAIT_S
        )
        self._build_state()
        self._build_formation()
        self._build_serving()
        self.telemetry.gauges += [
            self._readings,
            self.frontend.readings,
            self.connections.readings,
            self.quarantine.readings,
            self.limits.readings,
            self.outcomes.readings,
            self._scoring.readings,
            self.replica_controller.metrics.readings,
        ]

    def _build_state(self) -> None:
        settings, decisions = self.settings, self.decisions
        self._operators = Follower(
            self._store,
            self._deployment.operator_topic,
            decisions,
            wait_s=OPERATORS_WAIT_FRACTION * settings.apply_s,
            should_read=self._should_read,
            pacing=self._pacing,
            peer_wait_s=self._peer_wait_s,
            supersedes=self._supersedes,
        )
        self._upstreams = Follower(
            self._store,
            self._deployment.upstream_topic,
            decisions,
            pause_s=self._registrations_pause_s,
            should_read=self._should_read,
            pacing=self._pacing,
            significant_part=self._deployment.significant_part,
            peer_wait_s=self._peer_wait_s,
            era_policy=EraChangePolicy.DROP_MISSING,
        )
        self._operators.on_change = self._apply_operator_record
        self._upstreams.on_change = self._apply_registration
        poll_pause_s = NON_LEADER_PAUSE_FRACTION * self.settings.drain_s
        self.directory = Directory(
            decisions,
            store_failed_at=lambda: self._upstreams.last_failure_at,
            lapsed_use_s=self.settings.drain_s - poll_pause_s - DISPATCH_TIME_S,
        )
        self._upstreams.on_unchanged = lambda change: self.directory.refresh(change.key)
        self.facts = FactTable()
        self.backoffs = UpstreamBackoffs(decisions)
        self.limits = NamedLimits(self.facts, decisions)
        engine_commands = self._deployment.engine_commands()
        engine_commands.on_leaving = partial(
            self.directory.mark_leaving, source="engine"
        )
        engine_commands.on_unanswered = self._log_unanswered
        self.engine_commands = BackoffEngineCommands(engine_commands, self.backoffs)
        self.health = Health(
            decisions,
            probe=self._probe_upstream,
            heard_elsewhere=lambda host: self.peer_group.aggregate.heard_at(host),
            requests_outrank_probes=settings.load_aware,
        )
        self._daemon_records = Follower(
            self._store,
            DAEMONS_TOPIC,
            decisions,
            wait_s=DAEMONS_WAIT_S,
            pause_s=lambda: DAEMONS_PAUSE_S,
            should_read=self._should_read,
            pacing=self._pacing,
        )
        record = DaemonRecord(
            settings.beats,
            settings.failure_domain,
            settings.internal,
            has_dedicated_core=settings.cores >= DEDICATED_CORES,
        )
        self.peer_group = PeerGroup(
            settings.name,
            record,
            self._daemon_records,
            self._make_heartbeat,
            decisions,
            startup_grace_s=self._peer_wait_s,
        )
        self.peer_group.aggregate.counts_tokens = settings.load_aware
        self.peer_group.on_upstream_leaving = partial(
            self.directory.mark_leaving, source="daemon"
        )
        self.facts.on_told = self.peer_group.send_to_all
        self.peer_group.on_facts = self.facts.merge
        self.reachability = UpstreamReachability(decisions)
        self.reachability.on_change += [
            self._forgive_upstreams,
            self.peer_group.send_to_all,
        ]
        self.exits = ProcessExits(
            self.facts, self.engine_commands.report, decisions, self.reachability
        )
        self.quarantine = PartQuarantine(
            self.facts,
            decisions,
            name=settings.name,
            daemons=lambda: self.peer_group.live_peers,
        )
        self.outcomes = self._open_outcomes()
        era = self._store.era
        era.log = decisions.belief
        era.on_change += [self.peer_group.send_to_all, self._register_again]
        self.peer_group.on_era = partial(era.advance, source="daemon")

    def _build_formation(self) -> None:
        settings, decisions = self.settings, self.decisions
        replicas = Follower(
            self._store,
            REPLICAS_TOPIC,
            decisions,
            wait_s=REPLICAS_WAIT_S,
            should_read=self._should_read,
            pacing=self._pacing,
            pause_s=lambda: REPLICAS_PAUSE_S,
            peer_wait_s=self._peer_wait_s,
            era_policy=EraChangePolicy.NEW_TOPIC,
        )
        self.replica_registry = ReplicaRegistry(
            self._store, decisions, replicas, unique_suffix=self._replica_suffix
        )
        topics = {
            self._deployment.operator_topic: self._operators,
            self._deployment.upstream_topic: self._upstreams,
            REPLICAS_TOPIC: replicas,
            DAEMONS_TOPIC: self._daemon_records,
        }
        self.peer_sync = PeerSync(
            topics, self._open_peers(), decisions, random=self._random
        )
        self.leader_election = LeaderElection(
            settings.name,
            self.replica_registry,
            live_daemons=lambda: self.peer_group.live_peers,
            active_leaders=lambda: self.peer_group.active_leaders,
            all_daemons=lambda: self.peer_group.records,
            suitable=self._has_dedicated_core,
            failure_domain_of=self._domain_of,
            decisions=decisions,
        )
        self.directory.recorded_replicas = lambda: self.replica_registry.by_name
        layout = None
        if settings.load_aware:
            layout = DemandLayout(
                self.directory, self.replica_registry, self._in_flight, decisions
            )
            self.telemetry.gauges.append(layout.readings)
        self.replica_controller = ReplicaController(
            settings.name,
            self.directory,
            self.replica_registry,
            self.engine_commands,
            decisions,
            is_leader=lambda: self.leader_election.is_leader,
            stalled_heads=lambda: {
                *self.health.suspects,
                *self.peer_group.aggregate.suspects,
            },
            last_heard_at=lambda domain: self.peer_group.domain_heard_at(domain),
            host_list_current=lambda: self._upstreams.store_reachable,
            starting=self._in_first_start,
            in_flight=self._in_flight,
            layout=layout,
        )
        self.replica_controller.retirement.on_start = self.peer_group.send_to_all

    def _open_random(self) -> Random:
        return Random()

    def _open_outcomes(self) -> Outcomes:
        if not self.settings.load_aware:
            return UnusedOutcomes()
        return OutcomeTracker(
            self.facts,
            self.directory,
            self.decisions,
            name=self.settings.name,
            daemons=self._daemons_in,
            tell=self._tell,
        )

    def _replica_suffix(self) -> str:
        return f"{self._random.getrandbits(SUFFIX_BITS):0{SUFFIX_BITS // 4}x}"

    def _open_peers(self) -> PeerClient:
        return HttpPeerClient(self._session)

    def _open_sender(self, header_codec: HeaderCodec) -> Sender:
        return Sender(
            self._session,
            header_codec,
            self.directory,
            self.backoffs,
            self.limits,
            self.reachability,
        )

    def _build_serving(self) -> None:
        settings = self.settings
        header_codec = self._deployment.header_codec()
        subsets = Subsets(
            settings.name,
            lambda: self.peer_group.names_by_domain[settings.failure_domain],
        )
        self.health.on_excluded = self.peer_group.announce_exclusion
        self.health.on_requests_changed = lambda host: self.peer_group.send_soon(
            subsets.sharers(host)
        )
        self._scoring = build_scoring(
            self.directory,
            self.health,
            load_aware=settings.load_aware,
            remote_load=self.peer_group.requests_at,
            remote_prompts=self.peer_group.aggregate.prompts_at,
            report_age_s=lambda host: self.peer_group.report_age_s(
                host.failure_domain, told_at_once=subsets.contains(host.id)
            ),
        )
        selector = UpstreamSelector(
            self.directory,
            self.health,
            self.backoffs,
            subsets,
            self.limits,
            SharedRates(self.facts, name=settings.name, tell=self._tell),
            failure_domain=settings.failure_domain,
            remote_load=lambda host: self.peer_group.requests_at(host),
            suspected=lambda: self.peer_group.aggregate.suspects,
            retiring_heads=lambda: self.peer_group.aggregate.lost_heads,
            sharers=self._daemons_in,
            live_daemons=self._live_daemons,
            has_ended=self.exits.has_ended,
            far_interval_s=lambda: self.peer_group.remote_interval_s,
            distrusted=self.outcomes.distrusted,
            random=self._random,
            scoring=self._scoring,
        )
        sender = self._open_sender(header_codec)
        plain = PlainForwarder(
            sender,
            selector,
            self.health,
            self.decisions,
            answer_bytes=settings.answer_bytes,
            outcomes=self.outcomes,
        )
        streams = StreamForwarder(
            sender,
            selector,
            self.health,
            LivenessChecker(
                self.engine_commands.report, self.health.heard_at, self.decisions
            ),
            self.exits,
            self.quarantine,
            lambda service: self.directory.engines.get(service),
            self.decisions,
            self.telemetry,
            answer_bytes=settings.answer_bytes,
            outcomes=self.outcomes,
        )
        window_s = settings.allowance.window_s
        limits = ConnectionLimits(settings.connections, settings.unread_bytes)
        self.connections = CallerConnections(limits, self._record_closed_caller)
        self.frontend = HttpFrontend(
            self.directory,
            header_codec,
            plain,
            streams,
            allowance=settings.allowance,
            body_memory=BodyMemory(settings.body_bytes),
            answer_memory=BodyMemory(settings.unread_bytes, self._reclaim_answers),
            daemons=lambda: (
                self.peer_group.daemon_count if self._daemon_records.complete else 0
            ),
            full_slack_at=self._started_at
            + (0.0 if settings.first_start else window_s),
            informed=self._state_complete,
            reachability=self.reachability,
            peers=PeerForwarder(
                self._session,
                header_codec,
                lambda: self.peer_group.forwarding_addresses,
                self.decisions,
                answer_bytes=settings.answer_bytes,
                random=self._random,
            ),
            decisions=self.decisions,
            telemetry=self.telemetry,
        )

    def _record_closed_caller(self, reason: str) -> None:
        self.decisions.belief("caller_closed", reason=reason)
        self.telemetry.count(Counter.CLOSED_CALLERS, "", "", reason)

    def _reclaim_answers(self, size: int) -> None:
        self.connections.reclaim(max(self.connections.unread_bytes - size, 0))

    def _readings(self) -> Iterator[GaugeReading]:
        yield GaugeReading(Gauge.DAEMONS, len(self.peer_group.live_peers))
        yield GaugeReading(Gauge.HEARTBEAT_BYTES, self.peer_group.sent_bytes)
        yield GaugeReading(Gauge.HEARTBEATS_WAITING, self.peer_group.waiting_count)
        yield GaugeReading(Gauge.STORE_ERA, self._store.era.number)
        yield GaugeReading(Gauge.STORE_ERA_CHANGES, self._store.era.change_count)
        now = loop_time()
        for topic, follower in self.peer_sync.followers.items():
            if follower.complete:
                age_s = now - follower.current_at
                yield GaugeReading(Gauge.RECORDS_AGE, round(age_s, 3), topic)

    @property
    def ready(self) -> bool:
        """Return whether the load balancer should send requests to this daemon."""
        configured = self.directory.configuration.version >= 0
        informed = configured and self._upstreams.complete
        return informed and self.accepts_callers() and not self.frontend.draining

    def _state_complete(self) -> bool:
        """Return whether configuration, hosts, replicas and daemons are all known."""
        configured = self.directory.configuration.version >= 0
        followers = (
            self._upstreams,
            self._daemon_records,
            self.replica_registry.follower,
        )
        return configured and all(follower.complete for follower in followers)

    def start(self) -> None:
        """Start the tasks of all components."""
        self.decisions.belief(
            "started", failure_domain=self.settings.failure_domain, version=__version__
        )
        for finding in self.settings.ignored:
            self.decisions.belief("setting_ignored", reason=shorten(finding))
        for name, coroutine in (
            ("operators", self._operators.run()),
            ("upstreams", self._upstreams.run()),
            ("replicas", self.replica_registry.follower.run()),
            ("daemons", self._follow_daemon_records()),
            ("beats", self.peer_group.run()),
            ("duty", self.leader_election.run()),
            ("conductor", self.replica_controller.run()),
            ("expiry", self._expire()),
            ("relay", self._sync_from_peers()),
            ("reachability", self._probe_while_isolated()),
        ):
            self.tasks.spawn(name, coroutine)
        self._registration_task = asyncio.create_task(self._register())
        self._started = True
        # Handlers of the event loop are replaced by the default ones when it closes.
        self._loop = asyncio.get_running_loop()
        signal.signal(signal.SIGHUP, self._handle_hangup)

    def _handle_hangup(self, number: int, frame: FrameType | None) -> None:
        if not self.frontend.draining:
            self._loop.call_soon_threadsafe(self.reload)

    def reload(self) -> None:
        """Reload the settings; changed addresses apply only after a restart."""
        try:
            settings = self._deployment.settings()
        except DocumentError as error:
            self.decisions.belief("reload_rejected", reason=str(error))
            return
        changed = [
            name
            for name, old, new in zip(
                settings._fields, self.settings, settings, strict=True
            )
            if old != new
        ]
        self.decisions.belief("reloaded", changed=changed)
        self.settings = settings

    @property
    def failed_task(self) -> str:
        """Return the name of a task whose error stops the daemon, empty for none."""
        return self.tasks.failed

    @property
    def grace_s(self) -> float:
        """Return the seconds from a stop signal until the process would be killed."""
        return self.settings.grace_s

    @property
    def last_ran_at(self) -> float:
        """Return the loop's time before which a signal noticed now was not sent."""
        return self._suspension.last_ran_at()

    def begin_stop(self, request: StopRequest) -> StopBudget:
        """Begin to drain and return the budget of the stop.

        A daemon that never was ready gets no requests from the load balancer, so it
        does not wait for it.

        :param request: when the process was asked to stop
        """
        self.stop_budget = budget = plan_stop(
            noticed_at=request.noticed_at,
            last_ran_at=request.last_ran_at,
            grace_s=self.settings.grace_s,
            refuse_after_s=BALANCER_DRAIN_S if self._was_ready or self.ready else 0.0,
        )
        self.frontend.draining = True
        self.frontend.refuse_at = budget.refuse_at
        self.decisions.begin_final_lines()
        now = loop_time()
        self.decisions.belief(
            "stopping",
            in_flight=self.frontend.requests.count,
            noticed_after_s=round(now - budget.signalled_at, 3),
            refuse_in_s=round(budget.refuse_at - now, 3),
            cut_in_s=round(budget.cut_at - now, 3),
        )
        return budget

    async def stop(self) -> None:
        """Let the load balancer stop sending, drain requests and cancel all tasks."""
        now = loop_time()
        budget = self.stop_budget or self.begin_stop(StopRequest(now, now))
        resigning = asyncio.create_task(self.leader_election.resign())
        await asyncio.sleep(budget.refuse_at - loop_time())
        requests = self.frontend.requests
        if not await requests.wait_idle(budget.cut_at):
            self.decisions.belief("requests_cut_off", count=requests.count)
            self.frontend.cut_off()
            await requests.wait_idle(budget.answered_at)
        self.drained.set()
        await self._close(budget.close_at)
        resigning.cancel()

    async def _close(self, until: float) -> None:
        """Cancel all tasks and close all clients.

        :param until: the loop's time at which what is not closed is left as it is
        """
        self.health.close()
        self.exits.close()
        self.peer_sync.close()
        if self._started:
            self._registration_task.cancel()
        try:
            async with asyncio.timeout_at(until):
                await self.tasks.cancel()
                if not self.frontend.requests.count:
                    await self._session.close()
                await self._store.close()
        except TimeoutError:
            self.log_overrun("tasks")

    def log_signal(self, name: str) -> None:
        """Log that a stop signal arrived; all but the first change nothing.

        :param name: name of the signal
        """
        self.decisions.belief("stop_signal", name=name, repeated=self.frontend.draining)

    def log_held(self, address: str, error: OSError) -> None:
        """Log that a listener waits for its address.

        :param address: IP number and port
        :param error: why it cannot be bound
        """
        self.decisions.belief("port_held", address=address, reason=str(error))

    def log_failed_start(self, error: Exception) -> None:
        """Log why the process ends before it has started.

        :param error: what failed
        """
        self.decisions.belief("start_failed", reason=repr(error))

    def log_overrun(self, what: str, *, where: Sequence[str] = ()) -> None:
        """Log that something did not stop within the budget and was left as it is.

        :param what: name of what did not stop
        :param where: innermost calls of a process that hangs
        """
        count = self.frontend.requests.count
        calls = {"where": where} if where else {}
        self.decisions.belief("stop_overrun", what=what, in_flight=count, **calls)

    def log_stopped(self) -> None:
        """Log that the daemon has stopped, after everything else that it logs."""
        failed = {"failed_task": self.failed_task} if self.failed_task else {}
        count = self.frontend.requests.count
        self.decisions.belief("stopped", in_flight=count, **failed)

    def flush_logs(self, timeout_s: float) -> None:
        """Write the log lines that are still held back.

        :param timeout_s: longest wait in seconds for a slow reader of the log
        """
        self.decisions.flush(timeout_s)

    def callers_application(self) -> web.Application:
        """Return the application of the callers' listener."""
        return self.frontend.application()

    def readiness_application(self) -> web.Application:
        """Return the application that answers the load balancer's readiness check."""
        application = web.Application()

        async def readiness(http: web.Request) -> web.Response:
            self._was_ready |= self.ready
            return web.Response(status=200 if self.ready else 503)

        application.router.add_get("/{path:.*}", readiness)
        return application

    def internal_application(self) -> web.Application:
        """Return the application of the listener for peers."""
        application = self.peer_sync.application()
        application.middlewares.append(serve_forwarded(self.frontend.handle))
        return application

    def metrics_application(self) -> web.Application:
        """Return the application of the operators' listener."""
        application = web.Application()

        async def metrics(http: web.Request) -> web.Response:
            # Imported on demand: daemons without a scraper do not load the library.
            from ..telemetry.exposition import exposition

            return web.Response(
                body=exposition(self.telemetry), content_type="text/plain"
            )

        application.router.add_get("/metrics", metrics)
        add_endpoints(application, self.quarantine)
        return application

    def _log_task_end(self, task: asyncio.Task[None]) -> None:
        error = repr(task.exception())
        self.decisions.belief("task_failed", task=task.get_name(), error=error)

    def _register_again(self) -> None:
        """Append this daemon's record again, since the store may have lost it."""
        if self._started:
            self._registration_task.cancel()
            self._registration_task = asyncio.create_task(self._register(again=True))

    async def _register(self, *, again: bool = False) -> None:
        """Append this daemon's record until it is read back from the store.

        :param again: append at least once, even if the store already has the record
        """
        if not self.settings.first_start and not again:
            await self._daemon_records.changed.wait(DAEMONS_WAIT_S)
        while (record := self.peer_group.registration(force=again)) is not None:
            try:
                await self._store.append(DAEMONS_TOPIC, [record])
                again = False
            except PlatformError as error:
                self.decisions.belief("seat_not_recorded", reason=str(error))
                await self._pacing.before_retry(REGISTRATION_RETRY_S)
                continue
            await asyncio.sleep(REGISTRATION_CONFIRM_S)

    async def _follow_daemon_records(self) -> None:
        if self.settings.first_start:
            await asyncio.sleep(FIRST_START_REGISTRATION_S)
        await self._daemon_records.run()

    async def _sync_from_peers(self) -> None:
        while True:
            self._suspension.tick()
            self.peer_sync.fetch_missing(self.peer_group.progress_by_peer)
            await asyncio.sleep(PEER_SYNC_INTERVAL_S)

    async def _expire(self) -> None:
        while True:
            self.directory.expire()
            await asyncio.sleep(EXPIRY_INTERVAL_S)

    async def _probe_upstream(self, host_id: str) -> bool:
        """Return whether a registered host answers a probe, False for unknown hosts."""
        host = self.directory.hosts.get(host_id)
        if host is None:
            return False
        if not host.fabric_domain:
            # Plain services have no report; the next request shows their health.
            return True
        try:
            await self.engine_commands.report(host)
        except BackoffError:
            return True
        except AuburnError as error:
            self.decisions.belief("host_silent", upstream=host_id, error=repr(error))
            return False
        return True

    async def _probe_while_isolated(self) -> None:
        await probe_while_isolated(
            self.reachability,
            self._probed_upstreams,
            self._probe_upstream,
            random=self._random,
        )

    def _probed_upstreams(self) -> Sequence[str]:
        """Return the upstreams that have a report, or all if none has."""
        hosts = self.directory.hosts
        return [h.id for h in hosts.values() if h.fabric_domain] or list(hosts)

    def _forgive_upstreams(self) -> None:
        """End the exclusions that this daemon's own isolation has caused."""
        if not self.reachability.isolated:
            self.health.end_exclusions()

    def _log_unanswered(self, command: str, host: str, reason: str) -> None:
        self.decisions.belief(
            "order_unanswered", order=command, upstream=host, reason=reason
        )

    def _in_flight(self, host: str) -> int:
        """Return the requests in flight at an upstream, from all daemons."""
        return self.health.in_flight(host) + self.peer_group.requests_at(host)[0]

    def _daemons_in(self, failure_domain: str) -> Collection[str]:
        """Return the daemons that share the limits of cold upstreams, or none."""
        return (
            self.peer_group.daemons_of(failure_domain)
            if self._daemon_records.complete
            else ()
        )

    def _live_daemons(self) -> Collection[str]:
        """Return this daemon and those it hears, or none while it knows no records."""
        if not self._daemon_records.complete:
            return ()
        return {self.settings.name, *self.peer_group.live_peers}

    def _tell(self, names: Collection[str]) -> None:
        """Send a heartbeat to some other daemons soon."""
        self.peer_group.send_soon({*names} - {self.settings.name})

    def _domain_of(self, daemon: str) -> str:
        record = self.peer_group.records.get(daemon)
        return record.failure_domain if record is not None else ""

    def _has_dedicated_core(self, daemon: str) -> bool:
        record = self.peer_group.records.get(daemon)
        return record is not None and record.has_dedicated_core

    def _should_read(self) -> bool:
        """Return whether this daemon reads the shared topics from the store itself."""
        if self.leader_election.is_leader or self._pacing.probe_due:
            return True
        if (
            not self._daemon_records.complete
            and loop_time() - self._started_at < self._peer_wait_s
        ):
            return False
        return self.peer_group.should_read_store(
            store_reachable=self._store_reachable()
        )

    def _store_pauses(self) -> PauseRange:
        if self.leader_election.is_leader:
            return LEADER_STORE_PAUSES
        return self.peer_group.store_pauses

    def _store_reachable(self) -> bool:
        shared = (self._operators, self._upstreams, self.replica_registry.follower)
        return all(follower.store_reachable for follower in shared)

    def _registrations_pause_s(self) -> float:
        if not self.leader_election.is_leader:
            return NON_LEADER_PAUSE_FRACTION * self.settings.drain_s
        if self._in_first_start():
            return FIRST_START_PAUSE_S
        return (
            FORMING_PAUSE_S
            if self.replica_controller.awaiting_reports
            else LEADER_PAUSE_S
        )

    def _in_first_start(self) -> bool:
        served = self.frontend.served > 0 or self.peer_group.peers_served
        return self.settings.first_start and not served

    def _make_heartbeat(self) -> Heartbeat:
        return Heartbeat(
            self.settings.name,
            self.leader_election.is_active_leader,
            self._store_reachable(),
            self.frontend.served > 0,
            self.health.load_by_host,
            self.peer_sync.end_by_topic,
            [] if self.reachability.isolated else list(self.health.suspects),
            list(self.replica_controller.retiring_heads),
            list(self.directory.recently_leaving),
            self._store.era.number,
            self.peer_sync.previous_era_end_by_topic,
            self.facts.outgoing(),
            dict(self._scoring.prompt_load_by_host),
            self.ready and not self.reachability.isolated,
        )

    def _supersedes(self, known: Change, other: Change) -> bool:
        """Return whether an operators' record is newer than another of the same key."""
        versions = []
        for change in (known, other):
            try:
                record = self._deployment.read_operator_record(change)
            except PlatformError:
                return False
            versions.append(record.version if isinstance(record, Configuration) else 0)
        return versions[0] > versions[1]

    def _apply_operator_record(self, change: Change) -> None:
        """Apply an operators' record; an unreadable one leaves the older in force.

        :raises UnreadableError: if it cannot be read
        """
        record = self._deployment.read_operator_record(change)
        if isinstance(record, Configuration):
            self.directory.configure(record)
            self.on_limits(self.directory.configuration.limits)
        elif isinstance(record, DomainMark):
            self.directory.set_domain_out(record.failure_domain, out=record.out)

    def _apply_registration(self, change: Change) -> None:
        """Apply a registration; an unreadable one names no host to use.

        :raises UnreadableError: if it cannot be read
        """
        if not change.value:
            self.directory.unregister(change.key)
            self.health.forget(change.key)
            return
        try:
            host = self._deployment.read_upstream_record(change, now=loop_time())
        except UnreadableError:
            self.directory.unregister(change.key)
            raise
        self.directory.register(host)
