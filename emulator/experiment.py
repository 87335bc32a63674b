"""The ``bin/experiment`` command: simulates days with mechanisms on and off."""

from __future__ import annotations

import os
import sys
from collections.abc import Iterable, Mapping, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from multiprocessing import get_context
from pathlib import Path
from statistics import mean, stdev
from typing import NamedTuple

import defopt
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from auburnproxy.errors import DocumentError
from auburnproxy.telemetry import configure_logs

from .callers import Outcome
from .day import read_day
from .mechanisms import MECHANISMS, mechanism_disabled
from .play import play
from .worth import Row, by_domain, by_kind, by_window, summarize, worth

DAYS = Path(__file__).parent / "days"
HASH_SEED = "0"
"""Hash seed of the workers, so that sets have the same order in each."""


class Run(NamedTuple):
    """One simulation: a day, a seed and a disabled mechanism."""

    day: str
    seed: int
    without: str
    """Disabled mechanism, empty for none."""


Results = Mapping[Run, Sequence[Outcome]]


def run_one(path: Path, run: Run) -> list[Outcome]:
    """Simulate one day in a worker process."""
    configure_logs(level="CRITICAL")
    with mechanism_disabled(run.without) as patch_daemon:
        return play(read_day(path), run.seed, [patch_daemon])


def run_all(paths: Mapping[str, Path], runs: Sequence[Run], *, jobs: int) -> Results:
    """Simulate days in parallel worker processes and show a progress bar."""
    os.environ["PYTHONHASHSEED"] = HASH_SEED
    found = {}
    pool = ProcessPoolExecutor(jobs, get_context("spawn"), max_tasks_per_child=1)
    with Progress(console=Console(stderr=True)) as progress, pool:
        bar = progress.add_task("days", total=len(runs))
        run_by_future = {pool.submit(run_one, paths[r.day], r): r for r in runs}
        for future in as_completed(run_by_future):
            found[run_by_future[future]] = future.result()
            progress.advance(bar)
    return found


def summary(results: Results, days: Iterable[str], without: Sequence[str]) -> Table:
    """Return the worth of each day with all mechanisms and without each of them."""
    table = Table(title="worth, mean of the seeds")
    for name in ("day", "without", "worth", "spread", "change", "standard error"):
        table.add_column(
            name, justify="left" if name in ("day", "without") else "right"
        )
    for day in days:
        base = worths(results, day, "")
        table.add_row(day, "nothing", f"{mean(base.values()):.3f}", _spread(base))
        for name in without:
            other = worths(results, day, name)
            changes = [other[seed] - base[seed] for seed in base]
            table.add_row(
                "",
                name,
                f"{mean(other.values()):.3f}",
                _spread(other),
                f"{mean(changes):+.3f}",
                _error(changes),
            )
    return table


def worths(results: Results, day: str, without: str) -> dict[int, float]:
    """Return the worth of a day by seed."""
    return {
        run.seed: worth(outcomes)
        for run, outcomes in sorted(results.items())
        if (run.day, run.without) == (day, without)
    }


def _spread(by_seed: Mapping[int, float]) -> str:
    return f"{stdev(by_seed.values()):.3f}" if len(by_seed) > 1 else "-"


def _error(changes: Sequence[float]) -> str:
    """Return the standard error of the mean of paired changes."""
    if len(changes) < 2:
        return "-"
    return f"{stdev(changes) / len(changes) ** 0.5:.3f}"


def details(results: Results, day: str, without: str) -> Table:
    """Break the worth of a day down by kind, failure domain and window."""
    outcomes = _all(results, day, without)
    named = f" without {without}" if without else ""
    table = Table(title=f"{day}{named}")
    for name in Row._fields:
        table.add_column(name, justify="left" if name == "name" else "right")
    groups = [[summarize("day", outcomes)], by_kind(outcomes), by_domain(outcomes)]
    for group in (*groups, by_window(outcomes)):
        for each in group:
            table.add_row(*map(str, each[:-1]), f"{each.worth:.3f}")
        table.add_section()
    return table


def _all(results: Results, day: str, without: str) -> list[Outcome]:
    return [
        outcome
        for run, outcomes in sorted(results.items())
        if (run.day, run.without) == (day, without)
        for outcome in outcomes
    ]


def save_chart(results: Results, day: str, without: Sequence[str], path: Path) -> None:
    """Write a chart of a day's worth over time."""
    # Imported here because it takes a second, which runs without charts save.
    from matplotlib.figure import Figure

    figure = Figure(figsize=(9, 4))
    axes = figure.add_subplot()
    for name in ("", *without):
        windows = by_window(_all(results, day, name))
        label = f"without {name}" if name else "as it is"
        axes.plot(
            [float(each.name) for each in windows],
            [each.worth for each in windows],
            label=label,
        )
    axes.set_xlabel("seconds")
    axes.set_ylabel("worth")
    axes.set_title(day)
    axes.legend()
    figure.savefig(path)


def experiment(
    *days: Path,
    seeds: int = 3,
    first_seed: int = 1,
    without: Sequence[str] = (),
    jobs: int = max((os.cpu_count() or 2) // 2, 1),
    detail: bool = False,
    plots: Path | None = None,
) -> int:
    """Play days on virtual time and compare what they were worth to their callers.

    :param days: day files; those that come with the emulator if none is named
    :param seeds: how many seeds each day is played with
    :param first_seed: the first of them
    :param without: mechanisms to take out, one at a time; ``all`` for each of them
    :param jobs: days that are played side by side
    :param detail: whether to print where the worth of each day lies
    :param plots: folder for a picture of each day
    """
    console = Console()
    names = list(MECHANISMS) if list(without) == ["all"] else list(without)
    unknown = [name for name in names if name not in MECHANISMS]
    if unknown or seeds < 1 or jobs < 1:
        known = ", ".join(MECHANISMS)
        wrong = f"no mechanism {unknown[0]!r}; there are {known}" if unknown else ""
        console.print(f"experiment: {wrong or 'seeds and jobs have to be 1 or more'}")
        return 2
    chosen = list(days) or sorted(DAYS.glob("day-*.yaml"))
    try:
        paths = {read_day(path).name: path for path in chosen}
    except DocumentError as error:
        for finding in error.findings:
            console.print(str(finding), highlight=False, markup=False)
        return 2
    for day in paths:
        runs = [
            Run(day, seed, name)
            for name in ("", *names)
            for seed in range(first_seed, first_seed + seeds)
        ]
        results = run_all(paths, runs, jobs=jobs)
        console.print(summary(results, [day], names))
        for name in ("", *names) if detail else ():
            console.print(details(results, day, name))
        if plots is not None:
            plots.mkdir(parents=True, exist_ok=True)
            save_chart(results, day, names, plots / f"{day}.png")
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run(experiment))
