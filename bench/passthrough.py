"""Minimal aiohttp proxy, as a baseline for the daemon.

``python -m bench.passthrough --listen ADDRESS --engine ADDRESS``
"""

from __future__ import annotations

import asyncio

import defopt
from aiohttp import ClientSession, TCPConnector, web

from standins.listener import listening, run_until_signal

ENGINE_KEY = web.AppKey("engine", str)
SESSION_KEY = web.AppKey("session", ClientSession)


async def forward(request: web.Request) -> web.StreamResponse:
    """Send a request to the engine and stream its response back."""
    body = await request.read()
    url = f"http://{request.app[ENGINE_KEY]}/generate"
    headers = {"Content-Type": "application/json"}
    session = request.app[SESSION_KEY]
    async with session.post(url, data=body, headers=headers) as upstream:
        response = web.StreamResponse(status=upstream.status)
        response.content_type = upstream.content_type
        await response.prepare(request)
        async for block in upstream.content.iter_any():
            await response.write(block)
        await response.write_eof()
        return response


async def serve(address: str, engine: str) -> None:
    """Forward requests until cancelled."""
    async with ClientSession(connector=TCPConnector(limit=0)) as session:
        app = web.Application()
        app[ENGINE_KEY] = engine
        app[SESSION_KEY] = session
        app.router.add_post("/v1/chat/completions", forward)
        async with listening(app, address):
            await asyncio.Event().wait()


def main(*, listen: str, engine: str) -> None:
    """Forward requests to one engine.

    :param listen: IP number and port to listen on
    :param engine: IP number and port of the engine
    """
    run_until_signal(serve(listen, engine))


if __name__ == "__main__":
    defopt.run(main)
