"""Steps for the validation of YAML documents."""

from behave import given, then, when

from auburnproxy import findings
from auburnproxy.errors import DocumentError

SCHEMA = {
    "type": "object",
    "properties": {
        "name": {"type": "string"},
        "ports": {"properties": {"peer": {"type": "integer"}}},
    },
}


@given("the document")
def set_document(context):
    context.document = context.text


@when("it is parsed")
def parse_document(context):
    validate_with(context, {})


@when("it is validated with name as a string and ports.peer as an integer")
def validate(context):
    validate_with(context, SCHEMA)


def validate_with(context, schema):
    context.findings = []
    try:
        findings.check(findings.parse(context.document), schema)
    except DocumentError as error:
        context.findings = error.findings


@then("the findings are")
def compare_findings(context):
    reported = [(str(f.line), f.key, f.code) for f in context.findings]
    assert reported == [tuple(row) for row in context.table], reported
