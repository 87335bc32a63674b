"""Decoding of bytes that other programs wrote, with one error for all that can fail.

msgspec's errors have no common base class: nesting beyond the interpreter's recursion
limit raises ``RecursionError``, also inside fields that are skipped. Such JSON is read
without the values that are nested so deeply.
"""

from __future__ import annotations

import re
from abc import ABC, abstractmethod
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, Generic, TypeVar

import msgspec

from .errors import UnreadableError

Value = TypeVar("Value")

DECODING_ERRORS = (msgspec.MsgspecError, RecursionError, ValueError, OverflowError)
"""Everything that decoding or converting untrusted data can raise."""
MAX_DEPTH = 32
"""Levels of nesting in JSON; known fields have fewer than ten."""
_BRACKETS_AND_STRINGS = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
MAX_REASON_CHARACTERS = 200
"""Length to which reasons are cut; some quote the value, which may be very long."""


class Decoder(ABC, Generic[Value]):
    """Decodes values of one type.

    :param value_type: type of the values, which msgspec checks
    """

    @abstractmethod
    def __init__(self, value_type: type[Value]) -> None: ...

    @abstractmethod
    def decode(self, data: bytes) -> Value:
        """Return a decoded value.

        :param data: the encoded value
        :raises UnreadableError: if it is malformed, has another type, is nested too
            deeply or holds a number that is out of range
        """


class JsonDecoder(Decoder[Value]):
    """Decodes JSON; values in unknown fields may be nested to any depth."""

    def __init__(self, value_type: type[Value]) -> None:
        self._decoder = msgspec.json.Decoder(value_type)

    def decode(self, data: bytes) -> Value:
        """Return a value decoded from JSON."""
        with decoding_errors():
            try:
                return self._decoder.decode(data)
            except RecursionError:
                return self._decoder.decode(_without_deep_values(data))


class MsgpackDecoder(Decoder[Value]):
    """Decodes MessagePack."""

    def __init__(self, value_type: type[Value]) -> None:
        self._decoder = msgspec.msgpack.Decoder(value_type)

    def decode(self, data: bytes) -> Value:
        """Return a value decoded from MessagePack."""
        try:
            return self._decoder.decode(data)
        except DECODING_ERRORS as error:
            raise _unreadable(error) from error


@contextmanager
def decoding_errors() -> Iterator[None]:
    """Raise what fails inside as an unreadable value.

    :raises UnreadableError: if decoding or converting a value fails
    """
    try:
        yield
    except DECODING_ERRORS as error:
        raise _unreadable(error) from error


def decode_json(data: bytes, value_type: Any = Any) -> Any:
    """Return a value decoded from JSON.

    :raises UnreadableError: if that fails for any reason
    """
    with decoding_errors():
        return msgspec.json.decode(data, type=value_type)


def decode_msgpack(data: bytes, value_type: Any = Any) -> Any:
    """Return a value decoded from MessagePack.

    :raises UnreadableError: if that fails for any reason
    """
    with decoding_errors():
        return msgspec.msgpack.decode(data, type=value_type)


def shorten(reason: object) -> str:
    """Return a reason as text of bounded length, for errors and the log."""
    text = str(reason)
    if len(text) <= MAX_REASON_CHARACTERS:
        return text
    return text[:MAX_REASON_CHARACTERS] + "..."


def _without_deep_values(data: bytes) -> bytes:
    """Return JSON with each value below ``MAX_DEPTH`` levels replaced by null.

    Does not recurse, unlike a decoder. JSON that is malformed stays so.
    """
    kept, depth, end = [], 0, 0
    for match in _BRACKETS_AND_STRINGS.finditer(data):
        token = match[0]
        if token in (b"[", b"{"):
            depth += 1
            if depth == MAX_DEPTH:
                kept.append(data[end : match.start()])
        elif token in (b"]", b"}"):
            if depth == MAX_DEPTH:
                kept.append(b"null")
                end = match.end()
            depth -= 1
    return b"".join(kept) + (data[end:] if depth < MAX_DEPTH else b"")


def _unreadable(error: Exception) -> UnreadableError:
    return UnreadableError(shorten(error) or type(error).__name__)
