"""Bodies of answers, read up to a bound: a faulty server may send without end."""

from __future__ import annotations

from aiohttp import ClientError, ClientResponse


class BodyTooLongError(ClientError):
    """A body went on beyond its bound; the rest of it is not read.

    It is an error of the HTTP client, so it is handled as any other broken answer.

    :param most_bytes: the bound
    """

    def __init__(self, most_bytes: int) -> None:
        super().__init__(f"the body has more than {most_bytes} bytes")
        self.most_bytes = most_bytes


async def read_body(response: ClientResponse, *, most_bytes: int) -> bytes:
    """Return the whole body of an answer; leaving the answer closes its connection.

    :param response: the answer, of which nothing has been read
    :param most_bytes: longest body that is taken
    :raises BodyTooLongError: if it is longer, at once where its length is announced
    :raises ClientError: if it breaks off
    """
    if (response.content_length or 0) > most_bytes:
        raise BodyTooLongError(most_bytes)
    blocks: list[bytes] = []
    left = most_bytes
    while block := await response.content.readany():
        left -= len(block)
        if left < 0:
            raise BodyTooLongError(most_bytes)
        blocks.append(block)
    return b"".join(blocks)
