"""Set-up of all features."""

from auburnproxy.telemetry import configure_logs


def before_all(context):
    configure_logs(level="CRITICAL")
