"""Answers that follow from the prompt, so that a client can check them."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec
import xxhash

DEFAULT_TOKENS = 16
PREFIX_BLOCK_CHARS = 256
"""Characters of a prompt that one cached block covers."""
SEED_MASK = 0xFFFFFFFF


class Prompt(NamedTuple):
    """What a model call asks for."""

    text: str
    tokens: int
    """Tokens in the answer."""

    @property
    def seed(self) -> int:
        """Return the number that the answer follows from."""
        return xxhash.xxh64_intdigest(self.text.encode())


def read_prompt(body: bytes) -> Prompt:
    """Return the prompt in a call's JSON body.

    :param body: the body
    :raises ValueError: for a body that is no call
    """
    try:
        call: Mapping[str, Any] = msgspec.json.decode(body, type=dict[str, Any])
        messages = call.get("messages", ())
        text = "\n".join(str(message["content"]) for message in messages)
        return Prompt(text, int(call.get("max_tokens", DEFAULT_TOKENS)))
    except (msgspec.MsgspecError, KeyError, TypeError) as error:
        raise ValueError(str(error)) from error


def token(seed: int, position: int) -> str:
    """Return one token of an answer.

    :param seed: the prompt's seed
    :param position: place in the answer, counted from 0
    """
    return f" {xxhash.xxh32_hexdigest(b'%d' % position, seed & 0xFFFFFFFF)}"


def token_data(seed: int, position: int) -> bytes:
    """Return one token as the data of an event.

    :param seed: the prompt's seed
    :param position: place in the answer, counted from 0
    """
    text = token(seed, position).encode()
    return b'{"choices":[{"index":0,"delta":{"content":"' + text + b'"}}]}'


def answer(prompt: Prompt) -> str:
    """Return the whole answer to a prompt.

    :param prompt: the prompt
    """
    return "".join(token(prompt.seed, position) for position in range(prompt.tokens))
