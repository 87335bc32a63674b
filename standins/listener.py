"""HTTP listeners and entry point shared by the simulated services."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator, Coroutine
from typing import Any

import msgspec
import uvloop
from aiohttp import web

SHUTDOWN_S = 0.1


async def listen(app: web.Application, address: str) -> web.AppRunner:
    """Start serving an application and return its runner.

    :param app: the application
    :param address: IP number and port
    """
    runner = web.AppRunner(
        app, access_log=None, handler_cancellation=True, shutdown_timeout=SHUTDOWN_S
    )
    await runner.setup()
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    return runner


@contextlib.asynccontextmanager
async def listening(app: web.Application, address: str) -> AsyncIterator[None]:
    """Serve an application while the context is open.

    :param app: the application
    :param address: IP number and port
    """
    runner = await listen(app, address)
    try:
        yield
    finally:
        await runner.cleanup()


def json_answer(value: Any, status: int = 200) -> web.Response:
    """Return a response with a value encoded as JSON.

    :param value: anything that msgspec encodes
    :param status: HTTP status
    """
    body = msgspec.json.encode(value)
    return web.Response(body=body, status=status, content_type="application/json")


def abort_connection(request: web.Request) -> web.Response:
    """Abort the connection of a request, so that its response is lost.

    :param request: the request
    """
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def _run_until_signal(main: Coroutine[Any, Any, None]) -> None:
    task = asyncio.ensure_future(main)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    with contextlib.suppress(asyncio.CancelledError):
        await task


def run_until_signal(main: Coroutine[Any, Any, None]) -> None:
    """Run a program until it ends or receives SIGINT or SIGTERM.

    :param main: main coroutine of the program
    """
    uvloop.run(_run_until_signal(main))
