"""Runs the daemon as ``auburnproxyd`` or ``python -m auburnproxy.daemon``."""

from __future__ import annotations

import signal


def main() -> None:
    """Run the command line.

    A signal to reload may come before there is anything to reload: it must not end
    the process, and the settings are read after it in any case.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .main import main as run

    run()


if __name__ == "__main__":
    main()
