"""Fakes for the interfaces of admission, routing, serving and the ledger."""

from __future__ import annotations

import asyncio
from collections import Counter
from hashlib import sha256
from types import SimpleNamespace

from auburnproxy.admission import Admission
from auburnproxy.configuration import Grant, Lists, Plan, TargetKind
from auburnproxy.errors import Ran, UpstreamError
from auburnproxy.external import HostEntry, HostKind, Presence
from auburnproxy.in_flight import InFlightRequest
from auburnproxy.ledger import AtMostOnceRunner, Ledger
from auburnproxy.replicas import Replica
from auburnproxy.routing import Router
from auburnproxy.serving import Frontend, PeerSelector, RequestLimits
from auburnproxy.serving.forward import Forwarder
from auburnproxy.serving.model_calls import ModelCallHandler, ModelRequest
from auburnproxy.serving.request_parsing import RequestHeaders
from auburnproxy.serving.service_calls import ServiceCallHandler, ServiceRequest
from auburnproxy.serving.signature import Signer
from auburnproxy.telemetry import Telemetry
from auburnproxy.upstreams.engine import (
    Chunk,
    ChunkKind,
    EngineReport,
    EngineState,
    FencingToken,
    ModelCall,
)
from auburnproxy.upstreams.service import PlainAnswer, PlainCall
from features.fakes.ledger import FakeJournal, FakeLog

SECRET = b"shared"
STALL_S = 1000.0
PLAIN_DEADLINE_S = 10.0


def make_plan(name, *, weight=1, concurrent=8, queue=16):
    return Plan(name, (sha256(name.encode()).hexdigest(),), weight, concurrent, queue)


class FakeConfiguration:
    """Plans with grants for every target; the API key is the plan's name."""

    def __init__(self, plans, *, models=("m",), services=("s",), repeatable=()):
        kinds = [(TargetKind.MODEL, name) for name in models]
        kinds += [(TargetKind.SERVICE, name) for name in services]
        grants = tuple(
            Grant(plan.name, kind, name, repeatable=repeatable)
            for plan in plans
            for kind, name in kinds
        )
        self.lists = Lists(tuple(plans), grants)
        self.plans_by_name = {plan.name: plan for plan in plans}
        self.plan_by_digest = {plan.key_digests[0]: plan for plan in plans}

    def grant(self, plan, kind, target):
        key = (plan, kind, target)
        found = (g for g in self.lists.grants if (g.plan, g.kind, g.target) == key)
        return next(found, None)


class FakeSlotLimiter:
    def __init__(self):
        self.limit = 0
        self.in_flight = 0
        self.peak = 0

    @property
    def free(self):
        return max(self.limit - self.in_flight, 0)

    def try_acquire(self):
        if not self.free:
            return False
        self.in_flight += 1
        self.peak = max(self.peak, self.in_flight)
        return True

    def release(self):
        assert self.in_flight > 0, "released twice"
        self.in_flight -= 1


class FakeSlotLimiters:
    def __init__(self):
        self.by_key = {}

    def limiter(self, key):
        return self.by_key.setdefault(key, FakeSlotLimiter())


class FreeTargets:
    """Targets that are always usable and have slots for every call."""

    def check_usable(self, target):
        pass

    def slots(self, target):
        return 1000


class FakeUpstreams:
    """Watcher and readiness combined; every replica has a single host."""

    def __init__(self, engines_by_host, services_by_host=None, *, slots=4, service="s"):
        self.engines_by_host = engines_by_host
        self.services_by_host = services_by_host or {}
        self.ejected = frozenset()
        self.unusable = set()
        self.lost_by_host = {host: asyncio.Event() for host in engines_by_host}
        self.prefixes_by_host = {}
        self.observations = []
        self.restarts_by_host = Counter()
        self.slots = slots
        self.entries_by_host = {
            host: _entry(host, HostKind.ENGINE, "") for host in engines_by_host
        }
        for host in self.services_by_host:
            self.entries_by_host[host] = _entry(host, HostKind.SERVICE, service)

    def report(self, host):
        if host not in self.engines_by_host:
            return None
        prefixes = self.prefixes_by_host.get(host, ())
        fence = FencingToken(0, 0)
        incarnation = str(1 + self.restarts_by_host[host])
        return EngineReport(
            host, incarnation, EngineState.READY, fence, None, 0, 0, (), prefixes, 0
        )

    def service_report(self, host):
        return None

    def usable(self, host):
        return host not in self.unusable

    def limit(self, host):
        return self.slots

    def observe(self, host, observation):
        self.observations.append((host, observation))

    def serving(self, model):
        return tuple(
            Replica(f"r-{host}", 1, model, "d", "f", (host,))
            for host in self.engines_by_host
            if self.usable(host) and not self.lost_by_host[host].is_set()
        )

    async def wait_until_lost(self, replica):
        await self.lost_by_host[replica.head].wait()

    def lose(self, host):
        self.unusable.add(host)
        self.lost_by_host[host].set()

    def recover(self, host):
        if host not in self.unusable:
            return
        self.unusable.discard(host)
        self.lost_by_host[host] = asyncio.Event()


def _entry(host, kind, service):
    return HostEntry(host, "127.0.0.1:1", "d", "f", kind, Presence.LIVE, service)


