"""Grammar of response heads by RFC 9110 and RFC 9112.

The HTTP library accepts more than they allow, and its two parsers differ in what. The
checks are as strict as the grammar, except that a line may end with LF alone and that
the space after the status code may be absent, which recipients may accept.
"""

from __future__ import annotations

import re

from aiohttp import ClientError

STATUS_LINE = re.compile(rb"HTTP/1\.([0-9]) ([0-9]{3})(?: [\t\x20-\x7e\x80-\xff]*)?")
FIELD_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t\x20-\x7e\x80-\xff]*)")
MIN_STATUS, MIN_FINAL_STATUS, MAX_STATUS = 100, 200, 599
SWITCHING_PROTOCOLS = 101
MAX_SHOWN_BYTES = 40
"""Maximum length of a quotation from a head in a message."""


class MalformedResponseError(ClientError):
    """The bytes that a server sent are not a response.

    As a ``ClientError``, it is handled like a broken connection.
    """


class ResponseHead:
    """Checks the head of a response as its bytes arrive, with any interim responses."""

    def __init__(self) -> None:
        self.complete = False
        """Whether all of it has arrived, so that the body follows."""
        self._rest = b""
        """Start of a line whose end has not arrived."""
        self._begin()

    def _begin(self) -> None:
        self._status = 0
        """Status code, 0 before the status line."""
        self._minor_version = b""
        self._lengths: set[bytes] = set()
        self._codings: list[bytes] = []

    def feed(self, data: bytes) -> None:
        """Check further bytes; those of the body are ignored.

        :param data: bytes as received
        :raises MalformedResponseError: if they break the grammar of a head
        """
        if self.complete:
            return
        data = self._rest + data
        start = 0
        while not self.complete and (end := data.find(b"\n", start)) >= 0:
            self._read_line(data[start:end].removesuffix(b"\r"))
            start = end + 1
        self._rest = b"" if self.complete else data[start:]

    def _read_line(self, line: bytes) -> None:
        if not self._status:
            self._read_status_line(line)
        elif line:
            self._read_field_line(line)
        else:
            self._check_framing()
            if self._status >= MIN_FINAL_STATUS:
                self.complete = True
            else:
                self._begin()

    def _read_status_line(self, line: bytes) -> None:
        match = STATUS_LINE.fullmatch(line)
        if match is None:
            raise MalformedResponseError(f"status line {_shown(line)} is malformed")
        status = int(match[2])
        if not MIN_STATUS <= status <= MAX_STATUS:
            raise MalformedResponseError(f"status code {match[2].decode()} is invalid")
        if status == SWITCHING_PROTOCOLS:
            raise MalformedResponseError("no switch of protocols was requested")
        self._minor_version, self._status = match[1], status

    def _read_field_line(self, line: bytes) -> None:
        match = FIELD_LINE.fullmatch(line)
        if match is None:
            raise MalformedResponseError(_field_line_error(line))
        name = match[1].lower()
        if name == b"content-length":
            self._lengths.update(_list_members(match[2]))
        elif name == b"transfer-encoding":
            self._codings += _list_members(match[2])

    def _check_framing(self) -> None:
        """Check the fields that say where the body ends."""
        if not self._codings:
            if len(self._lengths) > 1:
                raise MalformedResponseError("Content-Length values differ")
            if any(not length.isdigit() for length in self._lengths):
                raise MalformedResponseError("Content-Length is not a number")
            return
        if self._codings != [b"chunked"]:
            # Requests have no TE, so chunked is the only coding that may be used.
            raise MalformedResponseError("Transfer-Encoding is not chunked")
        if self._lengths:
            raise MalformedResponseError("Content-Length beside Transfer-Encoding")
        if self._minor_version == b"0":
            raise MalformedResponseError("Transfer-Encoding in HTTP/1.0")


def _list_members(value: bytes) -> list[bytes]:
    """Return the members of a field value that is a list, in lower case."""
    return [member.strip(b" \t").lower() for member in value.split(b",")]


def _field_line_error(line: bytes) -> str:
    """Return what is wrong with a field line."""
    name, colon, _ = line.partition(b":")
    if line[:1] in (b" ", b"\t"):
        return f"field line {_shown(line)} is folded"
    if not colon:
        return f"field line {_shown(line)} has no colon"
    if FIELD_LINE.fullmatch(name + colon) is None:
        return f"field name {_shown(name)} is not a token"
    return f"the value of the field {_shown(name)} has control characters"


def _shown(text: bytes) -> str:
    return repr(text[:MAX_SHOWN_BYTES])
