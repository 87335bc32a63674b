"""Steps for findings in YAML documents."""

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
def take_document(context):
    context.document = context.text


@when("it is parsed")
def parse(context):
    check_with(context, {})


@when("it is checked against name text and peer number")
def check(context):
    check_with(context, SCHEMA)


def check_with(context, schema):
    context.findings = []
    try:
        findings.check(findings.parse(context.document), schema)
    except DocumentError as error:
        context.findings = error.findings


@then("the findings are")
def compare(context):
    seen = [(str(f.line), f.key, f.code) for f in context.findings]
    assert seen == [tuple(row) for row in context.table], seen
