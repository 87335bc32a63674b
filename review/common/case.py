"""Runs a case, writes its record and turns its result into the exit code."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.common.site import TROUBLE, CannotRunError, Site

HELD, BROKEN, NOT_RUN = 0, 10, 2
"""Exit codes; Python itself ends with 1 when a module is missing."""


class Record:
    """Lines of what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._began = time.monotonic()
        self._file = path.open("w", encoding="utf-8")
        self.line(f"TROUBLE={int(TROUBLE)}")

    def line(self, text: str) -> None:
        """Write a line, also to standard output."""
        line = f"{time.monotonic() - self._began:8.3f} {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


async def _run(play: Callable[[Site, Record], Awaitable[bool]], path: Path) -> int:
    record, site = Record(path), Site()
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        broken = await play(site, record)
    except asyncio.CancelledError:
        record.line("could not run: ended by a signal")
        return NOT_RUN
    except CannotRunError as error:
        record.line(f"could not run: {error}")
        return NOT_RUN
    except Exception:
        record.line("could not run: " + traceback.format_exc())
        return NOT_RUN
    finally:
        await site.stop()
    record.line("the rule was broken" if broken else "the rule held")
    return BROKEN if broken else HELD


def main(play: Callable[[Site, Record], Awaitable[bool]], file: str) -> None:
    """Run a case and exit with its result.

    :param play: plays the case and returns whether the rule was broken
    :param file: path of the case, beside which the record is written
    """
    path = Path(file).resolve().parent / "record.txt"
    sys.exit(asyncio.run(_run(play, path)))
