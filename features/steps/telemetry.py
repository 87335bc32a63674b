"""Steps for the metrics of a daemon."""

from behave import given, then, when

from auburnproxy.telemetry import Measure, Telemetry
from auburnproxy.telemetry.exposition import exposition
from auburnproxy.telemetry.telemetry import OTHER, merge

TOLERANCE_S = 0.005


@given("one daemon with 100 first-chunk times of 100 ms and another with 100 of 300 ms")
def record_at_two_daemons(context):
    context.daemons = [Telemetry(), Telemetry()]
    for telemetry, seconds in zip(context.daemons, (0.1, 0.3), strict=True):
        for _ in range(100):
            telemetry.observe(Measure.FIRST_CHUNK, "works", "quote", seconds)


@when("their reports are merged")
def merge_reports(context):
    context.merged = merge(daemon.report() for daemon in context.daemons)


@then(
    "the merged histogram has 200 values with a p50 of 100 ms and a p99 of 300 ms",
)
def check_merged_histogram(context):
    (series,) = context.merged["histograms"]
    assert series["count"] == 200
    assert abs(series["p50_s"] - 0.1) < TOLERANCE_S, series["p50_s"]
    assert abs(series["p99_s"] - 0.3) < TOLERANCE_S, series["p99_s"]


@given("a daemon limited to 8 histograms")
def limit_histograms(context):
    context.telemetry = Telemetry(max_series=8)


@when("a duration is recorded for each of 100 plans")
def record_plans(context):
    for number in range(100):
        plan = f"plan-{number}"
        context.telemetry.observe(Measure.QUEUE_WAIT, plan, "quote", 0.1)


@then("it has 8 histograms and a shared one for all other plans with 92 values")
def check_histogram_limit(context):
    histograms = context.telemetry.histogram_by_key
    shared = [key for key in histograms if key.plan == OTHER]
    assert len(histograms) == 9, len(histograms)
    assert histograms[shared[0]].total_count == 92


@when("the first daemon's metrics are exposed")
def expose_metrics(context):
    context.exposed = exposition(context.daemons[0]).decode()


@then("the exposition contains the line {line}")
def check_line(context, line):
    assert line in context.exposed.splitlines(), context.exposed
