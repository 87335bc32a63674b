"""One request of a caller on its way, and how a try of it may fail."""

from __future__ import annotations

from typing import NamedTuple

from aiohttp import web

from ..clock import loop_time
from ..errors import AuburnError, Ran
from .dialect import Ask
from .route import Route

CONNECT_TIMEOUT_S = 0.25
"""Forty round trips between failure domains; what takes longer is dark or cut off."""
MOST_UNSENT = 3
"""Upstreams that cannot be reached before a request is refused."""
UNSENT_RETRY_S = 0.2
"""Wait of a caller whose request no upstream took, though some had a free slot."""


class Call(NamedTuple):
    """A request that was read, checked and routed."""

    http: web.BaseRequest
    ask: Ask
    route: Route
    service: str
    account: str
    urgency: int
    body: bytes
    arrived: float
    """The loop's time in seconds at which it was read."""
    deadline: float
    """The loop's time in seconds by which it must be answered."""

    @property
    def id(self) -> str:
        """Return the caller's id of this request."""
        return self.ask.request_id

    @property
    def remaining_s(self) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - loop_time()


class TryError(AuburnError):
    """A try of a request at an upstream failed.

    :param code: what went wrong, for logs and counters
    :param ran: whether the upstream may have run the request
    :param sent: whether the upstream got it at all
    """

    def __init__(self, code: str, *, ran: Ran, sent: bool = True) -> None:
        super().__init__(code)
        self.code = code
        self.ran = ran
        self.sent = sent
