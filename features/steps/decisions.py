"""Steps for the structured logs."""

import asyncio
import json
import os
import tempfile
import time
from pathlib import Path

import msgspec
from behave import given, then, when

from auburnproxy.ctl.main import run as run_ctl
from auburnproxy.telemetry.decisions import Decisions
from auburnproxy.telemetry.exposition import exposition
from features.fakes.platform import KEY, MODEL, STREAM_PATH, running_site
from features.steps.routed import request_stream, run, script_first, send_request


@given("decisions of which {count:d} lines of a kind are written in a second")
def bound_lines(context, count):
    context.read, write = os.pipe()
    context.now = 100.0
    context.decisions = Decisions(
        "h", descriptor=write, lines_per_s=count, clock=lambda: context.now
    )


def written(context):
    return [json.loads(line) for line in os.read(context.read, 1 << 16).splitlines()]


@when("{count:d} requests are refused and 1 belief changes in one second")
def flood(context, count):
    for number in range(count):
        context.decisions.request("refused", f"q{number}", code="no_slot")
    context.decisions.belief("host_gone", upstream="u")
    context.lines = written(context)


@then("{count:d} refusals and the change of belief are written")
def compare_flood(context, count):
    kinds = [line["kind"] for line in context.lines]
    assert kinds == ["refused"] * count + ["host_gone"], kinds


@then("the next refusal, a second later, tells that {count:d} were left out")
def compare_omitted(context, count):
    context.now += 1.0
    context.decisions.request("refused", "last", code="no_slot")
    (line,) = written(context)
    assert line["omitted"] == count, line


@given("decisions to a pipe that nobody reads")
def fill_pipe(context):
    context.read, write = os.pipe()
    os.set_blocking(write, False)
    context.decisions = Decisions("h", descriptor=write, lines_per_s=1 << 30)


@when("{count:d} lines are written in little time")
def write_many(context, count):
    began = time.monotonic()
    for number in range(count):
        context.decisions.request("answered", f"q{number}", took_s=0.1)
    context.took_s = time.monotonic() - began


@when("the reader reads again while further lines are written")
def read_again(context):
    data = b""
    for number in range(2000):
        data += os.read(context.read, 999)
        context.decisions.request("answered", f"r{number}", took_s=0.1)
    context.data = data


@then("every line that it reads is whole")
def compare_whole(context):
    assert context.took_s < 5, context.took_s
    *whole, _ = context.data.split(b"\n")
    assert len(whole) > 1000, len(whole)
    for line in whole:
        json.loads(line)


@then("the lines that were dropped are counted")
def compare_dropped(context):
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


@when("requests are answered, refused and resumed there")
def ask_several(context):
    run(context, request_stream(context))
    script_first(context, "", "stall")
    run(context, request_stream(context))
    run(context, send_request(context, "POST", f"{STREAM_PATH}x", Api_Key="secret-key"))
    run(
        context, send_request(context, "POST", "/o/x", body=b"secret body", Model=MODEL)
    )


@then("no line holds a key or a body")
def compare_secrets(context):
    text = context.log.read_text()
    for secret in (KEY, "secret-key", "secret body", "token 1"):
        assert secret not in text, secret


@then("each request has a line with its outcome and what decided it")
def compare_lines(context):
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


@then("its metrics hold these lines")
def compare_metrics(context):

    async def expose():
        return exposition(context.site.daemons[0].telemetry).decode()

    context.metrics = run(context, expose())
    lines = context.metrics.splitlines()
    for wanted in (context.table.headings[0], *(row[0] for row in context.table.rows)):
        close = [line for line in lines if line.startswith(wanted.split("{")[0])]
        assert wanted in lines, (wanted, close)


@then("its metrics count readings of the store by topic and outcome")
def compare_store_calls(context):
    for topic, kind in (("op", "newest"), ("servers", "newest"), ("servers", "read")):
        labels = f'code="{kind}_answered",plan="",target="{topic}"'
        wanted = f"store_call_total{{{labels}}}"
        assert wanted in context.metrics, wanted


@then("its metrics tell the age of each topic's records")
def compare_ages(context):
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


@given("logs of two daemons that both have late streams")
def write_late_logs(context):
    write_logs(context, LATE_LOGS)


@given("logs of two daemons that both have no line")
def write_no_logs(context):
    write_logs(context, ("", "no JSON"))


@when("an operator runs auburnctl summary on both")
def summarize(context):
    import contextlib
    import io

    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        context.exit = run_ctl(["summary", *context.files, "--json"])
    context.summary = msgspec.json.decode(out.getvalue())


@then("replica r7 of model large has 3 streams, 1 begun late and 1 with a long pause")
def compare_replica_row(context):
    first, second = context.summary["replicas"]
    wanted = {"model": "large", "replica": "r7", "upstream": "u1", "streams": 3}
    wanted |= {"first_late": 1, "pause_late": 1, "several_tries": 0}
    assert first == wanted, first
    assert second["replica"] == "r9" and second["streams"] == 1, second


@then("the 2 s from 10 have 2 streams, 1 late, and 1 refusal for want of a slot")
def compare_span(context):
    wanted = {"at": 10, "streams": 2, "late": 1, "failures": {"refused no_slot": 1}}
    assert context.summary["spans"][0] == wanted, context.summary["spans"]


@then("{count:d} lines were left out and {unreadable:d} could not be read")
def compare_left_out(context, count, unreadable):
    found = context.summary["left_out"], context.summary["unreadable"]
    assert found == (count, unreadable), found


@given("logs of two daemons that both had request q1")
def write_logs(context, texts=LOGS):
    context.folder = tempfile.TemporaryDirectory()
    context.add_cleanup(context.folder.cleanup)
    context.files = []
    for number, text in enumerate(texts):
        path = Path(context.folder.name) / f"{number}.log"
        path.write_text(text)
        context.files.append(str(path))


@when("an operator runs auburnctl explain {request} on both")
def explain(context, request):
    import contextlib
    import io

    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        context.exit = run_ctl(["explain", request, *reversed(context.files)])
    context.out = out.getvalue()


@then("the decisions on it are told in order, each with what was believed")
def compare_story(context):
    assert context.exit == 0, context.exit
    told = [line for line in context.out.splitlines() if "believed" not in line]
    kinds = [line.split()[2] for line in told[:3]]
    assert kinds == ["try_failed", "refused", "answered"], context.out
    assert "believed for 1.000 s: upstream_back upstream=u1" in context.out
    assert "u9" not in context.out, context.out


@then("nothing is told of other daemons, nor from before the process started")
def compare_relevant(context):
    assert "daemon/c" not in context.out, context.out
    assert "upstream_excluded" not in context.out, context.out
    assert "store/op" not in context.out, context.out
    assert "store/servers" in context.out, context.out


@then("the line that is no JSON is counted")
def compare_unreadable(context):
    assert "1 lines could not be read" in context.out, context.out


@then("it ends with exit code {code:d}")
def compare_exit(context, code):
    assert context.exit == code, context.exit
