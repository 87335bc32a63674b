"""The operators' HTTP calls, guarded by the operator key."""

from __future__ import annotations

import hmac
from collections.abc import Awaitable, Callable, Collection, Mapping
from typing import Any, TypeVar
from uuid import uuid4

import msgspec
from aiohttp import web

from ..configuration import LISTS_KEY, Configuration, Mark, read_lists
from ..errors import DocumentError
from ..findings import Finding
from .bodies import (
    Answer,
    FindingBody,
    ShowBody,
    Verdict,
)
from .changes import Changes, JournalPort, answer
from .overview import REPORT_PATH, STATUS_PATH, LocalView, Overview

PREFIX = "/operator"
BEARER = "Bearer "
WAIT_S = 8.0
LONGEST_WAIT_S = 60.0
RETRY_AFTER_S = "5"
STATUS_BY_VERDICT = {
    Verdict.ACCEPTED: 200,
    Verdict.PENDING: 202,
    Verdict.REJECTED: 409,
    Verdict.UNKNOWN: 504,
    Verdict.REFUSED: 503,
    Verdict.FINDINGS: 422,
}

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
Request = TypeVar("Request", bound="ChangeRequest")


class ChangeRequest(msgspec.Struct, kw_only=True):
    """What every change carries."""

    id: str = ""
    version: int | None = None
    wait_s: float = WAIT_S


class ApplyRequest(ChangeRequest, kw_only=True):
    """Both list files, as text."""

    plans: str
    grants: str
    plans_file: str = "plans.yaml"
    grants_file: str = "grants.yaml"


class MarkRequest(ChangeRequest, kw_only=True):
    """A failure domain, or a host, to take out or back."""

    out: bool
    failure_domain: str = ""
    host: str = ""


def routes(
    configuration: Configuration,
    journal: JournalPort,
    *,
    key: str,
    in_force: Callable[[], Mapping[str, int]],
    wanted: Callable[[], Collection[str]],
    local: LocalView,
    overview: Overview,
    hosts: Callable[[], Collection[str]] | None = None,
) -> list[web.RouteDef]:
    """Return the operators' calls below ``/operator``.

    :param configuration: the configuration in force in this process
    :param journal: the journal of this process
    :param key: the operator key that every call must carry as a bearer token
    :param in_force: configuration version in force, by failure domain
    :param wanted: every failure domain that must have a change in force
    :param local: what this daemon knows by itself
    :param overview: gathers what all daemons know
    :param hosts: names that may be marked, None for any
    """
    changes = Changes(configuration, journal, in_force=in_force, wanted=wanted)
    calls = Calls(configuration, journal, changes, wanted, hosts)

    async def status(request: web.Request) -> web.Response:
        return _json(await overview.status())

    async def report(request: web.Request) -> web.Response:
        return _json(await overview.report())

    async def local_status(request: web.Request) -> web.Response:
        return _json(local.domain_status())

    async def local_report(request: web.Request) -> web.Response:
        return _json(local.report())

    def guarded(handler: Handler) -> Handler:
        return _guard(handler, key)

    return [
        web.post(f"{PREFIX}/apply", guarded(calls.apply)),
        web.post(f"{PREFIX}/mark", guarded(calls.mark)),
        web.get(f"{PREFIX}/show", guarded(calls.show)),
        web.get(f"{PREFIX}/status", guarded(status)),
        web.get(f"{PREFIX}/report", guarded(report)),
        web.get(STATUS_PATH, guarded(local_status)),
        web.get(REPORT_PATH, guarded(local_report)),
    ]


