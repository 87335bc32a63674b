"""Entry point of ``bin/soak``: plays random faults and checks the guarantees."""

from __future__ import annotations

import asyncio
import shutil
import signal
import sys
import tempfile
import time
from enum import Enum
from functools import partial
from pathlib import Path
from random import Random

import defopt

from features.fakes.endless import ENDLESS
from features.fakes.platform import MODEL, ONCE_PATH, SAFE_PATH, STREAM_PATH, config

from .callers import Callers, short_request
from .deadly_parts import DeadlyParts
from .judge import LossJudge
from .limits import Limits
from .proxy import Mode
from .replicas import HOSTS_PER_REPLICA
from .site import DaemonProcess, SoakSite

CALLER_COUNT = 16
STARTUP_S = 4.0
"""Time for the daemons to start and join their group."""
ROUTE_TIMEOUT_MS = 8000
RECOVERY_S = 6.0
"""Time without faults after which all requests have to be served again."""
RECOVERY_CALLS = 30
MIN_SERVED_CALLS = 27


def replica_config(version: int) -> dict[str, object]:
    """Return a configuration with replicas of two hosts."""
    configuration = config(version=version)
    (service,) = (s for s in configuration["services"] if "engine" in s)
    service["engine"]["models"] = [
        {"name": MODEL, "size": HOSTS_PER_REPLICA, "share": 1.0}
    ]
    for route in configuration["routes"]:
        route["timeout-ms"] = ROUTE_TIMEOUT_MS
    return configuration


PLAIN_ENGINE_FAULTS = ("reset", "short", "chunked cut", "half a head", "silent close")
"""How a plain engine fails after it has executed a request."""
REPLICA_ENGINE_FAULTS = ("break", "close halfway", "reset")


class Plan(Enum):
    """Which faults a seed plays."""

    ALTERNATE = "alternate"
    """All faults for odd seeds, planned work for even ones."""
    FAULTS = "faults"
    """Every kind of fault, overlapping with planned work."""
    PLANNED = "planned"
    """Only stops, reloads and changes, which excuse no lost request."""


