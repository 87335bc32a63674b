"""The command behind ``bin/fuzz``."""

from __future__ import annotations

import importlib
import pkgutil
import sys
import time
import traceback

import defopt
from hypothesis.stateful import RuleBasedStateMachine

from auburnproxy.telemetry import configure_logs

from . import __path__ as folders
from .runner import run_examples

EXAMPLES_PER_SEED = 50
STEPS = 60


def machines() -> dict[str, type[RuleBasedStateMachine]]:
    """Return the machines that the modules beside this one list, by name."""
    found = {}
    for module in pkgutil.iter_modules(folders):
        if module.name != "main":
            loaded = importlib.import_module(f"{__package__}.{module.name}")
            found |= {m.__name__: m for m in getattr(loaded, "MACHINES", ())}
    return found


def fuzz(*, seed: int = 0, minutes: float = 1.0, machine: str = "") -> int:
    """Search with seed after seed, over every machine, until the time is up.

    :param seed: first seed
    :param minutes: how long to search
    :param machine: name of the only machine to run
    """
    configure_logs(level="CRITICAL")
    by_name = machines()
    chosen = {machine: by_name[machine]} if machine else by_name
    end = time.monotonic() + minutes * 60
    first, failed = seed, 0
    while time.monotonic() < end or seed == first:
        for name, kind in chosen.items():
            try:
                run_examples(
                    kind, examples=EXAMPLES_PER_SEED, steps=STEPS, seed_value=seed
                )
            except Exception:
                failed += 1
                traceback.print_exc()
                print(f"replay: bin/fuzz --seed {seed} --minutes 0 --machine {name}")
        seed += 1
    print(f"seeds {first} to {seed - 1}, {len(chosen)} machines, {failed} failures")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(defopt.run(fuzz))
