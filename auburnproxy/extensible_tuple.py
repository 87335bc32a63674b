"""Decoding of named tuples to which a later version may have added fields."""

from __future__ import annotations

from typing import Any, NamedTuple, TypeVar

import msgspec

from .decoding import decoding_errors

Value = TypeVar("Value", bound=NamedTuple)


def convert_known_fields(fields: Any, tuple_type: type[Value]) -> Value:
    """Convert a decoded array to a named tuple, ignoring additional fields.

    :param fields: the decoded array
    :param tuple_type: result type; fields that earlier versions lack need defaults
    :raises UnreadableError: if the known fields do not match the type
    """
    if isinstance(fields, list):
        fields = fields[: len(tuple_type._fields)]
    with decoding_errors():
        return msgspec.convert(fields, tuple_type)
