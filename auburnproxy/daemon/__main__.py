"""Runs the daemon as ``auburnproxyd`` or ``python -m auburnproxy.daemon``."""

from __future__ import annotations

import os
import signal
from types import FrameType


def main() -> None:
    """Run the command line.

    Until the handlers of the daemon are installed, a stop signal ends the process at
    once, since nothing has been opened, and SIGHUP is ignored; the settings are read
    later in any case.
    """
    signal.signal(signal.SIGTERM, _exit)
    signal.signal(signal.SIGINT, _exit)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .main import main as run

    run()


def _exit(number: int, frame: FrameType | None) -> None:
    # An exception could be caught by the module that is being imported.
    os._exit(0)


if __name__ == "__main__":
    main()
