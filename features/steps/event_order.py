"""Steps for events that reach their caller once and in order."""

from behave import given, then, when
from hypothesis import given as draw
from hypothesis import settings
from hypothesis import strategies as st

from features.fakes.pausing_sender import ROUTE
from features.fakes.scripted_sender import (
    Answer,
    ScriptedSender,
    data_lines,
    event,
    events,
    play,
    tokens,
)
from features.machines.runner import run_virtual

FLOOD_BYTES = 1_000_000
LONG_EVENT = b"id: 9\ndata: " + b"x" * 1_100_000 + b"\n\n"
FAULTS = {
    "one that comes twice": [b"id: 3\ndata: t3\n\n"],
    "one that goes back": [b"id: 1\ndata: t1\n\n"],
    "one that is too long": [LONG_EVENT],
    "line ends without end": [b"\n" * FLOOD_BYTES],
    "half of one, and breaks off": [b"id: 4\nda"],
}
UNNUMBERED = {
    "an event without an id": b"data: t0\n\n",
    "an event with an empty id": b"id:\ndata: t0\n\n",
    "an event with a control byte": b"id: \x07\ndata: t0\n\n",
    "an event with a long id": b"id: " + b"a" * 300 + b"\ndata: t0\n\n",
}
IDS = {
    "of a superscript": "²",
    "of 200 digits": "9" * 200,
    "of 5000 digits": "9" * 5000,
    "of another alphabet": "٣",
}


@given("a route whose streams may not be resumed")
def set_route(context):
    context.route = ROUTE._replace(resumable=False)


@when("an engine sends {count:d} events and {fault} in one read")
def send_fault(context, count, fault):
    piece = b"".join([*events(1, count), *FAULTS[fault]])
    route = getattr(context, "route", ROUTE)
    context.sender = play(Answer([piece], breaks=True), route=route)


@then("the next try went on after event {number:d}")
def check_resumed(context, number):
    assert context.sender.resumed_after[1:] == [str(number)], (
        context.sender.resumed_after
    )


@then("the caller has received the first {count:d} events, and its response is aborted")
def check_prefix(context, count):
    written = [line[:9] for line in data_lines(context.sender.written)]
    assert written == tokens(*range(1, count + 1)), written
    assert not context.sender.whole
    assert len(context.sender.resumed_after) == 1


@when("an engine sends {count:d} events and {unnumbered}, and breaks off")
def send_unnumbered(context, count, unnumbered):
    pieces = [*events(1, count), UNNUMBERED[unnumbered]]
    context.sender = play(Answer(pieces, breaks=True))


@then("the caller has received these events once, and its response is aborted")
def check_not_resumed(context):
    written = [line[:9] for line in data_lines(context.sender.written)]
    assert written == tokens(1, 2, 3, 0), written
    assert not context.sender.whole
    assert len(context.sender.resumed_after) == 1


@then('the log has the obstacle "{obstacle}"')
def check_obstacle(context, obstacle):
    lines = context.sender.decisions.lines
    found = [f["obstacle"] for _, kind, f in lines if kind == "stream_aborted"]
    assert found == [obstacle], found


@when(
    "an engine sends {count:d} events, an event without an id and event {number:d},"
    " and breaks off"
)
def send_numbered_again(context, count, number):
    pieces = [*events(1, count), b"data: t0\n\n", event(number)]
    context.sender = play(Answer(pieces, breaks=True))


@when("an engine sends an event with the id {name} between others")
def send_odd_id(context, name):
    odd = f"id: {IDS[name]}\ndata: t2\n\n".encode()
    context.sender = play(Answer([event(1), odd, b"id: last\ndata: t3\n\n"]))


@then("the caller has received them once, in order")
def check_odd_id(context):
    assert data_lines(context.sender.written) == tokens(1, 2, 3)
    assert context.sender.whole


LINE_ENDS = st.sampled_from((b"\n", b"\r\n", b"\r"))
NOISE = st.sampled_from(
    (b"", b"\n", b"\r\n\r\n", b": note\n\n", b":\r\r", b"retry: 5\n\n")
)


@st.composite
def true_events(draw):
    """Return the events of a stream, as (id, bytes)."""
    found, numbered = [], draw(st.booleans())
    for number in range(1, draw(st.integers(1, 8)) + 1):
        name = f"{number * 3}" if numbered else f"x{number}"
        has_id = draw(st.integers(0, 5)) > 0
        end = draw(LINE_ENDS)
        fields = [b"data: t%d" % number]
        if has_id:
            fields.insert(draw(st.integers(0, 1)), b"id: " + name.encode())
        lines = end.join([*fields, b"", b""])
        found.append((name if has_id else "", draw(NOISE) + lines))
    return found


@st.composite
def faulty_answer(draw, remaining):
    """Return what an engine sends of the remaining events in a try that may fail."""
    blocks = [block for _, block in remaining]
    fault = draw(st.sampled_from(("none", "cut", "repeat", "flood", "garbage")))
    at = draw(st.integers(0, len(blocks)))
    if fault == "repeat" and at and remaining[at - 1][0]:
        blocks.insert(at, blocks[at - 1])
    elif fault == "flood":
        blocks[at:] = [b"\n" * 70_000]
    elif fault == "garbage":
        blocks[at:] = [b"xyz" * 400_000]
    data = b"".join(blocks)
    if fault == "cut":
        data = data[: draw(st.integers(0, len(data)))]
    cuts = sorted(draw(st.lists(st.integers(0, min(len(data), 400)), max_size=8)))
    pieces = [
        data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True) if a < b
    ]
    return Answer(pieces, breaks=fault != "none")


@then(
    "in {examples:d} examples callers get a prefix of the stream, and all of it if it"
    " looks whole"
)
def check_prefixes(context, examples):
    @settings(max_examples=examples, derandomize=True, database=None, deadline=None)
    @draw(st.data())
    def check(data):
        stream = data.draw(true_events())
        names = [name for name, _ in stream]

        def answer(tried, after):
            start = names.index(after) + 1 if after else 0
            return data.draw(faulty_answer(stream[start:]))

        async def request():
            sender = ScriptedSender(answer)
            await sender.request()
            return sender

        sender = run_virtual(request())
        wanted = tokens(*range(1, len(stream) + 1))
        got = data_lines(sender.written)
        assert got == wanted[: len(got)], (stream, sender.written[:2000])
        assert not sender.whole or got == wanted, (stream, sender.written[:2000])

    check()
