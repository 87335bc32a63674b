"""Wire format of the chunks that one daemon sends to another."""

from __future__ import annotations

from collections.abc import Iterator

from ..upstreams.engine import Chunk, ChunkKind

_KINDS = (ChunkKind.TOKEN, ChunkKind.END, ChunkKind.ERROR)
MAX_CHUNK_HEADER_BYTES = 64


def encode_chunk(position: int, kind: ChunkKind, data: bytes = b"") -> bytes:
    """Encode a chunk as ``POSITION KIND LENGTH``, a line break, and the data.

    :param position: index of the chunk in the answer
    :param kind: token, end or error
    :param data: bytes for the caller
    """
    return b"%d %d %d\n%b" % (position, _KINDS.index(kind), len(data), data)


class ChunkDecoder:
    """Incremental decoder of a peer's answer.

    :param request_id: id given to the chunks; a connection carries a single call
    """

    def __init__(self, request_id: bytes) -> None:
        self._request_id = request_id
        self._buffer = b""

    def feed(self, block: bytes) -> Iterator[Chunk]:
        """Yield the chunks that a block completes.

        :param block: bytes as received
        :raises ValueError: if the bytes are not an encoded chunk
        """
        data, start = self._buffer + block, 0
        while (line_end := data.find(b"\n", start)) >= 0:
            position, kind, length = map(int, data[start:line_end].split())
            end = line_end + 1 + length
            if end > len(data):
                break
            chunk = data[line_end + 1 : end]
            start = end
            yield Chunk(self._request_id, position, chunk, _KINDS[kind])
        self._buffer = data[start:]
        if line_end < 0 and len(self._buffer) > MAX_CHUNK_HEADER_BYTES:
            raise ValueError("no line break within the longest chunk header")
