"""What differs between the lists in two places."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple

from ..configuration import Lists


class Difference(NamedTuple):
    """One entry of a list that was added, removed or changed."""

    list_name: str
    entry: str
    field: str
    """Empty where the whole entry was added or removed."""
    before: str
    after: str


def differences(before: Mapping[str, Any], lists: Lists) -> list[Difference]:
    """Return what differs between the lists in force and new ones.

    :param before: body of a ``show`` call
    :param lists: the new lists
    """
    plans = [plan._asdict() for plan in lists.plans]
    grants = [grant._asdict() for grant in lists.grants]
    return [
        *_differences("plans", before["plans"], plans, ("name",)),
        *_differences("grants", before["grants"], grants, ("plan", "kind", "target")),
    ]


def _differences(
    list_name: str,
    before: Iterable[Mapping[str, Any]],
    after: Iterable[Mapping[str, Any]],
    key: tuple[str, ...],
) -> Iterator[Difference]:
    old = {_name(item, key): item for item in before}
    new = {_name(item, key): item for item in after}
    for entry in sorted(old.keys() | new.keys()):
        if entry not in new:
            yield Difference(list_name, entry, "", "present", "absent")
        elif entry not in old:
            yield Difference(list_name, entry, "", "absent", "present")
        else:
            yield from _changed(list_name, entry, old[entry], new[entry])


def _changed(
    list_name: str, entry: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[Difference]:
    for field, value in new.items():
        before, after = _text(old.get(field)), _text(value)
        if before != after:
            yield Difference(list_name, entry, field, before, after)


def _name(item: Mapping[str, Any], key: tuple[str, ...]) -> str:
    return " ".join(str(item[field]) for field in key)


def _text(value: Any) -> str:
    if isinstance(value, list | tuple):
        return ", ".join(map(str, value))
    return str(value)
