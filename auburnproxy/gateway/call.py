"""One request of a caller on its way, and how a try of it may fail."""

from __future__ import annotations

from typing import NamedTuple, cast

from aiohttp import ClientSession, web
from yarl import URL

from ..clock import loop_time
from ..errors import AuburnError, Ran, UpstreamError
from ..upstreams.client import TrackedResponse, upstream_errors
from .dialect import Ask, Dialect, Dispatch, Reply
from .route import Route

CONNECT_TIMEOUT_S = 0.25
"""Forty round trips between failure domains; what takes longer is dark or cut off."""
MOST_UNSENT = 3
"""Upstreams that cannot be reached before a request is refused."""
UNSENT_RETRY_S = 0.2
"""Wait of a caller whose request no upstream took, though some had a free slot."""
SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
"""Headers that the library would add where the caller sent none."""


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


async def send(
    session: ClientSession, dialect: Dialect, call: Call, dispatch: Dispatch
) -> TrackedResponse:
    """Send a request to an upstream and return the head of its answer.

    :raises TryError: if there is none
    """
    headers = dialect.forwarded(call.http.headers, dispatch)
    url = URL(f"http://{dispatch.host.address}{call.http.raw_path}", encoded=True)
    try:
        with upstream_errors(dispatch.host.address):
            answer = await session.request(
                call.http.method,
                url,
                headers=headers,
                data=call.body or None,
                allow_redirects=False,
                skip_auto_headers=SKIPPED_HEADERS,
            )
        return cast(TrackedResponse, answer)
    except UpstreamError as error:
        if error.ran is Ran.NO:
            raise TryError("unreachable", ran=Ran.NO, sent=False) from error
        raise TryError("broken", ran=Ran.UNKNOWN) from error


def check_head(call: Call, reply: Reply) -> None:
    """Raise an error unless a head belongs to an answer of this request.

    :raises TryError: if the request was not run, or the answer is another's
    """
    if reply.not_run:
        raise TryError(f"rejected_{reply.status}", ran=Ran.NO)
    if reply.request_id != call.id:
        raise TryError("foreign_answer", ran=Ran.UNKNOWN)
    if reply.encoded:
        raise TryError("encoded_answer", ran=Ran.UNKNOWN)
    if not reply.signed:
        raise TryError("unsigned_answer", ran=Ran.UNKNOWN)
