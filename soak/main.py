"""The command behind ``bin/soak``."""

from __future__ import annotations

import asyncio
import shutil
import signal
import sys
import tempfile
import time
from functools import partial
from pathlib import Path
from random import Random

import defopt
from aiohttp import ClientSession

from features.fakes.endless import ENDLESS
from features.fakes.platform import (
    MODEL,
    ONCE_PATH,
    SAFE_PATH,
    STREAM_PATH,
    config,
)

from .callers import Callers
from .proxy import Mode
from .replicas import SIZE
from .site import SoakSite

CALLERS = 12
WARM_S = 4.0
"""Time in which the daemons start and find each other."""
CALM_S = 6.0
"""Time without faults after which everything has to be served again."""
LAST_CALLS = 30
LEAST_SERVED = 27


def replica_config(version: int) -> dict[str, object]:
    """Return the configuration of replicas of two hosts."""
    found = config(version=version)
    (service,) = (s for s in found["services"] if "engine" in s)
    service["engine"]["models"] = [{"name": MODEL, "size": SIZE, "share": 1.0}]
    return found


LOST_ANSWERS = ("reset", "short", "chunked cut", "half a head", "silent close")
"""What a plain engine does with requests that it has run."""
LOST_STREAMS = ("break", "close halfway", "reset")


