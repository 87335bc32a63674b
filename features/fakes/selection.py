"""Upstream selection over replicas of one host each, without a network."""

from __future__ import annotations

import asyncio
from contextlib import ExitStack
from random import Random

from auburnproxy.errors import RefusalError
from auburnproxy.gateway.backoffs import UpstreamBackoffs
from auburnproxy.gateway.directory import Directory
from auburnproxy.gateway.health import Health
from auburnproxy.gateway.host import ReplicaPart, ReplicaPartState
from auburnproxy.gateway.named_limits import NamedLimits
from auburnproxy.gateway.predicted_cost import build_scoring
from auburnproxy.gateway.prompt_load import NO_PROMPTS
from auburnproxy.gateway.shared_rates import SharedRates
from auburnproxy.gateway.subsets import Subsets
from auburnproxy.gateway.upstream_selector import UpstreamSelector
from auburnproxy.gossip import FactTable
from features.fakes.fleet import SERVICE, configuration, host
from features.fakes.store import null_decisions


class SelectionFixture:
    """Selects among replicas of one host each and keeps the requests in flight."""

    def __init__(self, near, far, slots, cold_s=0.0, *, load_aware=False):
        self.remote_load = {}
        self.remote_prompts = {}
        self.retiring_heads = set()
        """Heads of replicas that another daemon is dissolving."""
        self.heard_elsewhere = {}
        self.answers = True
        self.sharers = ["d0"]
        self.probe_overrun_s = 0.0
        """Time for which the next probe outlasts its own time limit."""
        self.directory = Directory(null_decisions())
        self.directory.configure(configuration())
        self.heads = [f"n{n}" for n in range(near)] + [f"f{n}" for n in range(far)]
        for name in self.heads:
            part = ReplicaPart(f"r-{name}", 1, 0, ReplicaPartState.OPEN)
            domain = "fd1" if name[0] == "n" else "fd2"
            head = host(
                name,
                failure_domain=domain,
                models=("small",),
                part=part,
                slots=slots,
                cold_s=cold_s,
                seen_at=asyncio.get_running_loop().time(),
            )
            self.directory.register(head)
        self.directory.recorded_replicas = lambda: {f"r-{name}" for name in self.heads}
        self.health = Health(
            null_decisions(),
            probe=self.probe,
            heard_elsewhere=lambda h: self.heard_elsewhere.get(h, -1.0),
        )
        self.facts = FactTable()
        self.limits = NamedLimits(self.facts, null_decisions())
        self.live_daemons = set()
        self.backoffs = UpstreamBackoffs(null_decisions())
        self.scoring = build_scoring(
            self.directory,
            self.health,
            load_aware=load_aware,
            remote_load=lambda h: self.remote_load.get(h, (0, 0)),
            remote_prompts=lambda h: self.remote_prompts.get(h, NO_PROMPTS),
            report_age_s=lambda host: 0.05 if host.id[0] == "n" else 0.5,
        )
        self.selector = UpstreamSelector(
            self.directory,
            self.health,
            self.backoffs,
            Subsets("d0", lambda: self.sharers),
            self.limits,
            SharedRates(self.facts, name="d0"),
            failure_domain="fd1",
            remote_load=lambda h: self.remote_load.get(h, (0, 0)),
            retiring_heads=lambda: self.retiring_heads,
            sharers=lambda domain: self.sharers,
            live_daemons=lambda: self.live_daemons,
            random=Random(1),
            scoring=self.scoring,
        )
        self.stack = ExitStack()
        self.taken = []
        self.refusals = []

    async def probe(self, name):
        if self.probe_overrun_s:
            await asyncio.sleep(self.probe_overrun_s)
            self.probe_overrun_s = 0.0
            return False
        return self.answers

    def select(self, *, begun=True):
        try:
            head = self.selector.select_replica(SERVICE, "small").head.id
        except RefusalError as refusal:
            self.refusals.append(refusal)
            return None
        begin = self.stack.enter_context(self.health.track_request(head, lambda: None))
        if begun:
            begin()
            self.health.record_data(head)
        self.taken.append(head)
        return head
