"""Steps for auburnctl, run against a daemon's operator API on loopback."""

import asyncio
import contextlib
import io
import sys
import tempfile
import threading
from pathlib import Path
from unittest import mock

from aiohttp import web
from behave import given, then, when

from auburnproxy.configuration import Configuration, Grant, Lists, Plan, digest_key
from auburnproxy.ctl.main import run
from auburnproxy.journal import Journal
from auburnproxy.operators import routes
from features import loopback
from features.fakes.log import FakeLog, LogPort
from features.machines.configuration import lists_of

KEY = "operators"
PLANS = f"plans: [{{name: works, key_digests: ['{'0' * 64}'], concurrent: 2}}]\n"
GRANTS = "grants: [{plan: works, model: quotes}]\n"
TIMEOUT_S = 10
REPLICA = {
    "name": "r",
    "model": "quotes",
    "generation": 3,
    "hosts": ["h1", "h2"],
    "serving": False,
    "reason": "loading",
}
DOMAIN = {
    "answered": True,
    "failure_domain": "a",
    "out": False,
    "in_force": 0,
    "daemons": [{"id": "a@1", "ready": True, "in_force": 0, "offset": 0}],
    "replicas": [REPLICA],
    "stranded_hosts": ["h3"],
    "out_hosts": [],
}
JOURNAL = {"offset": 0, "up": True, "ready": True, "diverged": False, "behind": 0}
STATUS = {"daemon": "a", "version": 0, "journal": JOURNAL, "failure_domains": [DOMAIN]}
PLACEMENT = {
    "failure_domain": "a",
    "group_downtime_s": 1.0,
    "stranded_host_s": 2.0,
    "live_host_s": 9.0,
}
REPORT = {
    "daemon": "a",
    "seconds": 60.0,
    "failure_domains": [PLACEMENT],
    "moves": [],
    "telemetry": {"histograms": [], "counts": []},
}


class FakeOverview:
    async def status(self):
        return STATUS

    async def report(self):
        return REPORT


class DaemonThread:
    """A daemon's operator API, served in a separate thread."""

    def __init__(self, address):
        self.address = address
        self.unconfirmed_domains = set()
        self.sent = []
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()
        self.call(self.start())

    def call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(TIMEOUT_S)

    async def start(self):
        self.port = LogPort(FakeLog())
        self.configuration = Configuration()
        self.journal = Journal(self.port, [self.configuration], author="a")
        self.task = asyncio.create_task(self.journal.run())
        application = web.Application(middlewares=[self.record_post])
        application.add_routes(
            routes(
                self.configuration,
                self.journal,
                key=KEY,
                in_force=self.in_force,
                required_domains=lambda: ("a", "b"),
                local=None,
                overview=FakeOverview(),
            )
        )
        self.runner = web.AppRunner(application, access_log=None)
        await self.runner.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(self.runner, host, int(port)).start()
        await self.journal.propose("none.start", {}, expects={}, timeout_s=TIMEOUT_S)

    @web.middleware
    async def record_post(self, request, handler):
        if request.method == "POST":
            self.sent.append(request.path)
        return await handler(request)

    def in_force(self):
        version = self.configuration.version
        return {d: 0 if d in self.unconfirmed_domains else version for d in ("a", "b")}

    async def change_lists(self):
        lists = {"lists": lists_of(7)}
        expects = {"configuration": 0}
        await self.journal.propose(
            "configuration.lists", lists, expects=expects, timeout_s=TIMEOUT_S
        )

    async def stop(self):
        await self.runner.cleanup()
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def close(self):
        self.call(self.stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(TIMEOUT_S)
        self.loop.close()


@given("a daemon in failure domain a and valid list files")
def start(context):
    (address,) = loopback.free_addresses(1)
    context.server = DaemonThread(address)
    context.add_cleanup(context.server.close)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    write(context, "plans.yaml", PLANS)
    write(context, "grants.yaml", GRANTS)
    write_settings(context, address, KEY)


def write(context, name, text):
    (context.folder / name).write_text(text)


def write_settings(context, address, key):
    text = f"daemons: ['{address}']\noperator_key: {key}\n"
    write(context, "auburnctl.yaml", text)


@given("the files are unchanged")
def keep_files(context):
    pass


@given("the grants name an unknown plan")
def name_unknown_plan(context):
    write(context, "grants.yaml", GRANTS.replace("works", "wroks"))


@given("another change was made first")
def change_lists(context):
    context.server.call(context.server.change_lists())


@given("domain b does not confirm changes")
def leave_unconfirmed(context):
    context.server.unconfirmed_domains.add("b")


@given("the log does not respond to reads")
def refuse_reads(context):
    context.server.port.refuse_reads = True


@given("the daemon is listed three times and its log does not respond to reads")
def list_three_times(context):
    address = context.server.address
    write_settings(context, f"{address}', '{address}', '{address}", KEY)
    context.server.port.refuse_reads = True


@then("the change was sent only once")
def check_sent_once(context):
    assert len(context.server.sent) == 1, context.server.sent


@given("no daemon is listening")
def stop_listening(context):
    (address,) = loopback.free_addresses(1)
    write_settings(context, address, KEY)


@given("the log is unreachable")
def disconnect_log(context):
    context.server.port.disconnected = True


@given("the operator key is wrong")
def use_wrong_key(context):
    write_settings(context, context.server.address, "another")


@when("auburnctl {command} is run")
def run_command(context, command):
    arguments = command.split()
    file_by_placeholder = {"PLANS": "plans.yaml", "GRANTS": "grants.yaml"}
    arguments = [
        str(context.folder / file_by_placeholder[a]) if a in file_by_placeholder else a
        for a in arguments
    ]
    if arguments[0] != "check":
        arguments += ["--settings", str(context.folder / "auburnctl.yaml")]
    out = io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
        context.code = run(arguments)
    context.printed = out.getvalue()


@then("it exits with {code:d} and prints {text}")
def check_exit(context, code, text):
    assert context.code == code, (context.code, context.printed)
    assert text in context.printed, context.printed


@when("auburnctl digest is run with a key")
def make_digest(context):
    out = io.StringIO()
    with (
        mock.patch.object(sys, "stdin", io.StringIO("a key\n")),
        contextlib.redirect_stdout(out),
    ):
        assert run(["digest"]) == 0
    context.digest = out.getvalue().strip()


@then("a plan with the printed digest is found by that key and by no other")
def find_plan(context):
    plan = Plan("p", (context.digest,), 1, 1, 1)
    configuration = Configuration()
    grants = (Grant("p", "model", "m"),)
    configuration.restore((1, Lists((plan,), grants), (), (), {}))
    assert configuration.plan_by_digest[digest_key("a key")] == plan
    assert digest_key("another key") not in configuration.plan_by_digest
