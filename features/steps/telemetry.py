"""Steps for the measures of a daemon."""

from behave import given, then, when

from auburnproxy.telemetry import Measure, Telemetry
from auburnproxy.telemetry.exposition import exposition
from auburnproxy.telemetry.telemetry import OTHER, merge

TOLERANCE_S = 0.005


@given("100 first chunks of 100 ms at one daemon and 100 of 300 ms at another")
def two_daemons(context):
    context.daemons = [Telemetry(), Telemetry()]
    for telemetry, seconds in zip(context.daemons, (0.1, 0.3), strict=True):
        for _ in range(100):
            telemetry.observe(Measure.FIRST_CHUNK, "works", "quote", seconds)


@when("their reports are merged")
def merge_reports(context):
    context.merged = merge(daemon.report() for daemon in context.daemons)


@then(
    "the merged histogram counts 200 with its p50 at 100 ms and its p99 at 300 ms",
)
def merged_histogram(context):
    (series,) = context.merged["histograms"]
    assert series["count"] == 200
    assert abs(series["p50_s"] - 0.1) < TOLERANCE_S, series["p50_s"]
    assert abs(series["p99_s"] - 0.3) < TOLERANCE_S, series["p99_s"]


@given("a daemon that keeps 8 histograms")
def small_daemon(context):
    context.telemetry = Telemetry(max_series=8)


@when("100 plans are measured")
def measure_plans(context):
    for number in range(100):
        plan = f"plan-{number}"
        context.telemetry.observe(Measure.QUEUE_WAIT, plan, "quote", 0.1)


@then("it holds 8 own histograms and one for all others, which counts 92")
def bounded(context):
    histograms = context.telemetry.histogram_by_key
    shared = [key for key in histograms if key.plan == OTHER]
    assert len(histograms) == 9, len(histograms)
    assert histograms[shared[0]].total_count == 92


@when("the first daemon's measures are exposed")
def expose(context):
    context.exposed = exposition(context.daemons[0]).decode()


@then("the text holds {line}")
def holds_line(context, line):
    assert line in context.exposed.splitlines(), context.exposed
