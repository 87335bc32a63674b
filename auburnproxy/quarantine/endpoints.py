"""HTTP endpoints at which operators read and lift blocks of prompt parts."""

from __future__ import annotations

from aiohttp import web

from .part_quarantine import PartQuarantine

PATH = "/blocked-parts"


def add_endpoints(application: web.Application, quarantine: PartQuarantine) -> None:
    """Add the endpoints to an application for operators.

    :param application: application of a listener that callers don't reach
    :param quarantine: the quarantine of this daemon
    """

    async def read(http: web.Request) -> web.Response:
        blocked = {
            part: round(seconds, 1)
            for part, seconds in quarantine.blocked_parts.items()
        }
        return web.json_response({"seconds_by_part": blocked})

    async def lift(http: web.Request) -> web.Response:
        found = quarantine.lift(http.match_info["part"])
        return web.Response(status=204 if found else 404)

    application.router.add_get(PATH, read)
    application.router.add_delete(f"{PATH}/{{part}}", lift)
