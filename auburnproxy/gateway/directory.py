"""Directory of the configuration in force, registered hosts and disabled domains."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from types import MappingProxyType

from ..clock import loop_time
from ..notifier import Notifier
from ..telemetry.decisions import DecisionLog
from .call import Call
from .host import Host, Incarnation, ReplicaPartState
from .route import NO_CONFIGURATION, Configuration, EngineSpec
from .serving_replica import ServingReplica, serving_replicas

LAPSE_GRACE_S = 2.5
"""Seconds after a store outage within which a live host registers again."""
MASS_LAPSE_FRACTION = 0.25
"""Fraction of a service's hosts above which lapsed registrations are attributed to a
store outage instead of departures."""
LEAVING_ANNOUNCED_S = 5.0
"""Seconds for which other daemons are told about an upstream that is leaving."""
LEAVING_REMEMBERED_S = 60.0
"""Seconds for which a leaving process is remembered after its registration is gone."""


class Directory:
    """The newest configuration and the registered hosts.

    :param decisions: log of each change
    :param store_failed_at: returns the loop's time of the store's latest failure
    :param lapsed_use_s: seconds for which a host still gets requests after its
        registration has lapsed; then it may have left without notice
    """

    def __init__(
        self,
        decisions: DecisionLog,
        *,
        store_failed_at: Callable[[], float] = lambda: -1.0,
        lapsed_use_s: float = LAPSE_GRACE_S,
    ) -> None:
        self.configuration = NO_CONFIGURATION
        self.configured_at = -1.0
        """The loop's time at which the configuration came into force."""
        self.out_domains: frozenset[str] = frozenset()
        """Failure domains that operators have taken out of service."""
        self.changed = Notifier()
        self.changes = 0
        """Number of changes so far."""
        self._decisions = decisions
        self._store_failed_at = store_failed_at
        self._lapsed_use_s = lapsed_use_s
        self._engines: dict[str, EngineSpec] = {}
        self._hosts: dict[str, Host] = {}
        self._lapsed_at_by_id: dict[str, float] = {}
        self._leaving_since: dict[Incarnation, float] = {}
        self._replicas: tuple[ServingReplica, ...] | None = None
        self.recorded_replicas: Callable[[], Collection[str]] = tuple
        """Returns the names of the recorded replicas, which have not been dissolved."""

    @property
    def hosts(self) -> Mapping[str, Host]:
        """Return the registered hosts by id."""
        return MappingProxyType(self._hosts)

    @property
    def engines(self) -> Mapping[str, EngineSpec]:
        """Return the engine specs of the services whose hosts form replicas."""
        return MappingProxyType(self._engines)

    def service(self, call: Call) -> str:
        """Return the service that gets the next try of a request.

        That is the one of its route in the version in force, also if the request was
        read before. If the route has been removed since, its service stays.

        :param call: the request, as it was routed
        """
        route = self.configuration.successor(call.route)
        if route is None or route.kind is not call.route.kind:
            return call.service
        return route.service(call.id) or call.service

    def configure(self, configuration: Configuration) -> None:
        """Put a configuration in force, unless a newer one already is.

        :param configuration: the version that was read
        """
        before = self.configuration.version
        if configuration.version <= before:
            return
        self.configuration = configuration
        self._engines = {
            name: service.engine
            for name, service in configuration.services_by_name.items()
            if service.engine is not None and service.engine.models
        }
        self.configured_at = loop_time()
        self._replicas = None
        self._decisions.belief(
            "configuration_in_force", version=configuration.version, before=before
        )
        self._notify_changed()

    def set_domain_out(self, failure_domain: str, *, out: bool) -> None:
        """Take a failure domain out of service or put it back.

        :param failure_domain: its name
        :param out: whether its upstreams must get no requests
        """
        before = self.out_domains
        names = {failure_domain}
        self.out_domains = before | names if out else before - names
        if self.out_domains != before:
            kind = "domain_out" if out else "domain_back"
            self._decisions.belief(kind, failure_domain=failure_domain)
            self._notify_changed()

    def register(self, host: Host) -> None:
        """Add or update a host's registration.

        :param host: the host as it registered
        """
        previous = self._hosts.get(host.id)
        self._lapsed_at_by_id.pop(host.id, None)
        if host.incarnation in self._leaving_since:
            host = host._replace(leaving=True)
        self._hosts[host.id] = host
        if previous is None or previous._replace(seen_at=host.seen_at) != host:
            self._replicas = None
            self._log_changes(previous, host)
            self._notify_changed()

    def refresh(self, host_id: str) -> None:
        """Record that a host has renewed its registration without changes.

        :param host_id: id of the host
        """
        self._lapsed_at_by_id.pop(host_id, None)
        host = self._hosts.get(host_id)
        if host is not None:
            cold_s = self.cold_s(host)
            self._hosts[host_id] = host._replace(seen_at=loop_time(), cold_s=cold_s)

    def mark_leaving(self, incarnation: Incarnation, *, source: str) -> None:
        """Mark a process as leaving until it ends.

        :param incarnation: the process
        :param source: where that was learned, for the log
        """
        if incarnation in self._leaving_since:
            return
        self._leaving_since[incarnation] = loop_time()
        self._decisions.belief("leaving_told", upstream=incarnation[0], by=source)
        host = self._hosts.get(incarnation[0])
        if host is not None and self._is_registered(incarnation):
            self.register(host)

    @property
    def recently_leaving(self) -> tuple[Incarnation, ...]:
        """Return the processes that became known to be leaving a short time ago."""
        since = loop_time() - LEAVING_ANNOUNCED_S
        return tuple(
            incarnation for incarnation, at in self._leaving_since.items() if at > since
        )

    def unregister(self, host_id: str) -> None:
        """Handle the removal of a host's registration.

        Registrations also lapse while the store is unavailable. A host whose
        registration lapsed around an outage is kept for as long as a live one needs to
        register again.

        :param host_id: id of the host
        """
        if host_id not in self._hosts:
            return
        if self._store_failed_recently():
            self._lapsed_at_by_id.setdefault(host_id, loop_time())
            self._decisions.belief("host_lapsed", upstream=host_id)
            return
        self._remove(host_id)

    def expire(self) -> None:
        """Remove hosts whose registration lapsed and was not renewed in time."""
        now = loop_time()
        self._leaving_since = {
            incarnation: at
            for incarnation, at in self._leaving_since.items()
            if now - at < LEAVING_REMEMBERED_S or self._is_registered(incarnation)
        }
        failed_at = self._store_failed_at()
        for host_id, at in list(self._lapsed_at_by_id.items()):
            if now - max(at, failed_at) >= LAPSE_GRACE_S:
                del self._lapsed_at_by_id[host_id]
                self._remove(host_id)

    def replicas(self) -> tuple[ServingReplica, ...]:
        """Return the replicas whose heads accept requests, by registrations."""
        if self._replicas is None:
            self._replicas = serving_replicas(self._hosts.values(), self._engines)
        return self._replicas

    def usable_hosts(self, service: str) -> Iterable[Host]:
        """Return the hosts of a plain service that may get requests.

        :param service: name of the service
        """
        return [
            host
            for host in self._hosts.values()
            if host.service == service and self.is_usable(host)
        ]

    def is_usable(self, host: Host) -> bool:
        """Return whether a host may get requests: in service and not leaving."""
        return (
            not host.leaving
            and host.failure_domain not in self.out_domains
            and not self._may_have_left(host)
        )

    def is_leaving(self, host: Host) -> bool:
        """Return whether a host is leaving, or has left without notice.

        :param host: the host as it was known before
        """
        known = self._hosts.get(host.id)
        return known is None or known.leaving or known.born != host.born

    def cold_s(self, host: Host) -> float:
        """Return the seconds for which a host is still cold."""
        if host.cold_s <= 0:
            return 0.0
        return max(host.cold_s - (loop_time() - host.seen_at), 0.0)

    def _notify_changed(self) -> None:
        self.changes += 1
        self.changed.notify()

    def _is_registered(self, incarnation: Incarnation) -> bool:
        host = self._hosts.get(incarnation[0])
        return host is not None and host.incarnation == incarnation

    def _may_have_left(self, host: Host) -> bool:
        """Return whether a host's registration lapsed so long ago that it may be gone.

        If many registrations of a service have lapsed, a store outage is the cause.
        """
        lapsed_at = self._lapsed_at_by_id.get(host.id)
        if lapsed_at is None or loop_time() - lapsed_at < self._lapsed_use_s:
            return False
        if self._store_failed_at() > lapsed_at:
            return False
        peers = [h.id for h in self._hosts.values() if h.service == host.service]
        lapsed = sum(peer in self._lapsed_at_by_id for peer in peers)
        return lapsed <= max(MASS_LAPSE_FRACTION * len(peers), 1)

    def _store_failed_recently(self) -> bool:
        failed_at = self._store_failed_at()
        return failed_at >= 0 and loop_time() - failed_at < LAPSE_GRACE_S

    def _remove(self, host_id: str) -> None:
        del self._hosts[host_id]
        self._replicas = None
        self._decisions.belief("host_gone", upstream=host_id)
        self._notify_changed()

    def _log_changes(self, previous: Host | None, host: Host) -> None:
        if previous is None or previous.incarnation != host.incarnation:
            self._decisions.belief(
                "host_registered",
                upstream=host.id,
                born=host.born,
                failure_domain=host.failure_domain,
                fabric_domain=host.fabric_domain,
            )
        if host.leaving and not (previous and previous.leaving):
            self._decisions.belief("host_leaving", upstream=host.id)
        before = previous.part if previous else None
        if (
            host.part != before
            and host.part
            and host.part.state is ReplicaPartState.OPEN
        ):
            self._decisions.belief(
                "replica_open",
                upstream=host.id,
                replica=host.part.replica,
                epoch=host.part.epoch,
            )
