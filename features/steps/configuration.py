"""Steps for the operators' lists."""

from behave import given, then, when

from auburnproxy.configuration import read_lists
from auburnproxy.errors import DocumentError


@given("the plans file")
def take_plans(context):
    context.plans_text = context.text


@given("the grants file")
def take_grants(context):
    context.grants_text = context.text


@when("both files are read")
def read(context):
    context.findings = []
    try:
        context.lists = read_lists(context.plans_text, context.grants_text)
    except DocumentError as error:
        context.findings = error.findings


@then("the findings name")
def compare(context):
    seen = [(f.file, str(f.line), f.key, f.code) for f in context.findings]
    assert seen == [tuple(row) for row in context.table], seen


@then("plan {name} has weight {weight:d} and {count:d} grants")
def compare_plan(context, name, weight, count):
    assert not context.findings, context.findings
    plans, grants = context.lists
    (plan,) = plans
    assert (plan.name, plan.weight, len(grants)) == (name, weight, count), plans
