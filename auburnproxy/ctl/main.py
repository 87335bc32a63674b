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
from .exits import EXIT_BY_VERDICT, Exit
from .settings import read_settings, read_text
from .story import Reading, read_lines, story
from .summary import summarize

SETTINGS = Path("auburnctl.yaml")
WAIT_S = 8.0
INDENT = 2


def _print_json(value: Any) -> None:
    data = msgspec.json.format(msgspec.json.encode(value), indent=INDENT)
    print(data.decode())


def _client(settings: Path) -> Client:
    return Client(read_settings(settings))


def _lists(plans: Path, grants: Path) -> Lists:
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


def check(plans: Path, grants: Path, *, json: bool = False) -> Exit:
    """Check both list files and print everything that is wrong in them.

    Exits with 0 if nothing is wrong and 2 with findings.

    :param plans: YAML file of the plans
    :param grants: YAML file of what each plan may use
    :param json: print JSON
    """
    lists = _lists(plans, grants)
    if json:
        _print_json({"plans": len(lists.plans), "grants": len(lists.grants)})
    else:
        print(f"no findings: {len(lists.plans)} plans, {len(lists.grants)} grants")
    return Exit.DONE


def apply(
    plans: Path,
    grants: Path,
    *,
    settings: Path = SETTINGS,
    version: int | None = None,
    id: str = "",
    wait: float = WAIT_S,
    json: bool = False,
) -> Exit:
    """Put both lists in force everywhere.

    Exits with 0 once they are accepted and in force in every failure domain, 2
    with findings, 3 if another change came first, 4 if they are accepted but a
    failure domain has not confirmed yet, 5 if the outcome is unknown (send it
    again with the id and version that are printed), 6 if no daemon answers, 7 if
    the log did not take it.

    :param plans: YAML file of the plans
    :param grants: YAML file of what each plan may use
    :param settings: YAML file with the daemons' addresses and the operator key
    :param version: version of the lists that the files are based on, from
        ``show``; without it, the one in force when the command starts
    :param id: id of an earlier try of the same files
    :param wait: seconds to wait for every failure domain
    :param json: print JSON
    """
    _lists(plans, grants)
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
    retry = f"auburnctl apply {plans} {grants} --settings {settings}"
    return _change(client, "apply", body, retry, json=json)


def _change(
    client: Client, path: str, body: Mapping[str, Any], retry: str, *, json: bool
) -> Exit:
    wait_s = body["wait_s"]
    answer = asyncio.run(client.change(path, body, wait_s=wait_s))
    if json:
        _print_json(answer)
    else:
        again = f"{retry} --id {body['id']}"
        if body["version"] is not None:
            again += f" --version {body['version']}"
        tables.print_answer(Console(), answer, again)
    return EXIT_BY_VERDICT[Verdict(answer["verdict"])]


def show(*, settings: Path = SETTINGS, json: bool = False) -> Exit:
    """Print the configuration in force.

    :param settings: YAML file with the daemons' addresses and the operator key
    :param json: print JSON
    """
    body = asyncio.run(_client(settings).get("show"))
    if json:
        _print_json(body)
    else:
        tables.print_show(Console(), body)
    return Exit.DONE


def diff(
    plans: Path, grants: Path, *, settings: Path = SETTINGS, json: bool = False
) -> Exit:
    """Print what differs between the configuration in force and two list files.

    Exits with 0 if nothing differs and 8 if something does.

    :param plans: YAML file of the plans
    :param grants: YAML file of what each plan may use
    :param settings: YAML file with the daemons' addresses and the operator key
    :param json: print JSON
    """
    lists = _lists(plans, grants)
    found = differences(asyncio.run(_client(settings).get("show")), lists)
    if json:
        _print_json([difference._asdict() for difference in found])
    else:
        tables.print_differences(Console(), found)
    return Exit.DIFFERS if found else Exit.DONE


def out(
    *,
    domain: str = "",
    host: str = "",
    settings: Path = SETTINGS,
    version: int | None = None,
    id: str = "",
    wait: float = WAIT_S,
    json: bool = False,
) -> Exit:
    """Take a failure domain or a host out of service.

    Exits like ``apply``.

    :param domain: name of the failure domain
    :param host: name of the host
    :param settings: YAML file with the daemons' addresses and the operator key
    :param version: version of an earlier mark that this one is based on
    :param id: id of an earlier try
    :param wait: seconds to wait for every failure domain
    :param json: print JSON
    """
    body = _mark_body(domain, host, version, id, wait, out=True)
    retry = _mark_retry("out", domain, host, settings)
    return _change(_client(settings), "mark", body, retry, json=json)


