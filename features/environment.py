"""Set-up shared by all features."""

import sys

from behave.model_type import Status

from auburnproxy.telemetry import configure_logs


def before_all(context):
    configure_logs(level="CRITICAL")


def after_step(context, step):
    """Print unexpected errors, which the JSON report of the test command omits."""
    if step.status == Status.error:
        print(f"{step.name}: {step.error_message}", file=sys.stderr)
