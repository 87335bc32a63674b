"""Forwards callers' requests to a peer while this daemon reaches no upstream."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from random import Random

from aiohttp import ClientConnectionResetError, ClientError, ClientSession, web
from aiohttp.typedefs import Handler, Middleware

from ..bounded_body import read_body
from ..errors import Ran, RefusalError, UpstreamError
from ..telemetry.decisions import DecisionLog
from ..upstreams.client import TrackedResponse, upstream_errors
from .call import Call
from .caller_response import forward_response, forward_stream
from .header_codec import FORWARDED, HeaderCodec
from .route import RouteKind
from .sender import transmit
from .stream_forwarder import StreamAbortedError
from .unfinished_response import abort_response

MAX_PEERS = 3
"""Peers that are tried for a request until one accepts the connection."""
ANSWER_MARGIN_S = 0.2
"""Seconds beyond the deadline within which the peer's own refusal arrives."""
HTTP_OK = 200


class PeerForwarder:
    """Forwards requests to daemons that reach upstreams.

    The peer handles a request like one of its own callers', with its own retries, and
    does not forward it again.

    :param session: connections to peers
    :param header_codec: writes the headers
    :param peers: returns the internal addresses of the peers that reach upstreams, in
        groups of which the first is preferred
    :param decisions: log, with a line for each request
    :param answer_bytes: maximum body size of a plain response
    :param random: selects among the peers
    """

    def __init__(
        self,
        session: ClientSession,
        header_codec: HeaderCodec,
        peers: Callable[[], Sequence[Sequence[str]]],
        decisions: DecisionLog,
        *,
        answer_bytes: int,
        random: Random,
    ) -> None:
        self._session = session
        self._header_codec = header_codec
        self._peers = peers
        self._decisions = decisions
        self._answer_bytes = answer_bytes
        self._random = random

    async def forward(self, call: Call) -> web.StreamResponse | None:
        """Forward a request and return the peer's response.

        :return: None if no peer accepted the request
        :raises RefusalError: if a peer accepted it and gave no whole answer
        :raises StreamAbortedError: if a peer's stream broke off
        """
        for address in self._select_peers():
            call.progress.send_to(address)
            try:
                async with asyncio.timeout(call.remaining_s + ANSWER_MARGIN_S):
                    answer = await self._send(call, address)
                    if not _is_stream(call, answer):
                        return await self._read_whole(call, answer, address)
            except UpstreamError as error:
                self._log_failure(call, address, error)
                if error.ran is Ran.UNKNOWN:
                    raise _build_refusal("broken", late=False) from error
                call.progress.mark_not_run()
            except TimeoutError as error:
                self._log_failure(call, address, error)
                raise _build_refusal("silent", late=True) from error
            else:
                return await self._relay(call, answer, address)
        return None

    def _select_peers(self) -> list[str]:
        selected: list[str] = []
        for addresses in self._peers():
            count = min(MAX_PEERS - len(selected), len(addresses))
            selected += self._random.sample(addresses, count)
        return selected

    async def _send(self, call: Call, address: str) -> TrackedResponse:
        """Send a request to a peer and return its response, with the body unread.

        :raises UpstreamError: if there is none
        :raises RefusalError: if the request can't be written
        """
        headers = self._header_codec.peer_headers(call.http.headers, call.remaining_s)
        answer = await transmit(self._session, call, address, headers)
        self._decisions.request(
            "forwarded_to_peer", call.id, peer=address, status=answer.status
        )
        return answer

    async def _read_whole(
        self, call: Call, answer: TrackedResponse, address: str
    ) -> web.StreamResponse:
        """Return the response that passes on a peer's whole response.

        :raises UpstreamError: if it breaks off
        """
        async with answer:
            with upstream_errors(address):
                body = await read_body(
                    answer,
                    max_bytes=self._answer_bytes,
                    make_room=call.held_answer.grow_when_free,
                )
        return forward_response(answer, body)

    async def _relay(
        self, call: Call, answer: TrackedResponse, address: str
    ) -> web.StreamResponse:
        """Pass on a stream as it arrives.

        :raises StreamAbortedError: if it breaks off, or outlasts the deadline
        """
        stream = forward_stream(answer)
        call.progress.begin_answer()
        async with answer:
            await stream.prepare(call.http)
            try:
                async with asyncio.timeout(call.remaining_s + ANSWER_MARGIN_S):
                    async for data in answer.content.iter_any():
                        await stream.write(data)
            except ClientConnectionResetError:
                # The caller has left; aiohttp raises no such error for the peer.
                raise
            except (ClientError, TimeoutError) as error:
                self._log_failure(call, address, error)
                abort_response(call.http)
                raise StreamAbortedError("broken", stream) from error
        return stream

    def _log_failure(self, call: Call, address: str, error: Exception) -> None:
        self._decisions.request(
            "peer_failed", call.id, peer=address, reason=repr(error)
        )


def serve_forwarded(handle: Handler) -> Middleware:
    """Return a middleware for the internal listener that takes forwarded requests.

    :param handle: handles a caller's request
    """

    @web.middleware
    async def middleware(request: web.Request, handler: Handler) -> web.StreamResponse:
        chosen = handle if FORWARDED in request.headers else handler
        return await chosen(request)

    return middleware


def _is_stream(call: Call, answer: TrackedResponse) -> bool:
    return call.route.kind is RouteKind.STREAM and answer.status == HTTP_OK


def _build_refusal(code: str, *, late: bool) -> RefusalError:
    message = "A peer may have run the request and gave no whole answer."
    return RefusalError(code, message, status=504 if late else 502, ran=Ran.UNKNOWN)
