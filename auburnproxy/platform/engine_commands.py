"""Commands to the platform's engines over HTTP."""

from __future__ import annotations

from typing import Any

import msgspec
from aiohttp import ClientResponse, ClientTimeout

from ..bounded_body import read_body
from ..clock import loop_time
from ..decoding import shorten
from ..errors import UpstreamError
from ..formation.engine_commands import CommandResult, EngineCommands
from ..formation.record import Member, ReplicaRecord
from ..gateway.call import CONNECT_TIMEOUT_S
from ..gateway.host import Host, Incarnation
from ..upstreams.client import open_session, upstream_errors
from .headers import HOST_ID, announces_leaving
from .registrations import read_report

COMMAND_TIMEOUT_S = 0.6
"""Allows two round trips between failure domains and one packet retransmission."""
REPORT_TIMEOUT_S = 0.3
"""Allows no packet retransmission, as a late report is simply requested again."""
MAX_REPORT_BYTES = 65_536
"""Limit for the body of any response; a report names a few models and one part."""
HTTP_OK, HTTP_ACCEPTED, HTTP_MISDIRECTED = 200, 202, 421
CLOSE_MODE_DRAIN_QUEUE = "queue"


class PlatformEngineCommands(EngineCommands):
    """Client for the engines' ``/order`` and ``/report`` endpoints."""

    def __init__(self) -> None:
        self._session = open_session(reuse_connections=False)

    async def join(self, member: Member, replica: ReplicaRecord) -> CommandResult:
        """Tell a member to join a replica."""
        body = {"model": replica.model, "members": replica.ids}
        return await self._send_to_replica_member(member, "join", replica, **body)

    async def open(self, replica: ReplicaRecord) -> CommandResult:
        """Tell the head of a replica to start serving."""
        return await self._send_to_replica_member(replica.head, "open", replica)

    async def close(self, replica: ReplicaRecord) -> CommandResult:
        """Tell the head to finish its accepted requests and accept no further ones."""
        mode = {"close-mode": CLOSE_MODE_DRAIN_QUEUE}
        return await self._send_to_replica_member(
            replica.head, "close", replica, **mode
        )

    async def leave(self, member: Member, replica: ReplicaRecord) -> CommandResult:
        """Tell a member to leave a replica immediately."""
        return await self._send_to_replica_member(member, "leave", replica)

    async def stage(self, member: Member, model: str) -> CommandResult:
        """Tell a host to load a model's weights."""
        return await self._send(member, {"operation": "stage", "model": model})

    async def report(self, host: Host) -> Host:
        """Fetch a host's report and return the host updated with it.

        :raises UpstreamError: if the host does not respond
        :raises PlatformError: if its report cannot be decoded
        """
        url = f"http://{host.address}/report"
        timeout = ClientTimeout(total=REPORT_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S)
        with upstream_errors(host.address):
            async with self._session.get(
                url, headers={HOST_ID: host.id}, timeout=timeout
            ) as response:
                body = await self._read_body(response, host.incarnation)
                if response.status != HTTP_OK:
                    raise UpstreamError(
                        f"{host.id}: report request returned status {response.status}"
                    )
        updated = read_report(host, body, now=loop_time())
        return updated._replace(
            leaving=host.leaving or announces_leaving(response.headers)
        )

    async def close_connections(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def _read_body(
        self, response: ClientResponse, incarnation: Incarnation
    ) -> bytes:
        """Return a response body; report the engine if it is leaving."""
        if announces_leaving(response.headers):
            self.on_leaving(incarnation)
        return await read_body(response, max_bytes=MAX_REPORT_BYTES)

    async def _send_to_replica_member(
        self, member: Member, operation: str, replica: ReplicaRecord, **fields: Any
    ) -> CommandResult:
        group = {"operation": operation, "group": replica.name, "epoch": replica.epoch}
        return await self._send(member, group | fields)

    async def _send(self, member: Member, body: dict[str, Any]) -> CommandResult:
        url = f"http://{member.address}/order"
        headers = {HOST_ID: member.id, "Content-Type": "application/json"}
        timeout = ClientTimeout(total=COMMAND_TIMEOUT_S)
        try:
            with upstream_errors(member.address):
                async with self._session.post(
                    url,
                    data=msgspec.json.encode(body),
                    headers=headers,
                    timeout=timeout,
                ) as response:
                    await self._read_body(response, member.incarnation)
                    status = response.status
        except UpstreamError as error:
            self.on_unanswered(body["operation"], member.id, shorten(error))
            # A refused connection does not prove that the engine is down: in some
            # network partitions connections are refused.
            return CommandResult.NO_ANSWER
        if status == HTTP_OK:
            return CommandResult.DONE
        if status == HTTP_ACCEPTED:
            return CommandResult.STARTED
        return (
            CommandResult.OTHER_PROCESS
            if status == HTTP_MISDIRECTED
            else CommandResult.REFUSED
        )
