"""Answers derived from the prompt, so that a client can verify them."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec
import xxhash

from auburnproxy.routing import prefix_digests

DEFAULT_TOKENS = 16
SEED_MASK = 0xFFFFFFFF


class Prompt(NamedTuple):
    """Prompt of a model call."""

    text: str
    tokens: int
    """Number of tokens to generate."""
    blocks: tuple[str, ...] = ()
    """Prefix digests of the blocks that an engine may have cached."""

    @property
    def seed(self) -> int:
        """Return the seed from which the answer is generated."""
        return xxhash.xxh64_intdigest(self.text.encode())


class _Call(msgspec.Struct):
    messages: msgspec.Raw = msgspec.Raw(b"[]")
    max_tokens: int = DEFAULT_TOKENS


def read_prompt(body: bytes) -> Prompt:
    """Parse the prompt from a call's JSON body.

    :param body: the body
    :raises ValueError: if the body is not a valid model call
    """
    try:
        call = msgspec.json.decode(body, type=_Call)
        messages: list[dict[str, Any]] = msgspec.json.decode(call.messages)
        text = "\n".join(str(message["content"]) for message in messages)
        return Prompt(text, call.max_tokens, prefix_digests(bytes(call.messages)))
    except (msgspec.MsgspecError, KeyError, TypeError) as error:
        raise ValueError(str(error)) from error


def token(seed: int, position: int) -> str:
    """Return one token of an answer.

    :param seed: the prompt's seed
    :param position: zero-based position in the answer
    """
    return f" {xxhash.xxh32_hexdigest(b'%d' % position, seed & 0xFFFFFFFF)}"


def token_data(seed: int, position: int) -> bytes:
    """Return one token as the data of an event.

    :param seed: the prompt's seed
    :param position: zero-based position in the answer
    """
    text = token(seed, position).encode()
    return b'{"choices":[{"index":0,"delta":{"content":"' + text + b'"}}]}'


def answer(prompt: Prompt) -> str:
    """Return the whole answer to a prompt.

    :param prompt: the prompt
    """
    return "".join(token(prompt.seed, position) for position in range(prompt.tokens))
