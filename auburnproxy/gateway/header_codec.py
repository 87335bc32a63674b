"""Interface that maps requests and responses to a deployment's HTTP headers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import NamedTuple

from multidict import CIMultiDict, CIMultiDictProxy

from .host import Host

FORWARDED = "Auburn-Forwarded"
"""Header of a request that a peer has forwarded."""
HOP_BY_HOP = frozenset(
    {
        FORWARDED.lower(),
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
"""Headers that concern one connection, and those that the HTTP library sets itself."""


class RequestInfo(NamedTuple):
    """Values of a caller's request headers."""

    request_id: str
    key: str
    """The caller's API key, empty if it sent none."""
    deadline_s: float | None
    """Seconds that the caller will wait, None if it did not say."""
    model: str
    prompt_tokens: int
    answer_tokens: int
    resume_after: str
    """Id of the last event that the caller has received, empty for a new stream."""
    malformed: tuple[str, ...] = ()
    """Names of headers with malformed values, which count as missing."""
    prompt_parts: tuple[str, ...] = ()
    """Ids of the parts of its prompt that it may share with other requests."""


class Dispatch(NamedTuple):
    """One try of a request at an upstream."""

    host: Host
    deadline_s: float
    """Seconds until the deadline."""
    account: str
    """Name of the client account, empty where no key was needed."""
    urgency: int
    """Priority in the upstream's queue, 0 first."""
    resume_after: str = ""
    """Id of the last event that the caller has received."""


class ReportedLoad(NamedTuple):
    """Load that an upstream reported in a response."""

    running: int
    waiting: int
    slots: int


class ResponseInfo(NamedTuple):
    """Values of an upstream's response headers."""

    status: int
    not_run: bool
    """Whether the upstream states that it did not run the request."""
    signed: bool
    """Whether the response carries the header that identifies an upstream."""
    request_id: str
    """Id of the request that it answers, to detect a response to another request."""
    encoded: bool
    """Whether the body has a content encoding, and so is not the upstream's own
    bytes."""
    load: ReportedLoad | None
    faulty_host: str
    """Id of the host that caused the upstream's refusal, empty if it names none."""
    leaving: bool
    """Whether the upstream announces that it is leaving."""
    retry_after: str
    """Retry-After as the upstream wrote it."""
    limit: str = ""
    """Requests a second that the upstream takes from all daemons, as it wrote them."""


class HeaderCodec(ABC):
    """Reads and writes the headers of one deployment."""

    @abstractmethod
    def read_request(self, headers: Mapping[str, str]) -> RequestInfo:
        """Parse a caller's headers; malformed values count as missing."""

    @abstractmethod
    def upstream_headers(
        self, headers: CIMultiDictProxy[str], dispatch: Dispatch
    ) -> CIMultiDict[str]:
        """Return the headers to send to an upstream."""

    @abstractmethod
    def peer_headers(
        self, headers: CIMultiDictProxy[str], deadline_s: float
    ) -> CIMultiDict[str]:
        """Return the headers with which a peer gets a caller's request.

        :param headers: headers as received
        :param deadline_s: seconds until the deadline
        """

    @abstractmethod
    def read_response(self, status: int, headers: Mapping[str, str]) -> ResponseInfo:
        """Parse the status and headers of an upstream's response."""

    @abstractmethod
    def response_headers(self, request_id: str) -> dict[str, str]:
        """Return the headers of a response that this daemon generates itself."""


def without_hop_by_hop(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Return headers without those that concern one connection.

    :param headers: headers as received
    """
    named = headers.get("Connection", "").lower().split(",")
    removed = HOP_BY_HOP | {name.strip() for name in named}
    return CIMultiDict((k, v) for k, v in headers.items() if k.lower() not in removed)
