"""Socket addresses as text, as programs register them."""

from __future__ import annotations

from ipaddress import ip_address
from typing import NamedTuple

from .errors import UnreadableError

MAX_PORT = 65_535


class SocketAddress(NamedTuple):
    """An IP address and a port."""

    ip: str
    port: int


def parse_address(text: str) -> SocketAddress:
    """Return the address that a text such as ``10.0.0.1:8000`` holds.

    :param text: IP address and port, an IPv6 address in brackets
    :raises UnreadableError: if the text is no such address
    """
    host, _, port = text.rpartition(":")
    ip = host.strip("[]")
    try:
        ip_address(ip)
    except ValueError as error:
        raise UnreadableError("an address without an IP address") from error
    if not (port.isascii() and port.isdigit() and 0 < int(port[:6]) <= MAX_PORT):
        raise UnreadableError("an address without a valid port")
    return SocketAddress(ip, int(port))
