"""Reading of response bodies up to a limit, as a faulty server may never stop."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from aiohttp import ClientError, ClientResponse


class BodyTooLongError(ClientError):
    """A response body exceeded its limit; the rest of it is not read.

    As a ``ClientError``, it is handled like any other broken response.

    :param max_bytes: the limit
    """

    def __init__(self, max_bytes: int) -> None:
        super().__init__(f"the body has more than {max_bytes} bytes")
        self.max_bytes = max_bytes


async def read_body(
    response: ClientResponse,
    *,
    max_bytes: int,
    make_room: Callable[[int], Awaitable[None]] | None = None,
) -> bytes:
    """Return the complete body of a response.

    Leaving the context of the response before the end of the body closes its
    connection.

    :param response: the response, with an unread body
    :param max_bytes: longest body that is accepted
    :param make_room: waits until a number of further bytes may be held
    :raises BodyTooLongError: if it is longer; before reading, if Content-Length says so
    :raises ClientError: if the body breaks off
    """
    declared_bytes = response.content_length or 0
    if declared_bytes > max_bytes:
        raise BodyTooLongError(max_bytes)
    if make_room is not None and declared_bytes:
        await make_room(declared_bytes)
    first, more = b"", bytearray()
    while block := await response.content.readany():
        if len(first) + len(more) + len(block) > max_bytes:
            raise BodyTooLongError(max_bytes)
        if make_room is not None and not declared_bytes:
            await make_room(len(block))
        if first:
            more += block
        else:
            first = block
    return first + more if more else first
