"""Steps for daemons whose hosts the platform has removed."""

import asyncio

from behave import given, then, when

from auburnproxy.daemon._lost_daemons import LostDaemons
from auburnproxy.external import HostEntry, HostKind, Presence
from features.machines.runner import run_virtual

NAME = "fd1-a"
ENTRY = HostEntry(NAME, "127.0.0.1:1", "fd1", "", HostKind.DAEMON, Presence.LIVE)


@given("a daemon that was {listed} and {linked}")
def set_daemon(context, listed, linked):
    context.listed = {NAME: ENTRY} if listed == "listed" else {}
    context.linked = {NAME} if linked == "linked" else set()


@when("its host is off the list for {seconds:d} s")
def pass_time(context, seconds):
    async def watch():
        lost = LostDaemons(lambda: context.listed, lambda: context.linked)
        lost.names()
        context.listed = {}
        for _ in range(seconds + 1):
            context.lost = lost.names()
            await asyncio.sleep(1)

    run_virtual(watch())


@then("that daemon is {verdict}")
def compare_lost(context, verdict):
    assert (NAME in context.lost) == (verdict == "lost"), context.lost
