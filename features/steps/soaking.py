"""Steps for a short run of the soak."""

import asyncio
import tempfile
from pathlib import Path

from behave import then, when

from soak.main import play


@when("seed {seed:d} of the soak is played for {seconds:g} s with {count:d} daemons")
def play_soak(context, seed, seconds, count):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.broken = asyncio.run(play(seed, seconds, count, Path(folder.name)))


@then("no promise was broken")
def compare_promises(context):
    assert not context.broken, context.broken
