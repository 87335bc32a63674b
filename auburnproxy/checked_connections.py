"""Connections to servers on which only well-formed response heads are read."""

from __future__ import annotations

from functools import partial
from typing import Any, cast

from aiohttp import TCPConnector
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError

from .decoding import shorten
from .response_head import MalformedResponseError, ResponseHead


class CheckedConnection(ResponseHandler):
    """A connection whose requests fail if the bytes that it receives are no response.

    They raise ``MalformedResponseError``. Heads are checked before they are parsed:
    where a parser of aiohttp is lenient, its result does not show what was received.
    """

    _head: ResponseHead | None = None
    """Head of the response to the newest request, None before the first."""

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the response to a new request; called by aiohttp."""
        self._head = ResponseHead()
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Check and parse what was received; called by the event loop."""
        if data and self._response_ended:
            # Otherwise aiohttp keeps it as the response to the next request.
            self._abort()
            return
        try:
            if self._head is not None:
                self._head.feed(data)
        except MalformedResponseError as error:
            self.set_exception(error)
            self._abort()
            return
        super().data_received(data)

    def set_exception(self, exc: BaseException, *cause: BaseException) -> None:
        """Fail the response; called by aiohttp if its parser rejects the bytes."""
        if isinstance(exc, HttpProcessingError):
            exc = MalformedResponseError(shorten(" ".join(exc.message.split())))
        super().set_exception(exc, *cause)

    @property
    def _response_ended(self) -> bool:
        """Return whether the response to the newest request is complete."""
        if self._head is None or not self._head.complete:
            return False
        return self._payload is not None and self._payload.is_eof()

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class CheckedConnector(TCPConnector):
    """Opens connections on which response heads are checked.

    :param options: options of aiohttp
    """

    connection_type: type[CheckedConnection] = CheckedConnection

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        # aiohttp has no public API to choose the class of a connection.
        self._factory = cast(
            partial[ResponseHandler], partial(self.connection_type, loop=self._loop)
        )
