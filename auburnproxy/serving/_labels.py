"""Keys of the metric labels of a request, set as soon as each is known."""

from __future__ import annotations

from aiohttp import web

PLAN = web.RequestKey("plan", str)
"""Name of the caller's plan."""
REQUEST = web.RequestKey("request", str)
"""Request id, given by the caller or generated."""
TARGET = web.RequestKey("target", str)
"""``model/NAME`` or ``service/NAME``, as the caller asked for."""
