"""Sums of what the latest heartbeats of all peers report about upstreams.

The sums are updated incrementally: applying a heartbeat costs what it contains, and
a query costs the same however many daemons and upstreams there are.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Set

from ..gateway.health import UpstreamLoad
from ..gateway.prompt_load import NO_PROMPTS, PromptLoad, RemotePrompts
from .heartbeat import Heartbeat

MS_PER_S = 1000
HEARD_AT_RETENTION_S = 30.0
"""Seconds after which the time of an upstream's last response is dropped; no caller
asks about a longer silence."""


class UpstreamAggregate:
    """Aggregates the latest heartbeat of each included daemon."""

    def __init__(self) -> None:
        self.counts_tokens = False
        """Whether tokens are summed; must be set before the first heartbeat."""
        self._heartbeat_by_name: dict[str, Heartbeat] = {}
        self._in_flight: Counter[str] = Counter()
        self._unanswered: Counter[str] = Counter()
        self._suspects: Counter[str] = Counter()
        self._lost_heads: Counter[str] = Counter()
        self._heard_at_by_host: dict[str, float] = {}
        self._prompts: dict[str, RemotePrompts] = {}

    @property
    def suspects(self) -> Set[str]:
        """Return the upstreams that at least one daemon excludes from routing."""
        return self._suspects.keys()

    @property
    def lost_heads(self) -> Set[str]:
        """Return the heads of replicas that a daemon is dissolving."""
        return self._lost_heads.keys()

    def requests_at(self, host: str) -> tuple[int, int]:
        """Return the daemons' requests at an upstream: in flight, and unanswered."""
        return self._in_flight[host], self._unanswered[host]

    def prompts_at(self, host: str) -> RemotePrompts:
        """Return the daemons' requests at an upstream with their tokens."""
        return self._prompts.get(host, NO_PROMPTS)

    def heard_at(self, host: str) -> float:
        """Return the loop's time at which any daemon last heard from an upstream.

        :return: negative if none did recently
        """
        return self._heard_at_by_host.get(host, -1.0)

    def update(self, heartbeat: Heartbeat, *, at: float) -> None:
        """Replace a daemon's previous heartbeat with a new one.

        :param at: the loop's time in seconds at which it arrived
        """
        self.remove(heartbeat.name)
        self._heartbeat_by_name[heartbeat.name] = heartbeat
        self._add(heartbeat, 1)
        for host, load in heartbeat.load_by_host.items():
            heard_at = at - load.silent_ms / MS_PER_S
            if heard_at > self._heard_at_by_host.get(host, -1.0):
                self._heard_at_by_host[host] = heard_at

    def remove(self, name: str) -> None:
        """Remove a daemon's heartbeat from the sums."""
        heartbeat = self._heartbeat_by_name.pop(name, None)
        if heartbeat is not None:
            self._add(heartbeat, -1)

    def prune(self, now: float) -> None:
        """Drop the times of upstreams from which no daemon has heard for long.

        :param now: the loop's time in seconds
        """
        self._heard_at_by_host = {
            host: at
            for host, at in self._heard_at_by_host.items()
            if now - at < HEARD_AT_RETENTION_S
        }

    def _add(self, heartbeat: Heartbeat, sign: int) -> None:
        for host, load in heartbeat.load_by_host.items():
            _adjust(self._in_flight, host, sign * load.in_flight)
            _adjust(self._unanswered, host, sign * load.unanswered)
            if self.counts_tokens:
                prompts = heartbeat.prompt_load_by_host.get(host)
                self._adjust_prompts(host, load, prompts, sign)
        for host in heartbeat.suspects:
            _adjust(self._suspects, host, sign)
        for host in heartbeat.lost_heads:
            _adjust(self._lost_heads, host, sign)

    def _adjust_prompts(
        self, host: str, load: UpstreamLoad, prompts: PromptLoad | None, sign: int
    ) -> None:
        unread, held = prompts or (0, 0)
        untold = 0 if prompts else 1
        change = (
            load.in_flight,
            load.unanswered,
            unread,
            held,
            untold * load.in_flight,
            untold * load.unanswered,
        )
        before = self._prompts.get(host, NO_PROMPTS)
        after = RemotePrompts(
            *(x + sign * y for x, y in zip(before, change, strict=True))
        )
        if after == NO_PROMPTS:
            self._prompts.pop(host, None)
        else:
            self._prompts[host] = after


def _adjust(counter: Counter[str], key: str, change: int) -> None:
    """Add to a count, and remove keys whose count becomes zero."""
    count = counter[key] + change
    if count:
        counter[key] = count
    else:
        counter.pop(key, None)
