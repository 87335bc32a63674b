"""Steps that run the examples."""

import subprocess
import sys

from behave import then, when

TIMEOUT_S = 60


@when('the example "{name}" is run')
def run_example(context, name):
    command = [sys.executable, "-m", f"examples.{name}"]
    context.ran = subprocess.run(
        command, capture_output=True, text=True, timeout=TIMEOUT_S
    )


@then("it prints")
def compare_output(context):
    assert context.ran.returncode == 0, context.ran.stderr
    assert context.ran.stdout.strip() == context.text.strip(), context.ran.stdout
