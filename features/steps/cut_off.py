"""Steps for requests that are ended because their daemon stops."""

import asyncio
import json
import os
import socket

from behave import given, then, when

from features.fakes.platform import HOST, KEY, MODEL, ONCE_PATH, SAFE_PATH, STREAM_PATH
from features.steps.routed import open_site, run, send_request

TIMEOUT_S = 10.0
QUIET_S = 1.0
"""Time without data after which an open connection counts as read to its end."""
PIPE_BYTES = 1 << 16
RECEIVE_BYTES = 16_384
LARGE_BYTES = 8_000_000
"""More than the kernel buffers."""
SLOW_STREAM = f"{STREAM_PATH}x?events=50&interval=0.1"
SLOW_ORDER = f"{ONCE_PATH}x?delay=5"


def request_head(path, *, version="1.1", length=0):
    return (
        f"POST {path} HTTP/{version}\r\nHost: {HOST}\r\nAttempt-Id: q1\r\n"
        f"Deadline-Ms: 9000\r\nApi-Key: {KEY}\r\nModel: {MODEL}\r\n"
        f"Token-Usage: 100,30\r\nContent-Length: {length}\r\n\r\n"
    ).encode()


def open_log(context):
    context.log, write = os.pipe()
    os.set_blocking(write, False)
    context.site.daemons[0].decisions._descriptor = write


async def cut_off(context, data, *, wait_for, receive_bytes=0):
    """Send bytes, cut off all requests once one is as far as given, read the rest."""
    open_log(context)
    host, _, port = context.site.addresses[0].rpartition(":")
    connection = socket.socket()
    if receive_bytes:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    connection.setblocking(False)
    await asyncio.get_running_loop().sock_connect(connection, (host, int(port)))
    reader, writer = await asyncio.open_connection(sock=connection, limit=RECEIVE_BYTES)
    writer.write(data)
    frontend = context.site.daemons[0].frontend
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            await asyncio.sleep(0.2)
            if any(wait_for(request) for request in frontend.requests):
                break
        frontend.draining = True
        frontend.cut_off()
        context.received, context.was_reset = b"", False
        try:
            while block := await asyncio.wait_for(reader.read(PIPE_BYTES), QUIET_S):
                context.received += block
        except TimeoutError:
            pass
        except ConnectionResetError:
            context.was_reset = True
        assert await frontend.requests.wait_idle()
    writer.close()
    lines = [json.loads(line) for line in os.read(context.log, PIPE_BYTES).splitlines()]
    (context.line,) = [line for line in lines if line["kind"] == "request_cut_off"]


@when("a request with half of its body is cut off")
def cut_body(context):
    data = request_head(SLOW_ORDER, length=10) + b"12345"
    run(context, cut_off(context, data, wait_for=lambda request: True))


@when("a request at an engine is cut off")
def cut_order(context):
    data = request_head(SLOW_ORDER)
    run(context, cut_off(context, data, wait_for=lambda request: request.upstream))


@when("a stream of HTTP/{version} that has begun is cut off")
def cut_stream(context, version):
    data = request_head(SLOW_STREAM, version=version)
    run(context, cut_off(context, data, wait_for=lambda request: request.answer_begun))


@when("a large answer that its caller does not read is cut off")
def cut_unread(context):
    for engine in context.site.engines.values():
        engine.answer = b"a" * LARGE_BYTES
    context.site.daemons[0].frontend._plain._answer_bytes = LARGE_BYTES
    work = cut_off(
        context,
        request_head(f"{ONCE_PATH}x"),
        wait_for=lambda request: request.answer_begun and request.unsent_bytes,
        receive_bytes=RECEIVE_BYTES,
    )
    run(context, work)


def head_of(context):
    return context.received.partition(b"\r\n\r\n")[0].decode()


@then("its caller gets a refusal")
def check_refusal(context):
    head = head_of(context)
    assert " 503 " in head and "Retry-After: " in head, head
    assert "Connection: close" in head, head


@then("its caller gets an unknown outcome")
def check_unknown(context):
    assert " 502 " in head_of(context), context.received
    assert "Retry-After" not in head_of(context), context.received


@then("its caller gets an incomplete stream")
def check_incomplete(context):
    assert b"token 1\n" in context.received, context.received
    assert not context.received.endswith(b"0\r\n\r\n"), context.received


@then("its caller gets a reset connection")
def check_reset(context):
    assert b"token 1\n" in context.received, context.received
    assert context.was_reset


@then("its caller gets an incomplete answer")
def check_partial(context):
    head, _, body = context.received.partition(b"\r\n\r\n")
    assert f"Content-Length: {LARGE_BYTES}".encode() in head, head
    assert len(body) < LARGE_BYTES, len(body)


@then("the log says that it was {phase} and ran {ran}")
def check_line(context, phase, ran):
    line = context.line
    assert (line["request"], line["phase"], line["ran"]) == ("q1", phase, ran), line


@then("the log gives the bytes that were not sent")
def check_unsent(context):
    assert context.line["phase"] == "writing", context.line
    assert context.line["unsent_bytes"] > 0, context.line


@given("a gateway site whose log has lost its reader")
def lose_reader(context):
    open_site(context)
    open_log(context)
    os.close(context.log)


@when("a caller sends a request")
def send(context):
    run(context, send_request(context, "GET", f"{SAFE_PATH}x"))


@then("it is answered")
def check_answered(context):
    assert context.status == 200, context.status
    assert context.site.daemons[0].decisions.dropped > 0
