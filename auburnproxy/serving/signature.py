"""Signatures of calls that one daemon forwards to another."""

from __future__ import annotations

import hmac
from collections.abc import Mapping
from hashlib import sha256

from ..errors import RefusalError

HOP = "X-Hop"
SIGNATURE = "X-Signature"
ONE_HOP = "1"
SIGNED_HEADERS = (
    HOP,
    "X-Plan",
    "X-Target",
    "X-Method",
    "X-Path",
    "X-Call-Type",
    "X-Deadline-Ms",
    "X-Request-Id",
    "X-Resume-From",
    "X-Stream",
    "X-Wait",
    "Idempotency-Key",
    "X-Issued-Ms",
)
LIFETIME_S = 30.0
"""Seconds after which a signature is not taken any more."""


class Signer:
    """Signs and checks forwarded calls with the daemons' shared secret.

    :param secret: the shared secret
    """

    def __init__(self, secret: bytes) -> None:
        self._secret = secret
        self._taken: dict[str, float] = {}

    def sign(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> str:
        """Return the signature over all that decides what is run.

        :param method: HTTP method of the forwarding request
        :param path: its path
        :param headers: its headers; only the signed ones count
        :param body: its body
        """
        parts = [method, path, sha256(body).hexdigest()]
        parts += [f"{name}={headers.get(name, '')}" for name in SIGNED_HEADERS]
        text = "\n".join(parts).encode()
        return hmac.new(self._secret, text, sha256).hexdigest()

    def check(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        *,
        now_s: float,
    ) -> None:
        """Take a signature, once.

        :param now_s: wall clock time in seconds
        :raises RefusalError: 403 if it is wrong, old or was taken before
        """
        given = headers.get(SIGNATURE, "")
        wanted = self.sign(method, path, headers, body)
        if not hmac.compare_digest(given.encode(), wanted.encode()):
            raise _forbidden("The signature is wrong.")
        if headers.get(HOP) != ONE_HOP:
            raise _forbidden("A call is forwarded once only.")
        issued_s = int(headers["X-Issued-Ms"]) / 1000
        if abs(now_s - issued_s) > LIFETIME_S:
            raise _forbidden("The signature is too old.")
        self._forget(now_s)
        if given in self._taken:
            raise _forbidden("The signature was taken before.")
        self._taken[given] = now_s

    def _forget(self, now_s: float) -> None:
        while self._taken:
            oldest = next(iter(self._taken))
            if now_s - self._taken[oldest] <= 2 * LIFETIME_S:
                return
            del self._taken[oldest]


def _forbidden(message: str) -> RefusalError:
    return RefusalError("forward_forbidden", message, status=403)
