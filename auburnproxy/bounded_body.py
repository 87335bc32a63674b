"""Reading of response bodies up to a limit, as a faulty server may never stop."""

from __future__ import annotations

from aiohttp import ClientError, ClientResponse


class BodyTooLongError(ClientError):
    """A response body exceeded its limit; the rest of it is not read.

    As a ``ClientError``, it is handled like any other broken response.

    :param max_bytes: the limit
    """

    def __init__(self, max_bytes: int) -> None:
        super().__init__(f"the body has more than {max_bytes} bytes")
        self.max_bytes = max_bytes


async def read_body(response: ClientResponse, *, max_bytes: int) -> bytes:
    """Return the complete body of a response.

    Leaving the context of the response before the end of the body closes its
    connection.

    :param response: the response, with an unread body
    :param max_bytes: longest body that is accepted
    :raises BodyTooLongError: if it is longer; before reading, if Content-Length says so
    :raises ClientError: if the body breaks off
    """
    if (response.content_length or 0) > max_bytes:
        raise BodyTooLongError(max_bytes)
    blocks: list[bytes] = []
    remaining_bytes = max_bytes
    while block := await response.content.readany():
        remaining_bytes -= len(block)
        if remaining_bytes < 0:
            raise BodyTooLongError(max_bytes)
        blocks.append(block)
    return b"".join(blocks)
