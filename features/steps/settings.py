"""Steps for the settings of a daemon."""

from pathlib import Path

from behave import given, then, when

from auburnproxy.daemon.settings import read_settings
from auburnproxy.errors import DocumentError

EXAMPLE = Path("examples/daemon.yaml")


@given('the example settings with "{old}" replaced by "{new}"')
def replace(context, old, new):
    context.settings = EXAMPLE.read_text()
    also_replace(context, old, new)


@given('also "{old}" replaced by "{new}"')
def also_replace(context, old, new):
    assert old in context.settings, old
    before = context.settings.split(old, 1)[0]
    context.replaced_line = before.count("\n") + 1
    context.settings = context.settings.replace(old, new, 1)


@when("the example settings are read")
def read_example(context):
    context.settings = EXAMPLE.read_text()
    read(context)


@when("the settings are read")
def read(context):
    context.findings = []
    try:
        read_settings(context.settings)
    except DocumentError as error:
        context.findings = error.findings


@then("there are no findings")
def check_no_findings(context):
    assert context.findings == [], context.findings


@then("there are {count:d} findings")
def check_count(context, count):
    assert len(context.findings) == count, context.findings


@then("the finding is {code} at {key}, on the replaced line")
def check_finding(context, code, key):
    (found,) = context.findings
    seen = (found.code, found.key, found.line)
    assert seen == (code, key, context.replaced_line), seen
