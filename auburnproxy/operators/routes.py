"""Routes of the operator API, authenticated by the operator key."""

from __future__ import annotations

import hmac
from collections.abc import Awaitable, Callable, Collection, Mapping
from typing import Any, TypeVar, cast
from uuid import uuid4

import msgspec
from aiohttp import web

from ..configuration import LISTS_KEY, Configuration, Mark, read_lists
from ..decoding import decode_json
from ..errors import DocumentError, UnreadableError
from ..findings import Finding
from .bodies import (
    Answer,
    FindingBody,
    ShowBody,
    Verdict,
)
from .changes import Changes, JournalPort, change_answer
from .overview import REPORT_PATH, STATUS_PATH, LocalView, Overview

PATH_PREFIX = "/operator"
BEARER_PREFIX = "Bearer "
DEFAULT_WAIT_S = 8.0
MAX_WAIT_S = 60.0
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
    """Fields common to all requests for changes."""

    id: str = ""
    version: int | None = None
    wait_s: float = DEFAULT_WAIT_S


class ApplyRequest(ChangeRequest, kw_only=True):
    """Request to replace both lists, with the text of both files."""

    plans: str
    grants: str
    plans_file: str = "plans.yaml"
    grants_file: str = "grants.yaml"


class MarkRequest(ChangeRequest, kw_only=True):
    """Request to take a failure domain or a host out of service or back."""

    out: bool
    failure_domain: str = ""
    host: str = ""


def routes(
    configuration: Configuration,
    journal: JournalPort,
    *,
    key: str,
    in_force: Callable[[], Mapping[str, int]],
    required_domains: Callable[[], Collection[str]],
    local: LocalView,
    overview: Overview,
    hosts: Callable[[], Collection[str]] | None = None,
) -> list[web.RouteDef]:
    """Return the routes of the operator API below ``/operator``.

    :param configuration: the configuration in force in this process
    :param journal: the journal of this process
    :param key: operator key, required of every request as a bearer token
    :param in_force: returns the configuration version in force, by failure domain
    :param required_domains: returns the failure domains that must confirm a change
    :param local: status and measurements of this daemon
    :param overview: collects status and measurements of all daemons
    :param hosts: returns the host names that may be marked, None to allow any
    """
    changes = Changes(
        configuration, journal, in_force=in_force, required_domains=required_domains
    )
    handlers = ConfigurationHandlers(
        configuration, journal, changes, required_domains, hosts
    )

    async def status(request: web.Request) -> web.Response:
        return _json_response(await overview.status())

    async def report(request: web.Request) -> web.Response:
        return _json_response(await overview.report())

    async def local_status(request: web.Request) -> web.Response:
        return _json_response(local.domain_status())

    async def local_report(request: web.Request) -> web.Response:
        return _json_response(local.report())

    def authenticated(handler: Handler) -> Handler:
        return _require_operator_key(handler, key)

    return [
        web.post(f"{PATH_PREFIX}/apply", authenticated(handlers.apply)),
        web.post(f"{PATH_PREFIX}/mark", authenticated(handlers.mark)),
        web.get(f"{PATH_PREFIX}/show", authenticated(handlers.show)),
        web.get(f"{PATH_PREFIX}/status", authenticated(status)),
        web.get(f"{PATH_PREFIX}/report", authenticated(report)),
        web.get(STATUS_PATH, authenticated(local_status)),
        web.get(REPORT_PATH, authenticated(local_report)),
    ]


