"""Tokens of this daemon's requests at each upstream, and those that peers report."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, Any, NamedTuple

import msgspec

from ..decoding import decoding_errors
from ..errors import UnreadableError

MAX_REQUEST_TOKENS = 2**22
"""Tokens of one request beyond which a figure is taken for a mistake."""
MAX_UPSTREAM_TOKENS = 2**32

TokenCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_UPSTREAM_TOKENS)]


class PromptLoad(NamedTuple):
    """Tokens of one daemon's requests at one upstream."""

    unread: TokenCount
    """Prompt tokens of the requests that have no event yet."""
    held: TokenCount
    """Prompt tokens and most answer tokens of all requests."""


class RemotePrompts(NamedTuple):
    """What the other daemons have told of their requests at one upstream."""

    in_flight: int
    unanswered: int
    unread: int
    """Prompt tokens not yet read, of the requests that were told with tokens."""
    held: int
    """Tokens in memory, of the same requests."""
    untold_in_flight: int
    """Requests in flight that were told without tokens."""
    untold_unanswered: int
    """Those of them that have no event yet."""


NO_PROMPTS = RemotePrompts(0, 0, 0, 0, 0, 0)


class OwnLoad:
    """This daemon's requests at one upstream, with their tokens."""

    __slots__ = ("held", "in_flight", "unanswered", "unread")

    def __init__(self) -> None:
        self.in_flight = 0
        self.unanswered = 0
        self.unread = 0
        self.held = 0


NO_LOAD = OwnLoad()


def read_prompt_loads(
    value: Any, requests_by_host: Mapping[str, int]
) -> tuple[dict[str, PromptLoad], UnreadableError | None]:
    """Return the token figures of a heartbeat that can be used.

    :param value: what a peer sent in their place
    :param requests_by_host: the peer's requests in flight at each upstream
    :return: the figures, and why the first unusable one was left out
    """
    if not isinstance(value, Mapping):
        return {}, UnreadableError(f"tokens of type {type(value).__name__}")
    loads: dict[str, PromptLoad] = {}
    errors: list[UnreadableError] = []
    for host, requests in requests_by_host.items():
        if host not in value:
            continue
        try:
            loads[host] = _read_prompt_load(value[host], requests)
        except UnreadableError as error:
            errors.append(error)
    return loads, next(iter(errors), None)


def _read_prompt_load(value: Any, requests: int) -> PromptLoad:
    if isinstance(value, PromptLoad):
        load = value
    else:
        fields = value[: len(PromptLoad._fields)] if isinstance(value, list) else value
        with decoding_errors():
            load = msgspec.convert(fields, PromptLoad)
    if load.unread > load.held or load.held > requests * MAX_REQUEST_TOKENS:
        raise UnreadableError(f"{load.held} tokens of {requests} requests")
    return load
