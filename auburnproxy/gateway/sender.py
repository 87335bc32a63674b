"""Sends requests to upstreams and applies what the response headers say about them."""

from __future__ import annotations

from typing import NamedTuple, cast

from aiohttp import ClientSession
from multidict import CIMultiDict
from yarl import URL

from ..clock import loop_time
from ..errors import Ran, RefusalError, UpstreamError
from ..upstreams.client import TrackedResponse, upstream_errors
from .backoffs import UpstreamBackoffs
from .call import AttemptError, Call
from .directory import Directory
from .header_codec import Dispatch, HeaderCodec, ResponseInfo
from .named_limits import NamedLimits
from .reachability import UpstreamReachability

SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
"""Headers that the HTTP library would add where the caller sent none."""
MISDIRECTED, UNAVAILABLE = 421, 503


class UpstreamResponse(NamedTuple):
    """An upstream's response whose body has not been read yet."""

    answer: TrackedResponse
    info: ResponseInfo


class Sender:
    """Sends each request once, without retries.

    :param session: connections to upstreams
    :param header_codec: reads and writes headers
    :param directory: records upstreams that announce that they are leaving
    :param backoffs: records the Retry-After of upstreams
    :param limits: records the limits that upstreams name
    :param reachability: records whether upstreams accept connections and answer
    """

    def __init__(
        self,
        session: ClientSession,
        header_codec: HeaderCodec,
        directory: Directory,
        backoffs: UpstreamBackoffs,
        limits: NamedLimits,
        reachability: UpstreamReachability,
    ) -> None:
        self._session = session
        self._header_codec = header_codec
        self._directory = directory
        self._backoffs = backoffs
        self._limits = limits
        self._reachability = reachability

    async def send(self, call: Call, dispatch: Dispatch) -> UpstreamResponse:
        """Send a request to an upstream and return its response, with the body unread.

        :raises AttemptError: if there is no response
        :raises RefusalError: if the request can't be written
        """
        headers = self._header_codec.upstream_headers(call.http.headers, dispatch)
        call.progress.send_to(dispatch.host.id)
        sent_at = loop_time()
        try:
            answer = await transmit(self._session, call, dispatch.host.address, headers)
        except UpstreamError as error:
            if error.ran is Ran.NO:
                call.progress.mark_not_run()
                self._reachability.record_unreachable(dispatch.host.id)
                raise AttemptError(
                    "unreachable",
                    ran=Ran.NO,
                    sent=False,
                    connection_refused=error.connection_refused,
                ) from error
            raise AttemptError("broken", ran=Ran.UNKNOWN) from error
        self._reachability.record_answer()
        info = self._header_codec.read_response(answer.status, answer.headers)
        self._apply_info(dispatch, info)
        if info.request_id == call.id and info.status != MISDIRECTED:
            self._limits.record(dispatch.host, info.limit, sent_at=sent_at)
        return UpstreamResponse(answer, info)

    def _apply_info(self, dispatch: Dispatch, info: ResponseInfo) -> None:
        incarnation = dispatch.host.incarnation
        if info.leaving:
            self._directory.mark_leaving(incarnation, source="answer")
        if info.status == UNAVAILABLE and info.retry_after:
            self._backoffs.record(incarnation, info.retry_after)


async def transmit(
    session: ClientSession, call: Call, address: str, headers: CIMultiDict[str]
) -> TrackedResponse:
    """Send a request and return the response, with its body unread.

    :param session: connections to the receivers of requests
    :param call: the request
    :param address: IP number and port of the receiver
    :param headers: the headers to send
    :raises UpstreamError: if there is no response
    :raises RefusalError: if the request can't be written
    """
    url = URL(f"http://{address}{call.http.raw_path}", encoded=True)
    try:
        with upstream_errors(address):
            answer = await session.request(
                call.http.method,
                url,
                headers=headers,
                data=call.body or None,
                allow_redirects=False,
                skip_auto_headers=SKIPPED_HEADERS,
            )
    except UnicodeEncodeError as error:
        # Raised by the Python code of aiohttp; its C extension omits such bytes.
        call.progress.mark_not_run()
        message = "The head of the request is not UTF-8."
        raise RefusalError("head_not_utf8", message, status=400) from error
    return cast(TrackedResponse, answer)


def check_response(call: Call, info: ResponseInfo) -> None:
    """Check that a response belongs to this request and the request was run.

    :raises AttemptError: if it does not
    """
    if info.not_run:
        call.progress.mark_not_run()
        raise AttemptError(f"rejected_{info.status}", ran=Ran.NO)
    if info.request_id != call.id:
        raise AttemptError("foreign_answer", ran=Ran.UNKNOWN)
    if info.encoded:
        raise AttemptError("encoded_answer", ran=Ran.UNKNOWN)
    if not info.signed:
        raise AttemptError("unsigned_answer", ran=Ran.UNKNOWN)
