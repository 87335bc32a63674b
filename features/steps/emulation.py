"""Steps for the simulation of days."""

import tempfile
from io import StringIO
from itertools import pairwise
from pathlib import Path

import async_solipsism
from behave import given, then, when
from rich.console import Console

from auburnproxy.errors import DocumentError
from emulator.callers import Outcome
from emulator.day import read_day
from emulator.experiment import Run, summary
from emulator.mechanisms import MECHANISMS, mechanism_disabled
from emulator.play import play
from emulator.replica import Job, PrefillSettings, Replica
from features.fakes.fleet import ENGINE

DAY = """\
installation: installation.yaml
seconds: 10
faults: []
"""
INSTALLATION = """\
failure-domains: 2
daemons: 2
engines: 16
fabric-domain: 8
slots: 9
step-ms: 8
step-per-request-ms: 0.2
prompt-tokens-per-s: 46000
tokens-per-event: 5
chunk-tokens: 2048
intake-ms: 20
lost-packets: 0
loads-per-s: 4
loads-at-once: 6
form-ms: 300
spread-factor: 2.5
models:
  - {name: large, hosts: 2, share: 1.0, pace: 1.0, load-s: 8, warm-s: 1}
plain-engines: 2
plain-slots: 4
plain-work-ms: 20
kinds:
  - name: draft
    model: large
    per-s: 10
    prompt-tokens: {mean: 600, spread: 0.5, most: 2000}
    events: {mean: 15, spread: 0.5, most: 40}
    objective-ms: 500
    pause-ms: 300
    limit-ms: 6000
    worth: 3
    late-worth: 1
  - {name: status, per-s: 4, objective-ms: 150, limit-ms: 1500, worth: 1,
     late-worth: 0.3}
"""


def write_day(context, text):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = Path(folder.name) / "small.yaml"
    path.write_text(text)
    (path.parent / "installation.yaml").write_text(INSTALLATION)
    context.path = path


def simulate(context, seed=1):
    return play(read_day(context.path), seed)


@given("a replica with one running stream")
def make_replica(context):
    context.loop = async_solipsism.EventLoop()
    context.add_cleanup(context.loop.close)
    context.factor = 1.0
    context.replica = Replica(ENGINE, PrefillSettings(), lambda: context.factor)
    context.times = []
    add_job(context, 10, 1_000_000, context.times)
    advance(context, 0.5)


def advance(context, seconds):
    context.loop.call_later(seconds, context.loop.stop)
    context.loop.run_forever()


def add_job(context, tokens, events, times):
    job = Job(
        tokens,
        events,
        urgency=5,
        on_event=lambda number: times.append(context.loop.time()),
    )
    context.loop.call_soon(context.replica.admit, job)


def pauses(context, since):
    times = [at for at in context.times if at >= since]
    return [round(after - before, 6) for before, after in pairwise(times)]


@when("a prompt of 40 tokens joins the batch, and later one of 6000")
def add_prompts(context):
    context.usual_s = pauses(context, 0)[-1]
    context.longest = []
    for tokens in (40, 6000):
        since = context.loop.time()
        add_job(context, tokens, 1, [])
        advance(context, 1.0)
        context.longest.append(max(pauses(context, since)) - context.usual_s)


@then("the first prompt lengthens the pauses of the stream by less than {seconds:g} s")
def check_short_prompt(context, seconds):
    assert context.longest[0] < seconds, context.longest


@then("the second prompt lengthens them by {least:g} to {most:g} s")
def check_long_prompt(context, least, most):
    assert least < context.longest[1] < most, context.longest


@when("{count:d} more streams join the batch")
def add_streams(context, count):
    context.usual_s = pauses(context, 0)[-1]
    for _ in range(count):
        add_job(context, 10, 1_000_000, [])
    advance(context, 1.0)


@then("the pauses of the stream are longer by {seconds:g} s")
def check_batch_pauses(context, seconds):
    context.last_s = pauses(context, 0)[-1]
    assert abs(context.last_s - context.usual_s - seconds) < 1e-4, context.last_s


@when("one of its hosts becomes {factor:g} times as slow")
def slow_host(context, factor):
    context.factor = factor
    advance(context, 1.0)


@then("the pauses of the stream are {factor:g} times as long")
def check_slow_pauses(context, factor):
    assert abs(pauses(context, 0)[-1] - factor * context.last_s) < 1e-4


@given("a small day without faults")
def make_day_without_faults(context):
    write_day(context, DAY)


@given("a small day with three engines lost after 3 s")
def make_day_with_losses(context):
    fault = "[{lose-engines: {at-s: 3, count: 3, dark: true}}]"
    write_day(context, DAY.replace("[]", fault))


@given(
    "a small day on which all engines name a limit of 1 a second for {for_s:d} s after"
    " {at_s:d} s"
)
def make_day_with_limits(context, for_s, at_s):
    values = f"at-s: {at_s}, for-s: {for_s}, count: 16, per-s: 1"
    write_day(context, DAY.replace("[]", f"[{{limit-engines: {{{values}}}}}]"))


