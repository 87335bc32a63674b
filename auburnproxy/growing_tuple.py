"""Values that are sent as arrays, to which a later version may have added fields."""

from __future__ import annotations

from typing import Any, NamedTuple, TypeVar

import msgspec

Value = TypeVar("Value", bound=NamedTuple)


def known_fields(fields: Any, kind: type[Value]) -> Value:
    """Return a value without the fields that this version does not know.

    :param fields: the array as it was decoded
    :param kind: the value's type; fields that an earlier version lacks have defaults
    :raises msgspec.ValidationError: if the known fields are not of this type
    """
    if isinstance(fields, list):
        fields = fields[: len(kind._fields)]
    return msgspec.convert(fields, kind)