class FaultInjector:
    """Consecutive and overlapping faults, all chosen by a seed.

    :param site: the deployment under test
    :param seed: seed of the choice of faults
    :param deadly_parts: prompt parts on which engines crash
    :param planned: whether only planned work is played
    """

    def __init__(
        self, site: SoakSite, seed: int, deadly_parts: DeadlyParts, *, planned: bool
    ) -> None:
        self.injected: list[str] = []
        self._site = site
        self._planned = planned
        self._deadly_parts = deadly_parts
        self._part_random = Random(f"deadly {seed}")
        self.limits = Limits(site, Random(f"limits {seed}"))
        self._random = Random(seed)
        self._restore_random = Random(f"drills {seed}")
        """A separate generator, so that a seed keeps the order of the other faults."""
        self._response_random = Random(f"losses {seed}")
        self._expiry_random = Random(f"cuts {seed}")
        self._stop_random = Random(f"stops {seed}")
        self._evacuated_zones: set[str] = set()
        self._version = 1
        self._stopped_engines: set[str] = set()
        self._started_at = time.monotonic()

    async def run(self, seconds: float) -> None:
        """Inject faults for some seconds, and return when all of them have ended."""
        series = [self._stop_in_series, self._name_limits]
        if not self._planned:
            series += [
                self._restore_older_store,
                self._break_responses,
                self._expire_registrations,
                self._crash_on_parts,
            ]
        tasks = [asyncio.create_task(play(seconds)) for play in series]
        until = time.monotonic() + seconds
        kinds = (
            self._kill,
            self._pause,
            self._terminate,
            self._reload,
            self._degrade_store,
            self._engine_crash,
            self._engine_drains,
            self._engine_announces_draining,
            self._engine_sends_retry_after,
            self._engine_sends_endless_data,
            self._configure,
            self._evacuate_zone,
        )
        if self._planned:
            kinds = (
                self._reload,
                self._configure,
                self._evacuate_zone,
                self._engine_drains,
            )
        while time.monotonic() < until:
            fault = self._random.choice(kinds)
            tasks.append(asyncio.create_task(fault()))
            await asyncio.sleep(self._random.uniform(0.1, 1.5))
        await asyncio.gather(*tasks)

    def _record(self, text: str) -> None:
        self.injected.append(f"{time.monotonic() - self._started_at:.2f} {text}")

    async def _kill(self) -> None:
        daemon = self._random.choice(self._site.daemons)
        self._record(f"kill {daemon.name}")
        daemon.send(signal.SIGKILL)
        self._site.disrupt(daemon.name, 0.0)
        await daemon.ended()
        await asyncio.sleep(self._random.uniform(0.0, 1.0))
        await daemon.start()
        self._site.disrupt(daemon.name, 0.0)

    async def _pause(self) -> None:
        daemon = self._random.choice(self._site.daemons)
        seconds = self._random.uniform(0.2, 3.0)
        self._record(f"pause {daemon.name} {seconds:.1f} s")
        daemon.send(signal.SIGSTOP)
        self._site.disrupt(daemon.name, seconds)
        await asyncio.sleep(seconds)
        daemon.send(signal.SIGCONT)

    async def _terminate(self) -> None:
        await self._stop(self._random.choice(self._site.daemons))

    async def _reload(self, daemon: DaemonProcess | None = None) -> None:
        daemon = daemon or self._random.choice(self._site.daemons)
        self._record(f"reload {daemon.name}")
        daemon.reload()

    async def _stop(self, daemon: DaemonProcess) -> None:
        self._record(f"terminate {daemon.name}")
        await daemon.terminate()
        await daemon.start()

    async def _stop_in_series(self, seconds: float) -> None:
        """Stop daemons in turn, twice, early, and beside reloads and configurations."""
        until, random = time.monotonic() + seconds, self._stop_random
        async with asyncio.TaskGroup() as tasks:
            while time.monotonic() < until:
                daemons = random.sample(self._site.daemons, len(self._site.daemons))
                kind = random.choice(("in turn", "twice", "early", "reload", "change"))
                if kind not in ("in turn", "reload"):
                    del daemons[1:]
                for daemon in daemons:
                    gap_s = random.uniform(0.1, 3.0)
                    tasks.create_task(self._stop_beside(kind, daemon, gap_s))
                    await asyncio.sleep(random.uniform(0.5, 2.0))
                await asyncio.sleep(random.uniform(0.0, 3.0))

    async def _stop_beside(
        self, kind: str, daemon: DaemonProcess, gap_s: float
    ) -> None:
        """Stop a daemon, with what else the kind says a gap before and after it."""
        beside = {
            "twice": partial(self._stop, daemon),
            "early": partial(self._stop, daemon),
            "reload": partial(self._reload, daemon),
            "change": self._configure,
        }.get(kind)
        if beside is not None and kind != "twice":
            await beside()
            await asyncio.sleep(gap_s / 2)
        stop = asyncio.create_task(self._stop(daemon))
        await asyncio.sleep(gap_s)
        if beside is not None and kind != "early":
            await beside()
        await stop

    async def _degrade_store(self) -> None:
        proxy = self._random.choice(self._site.proxies)
        mode = self._random.choice([mode for mode in Mode if mode is not Mode.PASS])
        self._record(f"store {mode} at {self._site.proxies.index(proxy)}")
        proxy.set(mode, delay_s=self._random.uniform(0.1, 1.0))
        seconds = self._random.uniform(0.5, 4.0)
        daemon = self._site.daemons[self._site.proxies.index(proxy)]
        self._site.disrupt(f"store of {daemon.name}", seconds)
        await asyncio.sleep(seconds)
        proxy.set(Mode.PASS)

    async def _restore_older_store(self, seconds: float) -> None:
        """Restore the store from a copy without its newest records, once or twice."""
        for _ in range(self._restore_random.choice((1, 2))):
            await asyncio.sleep(self._restore_random.uniform(0.1, 0.45) * seconds)
            store = self._site.platform.store
            kept = {
                topic: max(len(records) - self._restore_random.randint(0, 30), 1)
                for topic, records in store.records_by_topic.items()
            }
            self._record(f"store is restored from an older copy: {kept}")
            store.restore_older_copy(kept)
            pause_s = self._restore_random.uniform(0.0, 1.0)
            self._site.disrupt("store", pause_s)
            await asyncio.sleep(pause_s)
            self._site.configure(replica_config(self._version))
            for zone in ("z0", "z1"):
                mark = {} if zone in self._evacuated_zones else None
                store.put("keyed.op", f"evacuate/{zone}", mark)
            for name in self._site.engines.keys() - self._stopped_engines:
                if name[0] == "e":
                    self._site.replicas.register(name)
                else:
                    zone = f"z{int(name[1:]) % 2}"
                    born = self._site.engines[name].born
                    more = {"service": "plain", "zone": zone, "born": born}
                    self._site.platform.register(name, **more)

    async def _engine_crash(self) -> None:
        name = self._random.choice(
            sorted(self._site.engines.keys() - self._stopped_engines)
        )
        self._record(f"engine {name} stops")
        self._stopped_engines.add(name)
        engine, replicas = self._site.engines[name], self._site.replicas
        formed = name[0] == "e"
        await (replicas.crash(name) if formed else engine.stop())
        seconds = self._random.uniform(0.2, 2.0)
        self._site.disrupt(name, seconds)
        await asyncio.sleep(seconds)
        await (replicas.restart(name) if formed else engine.start())
        self._stopped_engines.discard(name)

    async def _engine_drains(self) -> None:
        name = self._random.choice(sorted(self._site.engines))
        zone = f"z{int(name[1:]) % 2}"
        self._record(f"engine {name} drains and returns")
        if name[0] == "e":
            register = self._site.replicas.register
        else:
            register = partial(self._site.platform.register, service="plain", zone=zone)
        register(name, state="draining")
        await asyncio.sleep(self._random.uniform(0.5, 3.0))
        register(name, state="ready")

    async def _engine_announces_draining(self) -> None:
        """Let a plain engine announce in its responses that it drains, then restart."""
        name = self._random.choice([n for n in self._site.engines if n[0] == "p"])
        self._record(f"engine {name} announces that it drains")
        engine = self._site.engines[name]
        engine.script = [f"leaving {self._random.choice(('success', 'refusal'))}"]
        await asyncio.sleep(self._random.uniform(0.2, 1.5))
        engine.script = ["ok"]
        engine.born += 1
        zone = f"z{int(name[1:]) % 2}"
        self._site.platform.register(name, service="plain", zone=zone, born=engine.born)

    async def _engine_sends_retry_after(self) -> None:
        name = self._random.choice(sorted(self._site.engines))
        engine = self._site.engines[name]
        engine.retry_after_s = self._random.choice(("0.5", "2.0", "-1", "soon", "1e9"))
        self._record(f"engine {name} refuses, Retry-After {engine.retry_after_s}")
        engine.script = ["rest"]
        await asyncio.sleep(self._random.uniform(0.2, 1.0))
        engine.script = ["ok"]

    async def _engine_sends_endless_data(self) -> None:
        name = self._random.choice(sorted(self._site.engines))
        engine = self._site.engines[name]
        engine.endless = self._random.choice(ENDLESS)
        self._record(f"engine {name} sends endless {engine.endless}")
        await asyncio.sleep(self._random.uniform(0.2, 1.5))
        engine.endless = ""

    async def _break_responses(self, seconds: float) -> None:
        """Let engines execute requests and lose all or part of their responses."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await asyncio.sleep(self._response_random.uniform(0.3, 2.5))
            name = self._response_random.choice(sorted(self._site.engines))
            modes = REPLICA_ENGINE_FAULTS if name[0] == "e" else PLAIN_ENGINE_FAULTS
            engine, mode = self._site.engines[name], self._response_random.choice(modes)
            self._record(f"engine {name} loses its responses: {mode}")
            engine.script = [mode]
            await asyncio.sleep(self._response_random.uniform(0.2, 1.0))
            engine.script = ["ok"]

    async def _expire_registrations(self, seconds: float) -> None:
        """Expire registrations of running engines while their streams stall."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await asyncio.sleep(self._expiry_random.uniform(0.3, 2.5))
            heads = sorted(n for n in self._site.engines if n[0] == "e")
            expired = self._expiry_random.sample(heads, 3)
            self._record(f"streams stall, and the registrations of {expired} expire")
            for name in heads:
                self._site.engines[name].script = ["stall"]
            await asyncio.sleep(self._expiry_random.uniform(0.1, 0.5))
            for name in expired:
                self._site.platform.store.put("keyed.servers", name, None)
            seconds = self._expiry_random.uniform(0.5, 2.0)
            for name in expired:
                self._site.disrupt(name, seconds)
            await asyncio.sleep(seconds)
            for name in heads:
                self._site.engines[name].script = ["ok"]
            for name in expired:
                self._site.replicas.register(name)

    async def _crash_on_parts(self, seconds: float) -> None:
        """Let engines crash on one prompt part after the other."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await asyncio.sleep(self._part_random.uniform(0.5, 4.0))
            self._record("engines crash on a prompt part")
            self._record(f"they no longer crash on {await self._deadly_parts.play()}")

    async def _name_limits(self, seconds: float) -> None:
        """Let engines name limits, up to three at a time."""
        until = time.monotonic() + seconds

        async def name_one_after_the_other() -> None:
            while time.monotonic() < until:
                self._record(await self.limits.play())

        await asyncio.gather(*(name_one_after_the_other() for _ in range(3)))

    async def _configure(self) -> None:
        self._version += 1
        self._record(f"configuration {self._version}")
        self._site.configure(replica_config(self._version))

    async def _evacuate_zone(self) -> None:
        zone = self._random.choice(("z0", "z1"))
        self._record(f"{zone} is evacuated")
        store = self._site.platform.store
        store.put("keyed.op", f"evacuate/{zone}", {})
        self._evacuated_zones.add(zone)
        await asyncio.sleep(self._random.uniform(0.5, 2.0))
        self._evacuated_zones.discard(zone)
        store.put("keyed.op", f"evacuate/{zone}", None)


async def _check_recovery(callers: Callers, site: SoakSite) -> None:
    """Check that the daemons serve again once all faults have ended."""
    await asyncio.sleep(RECOVERY_S)
    served, connection_by_daemon = 0, {}
    for number in range(RECOVERY_CALLS):
        daemon = site.daemons[number % len(site.daemons)]
        request = short_request((STREAM_PATH, ONCE_PATH, SAFE_PATH)[number % 3])
        outcome = await callers.call(connection_by_daemon, daemon, request)
        served += outcome == "200"
    for connection in connection_by_daemon.values():
        connection.close()
    if served < MIN_SERVED_CALLS:
        callers.violations.append(
            f"{served} of {RECOVERY_CALLS} calls served after the faults ended"
        )


def _check_recorded_replicas(site: SoakSite) -> list[str]:
    """Return a violation for each serving replica not recorded in the store's era."""
    store = site.platform.store
    recorded: dict[str, bool] = {}
    for record in store.records_by_topic.get(f"keyed.replicas-{store.era}", []):
        end = 1 + record[0]
        recorded[record[1:end].decode()] = bool(record[end:])
    parts = [engine.part for engine in site.engines.values() if engine.part]
    served = {str(part["name"]) for part in parts if part["state"] == "open"}
    lost = sorted(name for name in served if not recorded.get(f"replica/{name}"))
    return [f"{name} serves but is not recorded in era {store.era}" for name in lost]


