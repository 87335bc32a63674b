"""Steps for bytes that engines send in place of the events of a stream."""

import asyncio
import gc
import sys

from behave import then, when

from auburnproxy.clock import loop_time
from auburnproxy.gateway.events import EventReader
from features.fakes.endless import FLOOD_BY_NAME
from features.fakes.scripted_sender import (
    Answer,
    ScriptedSender,
    data_lines,
    event,
    events,
    play,
    sound_answer,
    tokens,
)
from features.machines.runner import run_virtual

FLOOD_BYTES = 1_000_000
PIECE_BYTES = 4_096
BLOCK_BY_SHAPE = FLOOD_BY_NAME | {
    "events without an id": b"data: x\n\n",
    "empty data fields": b"data:\n\n",
}
RESTS = {
    "a line end": b"\n",
    "blank lines": b"\r\n\n\n",
    "a comment block": b": the end\n\n",
    "half an event": b"id: 7\n",
}


class TurnCalls:
    """Counts the function calls in each turn of a loop, at any speed of the machine."""

    def __init__(self):
        self.most = 0
        self._calls = 0

    def _count(self, frame, kind, argument):
        self._calls += kind in ("call", "c_call")

    async def run(self):
        # Finalizers of other tests' objects would run in any turn.
        gc.collect()
        gc.disable()
        sys.setprofile(self._count)
        try:
            while True:
                self._calls = 0
                await asyncio.sleep(0)
                self.most = max(self.most, self._calls)
        finally:
            sys.setprofile(None)
            gc.enable()


def flood(shape, size):
    """Return bytes of a shape, as many as a read of that size brings."""
    if shape == "numbered events":
        blocks, number = bytearray(), 0
        while len(blocks) < size:
            number += 1
            blocks += event(number)
        return bytes(blocks)
    block = BLOCK_BY_SHAPE[shape]
    return block * (size // len(block))


@when("one read of a stream brings {small:d} kB and then {large:d} kB of {shape}")
def count_calls(context, small, large, shape):
    async def most_calls(size):
        read = flood(shape, size)
        sender = ScriptedSender(
            lambda tried, after: Answer([read]) if tried == 1 else sound_answer("")
        )
        calls = TurnCalls()
        counting = asyncio.create_task(calls.run())
        await asyncio.sleep(0)
        await sender.request()
        counting.cancel()
        return calls.most

    # The first one imports modules that the others then have.
    _, *context.calls = [asyncio.run(most_calls(kb * 1000)) for kb in (1, small, large)]


@then(
    "the larger read takes at most {times:g} times the calls of the other in any turn"
)
def check_calls(context, times):
    small, large = context.calls
    assert large <= times * small, context.calls


@when("an engine sends {count:d} events and then {shape} without end")
def send_flood(context, count, shape):
    pieces, sent = events(1, count), 0
    context.flood_start = len(pieces)
    block = flood(shape, PIECE_BYTES)
    while sent < FLOOD_BYTES:
        pieces.append(block)
        sent += len(block)
    context.pieces = pieces
    context.taken = 0

    class Counted(list):
        def __iter__(self):
            for piece in list.__iter__(self):
                context.taken += 1
                yield piece

    context.sender = play(Answer(Counted(pieces)))


@then("the caller has received all {count:d} events once, in order")
def check_all(context, count):
    written = [line[:9] for line in data_lines(context.sender.written)]
    assert written == tokens(*range(1, count + 1)), written[:20]
    assert context.sender.whole


@then("the try was given up after at most {most:d} kB of them")
def check_taken(context, most):
    taken = context.pieces[context.flood_start : context.taken]
    assert sum(map(len, taken)) <= most * 1000, sum(map(len, taken))


def failed_tries(context):
    lines = context.sender.decisions.lines
    return [fields for _, kind, fields in lines if kind == "try_failed"]


@then('the log has the reason "{reason}"')
def check_reason(context, reason):
    assert reason in str(failed_tries(context)[0]["reason"]), failed_tries(context)


@when("an engine sends {count:d} events and then {shape} every {interval_s:g} s")
def send_trickle(context, count, shape, interval_s):
    async def stream():
        sender = ScriptedSender(
            lambda tried, after: (
                Answer(
                    [*events(1, count), *[BLOCK_BY_SHAPE[shape]] * 200],
                    interval_s=interval_s,
                )
                if tried == 1
                else sound_answer(after)
            )
        )
        times = []
        receive = sender.writes.append

        def note(block):
            times.append(loop_time())
            receive(block)

        sender.receive = note
        await sender.request()
        return sender, times

    context.sender, context.times = run_virtual(stream())


@then("no event came more than {most_s:g} s after the one before")
def check_gaps(context, most_s):
    gaps = [b - a for a, b in zip(context.times, context.times[1:], strict=False)]
    assert max(gaps) <= most_s, gaps


def read_events(pieces):
    reader, found = EventReader(), []
    for piece in pieces:
        for batch in reader.feed(piece):
            found += batch
    return found


@then("{text} are {count:d} events with the ids {ids}, however they are split")
def check_events(context, text, count, ids):
    data = text.encode().decode("unicode_escape").encode("latin-1")
    wanted = [] if not count else ["" if ids == "-" else i for i in ids.split(",")]
    splits = [[data[:at], data[at:]] for at in range(len(data))]
    splits.append([bytes([byte]) for byte in data])
    for pieces in splits:
        found = read_events(pieces)
        assert [each.id for each in found] == wanted, (pieces, found)
        assert data.startswith(b"".join(each.data for each in found)), (pieces, found)


@when("an engine sends {count:d} events and then {rest}, and ends its answer")
def send_rest(context, count, rest):
    context.sender = play(Answer([*events(1, count), RESTS[rest]]))


@then("its stream counts as {outcome}")
def check_outcome(context, outcome):
    assert len(failed_tries(context)) == (outcome != "complete"), failed_tries(context)
