"""Steps for emulated days."""

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


def played(context, seed=1):
    return play(read_day(context.path), seed)


@given("a replica that has a stream")
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


@when("a prompt of 40 tokens comes beside it, and later one of 6000")
def add_prompts(context):
    context.usual_s = pauses(context, 0)[-1]
    context.longest = []
    for tokens in (40, 6000):
        since = context.loop.time()
        add_job(context, tokens, 1, [])
        advance(context, 1.0)
        context.longest.append(max(pauses(context, since)) - context.usual_s)


@then("the first one lengthens its pauses by less than {seconds:g} s")
def compare_short(context, seconds):
    assert context.longest[0] < seconds, context.longest


@then("the second one by {least:g} to {most:g} s")
def compare_long(context, least, most):
    assert least < context.longest[1] < most, context.longest


@when("{count:d} more streams have begun beside it")
def add_streams(context, count):
    context.usual_s = pauses(context, 0)[-1]
    for _ in range(count):
        add_job(context, 10, 1_000_000, [])
    advance(context, 1.0)


@then("its pauses are longer by {seconds:g} s")
def compare_batch(context, seconds):
    context.last_s = pauses(context, 0)[-1]
    assert abs(context.last_s - context.usual_s - seconds) < 1e-4, context.last_s


@when("one of its hosts turns {factor:g} times as slow")
def slow_down(context, factor):
    context.factor = factor
    advance(context, 1.0)


@then("its pauses are {factor:g} times as long")
def compare_slow(context, factor):
    assert abs(pauses(context, 0)[-1] - factor * context.last_s) < 1e-4


@given("a small day on which nothing goes wrong")
def make_quiet(context):
    write_day(context, DAY)


@given("a small day on which three engines are lost after 3 s")
def make_loss(context):
    fault = "[{lose-engines: {at-s: 3, count: 3, dark: true}}]"
    write_day(context, DAY.replace("[]", fault))


@given("a small day on which everything loses power for 1 s after 3 s")
def make_restart(context):
    fault = "[{restart-everything: {at-s: 3, for-s: 1}}]"
    write_day(context, DAY.replace("[]", fault).replace("10", "14"))


@when("it is played twice with seed 1")
def play_twice(context):
    context.both = [sorted(played(context)) for _ in range(2)]
    context.outcomes = context.both[0]


@when("it is played")
def play_once(context):
    context.outcomes = played(context)


def states(outcomes):
    return {outcome.state for outcome in outcomes}


@then("everybody was served in time")
def compare_served(context):
    assert len(context.outcomes) > 100, len(context.outcomes)
    assert states(context.outcomes) == {"in time"}, states(context.outcomes)


@then("both times each request ended the same way at the same time")
def compare_both(context):
    assert context.both[0] == context.both[1]


@then("some were late and nobody was left without an answer")
def compare_late(context):
    assert states(context.outcomes) == {"in time", "late"}, states(context.outcomes)


@then("requests of that time failed or were refused, and the last 4 s are served")
def compare_restart(context):
    unserved = [o for o in context.outcomes if o.state in ("failed", "refused")]
    assert unserved and all(2 <= o.at_s <= 10 for o in unserved), unserved
    last = [o for o in context.outcomes if o.at_s >= 10]
    assert states(last) <= {"in time", "late"}, states(last)


@given("a small day whose {text} is replaced by {other}")
def spoil(context, text, other):
    assert text in DAY
    write_day(context, DAY.replace(text, other))


@then("it is refused at line {line:d} for {reason}")
def compare_refusal(context, line, reason):
    try:
        read_day(context.path)
    except DocumentError as error:
        found = [(finding.line, finding.code) for finding in error.findings]
        assert (line, reason) in found, found
    else:
        raise AssertionError("it was read")


@given("outcomes of {count:d} seeds that are worth {less:g} less without a mechanism")
def make_outcomes(context, count, less):
    def outcomes(worth):
        return [
            Outcome("k", "fd0", at, "in time", worth, 1.0, 0.1, 0.1) for at in (0, 1)
        ]

    context.results = {
        Run("small", seed, name): outcomes(0.9 - 0.1 * seed - (less if name else 0.0))
        for seed in range(count)
        for name in ("", "subsets")
    }


@then("the summary tells a change of {change} with a standard error of {error}")
def compare_summary(context, change, error):
    console = Console(width=100, file=StringIO())
    console.print(summary(context.results, ["small"], ["subsets"]))
    line = next(x for x in console.file.getvalue().splitlines() if "subsets" in x)
    assert change in line and error in line, line


@then("a small day can be played without each mechanism, and with all again")
def take_out_each(context):
    write_day(context, DAY.replace("seconds: 10", "seconds: 1"))
    before = [getattr(t, a) for m in MECHANISMS.values() for t, a, _ in m.patches]
    for name in MECHANISMS:
        with mechanism_disabled(name) as patch_daemon:
            outcomes = play(read_day(context.path), 1, [patch_daemon])
        assert states(outcomes) <= {"in time", "late"}, (name, states(outcomes))
    after = [getattr(t, a) for m in MECHANISMS.values() for t, a, _ in m.patches]
    assert before == after
