"""HMAC signatures of calls that one daemon forwards to another."""

from __future__ import annotations

import hmac
from collections.abc import Mapping
from hashlib import sha256

from ..errors import RefusalError

HOP_HEADER = "X-Hop"
SIGNATURE_HEADER = "X-Signature"
FIRST_HOP = "1"
SIGNED_HEADERS = (
    HOP_HEADER,
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
MAX_SIGNATURE_AGE_S = 30.0
"""Seconds after which a signature is rejected as too old."""


class Signer:
    """Signs and verifies forwarded calls with the daemons' shared secret.

    :param secret: the shared secret
    """

    def __init__(self, secret: bytes) -> None:
        self._secret = secret
        self._accepted_at_by_signature: dict[str, float] = {}

    def sign(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> str:
        """Return the signature over everything that determines what is run.

        :param method: HTTP method of the forwarding request
        :param path: its path
        :param headers: its headers; only ``SIGNED_HEADERS`` are signed
        :param body: its body
        """
        parts = [method, path, sha256(body).hexdigest()]
        parts += [f"{name}={headers.get(name, '')}" for name in SIGNED_HEADERS]
        text = "\n".join(parts).encode()
        return hmac.new(self._secret, text, sha256).hexdigest()

    def verify(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        *,
        now_s: float,
    ) -> None:
        """Verify a signature and accept it once; a replay is refused.

        :param now_s: wall clock time in seconds
        :raises RefusalError: 403 if it is wrong, too old or was used before
        """
        signature = headers.get(SIGNATURE_HEADER, "")
        expected = self.sign(method, path, headers, body)
        if not hmac.compare_digest(signature.encode(), expected.encode()):
            raise _forbidden("The signature is wrong.")
        if headers.get(HOP_HEADER) != FIRST_HOP:
            raise _forbidden("A call is forwarded once only.")
        issued_s = int(headers["X-Issued-Ms"]) / 1000
        if abs(now_s - issued_s) > MAX_SIGNATURE_AGE_S:
            raise _forbidden("The signature is too old.")
        self._evict_expired(now_s)
        if signature in self._accepted_at_by_signature:
            raise _forbidden("The signature was taken before.")
        self._accepted_at_by_signature[signature] = now_s

    def _evict_expired(self, now_s: float) -> None:
        while self._accepted_at_by_signature:
            oldest = next(iter(self._accepted_at_by_signature))
            if (
                now_s - self._accepted_at_by_signature[oldest]
                <= 2 * MAX_SIGNATURE_AGE_S
            ):
                return
            del self._accepted_at_by_signature[oldest]


def _forbidden(message: str) -> RefusalError:
    return RefusalError("forward_forbidden", message, status=403)
