"""Monotonic clock for deadlines and ages."""

from __future__ import annotations

import asyncio


def loop_time() -> float:
    """Return the running loop's time in seconds."""
    return asyncio.get_running_loop().time()
