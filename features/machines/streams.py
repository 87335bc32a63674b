"""Stateful test: searches for wrong answers, and partial ones marked as complete."""

from __future__ import annotations

import asyncio
from functools import partial
from itertools import count

import async_solipsism
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from auburnproxy.errors import Ran, RefusalError, UpstreamError
from auburnproxy.serving import RequestLimits
from auburnproxy.upstreams.engine import Chunk, ChunkKind
from features.fakes.serving import (
    FakeEngine,
    FakeUpstreams,
    make_model_request,
    make_plan,
    make_site,
)

LENGTH = 6
HOSTS = ["e0", "e1", "e2"]
ALL_TOKENS = [b"t%d" % i for i in range(LENGTH)]
DEADLINE_S = 30.0
LIMITS = RequestLimits(first_chunk_s=1.0, next_chunk_s=0.5)
STALL = "stall"

positions = st.integers(0, LENGTH)
hosts = st.sampled_from(HOSTS)


def drop(chunks, at):
    return chunks[:at] + chunks[at + 1 :]


def repeat(chunks, at):
    return chunks[: at + 1] + chunks[at:]


def swap(chunks, at):
    return chunks[:at] + chunks[at : at + 2][::-1] + chunks[at + 2 :]


def foreign(chunks, at):
    foreign_chunk = Chunk(b"other", chunks[0].position, b"foreign", ChunkKind.TOKEN)
    return [*chunks[:at], foreign_chunk, *chunks[at:]]


def foreign_end(chunks, at):
    foreign_chunk = Chunk(b"other", chunks[0].position + at, b"", ChunkKind.END)
    return [*chunks[:at], foreign_chunk, *chunks[at:]]


def late(chunks, at):
    old_chunk = Chunk(chunks[0].request_id, 0, b"late", ChunkKind.TOKEN)
    return [*chunks[: at + 1], old_chunk, *chunks[at + 1 :]]


def truncate(chunks, at):
    return chunks[:at]


def break_off(chunks, at):
    return [*chunks[:at], UpstreamError("reset")]


def refuse(chunks, at):
    return [UpstreamError("busy", ran=Ran.NO)]


def report_error(chunks, at):
    position = chunks[min(at, len(chunks) - 1)].position
    error = Chunk(chunks[0].request_id, position, b"", ChunkKind.ERROR)
    return [*chunks[:at], error]


def stall(chunks, at):
    return [*chunks[:at], STALL, *chunks[at:]]


FAULTS = [drop, repeat, swap, foreign, foreign_end, late, truncate]
FAULTS += [break_off, refuse, report_error, stall]


class StreamMachine(RuleBasedStateMachine):
    """Streams from failing engines; the oracle is the list of tokens."""

    def __init__(self):
        super().__init__()
        self.loop = async_solipsism.EventLoop()
        self.numbers = count()
        self.faults_by_host = {host: [] for host in HOSTS}
        self.parts_by_request_id = {}
        self.tasks_by_request_id = {}
        self.failures = []

    @initialize()
    def begin(self):
        async def make():
            self.engines = {host: FakeEngine(length=LENGTH) for host in HOSTS}
            for host, engine in self.engines.items():
                engine.script = partial(self.script, host)
                engine.on_call = partial(self.check_call, host)
            self.plan = make_plan("alpha", concurrent=6)
            upstreams = FakeUpstreams(self.engines, slots=3)
            self.site = make_site([self.plan], upstreams, limits=LIMITS)

        self.loop.run_until_complete(make())

    def check_call(self, host, call):
        if host in self.site.upstreams.unusable:
            self.failures.append(f"{host} got a call after it was lost")
        if call.resume_from != len(self.parts_by_request_id[call.request_id]):
            self.failures.append("resumed from another position than the caller's")

    def script(self, host, call, chunks):
        queued = self.faults_by_host[host]
        fault, at = queued.pop(0) if queued else (None, 0)
        return fault(chunks, min(at, len(chunks))) if fault else chunks

    @rule(ms=st.sampled_from([0, 20, 70, 400]))
    def ask(self, ms):
        async def start():
            request_id = f"r{next(self.numbers)}"
            self.parts_by_request_id[request_id] = []
            work = self.request(request_id)
            self.tasks_by_request_id[request_id] = (
                asyncio.get_running_loop().create_task(work)
            )
            await asyncio.sleep(ms / 1000)

        self.loop.run_until_complete(start())
        self.check()

    async def request(self, request_id):
        parts = self.parts_by_request_id[request_id]

        async def write(data):
            parts.append(data)

        request = make_model_request(self.plan, request_id, deadline_s=DEADLINE_S)
        try:
            await self.site.model_calls.run(request, write)
        except RefusalError as refusal:
            started = any(c.request_id == request_id for c in self.accepted_calls())
            if refusal.ran is Ran.NO and (parts or started):
                self.failures.append(f"{request_id} ran, but was reported as not run")
        else:
            if parts != ALL_TOKENS:
                self.failures.append(f"{request_id} was marked as complete: {parts}")

    def accepted_calls(self):
        return [c for e in self.engines.values() for c in e.accepted]

    @rule(host=hosts, fault=st.sampled_from(FAULTS), at=positions)
    def plan_fault(self, host, fault, at):
        self.faults_by_host[host].append((fault, at))

    @rule(host=hosts, ms=st.sampled_from([1, 20, 70]))
    def lose(self, host, ms):
        self.site.upstreams.lose(host)
        self.loop.run_until_complete(asyncio.sleep(ms / 1000))
        if self.engines[host].running:
            self.failures.append(f"{host} is lost and still has a call")
        self.check()

    @rule(host=hosts)
    def recover(self, host):
        self.site.upstreams.recover(host)

    @rule(index=st.integers(0, 20))
    def leave(self, index):
        tasks = list(self.tasks_by_request_id.values())
        if tasks:
            tasks[index % len(tasks)].cancel()
        self.loop.run_until_complete(asyncio.sleep(0.001))

    def check(self):
        assert not self.failures, self.failures[0]
        for request_id, parts in self.parts_by_request_id.items():
            assert parts == ALL_TOKENS[: len(parts)], f"{request_id} got {parts}"

    def teardown(self):
        try:
            if hasattr(self, "site"):
                self.loop.run_until_complete(asyncio.sleep(DEADLINE_S + 1))
                self.check()
                self.check_all_free()
        finally:
            for task in asyncio.all_tasks(self.loop):
                task.cancel()
            self.loop.run_until_complete(asyncio.sleep(0))
            self.loop.close()

    def check_all_free(self):
        unanswered = [
            n for n, task in self.tasks_by_request_id.items() if not task.done()
        ]
        assert not unanswered, f"{unanswered} have no answer after their deadline"
        held = {k: g.in_flight for k, g in self.site.limiters.by_key.items()}
        assert not any(held.values()), f"slots were never released: {held}"
        running = {h: e.running for h, e in self.engines.items() if e.running}
        assert not running, f"engines still run calls: {running}"


MACHINES = (StreamMachine,)
