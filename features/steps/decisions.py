"""Steps for the decision log, the metrics and the log commands of auburnctl."""

import asyncio
import json
import os
import tempfile
import time
from pathlib import Path

import msgspec
from behave import given, then, when

from auburnproxy.ctl.main import run as run_ctl
from auburnproxy.telemetry.decisions import DecisionLog
from auburnproxy.telemetry.exposition import exposition
from features.fakes.platform import KEY, MODEL, STREAM_PATH, running_site
from features.steps.routed import request_stream, run, script_first, send_request


@given("a decision log limited to {count:d} lines of a kind per second")
def limit_line_rate(context, count):
    context.read, write = os.pipe()
    context.now = 100.0
    context.decisions = DecisionLog(
        "h", descriptor=write, lines_per_s=count, clock=lambda: context.now
    )


def read_lines(context):
    return [json.loads(line) for line in os.read(context.read, 1 << 16).splitlines()]


@when("{count:d} refusals and 1 change of belief are logged within one second")
def log_refusals(context, count):
    for number in range(count):
        context.decisions.request("refused", f"q{number}", code="no_slot")
    context.decisions.belief("host_gone", upstream="u")
    context.lines = read_lines(context)


@then("{count:d} refusals and the change of belief are written")
def check_kinds(context, count):
    kinds = [line["kind"] for line in context.lines]
    assert kinds == ["refused"] * count + ["host_gone"], kinds


@then("the next refusal, one second later, reports {count:d} omitted lines")
def check_omitted(context, count):
    context.now += 1.0
    context.decisions.request("refused", "last", code="no_slot")
    (line,) = read_lines(context)
    assert line["omitted"] == count, line


@given("a decision log that writes to a pipe without an active reader")
def open_unread_pipe(context):
    context.read, write = os.pipe()
    os.set_blocking(write, False)
    context.decisions = DecisionLog("h", descriptor=write, lines_per_s=1 << 30)


@when("{count:d} lines are logged within 5 s")
def log_many(context, count):
    began = time.monotonic()
    for number in range(count):
        context.decisions.request("answered", f"q{number}", took_s=0.1)
    context.took_s = time.monotonic() - began


@when("the reader resumes while further lines are logged")
def resume_reading(context):
    data = b""
    for number in range(2000):
        data += os.read(context.read, 999)
        context.decisions.request("answered", f"r{number}", took_s=0.1)
    context.data = data


@then("every line that it reads is complete")
def check_complete_lines(context):
    assert context.took_s < 5, context.took_s
    *complete, _ = context.data.split(b"\n")
    assert len(complete) > 1000, len(complete)
    for line in complete:
        json.loads(line)


@then("the dropped lines are counted")
def check_dropped(context):
    assert context.decisions.dropped > 1000, context.decisions.dropped


@given("a gateway site that logs to a file")
def log_to_file(context):
    context.folder = tempfile.TemporaryDirectory()
    context.log = Path(context.folder.name) / "log"
    context.loop = asyncio.new_event_loop()
    asyncio.set_event_loop(context.loop)
    context.running = running_site(Path(context.folder.name))
    context.site = run(context, context.running.__aenter__())
    descriptor = os.open(context.log, os.O_WRONLY | os.O_CREAT)
    daemon = context.site.daemons[0]
    daemon.decisions._descriptor = descriptor

    def close():
        run(context, context.running.__aexit__(None, None, None))
        context.loop.close()
        os.close(descriptor)
        context.folder.cleanup()

    context.add_cleanup(close)


@when("it answers, refuses and resumes requests")
def send_requests(context):
    run(context, request_stream(context))
    script_first(context, "", "stall")
    run(context, request_stream(context))
    run(context, send_request(context, "POST", f"{STREAM_PATH}x", Api_Key="secret-key"))
    run(
        context, send_request(context, "POST", "/o/x", body=b"secret body", Model=MODEL)
    )


@then("no log line contains an API key or a body")
def check_no_secrets(context):
    text = context.log.read_text()
    for secret in (KEY, "secret-key", "secret body", "token 1"):
        assert secret not in text, secret


@then("each request has a line with its outcome and the state that decided it")
def check_request_lines(context):
    lines = [json.loads(line) for line in context.log.read_text().splitlines()]
    by_kind = {}
    for line in lines:
        by_kind.setdefault(line["kind"], []).append(line)
    assert len(by_kind["answered"]) == 3, by_kind["answered"]
    (refused,) = by_kind["refused"]
    assert (refused["code"], refused["ran"]) == ("unauthenticated", "no"), refused
    assert "configuration" in refused, refused
    (failed,) = by_kind["try_failed"]
    assert failed["code"] == "stalled" and failed["last_event"] == "3", failed
    assert {"load", "report_age_s", "remaining_s"} <= failed.keys(), failed


@then("its metrics contain these lines")
def check_metrics(context):

    async def expose():
        return exposition(context.site.daemons[0].telemetry).decode()

    context.metrics = run(context, expose())
    lines = context.metrics.splitlines()
    for wanted in (context.table.headings[0], *(row[0] for row in context.table.rows)):
        close = [line for line in lines if line.startswith(wanted.split("{")[0])]
        assert wanted in lines, (wanted, close)


@then("its metrics count the reads of the store by topic and outcome")
def check_store_calls(context):
    for topic, kind in (("op", "newest"), ("servers", "newest"), ("servers", "read")):
        labels = f'code="{kind}_answered",plan="",target="{topic}"'
        wanted = f"store_call_total{{{labels}}}"
        assert wanted in context.metrics, wanted


