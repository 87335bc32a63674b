"""Engines that form replicas of two hosts and detect orders that must not occur."""

from __future__ import annotations

from features.fakes.platform import MODEL, EngineStandIn, Site
from features.loopback import free_addresses

HOSTS_PER_REPLICA = 2
"""Hosts of one replica."""
SERVICE = "engines"


class ReplicaEngines:
    """Engines in two failure domains, initially without a replica.

    A head detects at once that a member has gone, and reports itself broken. An engine
    ignores orders with an older epoch than it has seen.

    :param platform: where the engines register
    """

    def __init__(self, platform: Site) -> None:
        self.violations: list[str] = []
        """Orders that break an invariant of the replicas."""
        self._platform = platform
        self._engines: dict[str, EngineStandIn] = {}
        self._zones: dict[str, str] = {}
        self._epochs: dict[str, int] = {}
        self._stopped: set[str] = set()
        self._members: dict[str, list[str]] = {}

    async def add(self, name: str, zone: str) -> None:
        """Start an engine that has staged the weights of the only model."""
        engine = EngineStandIn(name, free_addresses(1)[0])
        engine.staged = [MODEL]
        engine.on_order = lambda order: self._handle_order(engine, order)
        await engine.start()
        self._engines[name] = self._platform.engines[name] = engine
        self._zones[name] = zone
        self.register(name)

    def register(self, name: str, *, state: str = "ready") -> None:
        """Write an engine's current registration, unless it is stopped."""
        engine = self._engines[name]
        if name in self._stopped:
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
        """Stop an engine; its registration expires and its replica's head breaks."""
        engine = self._engines[name]
        self._stopped.add(name)
        await engine.stop()
        self._platform.store.put("keyed.servers", name, None)
        part, engine.part = engine.part, None
        if part is not None:
            self._break_head(part)

    async def restart(self, name: str) -> None:
        """Restart an engine with its weights staged and without a replica.

        Does nothing if it runs: two faults may have stopped it.
        """
        engine = self._engines[name]
        if name not in self._stopped:
            return
        self._stopped.discard(name)
        engine.born += 1
        self._epochs.pop(name, None)
        await engine.start()
        self.register(name)

    def _break_head(self, part: dict[str, object]) -> None:
        for name, engine in self._engines.items():
            own_part = engine.part
            if (
                own_part is not None
                and own_part["name"] == part["name"]
                and own_part["rank"] == 0
            ):
                engine.part = own_part | {"state": "broken"}
                self.register(name)

    def _handle_order(self, engine: EngineStandIn, order: dict) -> None:
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
            self._check_complete(engine, group)
            engine.part = part | {"state": "open"}
        elif operation == "close":
            engine.part = part | {"state": "ready"}
        elif operation == "leave":
            engine.part = None
            self._break_head(part)
        self.register(engine.name)

    def _join(
        self, engine: EngineStandIn, group: str, epoch: int, members: list[str]
    ) -> None:
        known = self._members.setdefault(group, members)
        if known != members or len(members) != HOSTS_PER_REPLICA:
            self.violations.append(f"{group} has members {members} and {known}")
        part = engine.part
        already_joined = part is not None and part["name"] == group
        if part is not None and not already_joined:
            self._check_left_replica(engine, group)
        rank = members.index(engine.name)
        state = part["state"] if already_joined else "ready"
        engine.part = {"name": group, "epoch": epoch, "rank": rank, "state": state}

    def _check_left_replica(self, engine: EngineStandIn, group: str) -> None:
        """Record a member that moves to another replica while its old head is open."""
        assert engine.part is not None
        for head in self._engines.values():
            part = head.part
            same = part is not None and part["name"] == engine.part["name"]
            if same and part["rank"] == 0 and part["state"] == "open":
                self.violations.append(
                    f"{engine.name} joins {group} while its head is open in {part}"
                )

    def _check_complete(self, head: EngineStandIn, group: str) -> None:
        """Record a head that is opened before all members have joined."""
        for name in self._members[group]:
            part = self._engines[name].part
            if part is None or part["name"] != group:
                self.violations.append(
                    f"{group} is opened at {head.name} before {name} joined"
                )
