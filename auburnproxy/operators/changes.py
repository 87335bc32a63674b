"""Changes of the configuration, followed until they are in force everywhere."""

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

POLL_S = 0.1
CONTENT_DIGEST_BYTES = 8

log = logger.bind(part="operators")


class JournalPort(Proposer, Protocol):
    """What changes need of the journal."""

    def version(self, key: str) -> int:
        """Return the version of a key."""

    def outcome(self, record_id: str) -> Outcome | None:
        """Return what became of a record."""


def answer(
    verdict: Verdict,
    change_id: str,
    *,
    version: int = 0,
    reason: str = "",
    pending: Collection[str] = (),
) -> Answer:
    """Return the answer to a change.

    :param verdict: what became of it
    :param change_id: id under which it can be sent again
    :param version: offset of its record
    :param reason: code of a rejection or refusal
    :param pending: failure domains where it is not known to be in force
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
    """Makes operators' changes through the journal.

    :param configuration: the configuration in force in this process
    :param journal: the journal of this process
    :param in_force: newest configuration version that a daemon of each failure
        domain has said to be in force, by failure domain
    :param wanted: the failure domains that must have it in force
    """

    def __init__(
        self,
        configuration: Configuration,
        journal: JournalPort,
        *,
        in_force: Callable[[], Mapping[str, int]],
        wanted: Callable[[], Collection[str]],
    ) -> None:
        self._configuration = configuration
        self._journal = journal
        self._in_force = in_force
        self._wanted = wanted

    async def apply(
        self, lists: Lists, *, change_id: str, version: int | None, wait_s: float
    ) -> Answer:
        """Replace both lists.

        :param lists: the new lists, checked
        :param change_id: the operator's id of this change
        :param version: version of the lists that the change is based on, None for
            the one in force here
        :param wait_s: seconds to follow the change
        """
        body = {"lists": lists}
        return await self._change(
            LISTS_KIND, LISTS_KEY, body, change_id, version, wait_s
        )

    async def mark(
        self, mark: Mark, *, change_id: str, version: int | None, wait_s: float
    ) -> Answer:
        """Take a failure domain or host out of service, or back in.

        :param mark: what is out or back
        :param change_id: the operator's id of this change
        :param version: version of the mark that the change is based on, None for
            the one in force here
        :param wait_s: seconds to follow the change
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
        end = asyncio.get_running_loop().time() + wait_s
        record_id = record_id_of(change_id, body)
        offset = self._configuration.accepted_at(record_id)
        if not offset:
            base = self._journal.version(key) if version is None else version
            try:
                outcome = await self._journal.propose(
                    kind,
                    body,
                    expects={key: base},
                    timeout_s=wait_s,
                    record_id=record_id,
                )
            except OutcomeUnknownError:
                return answer(Verdict.UNKNOWN, change_id)
            except PlatformError as error:
                return answer(Verdict.REFUSED, change_id, reason=error.code)
            if not outcome.accepted:
                return _rejection(change_id, outcome)
            offset = outcome.offset
        log.info("Change {} is accepted as version {}.", change_id, offset)
        return await self._follow(change_id, offset, end)

    async def _follow(self, change_id: str, offset: int, end: float) -> Answer:
        loop = asyncio.get_running_loop()
        while True:
            pending = self._pending(offset)
            if not pending:
                return answer(Verdict.ACCEPTED, change_id, version=offset)
            if loop.time() >= end:
                break
            await asyncio.sleep(POLL_S)
        return answer(Verdict.PENDING, change_id, version=offset, pending=pending)

    def _pending(self, offset: int) -> set[str]:
        version_by_domain = self._in_force()
        return {
            domain
            for domain in self._wanted()
            if version_by_domain.get(domain, 0) < offset
        }


def _rejection(change_id: str, outcome: Outcome) -> Answer:
    return answer(
        Verdict.REJECTED, change_id, version=outcome.offset, reason=outcome.reason
    )


def record_id_of(change_id: str, body: Mapping[str, Any]) -> str:
    """Return a record's id: the same change under the same id is one record.

    :param change_id: the operator's id
    :param body: body of the record
    """
    content = msgspec.msgpack.encode(body)
    digest = hashlib.blake2b(content, digest_size=CONTENT_DIGEST_BYTES)
    return f"operator/{change_id}/{digest.hexdigest()}"
