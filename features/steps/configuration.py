"""Steps for parsing the operators' lists."""

from behave import given, then, when

from auburnproxy.configuration import read_lists
from auburnproxy.errors import DocumentError


@given("the plans file")
def set_plans_text(context):
    context.plans_text = context.text


@given("the grants file")
def set_grants_text(context):
    context.grants_text = context.text


@when("both files are parsed")
def parse_files(context):
    context.findings = []
    try:
        context.lists = read_lists(context.plans_text, context.grants_text)
    except DocumentError as error:
        context.findings = error.findings


@then("the list files have the findings")
def compare_findings(context):
    reported = [(f.file, str(f.line), f.key, f.code) for f in context.findings]
    assert reported == [tuple(row) for row in context.table], reported


@then("plan {name} has weight {weight:d} and {count:d} grants")
def compare_plan(context, name, weight, count):
    assert not context.findings, context.findings
    plans, grants = context.lists
    (plan,) = plans
    assert (plan.name, plan.weight, len(grants)) == (name, weight, count), plans
