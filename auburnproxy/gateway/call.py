"""A caller's request after routing, and the error of a failed try."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from aiohttp import web

from ..clock import loop_time
from ..decoding import shorten
from ..errors import AuburnError, Ran
from ..in_flight import InFlightRequest
from .body_memory import HeldBody
from .header_codec import RequestInfo
from .route import Route

IN_FLIGHT = web.RequestKey("in_flight", InFlightRequest)
"""Key of how far a request has got, in the HTTP library's request."""
HELD_ANSWER = web.RequestKey("held_answer", HeldBody)
"""Key of the memory that a request's answer takes."""
CONNECT_TIMEOUT_S = 0.25
"""Forty round trips between failure domains; an upstream that takes longer to accept is
down or unreachable."""
MAX_UNREACHABLE = 3
"""Unreachable upstreams after which a request is refused."""
UNSENT_RETRY_S = 0.2
"""Retry-After of a request that no upstream accepted although some had a free slot."""


class Call(NamedTuple):
    """A request that was read, authenticated and routed."""

    http: web.BaseRequest
    info: RequestInfo
    route: Route
    service: str
    account: str
    urgency: int
    body: bytes | bytearray
    arrived_at: float
    """The loop's time in seconds at which it was received."""
    deadline: float
    """The loop's time in seconds by which it must be answered."""

    @property
    def id(self) -> str:
        """Return the caller's id of this request."""
        return self.info.request_id

    @property
    def progress(self) -> InFlightRequest:
        """Return how far this request has got."""
        return self.http[IN_FLIGHT]

    @property
    def held_answer(self) -> HeldBody:
        """Return the memory that the answer takes."""
        return self.http[HELD_ANSWER]

    @property
    def remaining_s(self) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - loop_time()


class Obstacle(StrEnum):
    """Why a request can't be sent to another upstream, for the log."""

    NOT_REPEATABLE = "not_repeatable"
    """It may have run, and its route allows it to run only once."""
    NO_EVENT_ID = "no_event_id"
    """Its caller has events without an id, after which it can't be resumed."""
    ATTEMPTS = "attempts"
    """It may be running on as many upstreams as its route allows."""
    RETRY_BUDGET = "retry_budget"
    """The retry budget of its service is spent."""
    NO_REPLICA = "no_replica"
    """No other upstream can take it."""
    UNREACHABLE = "unreachable"
    """Too many upstreams accepted no connection."""
    DEADLINE = "deadline"
    """Its deadline has passed."""
    EXITS = "exits"
    """As many upstreams as a request may end have ended before its answer began."""
    BLOCKED_PART = "blocked_part"
    """Requests with one of its prompt parts end upstreams."""


class AttemptError(AuburnError):
    """A try of a request at an upstream failed.

    :param code: what went wrong, for logs and counters
    :param ran: whether the upstream may have run the request
    :param sent: whether the request reached the upstream at all
    :param connection_refused: whether nothing listens at the upstream's address
    """

    def __init__(
        self,
        code: str,
        *,
        ran: Ran,
        sent: bool = True,
        connection_refused: bool = False,
    ) -> None:
        super().__init__(code)
        self.code = code
        self.ran = ran
        self.sent = sent
        self.connection_refused = connection_refused

    @property
    def reason(self) -> str:
        """Return what caused the failure, for the log; empty if its code says all."""
        return shorten(self.__cause__ or "")
