"""Steps for limits divided between daemons."""

from behave import given, then, when

from features.machines.quotas import QuotasMachine
from features.machines.search import search


@given("the machine of quotas")
def take_machine(context):
    context.machine = QuotasMachine


@when("it is searched with {examples:d} examples of {steps:d} steps")
def search_machine(context, examples, steps):
    search(context.machine, examples=examples, steps=steps)


@then("no daemons together claimed more than there is")
def passed(context):
    """The search raises at the first step that breaks an invariant."""
