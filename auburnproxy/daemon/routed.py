"""A daemon that routes by host name and path on an outside platform."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Collection, Iterator
from functools import partial
from random import Random

from aiohttp import ClientTimeout, web

from .. import __version__
from ..clock import loop_time
from ..errors import AuburnError, DocumentError, PlatformError
from ..formation import ReplicaController, ReplicaRegistry
from ..formation.engine_commands import BackoffEngineCommands, BackoffError
from ..formation.leader_election import LeaderElection
from ..formation.registry import TOPIC as REPLICAS_TOPIC
from ..gateway.backoffs import UpstreamBackoffs
from ..gateway.call import CONNECT_TIMEOUT_S
from ..gateway.directory import Directory
from ..gateway.frontend import HttpFrontend
from ..gateway.header_codec import HeaderCodec
from ..gateway.health import Health
from ..gateway.liveness import LivenessChecker
from ..gateway.plain_forwarder import PlainForwarder
from ..gateway.route import Configuration, RequestLimits
from ..gateway.sender import Sender
from ..gateway.stream_forwarder import StreamForwarder
from ..gateway.subsets import Subsets
from ..gateway.upstream_selector import UpstreamSelector
from ..heartbeats import DaemonRecord, Heartbeat, PeerGroup
from ..store import (
    Change,
    CountedStore,
    EraChangePolicy,
    Follower,
    HttpPeerClient,
    PeerClient,
    PeerSync,
)
from ..telemetry import Gauge, Reading, Telemetry
from ..telemetry.decisions import Decisions, open_decisions
from ..upstreams.client import open_session
from .deployment import Deployment, DomainMark
from .tasks import Tasks

DAEMONS_TOPIC = "daemons"
LONG_WAIT_S = 20.0
"""Seconds that a reading of the daemons' records waits for a new one."""
SEATS_PAUSE_S = 1.0
"""Pause between two such readings; at the start every daemon writes a record."""
OPERATORS_WAIT_PART = 0.4
"""The same for operators' records, as a part of the time in which a configuration must
be in force. A reading that the store got while it was silent is given up a second
after this."""
REPLICAS_WAIT_S = 2.5
"""The same for replicas' records, which hosts' registrations show as well."""
RELAY_S = 0.1
TOKEN_BITS = 24
"""Randomness in the name of a replica: two histories may give the same offset."""
QUICK_PAUSE_S = 0.25
"""Pause between two readings of the registrations while replicas are formed."""
START_PAUSE_S = 0.12
"""The same until the first request, while loads take a tenth of their time."""
PAUSE_S = 0.45
"""The same at other times, for the daemon that forms replicas."""
OTHERS_PAUSE_PART = 0.35
"""The same for the others, as a part of the time in which it must be known that an
upstream leaves."""
DISPATCH_S = 0.1
"""Time in which a request that was sent reaches its upstream."""
REPLICAS_PAUSE_S = 0.5
EXPIRY_S = 0.5
RECORD_RETRY_S = 1.0
RECORD_REPEAT_S = 5.0
"""Seconds until a seat that was recorded, but is not read back, is recorded again."""
SEATS_LEAD_S = 0.4
"""Seconds at the first start in which most daemons record where they listen."""
PATIENCE_S = 1.5
"""Seconds after the start for which a daemon that is not to read waits for a peer, and
takes recorded daemons for there."""
START_PATIENCE_S = 5.0
"""The same at the first start of the system; weak hosts take some seconds to start."""
STRONG_CORES = 1.0
"""Cores of a host that is to form replicas where there are such hosts."""
BALANCER_S = 3.0
"""Seconds after the signal to stop in which the balancer still sends callers here."""
CLOSE_S = 0.5
"""Seconds that connections may take to close once all requests are answered."""
ANSWER_MARGIN_S = 1.0
"""Seconds before the process is killed in which no request is waited for."""


