"""Benchmark of the recovery after the store is restored from an older copy.

Run with ``python -m bench.eras [DAEMONS...]``. Real daemons in one process, on virtual
time and an in-memory store. Prints the seconds until every daemon knows the registry
of the new era and one is the leader, the calls to the store meanwhile and in an equally
long time afterwards, and the replicas that continued to serve.
"""

from __future__ import annotations

import sys
import time

from features.fakes.drill import RestoreDrill

SIZES = {6: (6, 3, 16), 195: (195, 5, 156)}
"""Daemons, failure domains, and engines per domain, by the number of daemons."""
START_S = 30.0
LIMIT_S = 30.0
LOST_RECORDS = 3
"""Replica records that the store loses, with all records written after them."""


def measure(daemons: int, domains: int, hosts: int) -> str:
    began = time.process_time()
    drill = RestoreDrill(daemons=daemons, domains=domains, hosts=hosts)
    drill.run(START_S)
    if not drill.all_agree():
        return f"{daemons:7}  the fleet has not formed in {START_S:g} s"
    serving_before, calls = drill.serving_replicas(), drill.calls
    drill.restore_without_records("replicas", LOST_RECORDS)
    took_s = drill.wait_until_agreed(LIMIT_S)
    during = drill.calls - calls
    drill.run(LIMIT_S - took_s)
    settled = drill.calls
    drill.run(took_s)
    usual = drill.calls - settled
    still_serving = len(serving_before & drill.serving_replicas())
    cost_s = time.process_time() - began
    row = f"{daemons:7}  {took_s:9.1f}  {during:5}  {usual:5}"
    drill.close()
    return f"{row}  {still_serving:4} of {len(serving_before):<4}  {cost_s:6.0f}"


def main() -> None:
    """Print a row for each size."""
    sizes = [int(text) for text in sys.argv[1:]] or list(SIZES)
    print("daemons  agreed, s  calls  usual  replicas   CPU s")
    for size in sizes:
        print(measure(*SIZES[size]), flush=True)


if __name__ == "__main__":
    main()
