"""Keys of what is known of a request; labels are set as soon as each is known."""

from __future__ import annotations

from aiohttp import web

from ..in_flight import InFlightRequest

IN_FLIGHT = web.RequestKey("in_flight", InFlightRequest)
"""How far the request has got."""
PLAN = web.RequestKey("plan", str)
"""Name of the caller's plan."""
REQUEST = web.RequestKey("request", str)
"""Request id, given by the caller or generated."""
TARGET = web.RequestKey("target", str)
"""``model/NAME`` or ``service/NAME``, as the caller asked for."""