@when("the day is played and the requests at engines with a limit are counted")
def play_and_count(context):
    fleets = []
    patch = lambda daemon: fleets.append(daemon._group._engine_commands)  # noqa: E731
    play(read_day(context.path), 1, [patch])
    context.times_by_engine = fleets[0].sent_at_by_id


@then("from {since:d} s on none of them got more than {most:d} in 4 s")
def check_limits(context, since, most):
    assert len(context.times_by_engine) > 4, context.times_by_engine.keys()
    first = min(min(times) for times in context.times_by_engine.values()) + since
    for engine, times in context.times_by_engine.items():
        late = [at for at in times if at >= first]
        counts = [sum(at <= t < at + 4 for t in late) for at in late]
        assert max(counts, default=0) <= most, (engine, counts)


@given("a small day with a deadly prompt part from 2 s on")
def make_day_with_deadly_part(context):
    fault = "[{deadly-part: {at-s: 2, for-s: 8, part: 0.1}}]"
    write_day(context, DAY.replace("[]", fault))


@then("at most {count:d} requests failed and the others were served or refused")
def check_few_failed(context, count):
    failed = [o for o in context.outcomes if o.state == "failed"]
    refused = [o for o in context.outcomes if o.state == "refused"]
    assert refused and len(failed) <= count, (len(failed), len(refused))


@given("a small day with a power failure of everything for 1 s after 3 s")
def make_day_with_power_failure(context):
    fault = "[{restart-everything: {at-s: 3, for-s: 1}}]"
    write_day(context, DAY.replace("[]", fault).replace("10", "14"))


@when("it is simulated twice with seed 1")
def simulate_twice(context):
    context.both = [sorted(simulate(context)) for _ in range(2)]
    context.outcomes = context.both[0]


@when("it is simulated")
def simulate_once(context):
    context.outcomes = simulate(context)


def states(outcomes):
    return {outcome.state for outcome in outcomes}


@then("all requests were served in time")
def check_all_in_time(context):
    assert len(context.outcomes) > 100, len(context.outcomes)
    assert states(context.outcomes) == {"in time"}, states(context.outcomes)


@then("both runs have the same outcome and times for each request")
def check_reproducible(context):
    assert context.both[0] == context.both[1]


@then("some requests were late and all were answered")
def check_all_answered(context):
    assert states(context.outcomes) == {"in time", "late"}, states(context.outcomes)


@then("requests of that time failed or were refused, and the last 4 s were served")
def check_power_failure(context):
    unserved = [o for o in context.outcomes if o.state in ("failed", "refused")]
    assert unserved and all(2 <= o.at_s <= 10 for o in unserved), unserved
    last = [o for o in context.outcomes if o.at_s >= 10]
    assert states(last) <= {"in time", "late"}, states(last)


@given("a small day file in which {text} is replaced by {other}")
def make_invalid_day(context, text, other):
    assert text in DAY
    write_day(context, DAY.replace(text, other))


@then("it is rejected at line {line:d} with code {code}")
def check_rejection(context, line, code):
    try:
        read_day(context.path)
    except DocumentError as error:
        found = [(finding.line, finding.code) for finding in error.findings]
        assert (line, code) in found, found
    else:
        raise AssertionError("the invalid day file was accepted")


@given(
    "outcomes of {count:d} seeds whose worth is {decrease:g} lower without a mechanism"
)
def make_outcomes(context, count, decrease):
    def outcomes(worth):
        return [
            Outcome("k", "fd0", at, "in time", worth, 1.0, 0.1, 0.1) for at in (0, 1)
        ]

    context.results = {
        Run("small", seed, name): outcomes(
            0.9 - 0.1 * seed - (decrease if name else 0.0)
        )
        for seed in range(count)
        for name in ("", "subsets")
    }


@then("the summary shows a change of {change} with a standard error of {error}")
def check_summary(context, change, error):
    console = Console(width=100, file=StringIO())
    console.print(summary(context.results, ["small"], ["subsets"]))
    line = next(x for x in console.file.getvalue().splitlines() if "subsets" in x)
    assert change in line and error in line, line


@then("a small day can be simulated without each mechanism, and all are restored")
def disable_each_mechanism(context):
    write_day(context, DAY.replace("seconds: 10", "seconds: 1"))
    before = [getattr(t, a) for m in MECHANISMS.values() for t, a, _ in m.patches]
    for name in MECHANISMS:
        with mechanism_disabled(name) as patch_daemon:
            outcomes = play(read_day(context.path), 1, [patch_daemon])
        assert states(outcomes) <= {"in time", "late"}, (name, states(outcomes))
    after = [getattr(t, a) for m in MECHANISMS.values() for t, a, _ in m.patches]
    assert before == after
