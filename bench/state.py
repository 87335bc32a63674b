"""The memory of each kind of state, against its size.

``python -m bench.state`` folds records into the reducers of a daemon, and fills
histograms, at several sizes each; the memory is what Python allocated for it.
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


class Folder:
    """Folds made-up records.

    :param reducer: takes them
    """

    def __init__(self, reducer: Reducer) -> None:
        self.fold = StateMachine([reducer])

    def add(self, kind: str, body: Mapping[str, Any], **expects: int) -> None:
        """Fold one record, which has to be accepted.

        :param kind: its kind
        :param body: its body
        :param expects: versions of the keys that it touches
        """
        offset = self.fold.offset + 1
        record = Record(f"record-{offset:024}", "fd1-a@1", kind, body, expects, offset)
        self.fold.apply_entry(Entry(offset, record))
        outcome = self.fold.outcome(record.id)
        if outcome is None or not outcome.accepted:
            raise AssertionError(outcome)


def plans(count: int) -> Folder:
    """Return a fold of plans, each with two grants."""
    folder = Folder(Configuration())
    names = [f"plan-{number}" for number in range(count)]
    plans = [[name, [digest_key(name)], 1, 64, 64] for name in names]
    grants = [[name, "model", "quote", 2, []] for name in names]
    grants += [[name, "service", "orders", 0, []] for name in names]
    body = {"lists": [plans, grants]}
    folder.add(LISTS_KIND, body, **{LISTS_KEY: 0})
    return folder


def replicas(count: int) -> Folder:
    """Return a fold of replicas of the target's number of hosts."""
    folder = Folder(Replicas())
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
        folder.add(Kind.FORM, body, **expects)
    return folder


def keys(count: int) -> Folder:
    """Return a fold of settled idempotency keys with answers of 200 bytes."""
    folder = Folder(Ledger(max_keys=count))
    for number in range(count):
        claim = Claim(f"{number:032x}", f"{number:032x}", f"{number:032x}")
        folder.add(CLAIM, {"claims": [list(claim)]})
        settlement = [claim.key, claim.token, list(ANSWER)]
        folder.add(DONE, {"settlements": [settlement]})
    return folder


def members(count: int) -> Folder:
    """Return a fold of daemons, all epochs settled."""
    roster = Roster()
    folder = Folder(roster)
    for number in range(count):
        domain = f"fd{number % FAILURE_DOMAINS}"
        address = f"10.0.{number // 256}.{number % 256}"
        member = Member(
            f"{domain}-{number}", "1", domain, f"{address}:1", f"{address}:2"
        )
        folder.add(JOIN, member._asdict())
        newest = roster.epochs(domain)[-1].number
        if len(roster.epochs(domain)) > 1:
            folder.add(SETTLE, {"failure_domain": domain, "number": newest})
    return folder


def series(count: int) -> Telemetry:
    """Return measures with a number of histograms."""
    telemetry = Telemetry(max_series=count)
    for number in range(count):
        telemetry.observe(Measure.FIRST_CHUNK, f"plan-{number}", "quote", 0.1)
    return telemetry


class Kinds(NamedTuple):
    """One kind of state to measure."""

    name: str
    make: Callable[[int], object]
    sizes: Sequence[int]
    target: int


KINDS = (
    Kinds("plans", plans, (125, 250, 500, 1000), 1000),
    Kinds("replicas", replicas, (25, 50, 100, 200), 100),
    Kinds("idempotency keys", keys, (1000, 2000, 4000, 8000), 16_384),
    Kinds("members", members, (36, 72, 144, 288), 400),
    Kinds("histograms", series, (64, 128, 256, 512), 512),
)


def allocated_kb(make: Callable[[int], object], size: int) -> float:
    """Return what a state of a size allocates, in KB.

    :param make: makes the state
    :param size: its size
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
    for kind in KINDS:
        used = [allocated_kb(kind.make, size) for size in kind.sizes]
        print_fit("Memory", kind.name, kind.sizes, used, "KB", target=kind.target)


if __name__ == "__main__":
    defopt.run(main)
