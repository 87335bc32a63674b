"""Configuration changes, tracked until they are in force everywhere."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Callable, Collection, Mapping
from typing import Any, Protocol

import msgspec
from loguru import logger

from ..configuration import LISTS_KEY, LISTS_KIND, MARK_KIND, Configuration, Lists, Mark
from ..errors import OutcomeUnknownError, PlatformError
from ..journal import Outcome, Proposer
from .bodies import Answer, Verdict

POLL_INTERVAL_S = 0.1
BODY_DIGEST_BYTES = 8

log = logger.bind(part="operators")


class JournalPort(Proposer, Protocol):
    """The part of the journal that changes use."""

    def version(self, key: str) -> int:
        """Return the version of a key."""

    def outcome(self, record_id: str) -> Outcome | None:
        """Return the outcome of a record, None if it is unknown."""


def change_answer(
    verdict: Verdict,
    change_id: str,
    *,
    version: int = 0,
    reason: str = "",
    pending: Collection[str] = (),
) -> Answer:
    """Return the response body for a change.

    :param verdict: outcome of the change
    :param change_id: id with which the change can be sent again
    :param version: offset of the record of the change
    :param reason: code of a rejection or refusal
    :param pending: failure domains that have not confirmed it in force
    """
    return Answer(
        verdict=verdict,
        id=change_id,
        version=version,
        reason=reason,
        pending=sorted(pending),
        findings=[],
    )


class Changes:
    """Applies operators' changes through the journal.

    :param configuration: the configuration in force in this process
    :param journal: the journal of this process
    :param in_force: returns the newest configuration version that a daemon of each
        failure domain has confirmed in force, by failure domain
    :param required_domains: returns the failure domains that must confirm a change
    """

    def __init__(
        self,
        configuration: Configuration,
        journal: JournalPort,
        *,
        in_force: Callable[[], Mapping[str, int]],
        required_domains: Callable[[], Collection[str]],
    ) -> None:
        self._configuration = configuration
        self._journal = journal
        self._in_force = in_force
        self._required_domains = required_domains

    async def apply(
        self, lists: Lists, *, change_id: str, version: int | None, wait_s: float
    ) -> Answer:
        """Replace both lists.

        :param lists: the new lists, already validated
        :param change_id: the operator's id of this change
        :param version: version of the lists that the change is based on, None for
            the one in force here
        :param wait_s: seconds to wait until the change is in force everywhere
        """
        body = {"lists": lists}
        return await self._change(
            LISTS_KIND, LISTS_KEY, body, change_id, version, wait_s
        )

    async def mark(
        self, mark: Mark, *, change_id: str, version: int | None, wait_s: float
    ) -> Answer:
        """Take a failure domain or host out of service, or back into service.

        :param mark: failure domain or host, and whether it is out of service
        :param change_id: the operator's id of this change
        :param version: version of the mark that the change is based on, None for
            the one in force here
        :param wait_s: seconds to wait until the change is in force everywhere
        """
        body = {"mark": mark}
        return await self._change(MARK_KIND, mark.key, body, change_id, version, wait_s)

    async def _change(
        self,
        kind: str,
        key: str,
        body: Mapping[str, Any],
        change_id: str,
        version: int | None,
        wait_s: float,
    ) -> Answer:
        deadline = asyncio.get_running_loop().time() + wait_s
        record_id = change_record_id(change_id, body)
        offset = self._configuration.accepted_at(record_id)
        if not offset:
            base_version = self._journal.version(key) if version is None else version
            try:
                outcome = await self._journal.propose(
                    kind,
                    body,
                    expects={key: base_version},
                    timeout_s=wait_s,
                    record_id=record_id,
                )
            except OutcomeUnknownError:
                return change_answer(Verdict.UNKNOWN, change_id)
            except PlatformError as error:
                return change_answer(Verdict.REFUSED, change_id, reason=error.code)
            if not outcome.accepted:
                return _rejected_answer(change_id, outcome)
            offset = outcome.offset
        log.info("Change {} was accepted as version {}.", change_id, offset)
        return await self._wait_until_in_force(change_id, offset, deadline)

    async def _wait_until_in_force(
        self, change_id: str, offset: int, deadline: float
    ) -> Answer:
        loop = asyncio.get_running_loop()
        while True:
            pending = self._pending_domains(offset)
            if not pending:
                return change_answer(Verdict.ACCEPTED, change_id, version=offset)
            if loop.time() >= deadline:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        return change_answer(
            Verdict.PENDING, change_id, version=offset, pending=pending
        )

    def _pending_domains(self, offset: int) -> set[str]:
        version_by_domain = self._in_force()
        return {
            domain
            for domain in self._required_domains()
            if version_by_domain.get(domain, 0) < offset
        }


def _rejected_answer(change_id: str, outcome: Outcome) -> Answer:
    return change_answer(
        Verdict.REJECTED, change_id, version=outcome.offset, reason=outcome.reason
    )


def change_record_id(change_id: str, body: Mapping[str, Any]) -> str:
    """Return the record id of a change, equal for repeated requests of it.

    The same change id with a different body yields a different record id.

    :param change_id: the operator's id
    :param body: body of the record
    """
    encoded_body = msgspec.msgpack.encode(body)
    digest = hashlib.blake2b(encoded_body, digest_size=BODY_DIGEST_BYTES)
    return f"operator/{change_id}/{digest.hexdigest()}"
