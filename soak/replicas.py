"""Engines that form replicas of two hosts, and what no order may make them do."""

from __future__ import annotations

from features.fakes.platform import MODEL, EngineStandIn, Site
from features.loopback import free_addresses

SIZE = 2
"""Hosts of one replica."""
SERVICE = "engines"


class ReplicaEngines:
    """Engines in two failure domains that start in no replica.

    A head notices at once that a member is gone, and breaks. Orders of an older
    epoch than an engine has seen have no effect.

    :param platform: where they register
    """

    def __init__(self, platform: Site) -> None:
        self.broken: list[str] = []
        """What was ordered that must never be."""
        self._platform = platform
        self._engines: dict[str, EngineStandIn] = {}
        self._zones: dict[str, str] = {}
        self._epochs: dict[str, int] = {}
        self._away: set[str] = set()
        self._members: dict[str, list[str]] = {}

    async def add(self, name: str, zone: str) -> None:
        """Start an engine with the weights of the only model."""
        engine = EngineStandIn(name, free_addresses(1)[0])
        engine.staged = [MODEL]
        engine.on_order = lambda order: self._obey(engine, order)
        await engine.start()
        self._engines[name] = self._platform.engines[name] = engine
        self._zones[name] = zone
        self.register(name)

    def register(self, name: str, *, state: str = "ready") -> None:
        """Write an engine's registration as it is now."""
        engine = self._engines[name]
        if name in self._away:
            return
        entry = {
            "service": SERVICE,
            "address": engine.address,
            "zone": self._zones[name],
            "domain": "d0",
            "slots": 9,
            "state": state,
            "born": engine.born,
            "models": [{"name": MODEL, "version": 1}],
            "staged": engine.staged,
            "group": engine.part,
        }
        self._platform.store.put("keyed.servers", name, entry)

    async def crash(self, name: str) -> None:
        """End an engine; its registration lapses and its replica's head breaks."""
        engine = self._engines[name]
        self._away.add(name)
        await engine.stop()
        self._platform.store.put("keyed.servers", name, None)
        part, engine.part = engine.part, None
        if part is not None:
            self._break(part)

    async def restart(self, name: str) -> None:
        """Start an engine again, with its weights and in no replica."""
        engine = self._engines[name]
        self._away.discard(name)
        engine.born += 1
        self._epochs.pop(name, None)
        await engine.start()
        self.register(name)

    def _break(self, part: dict[str, object]) -> None:
        for name, engine in self._engines.items():
            own = engine.part
            if own is not None and own["name"] == part["name"] and own["rank"] == 0:
                engine.part = own | {"state": "broken"}
                self.register(name)

    def _obey(self, engine: EngineStandIn, order: dict) -> None:
        operation, part = order["operation"], engine.part
        group, epoch = order.get("group", ""), order.get("epoch", 0)
        if operation == "stage" or epoch < self._epochs.get(engine.name, 0):
            return
        self._epochs[engine.name] = epoch
        if operation == "join":
            self._join(engine, group, epoch, order["members"])
        elif part is None or part["name"] != group:
            return
        elif operation == "open":
            self._check_whole(engine, group)
            engine.part = part | {"state": "open"}
        elif operation == "close":
            engine.part = part | {"state": "ready"}
        elif operation == "leave":
            engine.part = None
            self._break(part)
        self.register(engine.name)

    def _join(
        self, engine: EngineStandIn, group: str, epoch: int, members: list[str]
    ) -> None:
        known = self._members.setdefault(group, members)
        if known != members or len(members) != SIZE:
            self.broken.append(f"{group} has members {members} and {known}")
        part = engine.part
        again = part is not None and part["name"] == group
        if part is not None and not again:
            self._check_apart(engine, group)
        rank = members.index(engine.name)
        state = part["state"] if again else "ready"
        engine.part = {"name": group, "epoch": epoch, "rank": rank, "state": state}

    def _check_apart(self, engine: EngineStandIn, group: str) -> None:
        """Note a member that leaves a replica whose head is open for another one."""
        assert engine.part is not None
        for head in self._engines.values():
            part = head.part
            same = part is not None and part["name"] == engine.part["name"]
            if same and part["rank"] == 0 and part["state"] == "open":
                self.broken.append(f"{engine.name} joins {group}, still in {part}")

    def _check_whole(self, head: EngineStandIn, group: str) -> None:
        """Note a head that is opened before all members take part."""
        for name in self._members[group]:
            part = self._engines[name].part
            if part is None or part["name"] != group:
                self.broken.append(f"{group} is opened at {head.name} without {name}")