class FakeEngine:
    """Answers with ``length`` chunks, one every ``gap_s`` seconds.

    :param script: maps a call and its chunks to the chunks and errors that arrive
    """

    def __init__(self, *, length=5, first_s=0.05, gap_s=0.01, script=None):
        self.length = length
        self.first_s = first_s
        self.gap_s = gap_s
        self.script = script or (lambda call, chunks: chunks)
        self.on_call = lambda call: None
        self.calls = []
        self.accepted = []
        self.running = 0
        self.cancelled = 0

    def chunks(self, call):
        request_id = call.request_id.encode()
        positions = range(call.resume_from, self.length)
        tokens = [Chunk(request_id, i, b"t%d" % i, ChunkKind.TOKEN) for i in positions]
        return [*tokens, Chunk(request_id, self.length, b"", ChunkKind.END)]

    async def generate(self, call):
        self.calls.append(call)
        self.on_call(call)
        self.running += 1
        complete = False
        try:
            await asyncio.sleep(self.first_s)
            script_output = self.script(call, self.chunks(call))
            if not _is_refusal(script_output):
                self.accepted.append(call)
            for chunk in script_output:
                if isinstance(chunk, Exception):
                    raise chunk
                if chunk == "stall":
                    await asyncio.sleep(STALL_S)
                    continue
                if isinstance(chunk, float):
                    await asyncio.sleep(chunk)
                    continue
                yield chunk
                await asyncio.sleep(self.gap_s)
            complete = True
        finally:
            self.running -= 1
            self.cancelled += not complete


def _is_refusal(script_output):
    first = script_output[0] if script_output else None
    return isinstance(first, UpstreamError) and first.ran is Ran.NO


class FakeService:
    """Counts runs by idempotency key, or by request id for calls without a key."""

    def __init__(self, *, takes_s=0.02):
        self.takes_s = takes_s
        self.runs = Counter()
        self.calls = 0
        self.fault = None

    async def call(self, call):
        self.calls += 1
        if self.fault == "unreachable":
            raise UpstreamError("refused", ran=Ran.NO)
        if self.fault == "black hole":
            await asyncio.get_running_loop().create_future()
        self.runs[call.idempotency_key or call.request_id] += 1
        await asyncio.sleep(self.takes_s)
        if self.fault == "lost answer":
            raise UpstreamError("closed")
        return PlainAnswer(200, "text/plain", b"done " + call.body)


class FakeForwarder:
    """A peer that answers every call."""

    def __init__(self):
        self.calls = []

    async def generate(self, member, plan, call, **options):
        self.calls.append("model")
        yield Chunk(call.request_id.encode(), call.resume_from, b"", ChunkKind.END)

    async def call(self, member, plan, service, call, **options):
        self.calls.append("service")
        return PlainAnswer(200, "text/plain", b"far")


class FakePeers:
    def __init__(self):
        self.near_by_id = {}
        self.far_by_domain = {}
        self.free_by_key = {}
        self.near_with_share = []
        self.shares = True

    def has_share(self, plan, target):
        return self.shares

    def near_peers_with_share(self, plan, target):
        return self.near_with_share

    def free_slots(self, key):
        return self.free_by_key.get(key, {})


def make_site(plans, upstreams, *, journal=None, limits=None, **lists):
    """Return the serving components of a daemon over fakes, without listeners."""
    site = SimpleNamespace(
        upstreams=upstreams, limiters=FakeSlotLimiters(), peers=FakePeers()
    )
    site.configuration = FakeConfiguration(plans, **lists)
    site.telemetry = Telemetry()
    site.router = Router(upstreams, upstreams, site.limiters)
    site.admission = Admission(site.configuration, site.limiters, site.router)
    site.peer_selector = PeerSelector(site.peers)
    site.ledger = Ledger()
    journal = journal or FakeJournal(FakeLog(), "d", site.ledger)
    site.runner = AtMostOnceRunner(site.ledger, journal)
    forwarder = Forwarder(Signer(SECRET))
    limits = limits or RequestLimits()
    site.model_calls = ModelCallHandler(
        site.admission,
        site.router,
        upstreams,
        upstreams,
        site.peer_selector,
        forwarder,
        site.telemetry,
        limits=limits,
        incarnation="i",
    )
    site.service_calls = ServiceCallHandler(
        site.admission,
        site.router,
        upstreams,
        site.runner,
        site.peer_selector,
        forwarder,
        site.telemetry,
        limits=limits,
    )
    return site


def make_frontend(site, *, limits=None):
    """Return a front end over the components from ``make_site``."""
    return Frontend(
        site.configuration,
        site.admission,
        site.router,
        site.upstreams,
        site.upstreams,
        site.runner,
        site.peer_selector,
        site.telemetry,
        secret=SECRET,
        incarnation="i",
        ready=lambda: True,
        limits=limits,
    )


def make_model_request(plan, request_id, *, deadline_s=60.0, model="m", prefixes=()):
    """Return a model request as the front end would create it."""
    now = asyncio.get_running_loop().time()
    call = ModelCall(request_id, model, b"{}", plan.weight, deadline_s)
    headers = RequestHeaders(request_id, now + deadline_s, "")
    in_flight = InFlightRequest(request_id)
    return ModelRequest(plan, headers, call, True, prefixes, now, True, in_flight)


def make_service_request(
    plan, *, method="GET", key="", body=b"x", path="/orders", request_id="r"
):
    """Return a service request as the front end would create it."""
    grant = Grant(plan.name, TargetKind.SERVICE, "s")
    call = PlainCall(request_id, method, path, body, "", key, PLAIN_DEADLINE_S)
    deadline = asyncio.get_running_loop().time() + PLAIN_DEADLINE_S
    in_flight = InFlightRequest(request_id)
    return ServiceRequest(plan, grant, deadline, call, True, in_flight)
