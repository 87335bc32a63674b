"""Sends requests to upstreams and takes what their answers tell of the upstreams."""

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
"""Headers that the library would add where the caller sent none."""
UNAVAILABLE = 503


class Sent(NamedTuple):
    """The head of an answer, whose body has still to be read."""

    answer: TrackedResponse
    reply: Reply


class Sender:
    """Sends each request once.

    :param session: connections to upstreams
    :param dialect: reads and writes headers
    :param directory: learns which upstreams leave
    :param rests: learns which upstreams want to be left alone
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
        """Send a request to an upstream and return the head of its answer.

        :raises TryError: if there is none
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
        self._take(dispatch, reply)
        return Sent(cast(TrackedResponse, answer), reply)

    def _take(self, dispatch: Dispatch, reply: Reply) -> None:
        life = dispatch.host.life
        if reply.leaving:
            self._directory.note_leaving(life, source="answer")
        if reply.status == UNAVAILABLE and reply.retry_after:
            self._rests.take(life, reply.retry_after)


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
