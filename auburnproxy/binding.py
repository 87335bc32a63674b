"""Binding of addresses that another socket may still hold, such as after a restart."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from errno import EADDRINUSE, EADDRNOTAVAIL
from typing import TypeVar

Bound = TypeVar("Bound")

RETRY_S = 0.2
"""Seconds between two attempts to bind an address."""
TEMPORARY_ERRORS = frozenset({EADDRINUSE, EADDRNOTAVAIL})
"""Errors that end when another socket closes, or when the host gets its address."""


async def bind_when_free(
    bind: Callable[[], Awaitable[Bound]], on_wait: Callable[[OSError], None]
) -> Bound:
    """Return what a function binds, after the address has become free.

    :param bind: binds the address
    :param on_wait: called once with the error if the address is not free
    :raises OSError: if it cannot be bound for another reason
    """
    waiting = False
    while True:
        try:
            return await bind()
        except OSError as error:
            if error.errno not in TEMPORARY_ERRORS:
                raise
            if not waiting:
                on_wait(error)
            waiting = True
        await asyncio.sleep(RETRY_S)
