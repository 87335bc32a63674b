"""Benchmark of the memory of each kind of state by its size.

``python -m bench.state`` applies records to the reducers of a daemon, and fills
histograms, at several sizes each; it counts the memory that Python allocates.
"""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple

import defopt

from auburnproxy.configuration import LISTS_KEY, LISTS_KIND, Configuration, digest_key
from auburnproxy.journal import Entry, Record, Reducer
from auburnproxy.journal.state_machine import StateMachine
from auburnproxy.ledger import Ledger
from auburnproxy.ledger.ledger import CLAIM, DONE, Claim, StoredAnswer
from auburnproxy.membership import Member, Roster
from auburnproxy.membership.roster import JOIN, SETTLE
from auburnproxy.replicas import Replicas
from auburnproxy.replicas.replicas import Kind, host_key, replica_key
from auburnproxy.telemetry import Measure, Telemetry

from .fit import print_fit

HOSTS_PER_REPLICA = 16
FAILURE_DOMAINS = 18
ANSWER = StoredAnswer(200, "application/json", b"x" * 200, True)
BYTES_PER_KB = 1024


class StateBuilder:
    """Builds state from generated records.

    :param reducer: applies the records
    """

    def __init__(self, reducer: Reducer) -> None:
        self.state_machine = StateMachine([reducer])

    def add(self, kind: str, body: Mapping[str, Any], **expects: int) -> None:
        """Apply one record, which has to be accepted.

        :param kind: kind of the record
        :param body: body of the record
        :param expects: versions of the keys that it touches
        """
        offset = self.state_machine.offset + 1
        record = Record(f"record-{offset:024}", "fd1-a@1", kind, body, expects, offset)
        self.state_machine.apply_entry(Entry(offset, record))
        outcome = self.state_machine.outcome(record.id)
        if outcome is None or not outcome.accepted:
            raise AssertionError(outcome)


def plans(count: int) -> StateBuilder:
    """Return a state with plans, each with two grants."""
    builder = StateBuilder(Configuration())
    names = [f"plan-{number}" for number in range(count)]
    plans = [[name, [digest_key(name)], 1, 64, 64] for name in names]
    grants = [[name, "model", "quote", 2, []] for name in names]
    grants += [[name, "service", "orders", 0, []] for name in names]
    body = {"lists": [plans, grants]}
    builder.add(LISTS_KIND, body, **{LISTS_KEY: 0})
    return builder


def replicas(count: int) -> StateBuilder:
    """Return a state with replicas of the target's number of hosts."""
    builder = StateBuilder(Replicas())
    for number in range(count):
        hosts = [f"fd1-host-{number}-{rank}" for rank in range(HOSTS_PER_REPLICA)]
        name = f"quote-fd1-{number}"
        expects = dict.fromkeys([replica_key(name), *map(host_key, hosts)], 0)
        body = {
            "replica": name,
            "model": "quote",
            "failure_domain": "fd1",
            "fabric_domain": f"fd1-f{number % 4}",
            "hosts": hosts,
        }
        builder.add(Kind.FORM, body, **expects)
    return builder


def keys(count: int) -> StateBuilder:
    """Return a state with settled idempotency keys with answers of 200 bytes."""
    builder = StateBuilder(Ledger(max_keys=count))
    for number in range(count):
        claim = Claim(f"{number:032x}", f"{number:032x}", f"{number:032x}")
        builder.add(CLAIM, {"claims": [list(claim)]})
        settlement = [claim.key, claim.token, list(ANSWER)]
        builder.add(DONE, {"settlements": [settlement]})
    return builder


def members(count: int) -> StateBuilder:
    """Return a state with daemons and settled epochs."""
    roster = Roster()
    builder = StateBuilder(roster)
    for number in range(count):
        domain = f"fd{number % FAILURE_DOMAINS}"
        address = f"10.0.{number // 256}.{number % 256}"
        member = Member(
            f"{domain}-{number}", "1", domain, f"{address}:1", f"{address}:2"
        )
        builder.add(JOIN, member._asdict())
        newest = roster.epochs(domain)[-1].number
        if len(roster.epochs(domain)) > 1:
            builder.add(SETTLE, {"failure_domain": domain, "number": newest})
    return builder


def histograms(count: int) -> Telemetry:
    """Return telemetry with a number of histograms."""
    telemetry = Telemetry(max_series=count)
    for number in range(count):
        telemetry.observe(Measure.FIRST_CHUNK, f"plan-{number}", "quote", 0.1)
    return telemetry


class StateKind(NamedTuple):
    """One kind of state to measure."""

    name: str
    make: Callable[[int], object]
    sizes: Sequence[int]
    target: int


STATE_KINDS = (
    StateKind("plans", plans, (125, 250, 500, 1000), 1000),
    StateKind("replicas", replicas, (25, 50, 100, 200), 100),
    StateKind("idempotency keys", keys, (1000, 2000, 4000, 8000), 16_384),
    StateKind("members", members, (36, 72, 144, 288), 400),
    StateKind("histograms", histograms, (64, 128, 256, 512), 512),
)


def allocated_kb(make: Callable[[int], object], size: int) -> float:
    """Return the memory allocated for a state of a given size, in KB.

    :param make: builds the state
    :param size: size of the state
    """
    make(2)
    gc.collect()
    tracemalloc.start()
    try:
        state = make(size)
        gc.collect()
        used, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del state
    return used / BYTES_PER_KB


def main() -> None:
    """Measure each kind of state at four sizes."""
    for kind in STATE_KINDS:
        used = [allocated_kb(kind.make, size) for size in kind.sizes]
        print_fit("Memory", kind.name, kind.sizes, used, "KB", target=kind.target)


if __name__ == "__main__":
    defopt.run(main)
