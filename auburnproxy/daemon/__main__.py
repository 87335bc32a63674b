"""Runs the daemon as ``auburnproxyd`` or ``python -m auburnproxy.daemon``."""

from __future__ import annotations

import signal

from .stop_signals import exit_until_installed


def main() -> None:
    """Run the command line.

    SIGHUP may arrive before the reload handler is installed. It is ignored until then,
    so that it does not end the process; the settings are read later in any case.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    exit_until_installed()
    from .main import main as run

    run()


if __name__ == "__main__":
    main()
