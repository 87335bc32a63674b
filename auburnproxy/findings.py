"""Validation of YAML documents against a schema, with a line for every finding."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import yaml
from jsonschema import Draft202012Validator

from .errors import DocumentError

Path = tuple[str | int, ...]
ROOT: Path = ()


class Finding(NamedTuple):
    """One error in a document."""

    file: str
    line: int
    """Line in the file, counted from 1."""
    key: str
    """Dotted path of the value, empty for the whole document."""
    code: str
    message: str

    def __str__(self) -> str:
        """Return the finding as ``file:line: key: message [code]``."""
        key = f"{self.key}: " if self.key else ""
        return f"{self.file}:{self.line}: {key}{self.message} [{self.code}]"


class Document(NamedTuple):
    """A parsed YAML document with the line of each value."""

    file: str
    value: Any
    lines_by_path: Mapping[Path, int]

    def finding(self, path: Path, code: str, message: str) -> Finding:
        """Return a finding at the line of a path or of its nearest ancestor.

        :param path: keys and indexes from the root of the document
        :param code: stable code of the finding
        :param message: one human-readable sentence
        """
        ancestor = path
        while ancestor and ancestor not in self.lines_by_path:
            ancestor = ancestor[:-1]
        line = self.lines_by_path.get(ancestor, 1)
        return Finding(self.file, line, ".".join(map(str, path)), code, message)


def _record_lines(node: yaml.Node, path: Path, lines_by_path: dict[Path, int]) -> None:
    lines_by_path[path] = node.start_mark.line + 1
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            _record_lines(value, (*path, key.value), lines_by_path)
            lines_by_path[(*path, key.value)] = key.start_mark.line + 1
    elif isinstance(node, yaml.SequenceNode):
        for index, value in enumerate(node.value):
            _record_lines(value, (*path, index), lines_by_path)


def _duplicate_keys(node: yaml.Node, path: Path) -> Iterable[tuple[Path, int]]:
    if isinstance(node, yaml.MappingNode):
        seen: set[str] = set()
        for key, value in node.value:
            if key.value in seen:
                yield (*path, key.value), key.start_mark.line + 1
            seen.add(key.value)
            yield from _duplicate_keys(value, (*path, key.value))
    elif isinstance(node, yaml.SequenceNode):
        for index, value in enumerate(node.value):
            yield from _duplicate_keys(value, (*path, index))


def parse(text: str, *, file: str = "<input>") -> Document:
    """Parse YAML text.

    :param text: the document
    :param file: file name in the findings
    :raises DocumentError: if the YAML is malformed or repeats a key
    """
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
        value = yaml.safe_load(text)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 1
        message = getattr(error, "problem", None) or str(error)
        raise DocumentError([Finding(file, line, "", "yaml", message)]) from error
    lines_by_path: dict[Path, int] = {}
    if node is None:
        return Document(file, None, lines_by_path)
    repeated = [
        Finding(file, line, ".".join(map(str, path)), "repeated", "key stands twice")
        for path, line in _duplicate_keys(node, ROOT)
    ]
    if repeated:
        raise DocumentError(repeated)
    _record_lines(node, ROOT, lines_by_path)
    return Document(file, value, lines_by_path)


def schema_findings(document: Document, schema: Mapping[str, Any]) -> list[Finding]:
    """Validate a document and return all findings, ordered by line.

    :param document: the parsed document
    :param schema: a JSON schema, draft 2020-12
    """
    all_findings = [
        document.finding(
            tuple(error.absolute_path), str(error.validator), error.message
        )
        for error in Draft202012Validator(schema).iter_errors(document.value)
    ]
    return sorted(all_findings)


def check(document: Document, schema: Mapping[str, Any]) -> Any:
    """Return the document's value if it matches the schema.

    :param document: the parsed document
    :param schema: a JSON schema, draft 2020-12
    :raises DocumentError: with all findings
    """
    all_findings = schema_findings(document, schema)
    if all_findings:
        raise DocumentError(all_findings)
    return document.value
