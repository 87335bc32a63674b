"""Orders to the platform's engines over HTTP."""

from __future__ import annotations

from typing import Any

import msgspec
from aiohttp import ClientResponse, ClientTimeout

from ..bounded_body import read_body
from ..clock import loop_time
from ..errors import UpstreamError
from ..formation.engine_commands import CommandResult, EngineCommands
from ..formation.record import Member, ReplicaRecord
from ..gateway.call import CONNECT_TIMEOUT_S
from ..gateway.host import Host, Incarnation
from ..upstreams.client import open_session, upstream_errors
from .headers import HOST_ID, leaving
from .registrations import read_report

ORDER_TIMEOUT_S = 0.6
"""Two round trips between failure domains, and a lost packet that is sent again."""
REPORT_TIMEOUT_S = 0.3
"""As above without the second packet; a report that is late is asked for anew."""
REPORT_BYTES = 65_536
"""A report names a few models and one part; no more of an answer is read."""
DONE, BEGUN, MISDIRECTED = 200, 202, 421
CLOSE_AFTER_QUEUE = "queue"


class PlatformOrders(EngineCommands):
    """Sends the platform's orders."""

    def __init__(self) -> None:
        self._session = open_session(reuse_connections=False)

    async def join(self, member: Member, replica: ReplicaRecord) -> CommandResult:
        """Order a member to take its part in a replica."""
        body = {"model": replica.model, "members": replica.ids}
        return await self._order(member, "join", replica, **body)

    async def open(self, replica: ReplicaRecord) -> CommandResult:
        """Order the head of a replica to serve."""
        return await self._order(replica.head, "open", replica)

    async def close(self, replica: ReplicaRecord) -> CommandResult:
        """Order the head to finish its requests and to take no further ones."""
        mode = {"close-mode": CLOSE_AFTER_QUEUE}
        return await self._order(replica.head, "close", replica, **mode)

    async def leave(self, member: Member, replica: ReplicaRecord) -> CommandResult:
        """Order a member to give its part up, at once."""
        return await self._order(member, "leave", replica)

    async def stage(self, member: Member, model: str) -> CommandResult:
        """Order a host to load a model's weights."""
        return await self._send(member, {"operation": "stage", "model": model})

    async def report(self, host: Host) -> Host:
        """Return a host as it reports itself now.

        :raises UpstreamError: if it does not answer
        :raises PlatformError: if its report cannot be read
        """
        url = f"http://{host.address}/report"
        timeout = ClientTimeout(total=REPORT_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S)
        with upstream_errors(host.address):
            async with self._session.get(
                url, headers={HOST_ID: host.id}, timeout=timeout
            ) as response:
                body = await self._read(response, host.incarnation)
                if response.status != DONE:
                    raise UpstreamError(f"{host.id}: report has {response.status}")
        seen = read_report(host, body, now=loop_time())
        return seen._replace(leaving=host.leaving or leaving(response.headers))

    async def close_connections(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def _read(self, response: ClientResponse, incarnation: Incarnation) -> bytes:
        """Return the body of an answer, and tell if its engine leaves."""
        if leaving(response.headers):
            self.on_leaving(incarnation)
        return await read_body(response, max_bytes=REPORT_BYTES)

    async def _order(
        self, member: Member, operation: str, replica: ReplicaRecord, **more: Any
    ) -> CommandResult:
        group = {"operation": operation, "group": replica.name, "epoch": replica.epoch}
        return await self._send(member, group | more)

    async def _send(self, member: Member, body: dict[str, Any]) -> CommandResult:
        url = f"http://{member.address}/order"
        headers = {HOST_ID: member.id, "Content-Type": "application/json"}
        timeout = ClientTimeout(total=ORDER_TIMEOUT_S)
        try:
            with upstream_errors(member.address):
                async with self._session.post(
                    url,
                    data=msgspec.json.encode(body),
                    headers=headers,
                    timeout=timeout,
                ) as response:
                    await self._read(response, member.incarnation)
                    status = response.status
        except UpstreamError:
            # A refused connection proves nothing: some partitions refuse.
            return CommandResult.NO_ANSWER
        if status == DONE:
            return CommandResult.DONE
        if status == BEGUN:
            return CommandResult.STARTED
        return (
            CommandResult.OTHER_PROCESS
            if status == MISDIRECTED
            else CommandResult.REFUSED
        )
