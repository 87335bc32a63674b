"""Parser of the operators' list files, which validates both together."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

from ..errors import DocumentError
from ..findings import Document, Finding, Path, parse, schema_findings
from ._schema import GRANTS, PLANS
from .lists import Grant, Lists, Plan, TargetKind

DEFAULT_WEIGHT = 1
DEFAULT_QUEUE = 64


def read_lists(
    plans_text: str,
    grants_text: str,
    *,
    plans_file: str = "plans.yaml",
    grants_file: str = "grants.yaml",
) -> Lists:
    """Parse both list files and return the lists if they have no findings.

    :param plans_text: YAML of the list of plans
    :param grants_text: YAML of the list of grants
    :param plans_file: file name in the findings of the plans
    :param grants_file: file name in the findings of the grants
    :raises DocumentError: with all findings of both files
    """
    findings: list[Finding] = []
    plans = _parse(plans_text, plans_file, PLANS, findings)
    grants = _parse(grants_text, grants_file, GRANTS, findings)
    if plans is not None:
        findings += _plan_findings(plans)
    if grants is not None:
        findings += _grant_findings(grants, plans)
    if plans is None or grants is None or findings:
        raise DocumentError(sorted(findings, key=lambda f: (f.file != plans_file, f)))
    return Lists(
        tuple(_plan(item) for item in plans.value["plans"]),
        tuple(_grant(item) for item in grants.value["grants"]),
    )


def _parse(
    text: str, file: str, schema: Mapping[str, Any], findings: list[Finding]
) -> Document | None:
    try:
        document = parse(text, file=file)
    except DocumentError as error:
        findings += error.findings
        return None
    findings += schema_findings(document, schema)
    return document


def _items(document: Document, key: str) -> Iterator[tuple[Path, dict[str, Any]]]:
    """Yield the items that are mappings from a list that may be malformed."""
    value = document.value
    items = value.get(key) if isinstance(value, dict) else None
    for index, item in enumerate(items if isinstance(items, list) else ()):
        if isinstance(item, dict):
            yield (key, index), item


def _plan_findings(document: Document) -> Iterator[Finding]:
    plan_by_digest: dict[str, str] = {}
    plan_names: set[str] = set()
    for path, item in _items(document, "plans"):
        name = str(item.get("name", ""))
        if name in plan_names:
            yield document.finding((*path, "name"), "doubled", f"{name} stands twice")
        plan_names.add(name)
        digests = item.get("key_digests")
        for index, value in enumerate(digests if isinstance(digests, list) else ()):
            digest = str(value)
            if digest in plan_by_digest:
                message = f"the digest stands at {plan_by_digest[digest]} already"
                finding_path = (*path, "key_digests", index)
                yield document.finding(finding_path, "doubled", message)
            plan_by_digest[digest] = name


def _grant_findings(document: Document, plans: Document | None) -> Iterator[Finding]:
    plan_names = (
        {str(item.get("name")) for _, item in _items(plans, "plans")} if plans else ()
    )
    seen_grants: set[tuple[str, str, str]] = set()
    for path, item in _items(document, "grants"):
        plan = str(item.get("plan", ""))
        if plans and "plan" in item and plan not in plan_names:
            finding_path = (*path, "plan")
            yield document.finding(
                finding_path, "unknown_plan", f"there is no plan {plan}"
            )
        kind = "service" if "service" in item else "model"
        target = str(item.get(kind, ""))
        if (plan, kind, target) in seen_grants:
            message = f"{plan} is granted {kind} {target} twice"
            yield document.finding((*path, kind), "doubled", message)
        seen_grants.add((plan, kind, target))
        yield from _misplaced_findings(document, path, item, kind)


def _misplaced_findings(
    document: Document, path: Path, item: Mapping[str, Any], kind: str
) -> Iterator[Finding]:
    misplaced_key = "replicas" if kind == "service" else "repeatable"
    if misplaced_key in item:
        message = f"{misplaced_key} has no meaning for a {kind}"
        yield document.finding((*path, misplaced_key), "misplaced", message)


def _plan(item: Mapping[str, Any]) -> Plan:
    return Plan(
        name=item["name"],
        key_digests=tuple(item["key_digests"]),
        weight=item.get("weight", DEFAULT_WEIGHT),
        concurrent=item["concurrent"],
        queue=item.get("queue", DEFAULT_QUEUE),
    )


def _grant(item: Mapping[str, Any]) -> Grant:
    kind = TargetKind.SERVICE if "service" in item else TargetKind.MODEL
    return Grant(
        plan=item["plan"],
        kind=kind,
        target=item[kind.value],
        replicas=item.get("replicas", 0),
        repeatable=tuple(item.get("repeatable", ())),
    )
