"""Set-up shared by all features."""

from auburnproxy.telemetry import configure_logs


def before_all(context):
    configure_logs(level="CRITICAL")