async def run_seed(
    seed: int, seconds: float, daemons: int, folder: Path, plan: Plan = Plan.ALTERNATE
) -> list[str]:
    """Run one seed and return the guarantees that were violated."""
    # Two seeds of four, so that both kinds of faults are played with and without it.
    contracts = ("pool",) if seed % 4 >= 2 else ()
    site = SoakSite(folder, daemons=daemons, contracts=contracts)
    planned = plan is Plan.PLANNED or (plan is Plan.ALTERNATE and seed % 2 == 0)
    site.platform.store.era = "1"
    try:
        await site.start(replica_config(1))
        callers = Callers(site, seed)
        faults = FaultInjector(site, seed, callers.deadly_parts, planned=planned)
        balancing = asyncio.create_task(callers.balancer.run())
        await asyncio.sleep(STARTUP_S)
        clients = [asyncio.create_task(callers.run(n)) for n in range(CALLER_COUNT)]
        await faults.run(seconds)
        for task in (*clients, balancing):
            task.cancel()
        await asyncio.gather(*clients, balancing, return_exceptions=True)
        await _check_recovery(callers, site)
        callers.check_executions()
        callers.violations += site.replicas.violations + _check_recorded_replicas(site)
        callers.violations += callers.deadly_parts.violations()
        callers.violations += faults.limits.violations()
        callers.violations += LossJudge(site, callers.exchanges).violations()
    finally:
        await site.stop()
    outcomes = ", ".join(f"{k}: {n}" for k, n in sorted(callers.outcomes.items()))
    kind = "planned work" if planned else "faults"
    if contracts:
        kind += " in a shared pool"
    print(f"seed {seed}: {len(faults.injected)} x {kind}; {outcomes}")
    for violation in callers.violations:
        print(f"  broken: {violation}")
    if callers.violations:
        print("  faults: " + "; ".join(faults.injected))
        print(f"  logs: {folder}")
    return callers.violations


def soak(
    *,
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 20.0,
    daemons: int = 4,
    plan: Plan = Plan.ALTERNATE,
) -> int:
    """Run consecutive seeds; exits with 1 if a guarantee was violated.

    :param seed: the first seed
    :param seeds: number of seeds
    :param seconds: how long faults are injected for each seed
    :param daemons: number of daemon processes
    :param plan: which faults are played
    """
    failed = 0
    for number in range(seed, seed + seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{number}-"))
        if asyncio.run(run_seed(number, seconds, daemons, folder, plan)):
            failed += 1
        else:
            shutil.rmtree(folder)
    print(f"{seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(defopt.run(soak))