@then("its metrics contain the age of each topic's records")
def check_ages(context):
    for topic in ("op", "servers", "replicas"):
        wanted = f'records_age_seconds{{state="",target="{topic}"}}'
        assert wanted in context.metrics, wanted


LOGS = (
    """{"at": 0.1, "host": "a", "kind": "upstream_excluded", "upstream": "u1"}
{"at": 0.2, "host": "a", "kind": "dependency_lost", "dependency": "store/op"}
{"at": 0.5, "host": "a", "kind": "started", "version": "1"}
{"at": 0.6, "host": "a", "kind": "dependency_regained", "dependency": "daemon/c"}
{"at": 0.7, "host": "a", "kind": "dependency_lost", "dependency": "store/servers"}
{"at": 1.0, "host": "a", "kind": "configuration_in_force", "version": 4}
{"at": 2.0, "host": "a", "kind": "upstream_back", "upstream": "u1"}
{"at": 2.5, "host": "a", "kind": "upstream_back", "upstream": "u9"}
{"at": 3.0, "host": "a", "kind": "try_failed", "request": "q1", "upstream": "u1"}
no JSON
{"at": 3.1, "host": "a", "kind": "refused", "request": "q1", "code": "no_slot"}
""",
    """{"at": 4.0, "host": "b", "kind": "answered", "request": "q1", "status": 200}
{"at": 4.1, "host": "b", "kind": "answered", "request": "q2", "status": 200}
""",
)


LATE_LOGS = (
    """{"at": 1, "host": "a", "kind": "replica_recorded", \
"replica": "r7", "model": "large"}
{"at": 10.1, "host": "a", "kind": "streamed", "replica": "r7", "upstream": "u1", \
"first_s": 0.6, "objective_s": 0.5, "longest_pause_s": 0.4, "pause_objective_s": 0.3}
{"at": 10.2, "host": "a", "kind": "refused", "code": "no_slot", "omitted": 4}
{"at": 11.9, "host": "a", "kind": "streamed", "replica": "r7", "upstream": "u1", \
"first_s": 0.2, "objective_s": 0.5, "longest_pause_s": 0.3, "pause_objective_s": 0.3}
cut off {"at": 12.0, "host"
""",
    """{"at": 12.5, "host": "b", "kind": "streamed", \
"replica": "r7", "upstream": "u1", "first_s": 0.2, "objective_s": 0.5, \
"longest_pause_s": 0.4, "pause_objective_s": 0.3}
{"at": 12.6, "host": "b", "kind": "streamed", "replica": "r9"}
no JSON
""",
)


@given("logs of two daemons that both contain late streams")
def write_late_logs(context):
    write_logs(context, LATE_LOGS)


@given("logs of two daemons without any line of a daemon")
def write_no_logs(context):
    write_logs(context, ("", "no JSON"))


@when("auburnctl summary is run on both logs")
def summarize(context):
    import contextlib
    import io

    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        context.exit = run_ctl(["summary", *context.files, "--json"])
    context.summary = msgspec.json.decode(out.getvalue())


@then(
    "replica r7 of model large has 3 streams, 1 starting late and 1 with a long pause"
)
def check_replica_row(context):
    first, second = context.summary["replicas"]
    wanted = {"model": "large", "replica": "r7", "upstream": "u1", "streams": 3}
    wanted |= {"first_late": 1, "pause_late": 1, "several_tries": 0}
    assert first == wanted, first
    assert second["replica"] == "r9" and second["streams"] == 1, second


@then(
    "the 2 s span at 10 has 2 streams, 1 of them late, and 1 refusal for lack of a slot"
)
def check_span(context):
    wanted = {"at": 10, "streams": 2, "late": 1, "failures": {"refused no_slot": 1}}
    assert context.summary["spans"][0] == wanted, context.summary["spans"]


@then("{count:d} lines are counted as omitted and {unreadable:d} as unreadable")
def check_unwritten_lines(context, count, unreadable):
    found = context.summary["left_out"], context.summary["unreadable"]
    assert found == (count, unreadable), found


@given("logs of two daemons that both handled request q1")
def write_logs(context, texts=LOGS):
    context.folder = tempfile.TemporaryDirectory()
    context.add_cleanup(context.folder.cleanup)
    context.files = []
    for number, text in enumerate(texts):
        path = Path(context.folder.name) / f"{number}.log"
        path.write_text(text)
        context.files.append(str(path))


@when("auburnctl explain {request} is run on both logs")
def explain(context, request):
    import contextlib
    import io

    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        context.exit = run_ctl(["explain", request, *reversed(context.files)])
    context.out = out.getvalue()


@then("the decisions about it are printed in order, each with its relevant beliefs")
def check_history(context):
    assert context.exit == 0, context.exit
    decisions = [line for line in context.out.splitlines() if "believed" not in line]
    kinds = [line.split()[2] for line in decisions[:3]]
    assert kinds == ["try_failed", "refused", "answered"], context.out
    assert "believed for 1.000 s: upstream_back upstream=u1" in context.out
    assert "u9" not in context.out, context.out


@then("no belief about other daemons or from before the process started is printed")
def check_irrelevant_beliefs(context):
    assert "daemon/c" not in context.out, context.out
    assert "upstream_excluded" not in context.out, context.out
    assert "store/op" not in context.out, context.out
    assert "store/servers" in context.out, context.out


@then("the line that is not JSON is counted")
def check_unreadable(context):
    assert "1 lines could not be read" in context.out, context.out


@then("its exit code is {code:d}")
def check_exit_code(context, code):
    assert context.exit == code, context.exit
