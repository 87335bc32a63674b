"""Encodes peer messages as Cap'n Proto frames."""

from __future__ import annotations

from pathlib import Path
from typing import Any, NamedTuple

import capnp
import msgspec

from ..decoding import DECODING_ERRORS
from ..errors import PeerError
from ..journal import Entry
from .heartbeat import Heartbeat, Summary
from .member import Member
from .reports import Reports

_schema = capnp.load(str(Path(__file__).with_name("peer.capnp")))
_entries = msgspec.msgpack.Decoder(list[Entry])


class Hello(NamedTuple):
    """The first message of each side of a handshake."""

    member: Member
    nonce: bytes


class Proof(NamedTuple):
    """Proves that the sender knows the shared secret."""

    mac: bytes


class Fetch(NamedTuple):
    """Requests journal entries."""

    after: int
    """Offset of the last entry that the sender has."""


class Entries(NamedTuple):
    """Journal entries in offset order."""

    entries: list[Entry]


class CheckpointPart(NamedTuple):
    """One part of a checkpoint; parts are sent in order."""

    part: int
    parts: int
    data: bytes


Message = Hello | Proof | Heartbeat | Fetch | Entries | CheckpointPart | Reports


def encode(message: Message) -> bytes:
    """Return a message as a packed frame.

    :param message: the message
    """
    frame = _schema.Frame.new_message()
    match message:
        case Hello(member, nonce):
            _fill_hello(frame.init("hello"), member, nonce)
        case Proof(mac):
            frame.proof = mac
        case Heartbeat():
            _fill_heartbeat(frame.init("beat"), message)
        case Fetch(after):
            frame.fetch = after
        case Entries(entries):
            frame.entries = msgspec.msgpack.encode(entries)
        case CheckpointPart(part, parts, data):
            _fill_checkpoint(frame.init("checkpoint"), part, parts, data)
        case Reports():
            _fill_reports(frame.init("reports"), message)
    return bytes(frame.to_bytes_packed())


def decode(data: bytes) -> Message:
    """Return the message of a packed frame.

    :param data: the frame
    :raises PeerError: if it is malformed
    """
    try:
        return _decode_frame(_schema.Frame.from_bytes_packed(data))
    except (capnp.KjException, *DECODING_ERRORS, KeyError) as error:
        raise PeerError(f"malformed frame of {len(data)} bytes") from error


def _fill_hello(hello: Any, member: Member, nonce: bytes) -> None:
    hello.name = member.name
    hello.incarnation = member.incarnation
    hello.failureDomain = member.failure_domain
    hello.peerAddress = member.peer_address
    hello.internalAddress = member.internal_address
    hello.nonce = nonce


def _fill_checkpoint(target: Any, part: int, parts: int, data: bytes) -> None:
    target.part = part
    target.parts = parts
    target.data = data


def _fill_heartbeat(target: Any, heartbeat: Heartbeat) -> None:
    target.epoch = heartbeat.epoch
    target.acked = heartbeat.acked
    target.settled = heartbeat.settled
    target.offset = heartbeat.offset
    target.version = heartbeat.version
    target.needsRelay = heartbeat.needs_relay
    target.counting = heartbeat.counting
    target.gone = list(heartbeat.gone)
    for field, slots_by_digest in (("free", heartbeat.free), ("busy", heartbeat.busy)):
        items = target.init(field, len(slots_by_digest))
        for index, (digest, slots) in enumerate(slots_by_digest.items()):
            items[index].keyDigest = digest
            items[index].slots = slots
    summaries = target.init("summaries", len(heartbeat.summaries))
    for index, summary in enumerate(heartbeat.summaries):
        summaries[index].failureDomain = summary.failure_domain
        summaries[index].settled = summary.settled
        summaries[index].version = summary.version


def _fill_reports(target: Any, reports: Reports) -> None:
    target.sentAt = reports.sent_at
    target.hasLeast = reports.min_difference_s is not None
    target.least = reports.min_difference_s or 0.0
    target.data = reports.data


def _decode_frame(frame: Any) -> Message:
    kind = str(frame.which())
    if kind == "beat":
        return _decode_heartbeat(frame.beat)
    if kind == "reports":
        return _decode_reports(frame.reports)
    if kind == "hello":
        return _decode_hello(frame.hello)
    if kind == "proof":
        return Proof(bytes(frame.proof))
    if kind == "fetch":
        return Fetch(frame.fetch)
    if kind == "entries":
        return Entries(_entries.decode(frame.entries))
    if kind == "checkpoint":
        checkpoint = frame.checkpoint
        return CheckpointPart(checkpoint.part, checkpoint.parts, bytes(checkpoint.data))
    raise ValueError(kind)


def _decode_hello(hello: Any) -> Hello:
    member = Member(
        name=hello.name,
        incarnation=hello.incarnation,
        failure_domain=hello.failureDomain,
        peer_address=hello.peerAddress,
        internal_address=hello.internalAddress,
    )
    return Hello(member, bytes(hello.nonce))


def _decode_reports(reports: Any) -> Reports:
    min_difference_s = reports.least if reports.hasLeast else None
    return Reports(reports.sentAt, min_difference_s, bytes(reports.data))


def _decode_heartbeat(heartbeat: Any) -> Heartbeat:
    return Heartbeat(
        epoch=heartbeat.epoch,
        acked=heartbeat.acked,
        settled=heartbeat.settled,
        offset=heartbeat.offset,
        version=heartbeat.version,
        needs_relay=heartbeat.needsRelay,
        gone=tuple(heartbeat.gone),
        free={item.keyDigest: item.slots for item in heartbeat.free},
        summaries=tuple(
            Summary(item.failureDomain, item.settled, item.version)
            for item in heartbeat.summaries
        ),
        busy={item.keyDigest: item.slots for item in heartbeat.busy},
        counting=heartbeat.counting,
    )
