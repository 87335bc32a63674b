"""Benchmark of one daemon's heartbeats and routing among 6 to 800 daemons.

Run with ``python -m bench.fleet``. Real components in memory: heartbeats are packed,
unpacked and aggregated at their usual rates, and requests select replicas.
"""

from __future__ import annotations

import asyncio
import os
import time
import tracemalloc
from random import Random
from types import SimpleNamespace

import msgspec

from auburnproxy.gateway.backoffs import UpstreamBackoffs
from auburnproxy.gateway.directory import Directory
from auburnproxy.gateway.health import Health, UpstreamLoad
from auburnproxy.gateway.host import Host, ReplicaPart, ReplicaPartState
from auburnproxy.gateway.named_limits import NamedLimits
from auburnproxy.gateway.predicted_cost import build_scoring
from auburnproxy.gateway.route import (
    NO_CONFIGURATION,
    EngineSpec,
    ModelSpec,
    ServiceSpec,
)
from auburnproxy.gateway.shared_rates import SharedRates
from auburnproxy.gateway.subsets import Subsets
from auburnproxy.gateway.upstream_selector import UpstreamSelector
from auburnproxy.gossip import FactTable
from auburnproxy.heartbeats import DaemonRecord, Heartbeat, PeerGroup
from auburnproxy.heartbeats.heartbeat import pack
from auburnproxy.heartbeats.peer_group import (
    LOCAL_HEARTBEATS_PER_S,
    REMOTE_HEARTBEATS_PER_S,
)
from auburnproxy.store import Change
from auburnproxy.telemetry.decisions import DecisionLog

SIZES = (6, 65, 195, 400, 800)
DOMAINS = {6: 3, 65: 3, 195: 5, 400: 18, 800: 18}
HEADS_PER_DAEMON = 0.7
REQUESTS = 2_000
BEAT_SECONDS = 5
MAX_BUSY_UPSTREAMS = 20
"""Most upstreams at which a daemon has requests at the same time."""
MODEL = ModelSpec("m", 1, 1.0, 1.0, 1.0, 1.0)
ENGINE = EngineSpec(7, (MODEL,), 0.008, 0.0002, 45_900, 8, 60.0, 90, 0.3, 900, 150)


def null_decisions() -> DecisionLog:
    """Return a decision log that is discarded."""
    return DecisionLog("bench", descriptor=os.open(os.devnull, os.O_WRONLY))


def make_slices(size: int, *, load_aware: bool = False) -> SimpleNamespace:
    """Return the components of one daemon in a fleet of a given size.

    :param load_aware: whether replicas are scored by predicted cost
    """
    domains = DOMAINS[size]
    heads = [f"h{n}" for n in range(max(int(size * HEADS_PER_DAEMON), 6))]
    directory = Directory(null_decisions())
    service = ServiceSpec("engines", 3.0, 17.0, ENGINE)
    directory.configure(
        NO_CONFIGURATION._replace(version=1, services_by_name={"engines": service})
    )
    for number, name in enumerate(heads):
        directory.register(
            Host(
                id=name,
                service="engines",
                address=f"{name}:1",
                failure_domain=f"fd{number % domains}",
                slots=7,
                leaving=False,
                cold_s=0.0,
                born=1,
                fabric_domain="f",
                models=("m",),
                part=ReplicaPart(f"r-{name}", 1, 0, ReplicaPartState.OPEN),
            )
        )
    names = frozenset(f"r-{name}" for name in heads)
    directory.recorded_replicas = lambda: names
    follower = SimpleNamespace(on_change=None)
    peer_group = PeerGroup(
        "d0",
        DaemonRecord("10.0.0.0:1", "fd0", "10.0.0.0:2"),
        follower,  # type: ignore[arg-type]
        lambda: make_heartbeat("d0", heads, Random(0)),
        null_decisions(),
    )
    for number in range(size):
        record = DaemonRecord(
            f"10.0.0.{number}:1", f"fd{number % domains}", "10.0.0.0:2"
        )
        peer_group._apply_record(
            Change(f"d{number}", msgspec.json.encode(record), number)
        )

    async def probe_succeeds(host: str) -> bool:
        return True

    health = Health(
        null_decisions(),
        probe=probe_succeeds,
        heard_elsewhere=peer_group.aggregate.heard_at,
    )
    peer_group.aggregate.counts_tokens = load_aware
    subsets = Subsets("d0", lambda: peer_group.names_by_domain["fd0"])
    scoring = build_scoring(
        directory,
        health,
        load_aware=load_aware,
        remote_load=peer_group.requests_at,
        remote_prompts=peer_group.aggregate.prompts_at,
        report_age_s=lambda host: peer_group.report_age_s(
            host.failure_domain, told_at_once=subsets.contains(host.id)
        ),
    )
    facts = FactTable()
    selector = UpstreamSelector(
        directory,
        health,
        UpstreamBackoffs(null_decisions()),
        subsets,
        NamedLimits(facts, null_decisions()),
        SharedRates(facts, name="d0"),
        failure_domain="fd0",
        remote_load=peer_group.requests_at,
        suspected=lambda: peer_group.aggregate.suspects,
        retiring_heads=lambda: peer_group.aggregate.lost_heads,
        sharers=lambda domain: peer_group.names_by_domain[domain],
        far_interval_s=lambda: peer_group.remote_interval_s,
        random=Random(1),
        scoring=scoring,
    )
    return SimpleNamespace(
        peer_group=peer_group, selector=selector, health=health, heads=heads
    )


