"""Comparison of the lists in force with new lists."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple

from ..configuration import Lists


class Difference(NamedTuple):
    """An added or removed entry of a list, or a changed field of one."""

    list_name: str
    entry: str
    field: str
    """Name of the changed field, empty if the whole entry was added or removed."""
    before: str
    after: str


def differences(before: Mapping[str, Any], lists: Lists) -> list[Difference]:
    """Return the differences between the lists in force and new lists.

    :param before: response body of a ``show`` call
    :param lists: the new lists
    """
    plans = [plan._asdict() for plan in lists.plans]
    grants = [grant._asdict() for grant in lists.grants]
    return [
        *_list_differences("plans", before["plans"], plans, ("name",)),
        *_list_differences(
            "grants", before["grants"], grants, ("plan", "kind", "target")
        ),
    ]


def _list_differences(
    list_name: str,
    before: Iterable[Mapping[str, Any]],
    after: Iterable[Mapping[str, Any]],
    key_fields: tuple[str, ...],
) -> Iterator[Difference]:
    old = {_entry_name(item, key_fields): item for item in before}
    new = {_entry_name(item, key_fields): item for item in after}
    for entry in sorted(old.keys() | new.keys()):
        if entry not in new:
            yield Difference(list_name, entry, "", "present", "absent")
        elif entry not in old:
            yield Difference(list_name, entry, "", "absent", "present")
        else:
            yield from _field_differences(list_name, entry, old[entry], new[entry])


def _field_differences(
    list_name: str, entry: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[Difference]:
    for field, value in new.items():
        before, after = _format_value(old.get(field)), _format_value(value)
        if before != after:
            yield Difference(list_name, entry, field, before, after)


def _entry_name(item: Mapping[str, Any], key_fields: tuple[str, ...]) -> str:
    return " ".join(str(item[field]) for field in key_fields)


def _format_value(value: Any) -> str:
    if isinstance(value, list | tuple):
        return ", ".join(map(str, value))
    return str(value)