class Faults:
    """Faults in series and overlapping, all chosen by a seed.

    :param site: what they hit
    :param seed: chooses them
    """

    def __init__(self, site: SoakSite, seed: int) -> None:
        self.done: list[str] = []
        self._site = site
        self._random = Random(seed)
        self._drills = Random(f"drills {seed}")
        """Apart from the other faults, whose order by seed stays as it was."""
        self._losses = Random(f"losses {seed}")
        self._cuts = Random(f"cuts {seed}")
        self._out: set[str] = set()
        self._version = 1
        self._away: set[str] = set()
        self._began = time.monotonic()

    async def run(self, seconds: float) -> None:
        """Play faults for a while, and end them all."""
        tasks = [
            asyncio.create_task(self._drill(seconds)),
            asyncio.create_task(self._lose_answers(seconds)),
            asyncio.create_task(self._cut_from_store(seconds)),
        ]
        until = time.monotonic() + seconds
        kinds = (
            self._kill,
            self._pause,
            self._terminate,
            self._hang_up,
            self._store,
            self._engine_crash,
            self._engine_leaves,
            self._engine_says_leaving,
            self._engine_rests,
            self._engine_endless,
            self._configure,
            self._mark,
        )
        while time.monotonic() < until:
            fault = self._random.choice(kinds)
            tasks.append(asyncio.create_task(fault()))
            await asyncio.sleep(self._random.uniform(0.1, 1.5))
        await asyncio.gather(*tasks)

    def _note(self, text: str) -> None:
        self.done.append(f"{time.monotonic() - self._began:.2f} {text}")

    async def _kill(self) -> None:
        daemon = self._random.choice(self._site.daemons)
        self._note(f"kill {daemon.name}")
        daemon.send(signal.SIGKILL)
        await daemon.ended()
        await asyncio.sleep(self._random.uniform(0.0, 1.0))
        await daemon.start()

    async def _pause(self) -> None:
        daemon = self._random.choice(self._site.daemons)
        seconds = self._random.uniform(0.2, 3.0)
        self._note(f"pause {daemon.name} {seconds:.1f} s")
        daemon.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        daemon.send(signal.SIGCONT)

    async def _terminate(self) -> None:
        daemon = self._random.choice(self._site.daemons)
        self._note(f"terminate {daemon.name}")
        daemon.send(signal.SIGTERM)
        await daemon.ended()
        await daemon.start()

    async def _hang_up(self) -> None:
        daemon = self._random.choice(self._site.daemons)
        self._note(f"hang up {daemon.name}")
        daemon.send(signal.SIGHUP)

    async def _store(self) -> None:
        proxy = self._random.choice(self._site.proxies)
        mode = self._random.choice([mode for mode in Mode if mode is not Mode.PASS])
        self._note(f"store {mode} at {self._site.proxies.index(proxy)}")
        proxy.set(mode, delay_s=self._random.uniform(0.1, 1.0))
        await asyncio.sleep(self._random.uniform(0.5, 4.0))
        proxy.set(Mode.PASS)

    async def _drill(self, seconds: float) -> None:
        """Let the store come back without its newest records, once or twice."""
        for _ in range(self._drills.choice((1, 2))):
            await asyncio.sleep(self._drills.uniform(0.1, 0.45) * seconds)
            store = self._site.platform.store
            kept = {
                topic: max(len(records) - self._drills.randint(0, 30), 1)
                for topic, records in store.records_by_topic.items()
            }
            self._note(f"the store comes back older: {kept}")
            store.restore_older_copy(kept)
            await asyncio.sleep(self._drills.uniform(0.0, 1.0))
            store.put("keyed.op", "config", replica_config(self._version))
            for zone in ("z0", "z1"):
                mark = {} if zone in self._out else None
                store.put("keyed.op", f"evacuate/{zone}", mark)
            for name in self._site.engines.keys() - self._away:
                if name[0] == "e":
                    self._site.replicas.register(name)
                else:
                    zone = f"z{int(name[1:]) % 2}"
                    born = self._site.engines[name].born
                    more = {"service": "plain", "zone": zone, "born": born}
                    self._site.platform.register(name, **more)

    async def _engine_crash(self) -> None:
        name = self._random.choice(sorted(self._site.engines.keys() - self._away))
        self._note(f"engine {name} is away")
        self._away.add(name)
        engine, replicas = self._site.engines[name], self._site.replicas
        formed = name[0] == "e"
        await (replicas.crash(name) if formed else engine.stop())
        await asyncio.sleep(self._random.uniform(0.2, 2.0))
        await (replicas.restart(name) if formed else engine.start())
        self._away.discard(name)

    async def _engine_leaves(self) -> None:
        name = self._random.choice(sorted(self._site.engines))
        zone = f"z{int(name[1:]) % 2}"
        self._note(f"engine {name} leaves and comes back")
        if name[0] == "e":
            register = self._site.replicas.register
        else:
            register = partial(self._site.platform.register, service="plain", zone=zone)
        register(name, state="draining")
        await asyncio.sleep(self._random.uniform(0.5, 3.0))
        register(name, state="ready")

    async def _engine_says_leaving(self) -> None:
        """Let a plain engine say in its answers that it leaves, then start anew."""
        name = self._random.choice([n for n in self._site.engines if n[0] == "p"])
        self._note(f"engine {name} says that it leaves")
        engine = self._site.engines[name]
        engine.script = [f"leaving {self._random.choice(('success', 'refusal'))}"]
        await asyncio.sleep(self._random.uniform(0.2, 1.5))
        engine.script = ["ok"]
        engine.born += 1
        zone = f"z{int(name[1:]) % 2}"
        self._site.platform.register(name, service="plain", zone=zone, born=engine.born)

    async def _engine_rests(self) -> None:
        name = self._random.choice(sorted(self._site.engines))
        engine = self._site.engines[name]
        engine.retry_after_s = self._random.choice(("0.5", "2.0", "-1", "soon", "1e9"))
        self._note(f"engine {name} refuses, rest {engine.retry_after_s}")
        engine.script = ["rest"]
        await asyncio.sleep(self._random.uniform(0.2, 1.0))
        engine.script = ["ok"]

    async def _engine_endless(self) -> None:
        name = self._random.choice(sorted(self._site.engines))
        engine = self._site.engines[name]
        engine.endless = self._random.choice(ENDLESS)
        self._note(f"engine {name} sends {engine.endless} without end")
        await asyncio.sleep(self._random.uniform(0.2, 1.5))
        engine.endless = ""

    async def _lose_answers(self, seconds: float) -> None:
        """Let engines run requests and lose their answers, or parts of them."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await asyncio.sleep(self._losses.uniform(0.3, 2.5))
            name = self._losses.choice(sorted(self._site.engines))
            ways = LOST_STREAMS if name[0] == "e" else LOST_ANSWERS
            engine, way = self._site.engines[name], self._losses.choice(ways)
            self._note(f"engine {name} loses its answers: {way}")
            engine.script = [way]
            await asyncio.sleep(self._losses.uniform(0.2, 1.0))
            engine.script = ["ok"]

    async def _cut_from_store(self, seconds: float) -> None:
        """Let registrations lapse whose engines run on, while streams stall."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await asyncio.sleep(self._cuts.uniform(0.3, 2.5))
            heads = sorted(n for n in self._site.engines if n[0] == "e")
            cut = self._cuts.sample(heads, 3)
            self._note(f"streams stall, and {cut} do not reach the store")
            for name in heads:
                self._site.engines[name].script = ["stall"]
            await asyncio.sleep(self._cuts.uniform(0.1, 0.5))
            for name in cut:
                self._site.platform.store.put("keyed.servers", name, None)
            await asyncio.sleep(self._cuts.uniform(0.5, 2.0))
            for name in heads:
                self._site.engines[name].script = ["ok"]
            for name in cut:
                self._site.replicas.register(name)

    async def _configure(self) -> None:
        self._version += 1
        self._note(f"configuration {self._version}")
        store = self._site.platform.store
        store.put("keyed.op", "config", replica_config(self._version))

    async def _mark(self) -> None:
        zone = self._random.choice(("z0", "z1"))
        self._note(f"{zone} is out")
        store = self._site.platform.store
        store.put("keyed.op", f"evacuate/{zone}", {})
        self._out.add(zone)
        await asyncio.sleep(self._random.uniform(0.5, 2.0))
        self._out.discard(zone)
        store.put("keyed.op", f"evacuate/{zone}", None)