class ConfigurationHandlers:
    """Handlers of the requests that read or change the configuration.

    :param configuration: the configuration in force in this process
    :param journal: the journal of this process
    :param changes: applies changes
    :param required_domains: returns all failure domains
    :param hosts: returns the host names that may be marked, None to allow any
    """

    def __init__(
        self,
        configuration: Configuration,
        journal: JournalPort,
        changes: Changes,
        required_domains: Callable[[], Collection[str]],
        hosts: Callable[[], Collection[str]] | None,
    ) -> None:
        self._configuration = configuration
        self._journal = journal
        self._changes = changes
        self._required_domains = required_domains
        self._hosts = hosts

    async def show(self, request: web.Request) -> web.Response:
        """Respond with the configuration in force in this daemon."""
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
        return _json_response(body)

    async def apply(self, request: web.Request) -> web.Response:
        """Replace both lists."""
        change_request = await _read_body(request, ApplyRequest)
        change_id = change_request.id or uuid4().hex
        try:
            lists = read_lists(
                change_request.plans,
                change_request.grants,
                plans_file=change_request.plans_file,
                grants_file=change_request.grants_file,
            )
        except DocumentError as error:
            return _findings_response(change_id, error.findings)
        answer = await self._changes.apply(
            lists,
            change_id=change_id,
            version=change_request.version,
            wait_s=_clamp_wait(change_request.wait_s),
        )
        return _change_response(answer)

    async def mark(self, request: web.Request) -> web.Response:
        """Take a failure domain or host out of service, or back into service."""
        change_request = await _read_body(request, MarkRequest)
        change_id = change_request.id or uuid4().hex
        findings = self._mark_findings(change_request)
        if findings:
            return _findings_response(change_id, findings)
        answer = await self._changes.mark(
            Mark(
                change_request.failure_domain, change_request.host, change_request.out
            ),
            change_id=change_id,
            version=change_request.version,
            wait_s=_clamp_wait(change_request.wait_s),
        )
        return _change_response(answer)

    def _mark_findings(self, change_request: MarkRequest) -> list[Finding]:
        if bool(change_request.failure_domain) == bool(change_request.host):
            message = "name either a failure domain or a host"
            return [Finding("request", 1, "", "target", message)]
        configuration = self._configuration
        if change_request.host:
            if self._hosts is None:
                return []
            known_names, key = {*self._hosts(), *configuration.out_hosts}, "host"
        else:
            known_names = {*self._required_domains(), *configuration.out_domains}
            key = "failure_domain"
        name = change_request.host or change_request.failure_domain
        if name in known_names:
            return []
        return [Finding("request", 1, key, "unknown", f"there is no {name}")]


def _require_operator_key(handler: Handler, key: str) -> Handler:
    async def authenticated(request: web.Request) -> web.StreamResponse:
        sent_key = request.headers.get("Authorization", "").removeprefix(BEARER_PREFIX)
        if not key or not hmac.compare_digest(sent_key.encode(), key.encode()):
            return web.json_response({"error": {"code": "unauthorized"}}, status=401)
        return await handler(request)

    return authenticated


async def _read_body(request: web.Request, body_type: type[Request]) -> Request:
    try:
        return cast(Request, decode_json(await request.read(), body_type))
    except UnreadableError as error:
        body = msgspec.json.encode({"error": {"code": "body", "message": str(error)}})
        raise web.HTTPBadRequest(body=body, content_type="application/json") from error


def _clamp_wait(wait_s: float) -> float:
    return min(max(wait_s, 0.0), MAX_WAIT_S)


def _json_response(body: Any, *, status: int = 200) -> web.Response:
    data = msgspec.json.encode(body)
    return web.Response(body=data, status=status, content_type="application/json")


def _change_response(answer: Answer) -> web.Response:
    verdict = Verdict(answer["verdict"])
    response = _json_response(answer, status=STATUS_BY_VERDICT[verdict])
    if verdict is Verdict.REFUSED:
        response.headers["Retry-After"] = RETRY_AFTER_S
    return response


def _findings_response(change_id: str, findings: list[Finding]) -> web.Response:
    answer = change_answer(Verdict.FINDINGS, change_id, reason="invalid")
    answer["findings"] = [
        FindingBody(
            file=finding.file,
            line=finding.line,
            key=finding.key,
            code=finding.code,
            message=finding.message,
        )
        for finding in findings
    ]
    return _change_response(answer)
