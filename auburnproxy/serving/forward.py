"""Forwarding of calls to peers, at most one hop."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from typing import cast

import msgspec
from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    DummyCookieJar,
)

from ..bounded_body import read_body
from ..checked_connections import CheckedConnector
from ..decoding import decode_json, decode_msgpack
from ..errors import Ran, RefusalError, UnreadableError, UpstreamError
from ..membership import Member
from ..retry_after import parse_retry_after
from ..upstreams.client import MAX_RESPONSE_BYTES
from ..upstreams.engine import Chunk, ChunkKind, ModelCall
from ..upstreams.observation import Observation, Result
from ..upstreams.service import PlainAnswer, PlainCall
from ._chunk_encoding import ChunkDecoder
from .endpoints import ModelEndpoint
from .peer_selector import queueing_exclusion
from .signature import FIRST_HOP, HOP_HEADER, SIGNATURE_HEADER, Signer

MODEL_PATH = "/forward/model"
SERVICE_PATH = "/forward/service"
CONNECT_TIMEOUT_S = 0.5
MAX_ANSWER_BYTES = 2 * MAX_RESPONSE_BYTES
"""Longest answer from a peer: a complete body with its content type and framing."""
MAX_REFUSAL_BYTES = 65_536
MS_PER_S = 1000
HTTP_OK = 200


class RemoteRefusal(msgspec.Struct):
    """The error object in a peer's refusal."""

    code: str = "forward_failed"
    message: str = "The peer refused the call."
    ran: Ran = Ran.UNKNOWN


class RemoteError(msgspec.Struct):
    """Body of a peer's refusal."""

    error: RemoteRefusal


class Forwarder:
    """Client that sends signed calls to peers.

    :param signer: signs with the secret shared by the daemons
    """

    def __init__(self, signer: Signer) -> None:
        self._signer = signer
        self._session: ClientSession | None = None

    async def close(self) -> None:
        """Close every connection to a peer."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def generate(
        self, member: Member, plan: str, call: ModelCall, *, stream: bool, wait: bool
    ) -> AsyncGenerator[Chunk, None]:
        """Run a model call at a peer and yield its chunks.

        :param stream: whether the caller wants a stream
        :param wait: whether the call may queue at the peer for a slot
        :raises UpstreamError: with ``ran`` NO if the peer refused the call
        """
        headers = _headers(plan, call.model, call.request_id, call.deadline_s)
        headers["X-Resume-From"] = str(call.resume_from)
        headers["X-Stream"] = "1" if stream else "0"
        headers["X-Wait"] = "1" if wait else "0"
        response = await self._post(member, MODEL_PATH, headers, call.body)
        complete = False
        try:
            if response.status != HTTP_OK:
                raise _remote_error(
                    await read_body(response, max_bytes=MAX_REFUSAL_BYTES)
                )
            decoder = ChunkDecoder(call.request_id.encode())
            while block := await response.content.readany():
                for chunk in decoder.feed(block):
                    complete = chunk.kind is ChunkKind.END
                    yield chunk
        except (ClientError, OSError, ValueError) as error:
            raise UpstreamError(f"{member.name}: {error!r}") from error
        finally:
            if not complete:
                response.close()
            response.release()

    async def call(
        self, member: Member, plan: str, service: str, call: PlainCall, *, wait: bool
    ) -> PlainAnswer:
        """Run a plain call at a peer.

        :param wait: whether the call may queue at the peer for a slot
        :raises RefusalError: if the peer refuses the call
        :raises UpstreamError: if the peer sends no complete answer
        """
        headers = _headers(plan, service, call.request_id, call.deadline_s)
        headers["X-Method"] = call.method
        headers["X-Path"] = call.path
        headers["X-Call-Type"] = call.content_type
        headers["X-Wait"] = "1" if wait else "0"
        headers["Idempotency-Key"] = call.idempotency_key
        try:
            async with asyncio.timeout(call.deadline_s):
                response = await self._post(member, SERVICE_PATH, headers, call.body)
                async with response:
                    body = await read_body(response, max_bytes=MAX_ANSWER_BYTES)
            if response.status == HTTP_OK:
                return cast(PlainAnswer, decode_msgpack(body, PlainAnswer))
        except (TimeoutError, ClientError, OSError, UnreadableError) as error:
            raise UpstreamError(f"{member.name}: {error!r}") from error
        raise _remote_refusal(response, body)

    async def _post(
        self, member: Member, path: str, headers: dict[str, str], body: bytes
    ) -> ClientResponse:
        headers["X-Issued-Ms"] = str(round(time.time() * MS_PER_S))
        headers[SIGNATURE_HEADER] = self._signer.sign("POST", path, headers, body)
        url = f"http://{member.internal_address}{path}"
        timeout = ClientTimeout(sock_connect=CONNECT_TIMEOUT_S)
        try:
            return await self._ensure_session().post(
                url, data=body, headers=headers, timeout=timeout
            )
        except ClientConnectorError as error:
            raise UpstreamError(f"{member.name}: {error}", ran=Ran.NO) from error
        except (ClientError, OSError) as error:
            raise UpstreamError(f"{member.name}: {error!r}") from error

    def _ensure_session(self) -> ClientSession:
        if self._session is None:
            self._session = ClientSession(
                connector=CheckedConnector(limit=0), cookie_jar=DummyCookieJar()
            )
        return self._session


class PeerEndpoint(ModelEndpoint):
    """A peer that is expected to have a slot for a model call.

    :param member: the peer
    :param plan: name of the caller's plan
    :param stream: whether the caller wants a stream
    :param wait: whether the call may queue at the peer for a slot
    :param on_refused: called if the peer refuses the call or can't be reached
    """

    free_retry_after_refusal = True

    def __init__(
        self,
        forwarder: Forwarder,
        member: Member,
        plan: str,
        *,
        stream: bool,
        wait: bool,
        on_refused: Callable[[], None],
    ) -> None:
        self.host = queueing_exclusion(member) if wait else member.id
        self._forwarder = forwarder
        self._member = member
        self._plan = plan
        self._stream = stream
        self._wait = wait
        self._on_refused = on_refused

    def observe(self, observation: Observation) -> None:
        """Report a refusal or a failed connection to ``on_refused``."""
        if observation.result in (Result.REFUSED, Result.CLOSED):
            self._on_refused()

    def generate(self, call: ModelCall) -> AsyncIterator[Chunk]:
        """Run the call at the peer and yield its chunks."""
        return self._forwarder.generate(
            self._member, self._plan, call, stream=self._stream, wait=self._wait
        )


def _headers(
    plan: str, target: str, request_id: str, deadline_s: float
) -> dict[str, str]:
    return {
        HOP_HEADER: FIRST_HOP,
        "Content-Type": "application/octet-stream",
        "X-Plan": plan,
        "X-Target": target,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(max(int(deadline_s * MS_PER_S), 1)),
    }


def _remote_refusal(response: ClientResponse, body: bytes) -> RefusalError:
    error = _decode_refusal(body)
    return RefusalError(
        error.code,
        error.message,
        status=response.status,
        ran=error.ran,
        retry_after_s=parse_retry_after(response.headers.get("Retry-After", "")),
    )


def _decode_refusal(body: bytes) -> RemoteRefusal:
    try:
        error: RemoteRefusal = decode_json(body, RemoteError).error
        return error
    except UnreadableError:
        return RemoteRefusal()


def _remote_error(body: bytes) -> UpstreamError:
    error = _decode_refusal(body)
    return UpstreamError(f"peer: {error.code}: {error.message}", ran=error.ran)
