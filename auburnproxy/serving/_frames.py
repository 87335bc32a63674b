"""Chunks on the way from one daemon to another."""

from __future__ import annotations

from collections.abc import Iterator

from ..upstreams.engine import Chunk, ChunkKind

_KINDS = (ChunkKind.TOKEN, ChunkKind.END, ChunkKind.ERROR)
LONGEST_HEAD_BYTES = 64


def frame(position: int, kind: ChunkKind, data: bytes = b"") -> bytes:
    """Return a chunk as ``POSITION KIND LENGTH``, a line break, and the data.

    :param position: place in the answer
    :param kind: what the chunk says
    :param data: bytes for the caller
    """
    return b"%d %d %d\n%b" % (position, _KINDS.index(kind), len(data), data)


class FrameReader:
    """Splits the bytes of a peer's answer into chunks.

    :param request_id: id that the chunks get; the connection carries one call
    """

    def __init__(self, request_id: bytes) -> None:
        self._request_id = request_id
        self._rest = b""

    def feed(self, block: bytes) -> Iterator[Chunk]:
        """Yield the chunks that a block completes.

        :param block: bytes as they arrived
        :raises ValueError: for bytes that are no chunk
        """
        data, start = self._rest + block, 0
        while (line_end := data.find(b"\n", start)) >= 0:
            position, kind, length = map(int, data[start:line_end].split())
            end = line_end + 1 + length
            if end > len(data):
                break
            chunk = data[line_end + 1 : end]
            start = end
            yield Chunk(self._request_id, position, chunk, _KINDS[kind])
        self._rest = data[start:]
        if line_end < 0 and len(self._rest) > LONGEST_HEAD_BYTES:
            raise ValueError("no chunk head")
