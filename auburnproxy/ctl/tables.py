"""Output of ``auburnctl`` as text and tables."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from rich.console import Console
from rich.table import Table

from .difference import Difference
from .request_history import ParsedLogs, Step, format_line
from .summary import Summary


def _table(title: str, columns: Iterable[str], rows: Iterable[Iterable[Any]]) -> Table:
    table = Table(*columns, title=title, title_justify="left")
    for row in rows:
        table.add_row(*map(str, row))
    return table


def print_show(console: Console, body: Mapping[str, Any]) -> None:
    """Print the configuration in force."""
    console.print(f"version {body['version']}, lists {body['lists_version']}")
    console.print(_plans_table(body["plans"]))
    console.print(_grants_table(body["grants"]))
    console.print(f"out domains: {', '.join(body['out_domains']) or 'none'}")
    console.print(f"out hosts: {', '.join(body['out_hosts']) or 'none'}")


def _plans_table(plans: Iterable[Mapping[str, Any]]) -> Table:
    columns = ("plan", "weight", "concurrent", "queue", "keys")
    rows = [
        (p["name"], p["weight"], p["concurrent"], p["queue"], len(p["key_digests"]))
        for p in plans
    ]
    return _table("plans", columns, rows)


def _grants_table(grants: Iterable[Mapping[str, Any]]) -> Table:
    columns = ("plan", "may use", "replicas", "repeatable")
    rows = []
    for grant in grants:
        target = f"{grant['kind']} {grant['target']}"
        repeatable = ", ".join(grant["repeatable"])
        rows.append((grant["plan"], target, grant["replicas"], repeatable))
    return _table("grants", columns, rows)


def print_differences(console: Console, found: Iterable[Difference]) -> None:
    """Print the differences, one per row."""
    columns = ("list", "entry", "field", "in force", "in the files")
    console.print(_table("differences", columns, found))


def print_status(console: Console, body: Mapping[str, Any]) -> None:
    """Print the state of the whole system as seen by one daemon."""
    journal = body["journal"]
    state = "up" if journal["up"] else "away"
    console.print(f"{body['daemon']}: version {body['version']}, log {state}")
    console.print(f"journal at {journal['offset']}, {journal['behind']} behind")
    if journal["diverged"]:
        console.print("[bold]This daemon follows no log any more: restart it.[/bold]")
    for domain in body["failure_domains"]:
        print_domain(console, domain)


def print_domain(console: Console, domain: Mapping[str, Any]) -> None:
    """Print the state of one failure domain."""
    if not domain["answered"]:
        name = domain["failure_domain"]
        console.print(f"[bold]{name}: none of its daemons answered.[/bold]")
        return
    service = "out of service" if domain["out"] else "in service"
    title = f"{domain['failure_domain']}, {service}, version {domain['in_force']}"
    daemons = [
        (d["id"], "yes" if d["ready"] else "no", d["in_force"], d["offset"])
        for d in domain["daemons"]
    ]
    console.print(_table(title, ("daemon", "ready", "version", "offset"), daemons))
    replicas = [
        (
            r["name"],
            r["model"],
            r["generation"],
            " ".join(r["hosts"]),
            "serving" if r["serving"] else r["reason"],
        )
        for r in domain["replicas"]
    ]
    columns = ("replica", "model", "generation", "hosts", "state")
    console.print(_table("replicas", columns, replicas))
    console.print(f"stranded hosts: {' '.join(domain['stranded_hosts']) or 'none'}")
    console.print(f"out hosts: {' '.join(domain['out_hosts']) or 'none'}")


def print_report(console: Console, body: Mapping[str, Any]) -> None:
    """Print the measurements of a report."""
    console.print(f"{body['daemon']}: {body['seconds']:.0f} s")
    console.print(_placement_table(body["failure_domains"]))
    console.print(_moves_table(body["moves"]))
    console.print(_histograms_table(body["telemetry"]["histograms"]))


def _placement_table(domains: Iterable[Mapping[str, Any]]) -> Table:
    fields = ("group_downtime_s", "stranded_host_s", "live_host_s")
    rows = [
        (domain["failure_domain"], *(f"{domain[field]:.0f}" for field in fields))
        for domain in domains
    ]
    columns = ("domain", "group downtime s", "stranded host s", "live host s")
    return _table("placement", columns, rows)


def _moves_table(moves: Iterable[Mapping[str, Any]]) -> Table:
    rows = []
    for move in moves:
        way = "left" if move["out"] else "returned"
        counts = (move["answered"], move["refused"], move["unknown"])
        rows.append((move["failure_domain"], way, f"{move['seconds']:.1f}", *counts))
    columns = ("domain", "move", "seconds", "answered", "refused", "unknown")
    return _table("service during moves", columns, rows)


def _histograms_table(histograms: Iterable[Mapping[str, Any]]) -> Table:
    percentiles = ("p50_s", "p95_s", "p99_s")
    rows = [
        (
            *(series[field] for field in ("measure", "plan", "target", "count")),
            *(f"{series[field]:.4f}" for field in percentiles),
        )
        for series in histograms
    ]
    columns = ("measure", "plan", "target", "count", "p50 s", "p95 s", "p99 s")
    return _table("histograms", columns, rows)


def print_answer(
    console: Console, answer: Mapping[str, Any], retry_command: str
) -> None:
    """Print the outcome of a change and, if not final, the command to repeat it."""
    console.print(f"{answer['verdict']}, version {answer['version']}")
    if answer["reason"]:
        console.print(f"reason: {answer['reason']}")
    if answer["pending"]:
        console.print(f"not in force yet in: {' '.join(answer['pending'])}")
    for finding in answer["findings"]:
        place = f"{finding['file']}:{finding['line']}"
        console.print(
            f"{place}: {finding['message']} [{finding['code']}]", markup=False
        )
    if answer["verdict"] in ("pending", "unknown"):
        console.print(
            f"to learn more, safely: {retry_command}", soft_wrap=True, markup=False
        )


def print_request_history(steps: Iterable[Step], logs: ParsedLogs) -> None:
    """Print the decisions about a request in order, each after its relevant beliefs."""
    for step in steps:
        decision = step["decision"]
        for belief in step["beliefs"]:
            age_s = decision["at"] - belief["at"]
            print(f"    believed for {age_s:.3f} s: {format_line(belief)}")
        print(f"{decision['at']:.3f} {decision['host']}: {format_line(decision)}")
    if logs.unreadable:
        print(f"{logs.unreadable} lines could not be read")


def print_summary(console: Console, summary: Summary) -> None:
    """Print the late and failed requests by replica and by time."""
    columns = ("model", "replica", "head", "streams", "first late", "pause late")
    rows = [tuple(row.values()) for row in summary["replicas"]]
    console.print(_table("replicas", (*columns, "several tries"), rows))
    spans = [
        (
            f"{row['at']:.0f}",
            row["streams"],
            row["late"],
            ", ".join(f"{what}: {n}" for what, n in sorted(row["failures"].items())),
        )
        for row in summary["spans"]
    ]
    console.print(_table("seconds", ("from", "streams", "late", "failures"), spans))
    console.print(f"{summary['left_out']} lines were left out by the daemons")
    if summary["unreadable"]:
        console.print(f"{summary['unreadable']} lines could not be read")
