"""Digests of a prompt's leading blocks."""

from __future__ import annotations

from xxhash import xxh3_64, xxh3_64_hexdigest

BLOCK_BYTES = 512
MAX_BLOCKS = 32


def prefix_digests(prompt: bytes) -> tuple[str, ...]:
    """Return one digest for each complete leading block, shortest prefix first.

    A digest covers the prompt from its start to the end of the block, so two
    prompts share a digest only if they share everything up to there.

    :param prompt: the messages as encoded by the caller
    """
    state = xxh3_64()
    digests: list[str] = []
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        if len(digests) == MAX_BLOCKS:
            break
        state.update(prompt[start : start + BLOCK_BYTES])
        digests.append(state.hexdigest())
    return tuple(digests)


def body_digest(body: bytes) -> str:
    """Return the digest of a complete body."""
    return xxh3_64_hexdigest(body)