class Calls:
    """Handlers of the calls that read or change the configuration.

    :param configuration: the configuration in force in this process
    :param journal: the journal of this process
    :param changes: makes changes
    :param wanted: every failure domain
    :param hosts: names that may be marked, None for any
    """

    def __init__(
        self,
        configuration: Configuration,
        journal: JournalPort,
        changes: Changes,
        wanted: Callable[[], Collection[str]],
        hosts: Callable[[], Collection[str]] | None,
    ) -> None:
        self._configuration = configuration
        self._journal = journal
        self._changes = changes
        self._wanted = wanted
        self._hosts = hosts

    async def show(self, request: web.Request) -> web.Response:
        """Answer with the configuration in force here."""
        configuration = self._configuration
        lists = configuration.lists
        body = ShowBody(
            version=configuration.version,
            lists_version=self._journal.version(LISTS_KEY),
            plans=[plan._asdict() for plan in lists.plans],
            grants=[grant._asdict() for grant in lists.grants],
            out_domains=sorted(configuration.out_domains),
            out_hosts=sorted(configuration.out_hosts),
        )
        return _json(body)

    async def apply(self, request: web.Request) -> web.Response:
        """Replace both lists."""
        asked = await _read(request, ApplyRequest)
        change_id = asked.id or uuid4().hex
        try:
            lists = read_lists(
                asked.plans,
                asked.grants,
                plans_file=asked.plans_file,
                grants_file=asked.grants_file,
            )
        except DocumentError as error:
            return _findings(change_id, error.findings)
        made = await self._changes.apply(
            lists,
            change_id=change_id,
            version=asked.version,
            wait_s=_bounded(asked.wait_s),
        )
        return _changed(made)

    async def mark(self, request: web.Request) -> web.Response:
        """Take a failure domain or host out of service, or back."""
        asked = await _read(request, MarkRequest)
        change_id = asked.id or uuid4().hex
        findings = self._mark_findings(asked)
        if findings:
            return _findings(change_id, findings)
        made = await self._changes.mark(
            Mark(asked.failure_domain, asked.host, asked.out),
            change_id=change_id,
            version=asked.version,
            wait_s=_bounded(asked.wait_s),
        )
        return _changed(made)

    def _mark_findings(self, asked: MarkRequest) -> list[Finding]:
        if bool(asked.failure_domain) == bool(asked.host):
            message = "name either a failure domain or a host"
            return [Finding("request", 1, "", "target", message)]
        configuration = self._configuration
        if asked.host:
            if self._hosts is None:
                return []
            known, key = {*self._hosts(), *configuration.out_hosts}, "host"
        else:
            known = {*self._wanted(), *configuration.out_domains}
            key = "failure_domain"
        name = asked.host or asked.failure_domain
        if name in known:
            return []
        return [Finding("request", 1, key, "unknown", f"there is no {name}")]


def _guard(handler: Handler, key: str) -> Handler:
    async def guarded(request: web.Request) -> web.StreamResponse:
        sent = request.headers.get("Authorization", "").removeprefix(BEARER)
        if not key or not hmac.compare_digest(sent.encode(), key.encode()):
            return web.json_response({"error": {"code": "unauthorized"}}, status=401)
        return await handler(request)

    return guarded


async def _read(request: web.Request, kind: type[Request]) -> Request:
    try:
        return msgspec.json.decode(await request.read(), type=kind)
    except msgspec.MsgspecError as error:
        body = msgspec.json.encode({"error": {"code": "body", "message": str(error)}})
        raise web.HTTPBadRequest(body=body, content_type="application/json") from error


def _bounded(wait_s: float) -> float:
    return min(max(wait_s, 0.0), LONGEST_WAIT_S)


def _json(body: Any, *, status: int = 200) -> web.Response:
    data = msgspec.json.encode(body)
    return web.Response(body=data, status=status, content_type="application/json")


def _changed(made: Answer) -> web.Response:
    verdict = Verdict(made["verdict"])
    response = _json(made, status=STATUS_BY_VERDICT[verdict])
    if verdict is Verdict.REFUSED:
        response.headers["Retry-After"] = RETRY_AFTER_S
    return response


def _findings(change_id: str, findings: list[Finding]) -> web.Response:
    made = answer(Verdict.FINDINGS, change_id, reason="invalid")
    made["findings"] = [
        FindingBody(
            file=finding.file,
            line=finding.line,
            key=finding.key,
            code=finding.code,
            message=finding.message,
        )
        for finding in findings
    ]
    return _changed(made)