def make_heartbeat(name: str, heads: list[str], random: Random) -> Heartbeat:
    """Return a heartbeat of a daemon with a few requests."""
    busy_heads = random.sample(heads, min(len(heads), MAX_BUSY_UPSTREAMS) // 5)
    work = {
        head: UpstreamLoad(random.randint(1, 3), random.randint(0, 1), 40)
        for head in busy_heads
    }
    ends = {"op": 10, "servers": 100_000, "replicas": 900, "daemons": 400}
    return Heartbeat(name, False, True, True, work, ends, [], [])


async def idle(size: int) -> tuple[float, float]:
    """Return the fraction of a core and the bytes per second that heartbeats use."""
    site, random = make_slices(size), Random(1)
    domains = DOMAINS[size]
    near = [f"d{n}" for n in range(1, size) if n % domains == 0]
    far = [f"d{n}" for n in range(1, size) if n % domains]
    beats = [
        (names[k % len(names)], k)
        for names, rate in (
            (near, min(10 * len(near), LOCAL_HEARTBEATS_PER_S)),
            (far, min(3.3 * len(far), REMOTE_HEARTBEATS_PER_S)),
        )
        if names
        for k in range(int(rate * BEAT_SECONDS))
    ]
    data = [pack(make_heartbeat(name, site.heads, random)) for name, _ in beats]
    started_s = time.process_time()
    for index, each in enumerate(data):
        site.peer_group.datagram_received(each, ("10.0.0.1", 1))
        if index % max(len(data) // (10 * BEAT_SECONDS), 1) == 0:
            site.peer_group.tick()
            _ = site.peer_group.progress_by_peer
            pack(site.peer_group._make_heartbeat())
            for _ in range(5):
                site.peer_group.should_read_store(store_reachable=True)
    cpu_s = time.process_time() - started_s
    return cpu_s / BEAT_SECONDS, sum(map(len, data)) / BEAT_SECONDS


async def choose(size: int) -> float:
    """Return the CPU time of one replica selection, in microseconds."""
    site, random = make_slices(size), Random(1)
    for number in range(1, size):
        site.peer_group.receive(make_heartbeat(f"d{number}", site.heads, random))
    started_s = time.process_time()
    for _ in range(REQUESTS):
        head = site.selector.select_replica("engines", "m").head.id
        with site.health.track_request(head, lambda: None) as begin:
            begin()
            site.health.record_data(head)
    return (time.process_time() - started_s) / REQUESTS * 1e6


async def memory(size: int) -> float:
    """Return the memory that the heartbeats of all daemons use, in kB."""
    tracemalloc.start()
    site, random = make_slices(size), Random(1)
    for number in range(1, size):
        data = pack(make_heartbeat(f"d{number}", site.heads, random))
        site.peer_group.datagram_received(data, ("10.0.0.1", 1))
    taken, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return taken / 1e3


def main() -> None:
    """Print a row for each size."""
    print("daemons  control %  received KB/s  choice us  state KB")
    for size in SIZES:
        core, received = asyncio.run(idle(size))
        micros = asyncio.run(choose(size))
        state = asyncio.run(memory(size))
        row = f"{size:7}  {core * 100:9.2f}  {received / 1e3:13.1f}"
        print(f"{row}  {micros:9.0f}  {state:8.0f}")


if __name__ == "__main__":
    main()