class RoutedDaemon:
    """Owns the slices of one process and the tasks that they run in.

    It is made on the event loop that it runs on.

    :param deployment: translates to the outside platform
    :param decisions: takes the structured logs, standard output if left out
    """

    def __init__(
        self, deployment: Deployment, *, decisions: Decisions | None = None
    ) -> None:
        self.settings = settings = deployment.settings()
        self.drained = asyncio.Event()
        self.on_limits: Callable[[RequestLimits], None] = lambda limits: None
        """Called with the bounds on callers of each configuration in force."""
        self.decisions = decisions or open_decisions(settings.name)
        self.telemetry = Telemetry()
        self._deployment = deployment
        self.tasks = Tasks(self._note_end)
        self._store = CountedStore(deployment.store(settings), self.telemetry)
        self._session = open_session(
            keep=False, timeout=ClientTimeout(sock_connect=CONNECT_TIMEOUT_S)
        )
        self._started_at = loop_time()
        self._started = False
        self._patience_s = START_PATIENCE_S if settings.first_start else PATIENCE_S
        self._random = self._open_random()
        self._join_beliefs()
        self._join_formation()
        self._join_serving()
        self.telemetry.gauges += [
            self._readings,
            self.frontend.readings,
            self.replica_controller.metrics.readings,
        ]

    def _join_beliefs(self) -> None:
        settings, decisions = self.settings, self.decisions
        self._operators = Follower(
            self._store,
            self._deployment.operator_topic,
            decisions,
            wait_s=OPERATORS_WAIT_PART * settings.apply_s,
            should_read=self._reads,
            peer_wait_s=self._patience_s,
            supersedes=self._outranks,
        )
        self._upstreams = Follower(
            self._store,
            self._deployment.upstream_topic,
            decisions,
            pause_s=self._registration_pause_s,
            should_read=self._reads,
            significant_part=self._deployment.essence,
            peer_wait_s=self._patience_s,
            era_policy=EraChangePolicy.DROP_MISSING,
        )
        self._operators.on_change = self._take_operator
        self._upstreams.on_change = self._take_upstream
        unread_s = OTHERS_PAUSE_PART * self.settings.drain_s
        self.directory = Directory(
            decisions,
            store_failed_at=lambda: self._upstreams.last_failure_at,
            lapsed_use_s=self.settings.drain_s - unread_s - DISPATCH_S,
        )
        self._upstreams.on_unchanged = lambda change: self.directory.refresh(change.key)
        self.backoffs = UpstreamBackoffs(decisions)
        engine_commands = self._deployment.engine_commands()
        engine_commands.on_leaving = partial(
            self.directory.mark_leaving, source="engine"
        )
        self.engine_commands = BackoffEngineCommands(engine_commands, self.backoffs)
        self.health = Health(
            decisions,
            probe=self._answers,
            heard_elsewhere=lambda host: self.peer_group.aggregate.heard_at(host),
        )
        self._seats = Follower(
            self._store,
            DAEMONS_TOPIC,
            decisions,
            wait_s=LONG_WAIT_S,
            pause_s=lambda: SEATS_PAUSE_S,
            should_read=self._reads,
        )
        seat = DaemonRecord(
            settings.beats,
            settings.failure_domain,
            settings.internal,
            has_dedicated_core=settings.cores >= STRONG_CORES,
        )
        self.peer_group = PeerGroup(
            settings.name,
            seat,
            self._seats,
            self._beat,
            decisions,
            startup_grace_s=self._patience_s,
        )
        self.peer_group.on_upstream_leaving = partial(
            self.directory.mark_leaving, source="daemon"
        )
        era = self._store.era
        era.log = decisions.belief
        era.on_change += [self.peer_group.send_to_all, self._take_seat_anew]
        self.peer_group.on_era = partial(era.advance, source="daemon")

    def _join_formation(self) -> None:
        settings, decisions = self.settings, self.decisions
        replicas = Follower(
            self._store,
            REPLICAS_TOPIC,
            decisions,
            wait_s=REPLICAS_WAIT_S,
            should_read=self._reads,
            pause_s=lambda: REPLICAS_PAUSE_S,
            peer_wait_s=self._patience_s,
            era_policy=EraChangePolicy.NEW_TOPIC,
        )
        self.replica_registry = ReplicaRegistry(
            self._store, decisions, replicas, unique_suffix=self._token
        )
        topics = {
            self._deployment.operator_topic: self._operators,
            self._deployment.upstream_topic: self._upstreams,
            REPLICAS_TOPIC: replicas,
            DAEMONS_TOPIC: self._seats,
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
            suitable=self._strong,
            failure_domain_of=self._domain_of,
            decisions=decisions,
        )
        self.directory.recorded_replicas = lambda: self.replica_registry.by_name
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
            starting=self._starting,
            in_flight=self._in_flight,
        )
        self.replica_controller.retirement.on_start = self.peer_group.send_to_all

    def _open_random(self) -> Random:
        return Random()

    def _token(self) -> str:
        return f"{self._random.getrandbits(TOKEN_BITS):0{TOKEN_BITS // 4}x}"

    def _open_peers(self) -> PeerClient:
        return HttpPeerClient(self._session)

    def _open_sender(self, header_codec: HeaderCodec) -> Sender:
        return Sender(self._session, header_codec, self.directory, self.backoffs)

    def _join_serving(self) -> None:
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
        selector = UpstreamSelector(
            self.directory,
            self.health,
            self.backoffs,
            subsets,
            failure_domain=settings.failure_domain,
            remote_load=lambda host: self.peer_group.requests_at(host),
            suspected=lambda: self.peer_group.aggregate.suspects,
            lost=lambda: self.peer_group.aggregate.lost_heads,
            sharers=self._sharers,
            name=settings.name,
            far_interval_s=lambda: self.peer_group.remote_interval_s,
            random=self._random,
        )
        sender = self._open_sender(header_codec)
        plain = PlainForwarder(
            sender,
            selector,
            self.health,
            self.decisions,
            answer_bytes=settings.answer_bytes,
        )
        streams = StreamForwarder(
            sender,
            selector,
            self.health,
            LivenessChecker(
                self.engine_commands.report, self.health.heard_at, self.decisions
            ),
            lambda: (self.directory.engine or (None, None))[1],
            self.decisions,
            self.telemetry,
            answer_bytes=settings.answer_bytes,
        )
        window_s = settings.allowance.window_s
        self.frontend = HttpFrontend(
            self.directory,
            header_codec,
            plain,
            streams,
            allowance=settings.allowance,
            daemons=lambda: self.peer_group.daemon_count if self._seats.complete else 0,
            full_slack_at=self._started_at
            + (0.0 if settings.first_start else window_s),
            informed=self._informed,
            decisions=self.decisions,
            telemetry=self.telemetry,
        )

    def _readings(self) -> Iterator[Reading]:
        yield Reading(Gauge.DAEMONS, len(self.peer_group.live_peers))
        yield Reading(Gauge.STORE_ERA, self._store.era.number)
        yield Reading(Gauge.STORE_ERA_CHANGES, self._store.era.change_count)
        now = loop_time()
        for topic, follower in self.peer_sync.followers.items():
            if follower.complete:
                age_s = now - follower.current_at
                yield Reading(Gauge.RECORDS_AGE, round(age_s, 3), topic)

    @property
    def ready(self) -> bool:
        """Return whether callers are to be sent here."""
        configured = self.directory.configuration.version >= 0
        return configured and self._upstreams.complete and not self.frontend.draining

    def _informed(self) -> bool:
        """Return whether the configuration, hosts, replicas and daemons are known."""
        known = self.directory.configuration.version >= 0
        followers = (self._upstreams, self._seats, self.replica_registry.follower)
        return known and all(follower.complete for follower in followers)

    def start(self) -> None:
        """Start the tasks of all slices."""
        self.decisions.belief(
            "started", failure_domain=self.settings.failure_domain, version=__version__
        )
        for name, work in (
            ("operators", self._operators.run()),
            ("upstreams", self._upstreams.run()),
            ("replicas", self.replica_registry.follower.run()),
            ("daemons", self._follow_seats()),
            ("beats", self.peer_group.run()),
            ("duty", self.leader_election.run()),
            ("conductor", self.replica_controller.run()),
            ("expiry", self._expire()),
            ("relay", self._relay_records()),
        ):
            self.tasks.spawn(name, work)
        self._seat_taking = asyncio.create_task(self._take_seat())
        self._started = True
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reload)

    def reload(self) -> None:
        """Read the settings again; addresses are taken at the next start."""
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

    async def stop(self) -> None:
        """Let the balancer turn away, finish what is in flight and end every task."""
        began = loop_time()
        self.frontend.draining = True
        self.decisions.belief("stopping", in_flight=self.frontend.requests.count)
        await self.leader_election.resign()
        await asyncio.sleep(BALANCER_S)
        self.frontend.closed = True
        until = began + self.settings.grace_s - ANSWER_MARGIN_S
        try:
            async with asyncio.timeout_at(until):
                await self.frontend.requests.wait_idle()
        except TimeoutError:
            self.decisions.belief(
                "requests_cut_off", count=self.frontend.requests.count
            )
        self.drained.set()
        self.health.close()
        self.peer_sync.close()
        self._seat_taking.cancel()
        await self.tasks.cancel()
        if not self.frontend.requests.count:
            await self._session.close()
        await self._store.close()
        self.decisions.belief("stopped")

    def callers_application(self) -> web.Application:
        """Return what the callers' listener serves."""
        return self.frontend.application()

    def readiness_application(self) -> web.Application:
        """Return what the balancer's listener serves."""
        application = web.Application()

        async def readiness(http: web.Request) -> web.Response:
            return web.Response(status=200 if self.ready else 503)

        application.router.add_get("/{path:.*}", readiness)
        return application

    def metrics_application(self) -> web.Application:
        """Return what the metrics listener serves."""
        application = web.Application()

        async def metrics(http: web.Request) -> web.Response:
            # The exposition library is only loaded where somebody asks for it.
            from ..telemetry.exposition import exposition

            return web.Response(
                body=exposition(self.telemetry), content_type="text/plain"
            )

        application.router.add_get("/metrics", metrics)
        return application

    def _note_end(self, task: asyncio.Task[None]) -> None:
        error = repr(task.exception())
        self.decisions.belief("task_failed", task=task.get_name(), error=error)

    def _take_seat_anew(self) -> None:
        """Record this daemon's seat again, which the store may have lost."""
        if self._started:
            self._seat_taking.cancel()
            self._seat_taking = asyncio.create_task(self._take_seat(again=True))

    async def _take_seat(self, *, again: bool = False) -> None:
        """Record where this daemon listens for beats.

        :param again: whether to record it though it is known
        """
        if not self.settings.first_start and not again:
            await self._seats.changed.wait(LONG_WAIT_S)
        while (record := self.peer_group.registration(force=again)) is not None:
            pause_s = RECORD_REPEAT_S
            try:
                await self._store.append(DAEMONS_TOPIC, [record])
                again = False
            except PlatformError as error:
                self.decisions.belief("seat_not_recorded", reason=str(error))
                pause_s = RECORD_RETRY_S
            await asyncio.sleep(pause_s)

    async def _follow_seats(self) -> None:
        if self.settings.first_start:
            await asyncio.sleep(SEATS_LEAD_S)
        await self._seats.run()

    async def _relay_records(self) -> None:
        while True:
            self.peer_sync.fetch_missing(self.peer_group.progress_by_peer)
            await asyncio.sleep(RELAY_S)

    async def _expire(self) -> None:
        while True:
            self.directory.expire()
            await asyncio.sleep(EXPIRY_S)

    async def _answers(self, host_id: str) -> bool:
        """Return whether a registered host answers a probe."""
        host = self.directory.hosts.get(host_id)
        if host is None:
            return False
        if not host.fabric_domain:
            # Plain services have no report; the next request shows how they are.
            return True
        try:
            await self.engine_commands.report(host)
        except BackoffError:
            return True
        except AuburnError as error:
            self.decisions.belief("host_silent", upstream=host_id, error=repr(error))
            return False
        return True

    def _in_flight(self, host: str) -> int:
        """Return the requests of all daemons at an upstream."""
        return self.health.in_flight(host) + self.peer_group.requests_at(host)[0]

    def _sharers(self, failure_domain: str) -> Collection[str]:
        """Return the daemons that share the bounds of cold upstreams, if known."""
        return (
            self.peer_group.daemons_of(failure_domain) if self._seats.complete else ()
        )

    def _domain_of(self, daemon: str) -> str:
        seat = self.peer_group.records.get(daemon)
        return seat.failure_domain if seat is not None else ""

    def _strong(self, daemon: str) -> bool:
        seat = self.peer_group.records.get(daemon)
        return seat is not None and seat.has_dedicated_core

    def _reads(self) -> bool:
        """Return whether this daemon reads the shared topics from the store."""
        if self.leader_election.is_leader:
            return True
        if (
            not self._seats.complete
            and loop_time() - self._started_at < self._patience_s
        ):
            return False
        return self.peer_group.should_read_store(store_reachable=self._reaches_store())

    def _reaches_store(self) -> bool:
        shared = (self._operators, self._upstreams, self.replica_registry.follower)
        return all(follower.store_reachable for follower in shared)

    def _registration_pause_s(self) -> float:
        if not self.leader_election.is_leader:
            return OTHERS_PAUSE_PART * self.settings.drain_s
        if self._starting():
            return START_PAUSE_S
        return QUICK_PAUSE_S if self.replica_controller.awaiting_reports else PAUSE_S

    def _starting(self) -> bool:
        served = self.frontend.served > 0 or self.peer_group.peers_served
        return self.settings.first_start and not served

    def _beat(self) -> Heartbeat:
        return Heartbeat(
            self.settings.name,
            self.leader_election.is_active_leader,
            self._reaches_store(),
            self.frontend.served > 0,
            self.health.load_by_host,
            self.peer_sync.end_by_topic,
            list(self.health.suspects),
            list(self.replica_controller.retiring_heads),
            list(self.directory.recently_leaving),
            self._store.era.number,
            self.peer_sync.previous_era_end_by_topic,
        )

    def _outranks(self, known: Change, other: Change) -> bool:
        """Return whether an operators' record is newer than another of its key."""
        versions = []
        for change in (known, other):
            try:
                said = self._deployment.read_operator(change)
            except PlatformError:
                return False
            versions.append(said.version if isinstance(said, Configuration) else 0)
        return versions[0] > versions[1]

    def _take_operator(self, change: Change) -> None:
        try:
            said = self._deployment.read_operator(change)
        except PlatformError as error:
            self.decisions.belief(
                "record_unreadable", key=change.key, reason=str(error)
            )
            return
        if isinstance(said, Configuration):
            self.directory.configure(said)
            self.on_limits(self.directory.configuration.limits)
        elif isinstance(said, DomainMark):
            self.directory.set_domain_out(said.failure_domain, out=said.out)

    def _take_upstream(self, change: Change) -> None:
        if not change.value:
            self.directory.unregister(change.key)
            self.health.forget(change.key)
            return
        now = loop_time()
        try:
            host = self._deployment.read_upstream(change, now=now)
        except PlatformError as error:
            self.decisions.belief(
                "record_unreadable", key=change.key, reason=str(error)
            )
            self.directory.unregister(change.key)
            return
        self.directory.register(host)
