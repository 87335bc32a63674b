"""What a request is counted under, noted on it as soon as it is known."""

from __future__ import annotations

from aiohttp import web

PLAN = web.RequestKey("plan", str)
"""Name of the caller's plan."""
REQUEST = web.RequestKey("request", str)
"""The request's id, the caller's or a new one."""
TARGET = web.RequestKey("target", str)
"""Kind and name of what the caller asks for."""
