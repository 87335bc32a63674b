"""Runs the daemon as ``python -m auburnproxy.daemon``."""

from . import main

main()