def back(
    *,
    domain: str = "",
    host: str = "",
    settings: Path = SETTINGS,
    version: int | None = None,
    id: str = "",
    wait: float = WAIT_S,
    json: bool = False,
) -> Exit:
    """Bring a failure domain or a host back into service.

    Exits like ``apply``.

    :param domain: name of the failure domain
    :param host: name of the host
    :param settings: YAML file with the daemons' addresses and the operator key
    :param version: version of an earlier mark that this one is based on
    :param id: id of an earlier try
    :param wait: seconds to wait for every failure domain
    :param json: print JSON
    """
    body = _mark_body(domain, host, version, id, wait, out=False)
    retry = _mark_retry("back", domain, host, settings)
    return _change(_client(settings), "mark", body, retry, json=json)


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


def _mark_retry(command: str, domain: str, host: str, settings: Path) -> str:
    target = f"--host {host}" if host else f"--domain {domain}"
    return f"auburnctl {command} {target} --settings {settings}"


def status(*, settings: Path = SETTINGS, json: bool = False) -> Exit:
    """Print daemons, replicas and stranded hosts of each failure domain.

    :param settings: YAML file with the daemons' addresses and the operator key
    :param json: print JSON
    """
    body = asyncio.run(_client(settings).get("status"))
    if json:
        _print_json(body)
    else:
        tables.print_status(Console(), body)
    return Exit.DONE


def report(*, settings: Path = SETTINGS, json: bool = False) -> Exit:
    """Print what was measured since the daemon that answers started.

    :param settings: YAML file with the daemons' addresses and the operator key
    :param json: print JSON
    """
    body = asyncio.run(_client(settings).get("report"))
    if json:
        _print_json(body)
    else:
        tables.print_report(Console(), body)
    return Exit.DONE


def digest(*, json: bool = False) -> Exit:
    """Read a plan's key from standard input and print its digest for the list.

    :param json: print JSON
    """
    key = sys.stdin.readline().rstrip("\r\n")
    if not key:
        print("no key on standard input", file=sys.stderr)
        return Exit.FINDINGS
    if json:
        _print_json({"digest": digest_key(key)})
    else:
        print(digest_key(key))
    return Exit.DONE


def explain(request_id: str, *files: Path, json: bool = False) -> Exit:
    """Print what was decided on one request and what was believed meanwhile.

    Exits with 0 if the logs name the request, 2 if a file cannot be read and 10 if
    no line names it.

    :param request_id: the caller's id of the request
    :param files: logs of the daemons; standard input without any
    :param json: print JSON
    """
    reading = _read_logs(files)
    steps = story(reading.lines, request_id)
    if json:
        _print_json({"steps": steps, "unreadable": reading.unreadable})
    else:
        tables.print_story(steps, reading)
    return Exit.DONE if steps else Exit.UNNAMED


def summary(*files: Path, json: bool = False) -> Exit:
    """Print which requests were late or failed, by replica and by time.

    Exits with 0 if the logs have lines of daemons, 2 if a file cannot be read and 10
    if no line is one.

    :param files: logs of the daemons; standard input without any
    :param json: print JSON
    """
    reading = _read_logs(files)
    found = summarize(reading)
    if json:
        _print_json(found)
    else:
        tables.print_summary(Console(), found)
    return Exit.DONE if reading.lines else Exit.UNNAMED


def _read_logs(files: Sequence[Path]) -> Reading:
    texts: list[str] = []
    for path in files:
        texts += read_text(path).splitlines()
    return read_lines(texts if files else sys.stdin)


COMMANDS: list[Callable[..., Exit]] = [
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


def run(arguments: Sequence[str]) -> Exit:
    """Run one command and return its exit code.

    :param arguments: the command line without the program's name
    """
    try:
        code: Exit = defopt.run(
            COMMANDS,
            argv=list(arguments),
            short={},
            version=__version__,
            argparse_kwargs={
                "prog": "auburnctl",
                "description": "Drives auburnproxy by its two lists and its marks.",
            },
        )
    except DocumentError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return Exit.FINDINGS
    except UnreachableError as error:
        print(f"auburnctl: {error}", file=sys.stderr)
        return Exit.UNREACHABLE
    except UnauthorizedError as error:
        print(f"auburnctl: {error}", file=sys.stderr)
        return Exit.UNAUTHORIZED
    except AuburnError as error:
        print(f"auburnctl: {error}", file=sys.stderr)
        return Exit.UNEXPECTED
    return code


def main() -> None:
    """Run ``auburnctl``."""
    sys.exit(run(sys.argv[1:]))
