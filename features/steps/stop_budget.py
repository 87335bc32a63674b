"""Steps for the budget of a stop, and for what holds when it is overrun."""

import asyncio
import json
import os
import signal
import sys
import threading
import time

from behave import given, then, when

from auburnproxy.daemon.suspension_detector import SuspensionDetector
from auburnproxy.stop_budget import plan_stop
from auburnproxy.telemetry.decisions import DecisionLog
from features.fakes.stopping_daemon import BUSY_AFTER_S

NOTICED_AT = 1000.0
TIMEOUT_S = 10.0
PIPE_BYTES = 1 << 20


@given(
    "a grace of {grace:g} s and a process that last ran {silent:g} s before it noticed"
)
def set_grace(context, grace, silent):
    context.grace, context.silent = grace, silent


@when("its stop is planned, with {accept:g} s for the load balancer")
def plan(context, accept):
    context.budget = plan_stop(
        noticed_at=NOTICED_AT,
        last_ran_at=NOTICED_AT - context.silent,
        grace_s=context.grace,
        refuse_after_s=accept,
    )


@then(
    "it refuses {refuse:g} s, cuts off {cut:g} s and exits before {grace:g} s "
    "after the signal"
)
def check_times(context, refuse, cut, grace):
    budget = context.budget
    assert budget.signalled_at == NOTICED_AT - context.silent, budget
    assert abs(budget.refuse_at - budget.signalled_at - refuse) < 1e-6, budget
    assert abs(budget.cut_at - budget.signalled_at - cut) < 1e-6, budget
    assert budget.exit_at < budget.signalled_at + grace, budget


@then("its phases follow each other")
def check_order(context):
    assert list(context.budget) == sorted(context.budget), context.budget


@then("nothing is waited for")
def check_past(context):
    assert max(context.budget) <= NOTICED_AT, context.budget


@given("a detector that is told every 0.05 s that the process runs")
def use_detector(context):
    context.ages_by_pause, context.since_resumed_by_pause = {}, {}


@when("the process is suspended for 2 s")
def suspend(context):
    async def run():
        detector = SuspensionDetector()
        loop = asyncio.get_running_loop()
        for _ in range(3):
            await asyncio.sleep(0.05)
            detector.tick()
        time.sleep(2.0)  # noqa: ASYNC251
        resumed_at = loop.time()
        for number in range(22):
            pause_s = round(0.05 * number, 2)
            now = loop.time()
            context.ages_by_pause[pause_s] = now - detector.last_ran_at()
            context.since_resumed_by_pause[pause_s] = now - resumed_at
            detector.tick()
            await asyncio.sleep(resumed_at + pause_s + 0.05 - loop.time())

    asyncio.run(run())


@then("a signal noticed at once, or 0.05 s later, may have been sent 2 s before")
def check_suspended(context):
    assert context.ages_by_pause[0.0] >= 2.0, context.ages_by_pause
    assert context.ages_by_pause[0.05] >= 2.0, context.ages_by_pause


@then("a signal noticed 0.2 s later, or 1 s later, was sent after the suspension")
def check_recovered(context):
    for pause_s in (0.2, 1.0):
        age_s = context.ages_by_pause[pause_s]
        assert age_s <= context.since_resumed_by_pause[pause_s] + 0.01, (pause_s, age_s)


@given("a process whose stop blocks the event loop, with a grace of {grace:g} s")
def block_stop(context, grace):
    context.grace, context.mode = grace, "block"


@given("a process whose task fails while it runs, with a grace of {grace:g} s")
def fail_task(context, grace):
    context.grace, context.mode = grace, "fail"


MODE_BY_HANG = {
    "holds its interpreter when it stops": "hold",
    "is busy on its event loop at the signal": "busy",
    "does not end its start": "start",
    "leaves a thread and a task": "linger",
}


@given("a process that {hangs}, with a grace of {grace:g} s")
def hang(context, hangs, grace):
    context.grace, context.mode = grace, MODE_BY_HANG[hangs]


@when("it gets SIGTERM")
@when("its task fails")
def run_process(context):
    async def run():
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "features.fakes.stopping_daemon",
            context.mode,
            str(context.grace),
            stdout=asyncio.subprocess.PIPE,
        )
        started = await process.stdout.readline()
        assert json.loads(started)["kind"] == "started", started
        if context.mode == "busy":
            await asyncio.sleep(BUSY_AFTER_S + 0.2)
        began = time.monotonic()
        if context.mode != "fail":
            process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                rest, _ = await process.communicate()
        except TimeoutError:
            process.kill()
            raise
        context.took_s = time.monotonic() - began
        context.code = process.returncode
        context.lines = [json.loads(line) for line in rest.splitlines()]

    asyncio.run(run())


@then("it exits with code {code:d} within the grace")
def check_exit(context, code):
    assert context.code == code, (context.code, context.lines)
    assert context.took_s < context.grace, context.took_s


@then("it exits by itself within the grace")
def check_own_exit(context):
    assert context.code >= 0, (context.code, context.lines)
    assert context.took_s < context.grace, context.took_s


@then("it exits with code {code:d} within {seconds:g} s")
def check_prompt_exit(context, code, seconds):
    assert context.code == code, (context.code, context.lines)
    assert context.took_s < seconds, context.took_s


@then("it names the call in which the process hangs")
def check_where(context):
    assert any(call.endswith(" stop") for call in context.lines[-1]["where"]), (
        context.lines
    )


@then("its last line names what did not stop")
def check_overrun(context):
    last = context.lines[-1]
    assert (last["kind"], last["what"]) == ("stop_overrun", "process"), context.lines


@then("its last line says that it stopped")
def check_stopped(context):
    assert context.lines[-1]["kind"] == "stopped", context.lines


@given("a decision log limited to 1 line of a kind, whose reader is busy")
def open_full_pipe(context):
    context.read, write = os.pipe()
    os.set_blocking(write, False)
    context.decisions = DecisionLog("h", descriptor=write, lines_per_s=1)
    padding = "x" * 1000
    while not context.decisions.dropped:
        context.decisions._send(f'{{"kind":"{padding}"}}\n'.encode())


@when("{count:d} lines are logged before a stop and during it, and the reader resumes")
def log_final_lines(context, count):
    for number in range(count):
        context.decisions.request("answered", f"q{number}")
    context.decisions.begin_final_lines()
    for number in range(count):
        context.decisions.request("cut", f"q{number}")
    data = []

    def read():
        time.sleep(0.1)
        while b'"q%d"' % (count - 1) not in b"".join(data[-2:]):
            data.append(os.read(context.read, PIPE_BYTES))

    reader = threading.Thread(target=read)
    reader.start()
    context.decisions.flush(TIMEOUT_S)
    reader.join(TIMEOUT_S)
    context.lines = b"".join(data).splitlines()


@then("it reads all {count:d} final lines, each complete")
def check_final_lines(context, count):
    lines = [json.loads(line) for line in context.lines]
    final = [line["request"] for line in lines if line["kind"] == "cut"]
    assert final == [f"q{number}" for number in range(count)], final
