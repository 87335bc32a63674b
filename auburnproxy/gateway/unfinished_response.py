"""Responses that end before they are complete."""

from __future__ import annotations

import socket
import struct

from aiohttp import HttpVersion11, web

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def abort_response(http: web.BaseRequest) -> None:
    """Close a request's connection so that its response does not look complete.

    The end of the connection ends a response of HTTP/1.0, so it is reset there.

    :param http: the request
    """
    transport = http.transport
    if transport is None:
        return
    if http.version < HttpVersion11:
        connection = transport.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    transport.abort()
