"""CPU time and memory of a process, as reported by the kernel."""

from __future__ import annotations

import time
from pathlib import Path

CPU_CLOCK_SHIFT = 3
"""Bit offset of the process id in a clock id of clock_getcpuclockid(3)."""
CPU_CLOCK_SCHED = 2
"""Clock type of a process's CPU time with nanosecond resolution."""
KB_PER_MB = 1024


def cpu_s(pid: int | None) -> float:
    """Return the CPU time that a process has used, in seconds.

    :param pid: process id, or None for a result of 0
    """
    if pid is None:
        return 0.0
    clock = (~pid << CPU_CLOCK_SHIFT) | CPU_CLOCK_SCHED
    return time.clock_gettime(clock)


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process in MB.

    :param pid: process id
    """
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    line = next(line for line in lines if line.startswith("VmRSS:"))
    return int(line.split()[1]) / KB_PER_MB
