"""Sends requests to upstreams and applies what the response headers say about them."""

from __future__ import annotations

from typing import NamedTuple, cast

from aiohttp import ClientSession
from yarl import URL

from ..errors import Ran, UpstreamError
from ..upstreams.client import TrackedResponse, upstream_errors
from .call import Call, TryError
from .dialect import Dialect, Dispatch, Reply
from .directory import Directory
from .rests import Rests

SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
"""Headers that the HTTP library would add where the caller sent none."""
UNAVAILABLE = 503


class Sent(NamedTuple):
    """An upstream's response whose body has not been read yet."""

    answer: TrackedResponse
    reply: Reply


class Sender:
    """Sends each request once, without retries.

    :param session: connections to upstreams
    :param dialect: reads and writes headers
    :param directory: records upstreams that announce that they are leaving
    :param rests: records the Retry-After of upstreams
    """

    def __init__(
        self,
        session: ClientSession,
        dialect: Dialect,
        directory: Directory,
        rests: Rests,
    ) -> None:
        self._session = session
        self._dialect = dialect
        self._directory = directory
        self._rests = rests

    async def send(self, call: Call, dispatch: Dispatch) -> Sent:
        """Send a request to an upstream and return its response, with the body unread.

        :raises TryError: if there is no response
        """
        headers = self._dialect.forwarded(call.http.headers, dispatch)
        url = f"http://{dispatch.host.address}{call.http.raw_path}"
        try:
            with upstream_errors(dispatch.host.address):
                answer = await self._session.request(
                    call.http.method,
                    URL(url, encoded=True),
                    headers=headers,
                    data=call.body or None,
                    allow_redirects=False,
                    skip_auto_headers=SKIPPED_HEADERS,
                )
        except UpstreamError as error:
            if error.ran is Ran.NO:
                raise TryError("unreachable", ran=Ran.NO, sent=False) from error
            raise TryError("broken", ran=Ran.UNKNOWN) from error
        reply = self._dialect.read_reply(answer.status, answer.headers)
        self._apply_reply(dispatch, reply)
        return Sent(cast(TrackedResponse, answer), reply)

    def _apply_reply(self, dispatch: Dispatch, reply: Reply) -> None:
        life = dispatch.host.life
        if reply.leaving:
            self._directory.note_leaving(life, source="answer")
        if reply.status == UNAVAILABLE and reply.retry_after:
            self._rests.take(life, reply.retry_after)


def check_head(call: Call, reply: Reply) -> None:
    """Check that a response belongs to this request and the request was run.

    :raises TryError: if it does not
    """
    if reply.not_run:
        raise TryError(f"rejected_{reply.status}", ran=Ran.NO)
    if reply.request_id != call.id:
        raise TryError("foreign_answer", ran=Ran.UNKNOWN)
    if reply.encoded:
        raise TryError("encoded_answer", ran=Ran.UNKNOWN)
    if not reply.signed:
        raise TryError("unsigned_answer", ran=Ran.UNKNOWN)
