"""Open-loop load generator: ``python -m standins.load --settings FILE``."""

from __future__ import annotations

import asyncio
import random
import sys
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import NamedTuple

import defopt
import msgspec
from aiohttp import ClientSession, TCPConnector
from rich.console import Console

from .audit import PlanAudit, merge, table
from .balancer import Balancer
from .callers import (
    Answer,
    Caller,
    CallKind,
    Result,
    call_lookup,
    call_model,
    call_order,
)
from .listener import run_until_signal
from .runs import RunReport
from .settings import read

REPEAT_FRACTION = 0.1
"""Fraction of the orders that is sent again although the first was answered."""
REPEAT_DELAY_S = 0.5
TABLE_WIDTH = 160


class PlanLoad(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Load of one plan."""

    name: str
    key: str
    models: tuple[str, ...]
    """Models from which each call picks one at random."""
    service: str
    calls_per_s: float = 0.0
    lookups_per_s: float = 0.0
    orders_per_s: float = 0.0
    tokens: int = 32
    deadline_s: float = 20.0
    outstanding: int = 1000
    """Maximum number of concurrent calls; calls beyond it are skipped and counted."""


class LoadSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Load of all plans and the daemons to send it to."""

    targets: tuple[str, ...]
    """Base URLs of the daemons."""
    controls: tuple[str, ...]
    """Base URLs of the simulated upstreams' control listeners."""
    plans: tuple[PlanLoad, ...]
    seed: int = 1
    duration_s: float = 10.0


class LoadReport(NamedTuple):
    """Audits of all plans and the run counts of the upstreams."""

    audits: tuple[PlanAudit, ...]
    runs: RunReport

    @property
    def failures(self) -> list[str]:
        """Return the violated guarantees: contradicted answers and broken ones."""
        lies = [str(lie) for audit in self.audits for lie in audit.lies(self.runs)]
        broken = [
            f"{audit.name}: {each}"
            for audit in self.audits
            for each in audit.answers
            if each.result is Result.BROKEN
        ]
        return lies + broken

    def print(self, console: Console) -> None:
        """Print the table, the reasons of incomplete answers and the failures.

        :param console: console for the output
        """
        console.print(table(self.audits, self.runs))
        for audit in self.audits:
            for detail, count in sorted(audit.details.items()):
                console.print(f"{audit.name}: {count} x {detail}", markup=False)
            if audit.skipped:
                console.print(f"{audit.name}: {audit.skipped} calls were not sent")
        for failure in self.failures:
            console.print(f"FAILURE {failure}", markup=False)


Send = Callable[[str], Awaitable[Answer]]


class _PlanSender:
    """Sends the calls of one plan at their arrival times."""

    def __init__(self, load: PlanLoad, caller: Caller, *, seed: int) -> None:
        self.audit = PlanAudit(load.name)
        self._load = load
        self._caller = caller
        self._random = random.Random(f"{seed}/{load.name}")
        self._seed = seed
        self._calls: set[asyncio.Task[None]] = set()

    async def run(self, duration_s: float) -> None:
        """Send calls for a duration in seconds, then wait for every answer."""
        load = self._load
        rates = (
            (CallKind.MODEL, load.calls_per_s, self._model),
            (CallKind.LOOKUP, load.lookups_per_s, self._lookup),
            (CallKind.ORDER, load.orders_per_s, self._order),
        )
        async with asyncio.TaskGroup() as group:
            for kind, rate, send in rates:
                if rate > 0:
                    group.create_task(
                        self._generate_arrivals(kind, rate, send, duration_s)
                    )
        while self._calls:
            await asyncio.wait(self._calls)

    async def _generate_arrivals(
        self, kind: CallKind, rate: float, send: Send, duration_s: float
    ) -> None:
        loop = asyncio.get_running_loop()
        started = at = loop.time()
        arrivals = random.Random(f"{self._seed}/{self._load.name}/{kind}")
        number = 0
        while (at := at + arrivals.expovariate(rate)) < started + duration_s:
            await asyncio.sleep(at - loop.time())
            number += 1
            self._send(f"{self._load.name}-{kind}-{self._seed}-{number}", send)

    def _send(self, request_id: str, send: Send) -> None:
        if len(self._calls) >= self._load.outstanding:
            self.audit.skipped += 1
            return
        self.audit.sent += 1
        call = asyncio.create_task(self._send_and_record(request_id, send))
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)

    async def _send_and_record(self, request_id: str, send: Send) -> None:
        self.audit.add(await send(request_id))

    async def _model(self, request_id: str) -> Answer:
        load = self._load
        return await call_model(
            self._caller,
            request_id,
            model=self._random.choice(load.models),
            tokens=load.tokens,
            timing=self.audit.timing,
        )

    async def _lookup(self, request_id: str) -> Answer:
        return await call_lookup(self._caller, request_id, service=self._load.service)

    async def _order(self, request_id: str) -> Answer:
        """Place an order; repeat it if its outcome is unknown, or at random."""
        service = self._load.service
        repeats = self._random.random() < REPEAT_FRACTION
        first = await call_order(self._caller, request_id, service=service)
        if first.result is not Result.UNKNOWN and not repeats:
            return first
        await asyncio.sleep(REPEAT_DELAY_S)
        second = await call_order(self._caller, request_id, service=service)
        return _combine_results(first, second)


def _combine_results(first: Answer, second: Answer) -> Answer:
    """Return the combined result of two attempts with one idempotency key."""
    if Result.BROKEN in (first.result, second.result):
        return first if first.result is Result.BROKEN else second
    if Result.WHOLE in (first.result, second.result):
        return first if first.result is Result.WHOLE else second
    return first if first.result is Result.UNKNOWN else second


async def fetch_runs(session: ClientSession, controls: Sequence[str]) -> RunReport:
    """Return the summed run counts of all upstreams.

    :param session: HTTP client for the requests
    :param controls: base URLs of the control listeners
    """
    reports = []
    for control in controls:
        async with session.get(f"{control}/runs") as response:
            reports.append(msgspec.json.decode(await response.read(), type=RunReport))
    return merge(reports)


async def run_load(settings: LoadSettings) -> LoadReport:
    """Send every plan's calls and check the answers.

    :param settings: settings of the load
    """
    connector = TCPConnector(limit=0)
    async with ClientSession(connector=connector) as session:
        balancer = Balancer(settings.targets, session, seed=settings.seed)
        checks = asyncio.create_task(balancer.run())
        senders = [
            _PlanSender(
                load,
                Caller(session, balancer.pick, load.key, load.deadline_s),
                seed=settings.seed,
            )
            for load in settings.plans
        ]
        try:
            async with asyncio.TaskGroup() as group:
                for sender in senders:
                    group.create_task(sender.run(settings.duration_s))
        finally:
            checks.cancel()
        runs = await fetch_runs(session, settings.controls)
    return LoadReport(tuple(sender.audit for sender in senders), runs)


async def _main(settings: LoadSettings) -> None:
    report = await run_load(settings)
    report.print(Console(width=TABLE_WIDTH))
    if report.failures:
        sys.exit(1)


def main(*, settings: Path) -> None:
    """Send load and print a table for each plan.

    :param settings: the YAML settings
    """
    run_until_signal(_main(read(settings, LoadSettings)))


if __name__ == "__main__":
    defopt.run(main)
