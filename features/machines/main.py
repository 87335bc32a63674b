"""Entry point of ``bin/fuzz``: runs the state machines with one seed after another."""

from __future__ import annotations

import importlib
import pkgutil
import sys
import time
import traceback

import defopt
from hypothesis.stateful import RuleBasedStateMachine

from auburnproxy.telemetry import configure_logs

from . import __path__ as package_path
from .runner import run_examples

EXAMPLES_PER_SEED = 50
STEPS_PER_EXAMPLE = 60


def machines() -> dict[str, type[RuleBasedStateMachine]]:
    """Return the state machines listed in ``MACHINES`` of sibling modules, by name."""
    machines_by_name = {}
    for module in pkgutil.iter_modules(package_path):
        if module.name != "main":
            imported = importlib.import_module(f"{__package__}.{module.name}")
            machines_by_name |= {
                m.__name__: m for m in getattr(imported, "MACHINES", ())
            }
    return machines_by_name


def fuzz(*, seed: int = 0, minutes: float = 1.0, machine: str = "") -> int:
    """Run every machine with consecutive seeds until the time is up.

    :param seed: first seed
    :param minutes: how long to run
    :param machine: name of the only machine to run
    """
    configure_logs(level="CRITICAL")
    by_name = machines()
    chosen = {machine: by_name[machine]} if machine else by_name
    end = time.monotonic() + minutes * 60
    first_seed, failed = seed, 0
    while time.monotonic() < end or seed == first_seed:
        for name, machine_class in chosen.items():
            try:
                run_examples(
                    machine_class,
                    examples=EXAMPLES_PER_SEED,
                    steps=STEPS_PER_EXAMPLE,
                    seed_value=seed,
                )
            except Exception:
                failed += 1
                traceback.print_exc()
                print(f"replay: bin/fuzz --seed {seed} --minutes 0 --machine {name}")
        seed += 1
    print(
        f"seeds {first_seed} to {seed - 1}, {len(chosen)} machines, {failed} failures"
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(defopt.run(fuzz))
