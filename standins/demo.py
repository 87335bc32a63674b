"""End-to-end demo on loopback: ``python -m standins.demo --settings FILE``.

Three failure domains serve two customers while one of them is taken out of service
and brought back. Exits with 1 if an answer was incomplete or wrong, an order ran
twice, a call reported as not run did run, or a failure domain that is out received
new work.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import defopt
import uvloop
from rich.console import Console

from .deployment import Shape
from .load import LoadReport, fetch_runs, run_load
from .runs import RunReport
from .settings import read
from .trial import CommandError, Trial, trial

EXAMPLE = Path("examples/demo.yaml")
TABLE_WIDTH = 160
OUT_AT_FRACTION = 0.25
"""Fraction of the load's duration after which the failure domain is taken out."""
BACK_AT_FRACTION = 0.6
OUT_GRACE_S = 3.0
"""Seconds after the out command is accepted in which new work may still arrive."""


class Demo:
    """One run of the demo.

    :param running: the deployment
    :param console: console for the output
    """

    def __init__(self, running: Trial, console: Console) -> None:
        self._trial = running
        self._console = console
        self._domain = running.deployment.domains[1]
        self._duration_s = running.deployment.shape.duration_s
        self._late_calls = 0

    async def run(self) -> list[str]:
        """Run the demo and return the violated guarantees."""
        await self._trial.start()
        self._report("all daemons are ready")
        self._report((await self._trial.apply()).strip())
        await self._trial.until_all_serve()
        self._report("all replicas serve")
        samples = asyncio.create_task(self._trial.sampler.run())
        load = asyncio.create_task(run_load(self._trial.deployment.load()))
        try:
            await self._move()
            report = await load
        finally:
            load.cancel()
            samples.cancel()
        return self._evaluate(report)

    async def _move(self) -> None:
        """Take a failure domain out and bring it back while the load runs."""
        name, out = self._domain.name, self._trial.sampler.out
        await asyncio.sleep(self._duration_s * OUT_AT_FRACTION)
        self._report((await self._trial.command("out", "--domain", name)).strip())
        out.add(name)
        await asyncio.sleep(OUT_GRACE_S)
        before = _total_runs(await self._runs())
        rest_s = self._duration_s * (BACK_AT_FRACTION - OUT_AT_FRACTION) - OUT_GRACE_S
        await asyncio.sleep(max(rest_s, 0.0))
        self._late_calls = _total_runs(await self._runs()) - before
        self._report((await self._trial.command("back", "--domain", name)).strip())
        out.discard(name)

    async def _runs(self) -> RunReport:
        control = f"http://{self._domain.control}"
        return await fetch_runs(self._trial.session, [control])

    def _evaluate(self, report: LoadReport) -> list[str]:
        report.print(self._console)
        self._report(str(self._trial.sampler.sums))
        collapses = report.runs["collapses_by_host"]
        self._report(f"upstreams that fell over: {sum(collapses.values())}")
        failures = report.failures
        if self._late_calls:
            name = self._domain.name
            failures.append(f"{self._late_calls} calls came to {name} while it was out")
        return failures

    def _report(self, text: str) -> None:
        self._console.print(text, markup=False, highlight=False)


def _total_runs(runs: RunReport) -> int:
    return sum(runs["runs_by_key"].values()) + sum(runs["orders_by_key"].values())


async def run_demo(shape: Shape, console: Console) -> list[str]:
    """Run the demo and return the violated guarantees.

    :param shape: shape of the deployment
    :param console: console for the output
    """
    async with trial(shape) as running:
        try:
            return await Demo(running, console).run()
        except (CommandError, TimeoutError) as error:
            return [f"{type(error).__name__}: {error}"]


def main(*, settings: Path = EXAMPLE) -> None:
    """Show the whole path.

    :param settings: the YAML file that describes the deployment
    """
    console = Console(width=TABLE_WIDTH)
    failures = uvloop.run(run_demo(read(settings, Shape), console))
    for failure in failures:
        console.print(f"FAILURE {failure}", markup=False)
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    defopt.run(main)