async def _recovers(callers: Callers, site: SoakSite) -> None:
    """Check that every daemon serves again once all faults have ended."""
    await asyncio.sleep(CALM_S)
    served = 0
    async with ClientSession() as session:
        for number in range(LAST_CALLS):
            daemon = site.daemons[number % len(site.daemons)]
            path = (STREAM_PATH, ONCE_PATH, SAFE_PATH)[number % 3]
            served += await callers.call(session, daemon.callers, path) == "200"
    if served < LEAST_SERVED:
        callers.broken.append(f"{served} of {LAST_CALLS} served after the faults")


def _check_register(site: SoakSite) -> list[str]:
    """Return the replicas that serve and are not recorded in the store's era."""
    store = site.platform.store
    recorded: dict[str, bool] = {}
    for record in store.records_by_topic.get(f"keyed.replicas-{store.era}", []):
        end = 1 + record[0]
        recorded[record[1:end].decode()] = bool(record[end:])
    parts = [engine.part for engine in site.engines.values() if engine.part]
    served = {str(part["name"]) for part in parts if part["state"] == "open"}
    lost = sorted(name for name in served if not recorded.get(f"replica/{name}"))
    return [f"{name} serves and is not recorded in era {store.era}" for name in lost]


async def play(seed: int, seconds: float, daemons: int, folder: Path) -> list[str]:
    """Play one seed and return the promises that were broken."""
    site = SoakSite(folder, daemons=daemons)
    callers, faults = Callers(site, seed), Faults(site, seed)
    site.platform.store.era = "1"
    try:
        await site.start(replica_config(1))
        await asyncio.sleep(WARM_S)
        calling = [asyncio.create_task(callers.run(n)) for n in range(CALLERS)]
        await faults.run(seconds)
        for task in calling:
            task.cancel()
        await asyncio.gather(*calling, return_exceptions=True)
        await _recovers(callers, site)
        callers.check_engines()
        callers.broken += site.replicas.broken + _check_register(site)
    finally:
        await site.stop()
    outcomes = ", ".join(f"{k}: {n}" for k, n in sorted(callers.outcomes.items()))
    print(f"seed {seed}: {len(faults.done)} faults; {outcomes}")
    for broken in callers.broken:
        print(f"  broken: {broken}")
    if callers.broken:
        print("  faults: " + "; ".join(faults.done))
        print(f"  logs: {folder}")
    return callers.broken


def soak(
    *, seed: int = 1, seeds: int = 1, seconds: float = 20.0, daemons: int = 4
) -> int:
    """Play seeds one after the other; exits with 1 if a promise was broken.

    :param seed: the first seed
    :param seeds: how many
    :param seconds: how long faults are played in each
    :param daemons: daemons in processes of their own
    """
    failed = 0
    for number in range(seed, seed + seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{number}-"))
        if asyncio.run(play(number, seconds, daemons, folder)):
            failed += 1
        else:
            shutil.rmtree(folder)
    print(f"{seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(defopt.run(soak))
