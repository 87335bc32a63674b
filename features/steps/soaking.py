"""Steps that run the soak test for a short time."""

import asyncio
import tempfile
from pathlib import Path

from behave import then, when

from soak.main import run_seed


@when("seed {seed:d} of the soak test is run for {seconds:g} s with {count:d} daemons")
def run_soak(context, seed, seconds, count):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.violations = asyncio.run(run_seed(seed, seconds, count, Path(folder.name)))


@then("no guarantee was violated")
def check_guarantees(context):
    assert not context.violations, context.violations
