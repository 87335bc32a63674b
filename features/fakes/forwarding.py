"""Forwarder of streams on engines without a network."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from auburnproxy.gateway.host import Host
from auburnproxy.gateway.liveness import LivenessChecker
from auburnproxy.gateway.process_exits import ProcessExits
from auburnproxy.gateway.reachability import UpstreamReachability
from auburnproxy.gateway.sender import Sender
from auburnproxy.gateway.stream_forwarder import StreamForwarder
from auburnproxy.gossip import FactTable
from auburnproxy.quarantine import PartQuarantine
from auburnproxy.telemetry import Telemetry
from auburnproxy.telemetry.decisions import DecisionLog
from features.fakes.fleet import ENGINE
from features.fakes.selection import SelectionFixture

ANSWER_BYTES = 1_000_000


def make_stream_forwarder(
    sender: Sender,
    fixture: SelectionFixture,
    facts: FactTable,
    decisions: DecisionLog,
    *,
    report: Callable[[Host], Awaitable[Host]],
) -> StreamForwarder:
    """Return a forwarder that sends to the engines of a fixture.

    :param sender: sends each try
    :param report: asks an engine for its report
    """
    return StreamForwarder(
        sender,
        fixture.selector,
        fixture.health,
        LivenessChecker(report, fixture.health.heard_at, decisions),
        ProcessExits(facts, report, decisions, UpstreamReachability(decisions)),
        PartQuarantine(facts, decisions),
        lambda service: ENGINE,
        decisions,
        Telemetry(),
        answer_bytes=ANSWER_BYTES,
    )
