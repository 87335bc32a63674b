"""How requests and answers are written on the wire, towards callers and upstreams."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import NamedTuple

from multidict import CIMultiDict, CIMultiDictProxy

from .host import Host

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
"""Headers that concern one connection, and the framing that the library writes."""


class Ask(NamedTuple):
    """What the headers of a caller's request say."""

    request_id: str
    key: str
    """The caller's key, empty if it gave none."""
    deadline_s: float | None
    """Seconds that the caller will wait, None if it does not say."""
    model: str
    prompt_tokens: int
    answer_tokens: int
    resume_after: str
    """Id of the last event that the caller has, empty for a new stream."""
    odd: tuple[str, ...] = ()
    """Headers that say nothing that can be read, and count as missing."""


class Dispatch(NamedTuple):
    """One try of a request at an upstream."""

    host: Host
    deadline_s: float
    """Seconds that remain."""
    account: str
    """Name of the caller's account, empty where no key was needed."""
    urgency: int
    """Place in the upstream's queue, 0 first."""
    resume_after: str = ""
    """Id of the last event that the caller has."""


class Load(NamedTuple):
    """An upstream's load as it told with an answer."""

    running: int
    waiting: int
    slots: int


class Reply(NamedTuple):
    """What the head of an upstream's answer says."""

    status: int
    not_run: bool
    """Whether the upstream states that it did not run the request."""
    signed: bool
    """Whether the answer bears the mark of an upstream."""
    request_id: str
    """Request that it answers; one for another request is not ours."""
    encoded: bool
    """Whether the body is not the upstream's own bytes."""
    load: Load | None
    at_fault: str
    """Id of the host that made the upstream refuse, empty if it names none."""
    leaving: bool
    """Whether the upstream says that it leaves."""
    retry_after: str
    """Time for which the upstream wants nothing, as it was written."""


class Dialect(ABC):
    """Reads and writes the headers of one deployment."""

    @abstractmethod
    def read_ask(self, headers: Mapping[str, str]) -> Ask:
        """Return what a caller's headers say; bad values count as missing."""

    @abstractmethod
    def forwarded(
        self, headers: CIMultiDictProxy[str], dispatch: Dispatch
    ) -> CIMultiDict[str]:
        """Return the headers that an upstream gets."""

    @abstractmethod
    def read_reply(self, status: int, headers: Mapping[str, str]) -> Reply:
        """Return what the head of an upstream's answer says."""

    @abstractmethod
    def answer_headers(self, request_id: str) -> dict[str, str]:
        """Return the headers of an answer of this daemon's own."""


def passed_on(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Return headers without those that concern one connection.

    :param headers: as they arrived
    """
    named = headers.get("Connection", "").lower().split(",")
    dropped = HOP_BY_HOP | {name.strip() for name in named}
    return CIMultiDict((k, v) for k, v in headers.items() if k.lower() not in dropped)
