"""The commands of ``auburnctl``."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any
from uuid import uuid4

import defopt
import msgspec
from rich.console import Console

from .. import __version__
from ..configuration import Lists, digest_key, read_lists
from ..errors import AuburnError, DocumentError
from ..operators.bodies import Verdict
from . import tables
from .client import Client, UnauthorizedError, UnreachableError
from .difference import differences
from .exit_codes import EXIT_CODE_BY_VERDICT, ExitCode
from .request_history import ParsedLogs, parse_lines, request_history
from .settings import read_settings, read_text
from .summary import summarize

DEFAULT_SETTINGS = Path("auburnctl.yaml")
DEFAULT_WAIT_S = 8.0
JSON_INDENT = 2


def _print_json(value: Any) -> None:
    data = msgspec.json.format(msgspec.json.encode(value), indent=JSON_INDENT)
    print(data.decode())


def _client(settings: Path) -> Client:
    return Client(read_settings(settings))


def _read_list_files(plans: Path, grants: Path) -> Lists:
    texts = []
    findings = []
    for path in (plans, grants):
        try:
            texts.append(read_text(path))
        except DocumentError as error:
            findings += error.findings
    if findings:
        raise DocumentError(findings)
    return read_lists(*texts, plans_file=str(plans), grants_file=str(grants))


def check(plans: Path, grants: Path, *, json: bool = False) -> ExitCode:
    """Validate both list files and print all findings.

    Exits with 0 if there are no findings and with 2 if there are any.

    :param plans: YAML file of the plans
    :param grants: YAML file of the grants, the targets that each plan may use
    :param json: print the result as JSON
    """
    lists = _read_list_files(plans, grants)
    if json:
        _print_json({"plans": len(lists.plans), "grants": len(lists.grants)})
    else:
        print(f"no findings: {len(lists.plans)} plans, {len(lists.grants)} grants")
    return ExitCode.DONE


def apply(
    plans: Path,
    grants: Path,
    *,
    settings: Path = DEFAULT_SETTINGS,
    version: int | None = None,
    id: str = "",
    wait: float = DEFAULT_WAIT_S,
    json: bool = False,
) -> ExitCode:
    """Put both lists in force everywhere.

    Exits with 0 once they are accepted and in force in every failure domain, 2 if
    there are findings, 3 if another change was made first, 4 if they are accepted
    but a failure domain has not confirmed them yet, 5 if the outcome is unknown
    (send them again with the printed id and version), 6 if no daemon answers, 7 if
    the log did not accept them.

    :param plans: YAML file of the plans
    :param grants: YAML file of the grants, the targets that each plan may use
    :param settings: YAML file with the daemons' addresses and the operator key
    :param version: version of the lists that the files are based on, from
        ``show``; defaults to the version in force when the command starts
    :param id: id of an earlier attempt with the same files
    :param wait: seconds to wait until every failure domain has confirmed
    :param json: print the result as JSON
    """
    _read_list_files(plans, grants)
    client = _client(settings)
    if version is None:
        version = asyncio.run(client.get("show"))["lists_version"]
    body = {
        "id": id or uuid4().hex,
        "version": version,
        "wait_s": wait,
        "plans": read_text(plans),
        "grants": read_text(grants),
        "plans_file": str(plans),
        "grants_file": str(grants),
    }
    retry_command = f"auburnctl apply {plans} {grants} --settings {settings}"
    return _send_change(client, "apply", body, retry_command, json=json)


def _send_change(
    client: Client,
    path: str,
    body: Mapping[str, Any],
    retry_command: str,
    *,
    json: bool,
) -> ExitCode:
    wait_s = body["wait_s"]
    answer = asyncio.run(client.change(path, body, wait_s=wait_s))
    if json:
        _print_json(answer)
    else:
        again = f"{retry_command} --id {body['id']}"
        if body["version"] is not None:
            again += f" --version {body['version']}"
        tables.print_answer(Console(), answer, again)
    return EXIT_CODE_BY_VERDICT[Verdict(answer["verdict"])]


def show(*, settings: Path = DEFAULT_SETTINGS, json: bool = False) -> ExitCode:
    """Print the configuration in force.

    :param settings: YAML file with the daemons' addresses and the operator key
    :param json: print the result as JSON
    """
    body = asyncio.run(_client(settings).get("show"))
    if json:
        _print_json(body)
    else:
        tables.print_show(Console(), body)
    return ExitCode.DONE


def diff(
    plans: Path, grants: Path, *, settings: Path = DEFAULT_SETTINGS, json: bool = False
) -> ExitCode:
    """Print the differences between the configuration in force and two list files.

    Exits with 0 if there are no differences and with 8 if there are any.

    :param plans: YAML file of the plans
    :param grants: YAML file of the grants, the targets that each plan may use
    :param settings: YAML file with the daemons' addresses and the operator key
    :param json: print the result as JSON
    """
    lists = _read_list_files(plans, grants)
    found = differences(asyncio.run(_client(settings).get("show")), lists)
    if json:
        _print_json([difference._asdict() for difference in found])
    else:
        tables.print_differences(Console(), found)
    return ExitCode.DIFFERS if found else ExitCode.DONE


def out(
    *,
    domain: str = "",
    host: str = "",
    settings: Path = DEFAULT_SETTINGS,
    version: int | None = None,
    id: str = "",
    wait: float = DEFAULT_WAIT_S,
    json: bool = False,
) -> ExitCode:
    """Take a failure domain or a host out of service.

    Has the same exit codes as ``apply``.

    :param domain: name of the failure domain
    :param host: name of the host
    :param settings: YAML file with the daemons' addresses and the operator key
    :param version: version of the earlier mark that this one is based on
    :param id: id of an earlier attempt of the same mark
    :param wait: seconds to wait until every failure domain has confirmed
    :param json: print the result as JSON
    """
    body = _mark_body(domain, host, version, id, wait, out=True)
    retry_command = _mark_command("out", domain, host, settings)
    return _send_change(_client(settings), "mark", body, retry_command, json=json)


def back(
    *,
    domain: str = "",
    host: str = "",
    settings: Path = DEFAULT_SETTINGS,
    version: int | None = None,
    id: str = "",
    wait: float = DEFAULT_WAIT_S,
    json: bool = False,
) -> ExitCode:
    """Bring a failure domain or a host back into service.

    Has the same exit codes as ``apply``.

    :param domain: name of the failure domain
    :param host: name of the host
    :param settings: YAML file with the daemons' addresses and the operator key
    :param version: version of the earlier mark that this one is based on
    :param id: id of an earlier attempt of the same mark
    :param wait: seconds to wait until every failure domain has confirmed
    :param json: print the result as JSON
    """
    body = _mark_body(domain, host, version, id, wait, out=False)
    retry_command = _mark_command("back", domain, host, settings)
    return _send_change(_client(settings), "mark", body, retry_command, json=json)


def _mark_body(
    domain: str, host: str, version: int | None, id: str, wait: float, *, out: bool
) -> dict[str, Any]:
    return {
        "id": id or uuid4().hex,
        "version": version,
        "wait_s": wait,
        "failure_domain": domain,
        "host": host,
        "out": out,
    }


def _mark_command(command: str, domain: str, host: str, settings: Path) -> str:
    target = f"--host {host}" if host else f"--domain {domain}"
    return f"auburnctl {command} {target} --settings {settings}"


def status(*, settings: Path = DEFAULT_SETTINGS, json: bool = False) -> ExitCode:
    """Print the daemons, replicas and stranded hosts of each failure domain.

    :param settings: YAML file with the daemons' addresses and the operator key
    :param json: print the result as JSON
    """
    body = asyncio.run(_client(settings).get("status"))
    if json:
        _print_json(body)
    else:
        tables.print_status(Console(), body)
    return ExitCode.DONE


def report(*, settings: Path = DEFAULT_SETTINGS, json: bool = False) -> ExitCode:
    """Print the measurements since the start of the daemon that answers.

    :param settings: YAML file with the daemons' addresses and the operator key
    :param json: print the result as JSON
    """
    body = asyncio.run(_client(settings).get("report"))
    if json:
        _print_json(body)
    else:
        tables.print_report(Console(), body)
    return ExitCode.DONE


def digest(*, json: bool = False) -> ExitCode:
    """Read a plan's key from standard input and print its digest for the plans file.

    :param json: print the result as JSON
    """
    key = sys.stdin.readline().rstrip("\r\n")
    if not key:
        print("no key on standard input", file=sys.stderr)
        return ExitCode.FINDINGS
    if json:
        _print_json({"digest": digest_key(key)})
    else:
        print(digest_key(key))
    return ExitCode.DONE


def explain(request_id: str, *files: Path, json: bool = False) -> ExitCode:
    """Print the decisions about one request and the state that they were based on.

    Exits with 0 if the logs name the request, 2 if a file cannot be read and 10 if
    no line names it.

    :param request_id: id that the caller gave the request
    :param files: log files of the daemons; standard input if there are none
    :param json: print the result as JSON
    """
    logs = _read_logs(files)
    steps = request_history(logs.lines, request_id)
    if json:
        _print_json({"steps": steps, "unreadable": logs.unreadable})
    else:
        tables.print_request_history(steps, logs)
    return ExitCode.DONE if steps else ExitCode.NOT_FOUND


def summary(*files: Path, json: bool = False) -> ExitCode:
    """Print the numbers of late and failed requests, by replica and by time.

    Exits with 0 if the logs contain lines of daemons, 2 if a file cannot be read and
    10 if they contain none.

    :param files: log files of the daemons; standard input if there are none
    :param json: print the result as JSON
    """
    logs = _read_logs(files)
    found = summarize(logs)
    if json:
        _print_json(found)
    else:
        tables.print_summary(Console(), found)
    return ExitCode.DONE if logs.lines else ExitCode.NOT_FOUND


def _read_logs(files: Sequence[Path]) -> ParsedLogs:
    texts: list[str] = []
    for path in files:
        texts += read_text(path).splitlines()
    return parse_lines(texts if files else sys.stdin)


COMMANDS: list[Callable[..., ExitCode]] = [
    check,
    apply,
    diff,
    show,
    out,
    back,
    status,
    report,
    digest,
    explain,
    summary,
]


def run(arguments: Sequence[str]) -> ExitCode:
    """Run one command and return its exit code.

    :param arguments: command line arguments without the program's name
    """
    try:
        code: ExitCode = defopt.run(
            COMMANDS,
            argv=list(arguments),
            short={},
            version=__version__,
            argparse_kwargs={
                "prog": "auburnctl",
                "description": "Manages the lists and marks of auburnproxy.",
            },
        )
    except DocumentError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return ExitCode.FINDINGS
    except UnreachableError as error:
        print(f"auburnctl: {error}", file=sys.stderr)
        return ExitCode.UNREACHABLE
    except UnauthorizedError as error:
        print(f"auburnctl: {error}", file=sys.stderr)
        return ExitCode.UNAUTHORIZED
    except AuburnError as error:
        print(f"auburnctl: {error}", file=sys.stderr)
        return ExitCode.UNEXPECTED
    return code


def main() -> None:
    """Run ``auburnctl``."""
    sys.exit(run(sys.argv[1:]))
