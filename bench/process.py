"""What a process has used, as the system counts it."""

from __future__ import annotations

import time
from pathlib import Path

CPU_CLOCK_SHIFT = 3
"""Where the process id stands in the clock id of clock_getcpuclockid(3)."""
CPU_CLOCK_SCHED = 2
"""The clock of that process that counts in nanoseconds."""
KB_PER_MB = 1024


def cpu_s(pid: int | None) -> float:
    """Return the processor time that a process has used, in seconds.

    :param pid: the process, None for none at all
    """
    if pid is None:
        return 0.0
    clock = (~pid << CPU_CLOCK_SHIFT) | CPU_CLOCK_SCHED
    return time.clock_gettime(clock)


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process in MB.

    :param pid: its id
    """
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    line = next(line for line in lines if line.startswith("VmRSS:"))
    return int(line.split()[1]) / KB_PER_MB
