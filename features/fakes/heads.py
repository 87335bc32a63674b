"""Responses with malformed heads, and sound ones that are often taken for such."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from features.fakes.endless import STAMP


class RawHead(NamedTuple):
    """A response head, whose parts are written as they are."""

    status_line: bytes = b"HTTP/1.1 200 OK"
    fields: tuple[bytes, ...] = ()
    framing: Callable[[bytes], bytes] | None = None
    """Returns the line for a body, None to name its length."""
    before: bytes = b""
    """Bytes before the status line."""
    chunked: bool = False
    line_end: bytes = b"\r\n"

    def respond(self, request_id: str, body: bytes, *more: bytes) -> bytes:
        """Return a whole response to a request."""
        lines = [self.status_line, b"Attempt-Id: " + request_id.encode()]
        lines += [b"Engine-Stamp: " + STAMP.encode(), *more, *self.fields]
        if self.framing is not None:
            lines.append(self.framing(body))
        elif not self.chunked:
            lines.append(b"Content-Length: %d" % len(body))
        if self.chunked:
            body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        head = self.line_end.join([*lines, b"", b""])
        return self.before + head + body


def _length(line: bytes) -> Callable[[bytes], bytes]:
    return lambda body: line % len(body)


def _chunks(line: bytes, status_line: bytes = b"HTTP/1.1 200 OK") -> RawHead:
    return RawHead(status_line, framing=lambda body: line, chunked=True)


MALFORMED = {
    "status 000": RawHead(b"HTTP/1.1 000 Nothing"),
    "status 099": RawHead(b"HTTP/1.1 099 Low"),
    "status 600": RawHead(b"HTTP/1.1 600 High"),
    "status 999": RawHead(b"HTTP/1.1 999 High"),
    "status 101, which was not asked for": RawHead(b"HTTP/1.1 101 Switching"),
    "a status of two digits": RawHead(b"HTTP/1.1 20 OK"),
    "a status of four digits": RawHead(b"HTTP/1.1 2000 OK"),
    "a status with a sign": RawHead(b"HTTP/1.1 +20 OK"),
    "HTTP/2.0": RawHead(b"HTTP/2.0 200 OK"),
    "HTTP/0.9": RawHead(b"HTTP/0.9 200 OK"),
    "another protocol": RawHead(b"ICY 200 OK"),
    "two blanks before the status": RawHead(b"HTTP/1.1  200 OK"),
    "a control byte in the reason": RawHead(b"HTTP/1.1 200 O\x01K"),
    "a carriage return in the reason": RawHead(b"HTTP/1.1 200 O\rK"),
    "an empty line before the status": RawHead(before=b"\r\n"),
    "a blank in a field name": RawHead(fields=(b"X Odd: 1",)),
    "a blank after a field name": RawHead(fields=(b"X-Odd : 1",)),
    "a blank after Content-Length": RawHead(framing=_length(b"Content-Length : %d")),
    "a tab after Content-Length": RawHead(framing=_length(b"Content-Length\t: %d")),
    "a blank after Transfer-Encoding": _chunks(b"Transfer-Encoding : chunked"),
    "a blank after Connection": RawHead(fields=(b"Connection : close",)),
    "a control byte in a field name": RawHead(fields=(b"X\x01Odd: 1",)),
    "a control byte after Content-Length": RawHead(
        framing=_length(b"Content-Length\x01: %d")
    ),
    "NUL in a field name": RawHead(fields=(b"X\x00Odd: 1",)),
    "DEL in a field name": RawHead(fields=(b"X\x7fOdd: 1",)),
    "a carriage return in a field name": RawHead(fields=(b"X\rOdd: 1",)),
    "a high byte in a field name": RawHead(fields=(b"X\xe9Odd: 1",)),
    "a bracket in a field name": RawHead(fields=(b"X(Odd): 1",)),
    "an empty field name": RawHead(fields=(b": 1",)),
    "a line without a colon": RawHead(fields=(b"garbage",)),
    "a folded line": RawHead(fields=(b"X-Odd: 1", b" Content-Length: 3")),
    "a folded length": RawHead(
        fields=(b"X-Odd: 1",), framing=_length(b"\tContent-Length: %d")
    ),
    "a control byte in a field value": RawHead(fields=(b"X-Odd: a\x01b",)),
    "DEL in a field value": RawHead(fields=(b"X-Odd: a\x7fb",)),
    "NUL in a field value": RawHead(fields=(b"X-Odd: a\x00b",)),
    "a carriage return in a field value": RawHead(fields=(b"X-Odd: a\rb",)),
    "two lengths": RawHead(fields=(b"Content-Length: 3",)),
    "a list of two lengths": RawHead(framing=_length(b"Content-Length: 3, %d")),
    "a length with a sign": RawHead(framing=_length(b"Content-Length: +%d")),
    "an empty length": RawHead(framing=lambda body: b"Content-Length:"),
    "a length beside chunks": RawHead(
        fields=(b"Transfer-Encoding: chunked",),
        framing=_length(b"Content-Length: %d"),
        chunked=True,
    ),
    "an unknown transfer coding": _chunks(b"Transfer-Encoding: gzip, chunked"),
    "chunks that are not the last coding": _chunks(b"Transfer-Encoding: chunked, x"),
    "chunks in HTTP/1.0": _chunks(b"Transfer-Encoding: chunked", b"HTTP/1.0 200 OK"),
    "a malformed interim response": RawHead(
        before=b"HTTP/1.1 103 Early\r\nX Odd: 1\r\n\r\n"
    ),
}
"""Heads that RFC 9110 or RFC 9112 rules out."""

SOUND = {
    "a plain head": RawHead(),
    "no reason": RawHead(b"HTTP/1.1 200 "),
    "no blank after the status": RawHead(b"HTTP/1.1 200"),
    "HTTP/1.0": RawHead(b"HTTP/1.0 200 OK"),
    "a status that is not registered": RawHead(b"HTTP/1.1 299 Odd"),
    "lines that end with a line feed": RawHead(line_end=b"\n"),
    "a reason with high bytes": RawHead(b"HTTP/1.1 200 d\xe9j\xe0 vu"),
    "every byte of a token": RawHead(fields=(b"!#$%&'*+-.^_`|~09aZ: 1",)),
    "an empty value": RawHead(fields=(b"X-Odd:",)),
    "blanks around a value": RawHead(fields=(b"X-Odd: \t a\tb \t",)),
    "a value in UTF-8": RawHead(fields=("X-Odd: déjà".encode(),)),
    "a value in Latin-1": RawHead(fields=(b"X-Odd: d\xe9j\xe0",)),
    "a value of single high bytes": RawHead(fields=(b"X-Odd: \x80\xff\xc3(",)),
    "many fields": RawHead(fields=tuple(b"X-%d: %d" % (n, n) for n in range(100))),
    "a long value": RawHead(fields=(b"X-Odd: " + b"a" * 8000,)),
    "chunks": _chunks(b"Transfer-Encoding: Chunked"),
    "no length": RawHead(framing=lambda body: b"Connection: close"),
    "names of another case": RawHead(
        fields=(b"x-ODD: 1",), framing=_length(b"cONTENT-lENGTH: %d")
    ),
    "chunks of another case": _chunks(b"tRANSFER-eNCODING: CHUNKED"),
    "two interim responses": RawHead(
        before=b"HTTP/1.1 100 \r\n\r\nHTTP/1.1 103 Early\r\nX-Odd: a\r\n\r\n"
    ),
    "an interim response": RawHead(before=b"HTTP/1.1 103 Early\r\nLink: a\r\n\r\n"),
}
"""Heads that both allow, or that they let a recipient accept."""
