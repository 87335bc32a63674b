"""Runs hypothesis state machines, with fixed examples or seeded from ``bin/fuzz``."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import async_solipsism
from hypothesis import HealthCheck, seed, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test


def run_examples(
    machine: type[RuleBasedStateMachine],
    *,
    examples: int,
    steps: int,
    seed_value: int | None = None,
) -> None:
    """Run a machine's examples, the same ones every time unless a seed is given."""
    run_settings = settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=seed_value is None,
        database=None,
        deadline=None,
        print_blob=False,
        suppress_health_check=list(HealthCheck),
    )
    seeded = machine if seed_value is None else seed(seed_value)(machine)
    run_state_machine_as_test(seeded, settings=run_settings)


def run_virtual(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine on an event loop whose clock jumps to the next timer."""
    loop = async_solipsism.EventLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        close_loop(loop)


def close_loop(loop: asyncio.AbstractEventLoop) -> None:
    """Cancel every task of a loop and close it."""
    pending = asyncio.all_tasks(loop)
    for task in pending:
        task.cancel()
    if pending:
        loop.run_until_complete(asyncio.gather(*pending, return_exceptions=True))
    loop.close()
