"""Steps for the headers that a deployment's codec reads."""

from behave import given, then, when
from multidict import CIMultiDict

from auburnproxy.gateway.named_limits import parse_limit
from auburnproxy.platform.headers import PROMPT_PREFIX, PlatformHeaderCodec


@given('a request with the prompt prefix "{prefix}"')
def set_prefix(context, prefix):
    context.headers = CIMultiDict({PROMPT_PREFIX: prefix})


@given('a request with the prompt prefix ""')
def set_empty_prefix(context):
    set_prefix(context, "")


@given('a second header with the prompt prefix "{prefix}"')
def add_prefix(context, prefix):
    context.headers.add(PROMPT_PREFIX, prefix)


@when("the platform adapter reads its headers")
def read_headers(context):
    context.info = PlatformHeaderCodec().read_request(context.headers)


@then('its shared prompt parts are "{parts}"')
def check_parts(context, parts):
    assert context.info.prompt_parts == tuple(parts.split()), context.info


@then('its shared prompt parts are ""')
def check_no_parts(context):
    check_parts(context, "")


@then("the prefix counts as malformed: {malformed}")
def check_malformed(context, malformed):
    assert (PROMPT_PREFIX in context.info.malformed) == (malformed == "yes")


@then('the limit "{text}" is read as {limit}')
def check_limit(context, text, limit):
    assert str(parse_limit(text)) == limit, parse_limit(text)
