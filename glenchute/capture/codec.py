"""The form of a capture: records, batches of them, frames, segments. Sans I/O.

A segment is a sequence of frames; a frame is its payload's length and CRC-32 (both little-endian, 32 bits)
and the payload, MessagePack. The first frame of a segment is its `SegmentHeader`; the others are batches of
records. A segment can be replayed alone: its header holds the settings and the seed, and, unless the engine
was new, a snapshot of the engine's state.

A record is ``[now_ms, kind, fields, actions]``; actions are ``[kind, fields]`` each, None where the engine
failed. Times are whole floats, not differences: a rounded clock would not replay to the bit.
"""

from __future__ import annotations

import hashlib
import struct
import zlib
from collections.abc import Iterator, Sequence
from dataclasses import fields as fields_of
from operator import attrgetter
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from glenchute import policy
from glenchute.policy.actions import (
    Action,
    CancelAttempt,
    Fail,
    IncrementCounter,
    LogMessage,
    Reject,
    SendState,
    SetTimer,
    StartAttempt,
    SubscribeToEndpoints,
)
from glenchute.policy.events import (
    AttemptAssigned,
    AttemptEnded,
    AttemptStalled,
    AvoidEndpoint,
    ClientDisconnected,
    CounterReply,
    Endpoint,
    EndpointList,
    EndpointListKind,
    EndpointState,
    Event,
    OtherProcessEnded,
    Outcome,
    QuotaSnapshot,
    Request,
    ResponseStarted,
    StateReceived,
    SuccessorStarted,
    TimerFired,
    UsageUpdate,
)
from glenchute.policy.settings import Settings

from . import format_1
from .errors import CaptureError

FORMAT = 2
MAGIC = "glenchute-capture"
ENGINE_SOURCES = ("*.py", "admission/*.py", "balancing/*.py", "retries/*.py")  # below `glenchute/policy`
FRAME = struct.Struct("<II")
MAX_FRAME_BYTES = 64 * 1024 * 1024  # a longer one is damage

EVENTS: tuple[type[Any], ...] = (
    EndpointList,
    Request,
    ResponseStarted,
    AttemptEnded,
    ClientDisconnected,
    TimerFired,
    CounterReply,
    AttemptStalled,
    AttemptAssigned,
    SuccessorStarted,
    StateReceived,
    OtherProcessEnded,
    UsageUpdate,
    AvoidEndpoint,
)
ACTIONS: tuple[type[Any], ...] = (
    StartAttempt,
    CancelAttempt,
    Reject,
    Fail,
    SetTimer,
    IncrementCounter,
    SubscribeToEndpoints,
    LogMessage,
    SendState,
)
SEND_STATE = ACTIONS.index(SendState)
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder()

Record = list[Any]


def field_getter(kind: type[Any]) -> Any:
    """Takes all fields of an object at once, always as a tuple."""
    names = [field.name for field in fields_of(kind)]
    if not names:
        return lambda found: ()
    if len(names) == 1:
        one = attrgetter(names[0])
        return lambda found: (one(found),)
    return attrgetter(*names)


EVENT_ENCODERS = {kind: (number, field_getter(kind)) for number, kind in enumerate(EVENTS)}
OUTCOME_INDEX = {
    kind: [field.name for field in fields_of(kind)].index("outcome") for kind in (AttemptEnded, CounterReply)
}
ACTION_ENCODERS = {kind: (number, field_getter(kind)) for number, kind in enumerate(ACTIONS)}


def encode_actions(actions: Sequence[Action]) -> list[tuple[int, Any]]:
    """The number of each action's kind, and its fields."""
    return [(number, take(action)) for action in actions for number, take in (ACTION_ENCODERS[type(action)],)]


def encode_record(now_ms: float, event: Event, actions: Sequence[Action] | None) -> tuple[Any, ...]:
    """A record as a plain tuple; cheap, as it is made for every event. `actions`: None where the engine
    failed."""
    number, fields = EVENT_ENCODERS[type(event)]
    return now_ms, number, fields(event), None if actions is None else encode_actions(actions)


def decode_event(record: Record) -> Event:
    """The event of a record that was read."""
    kind, values = EVENTS[record[1]], record[2]
    if kind is UsageUpdate:
        return UsageUpdate(Request(**values[0]), *values[1:])
    if kind is EndpointList:
        rows = [{**row, "state": EndpointState(row["state"])} for row in values[1]]
        entries = tuple(Endpoint(**row) for row in rows)
        return EndpointList(EndpointListKind(values[0]), entries, *values[2:])
    if kind is StateReceived:
        return StateReceived(tuple(QuotaSnapshot(**row) for row in values[0]))
    at = OUTCOME_INDEX.get(kind)
    if at is not None:
        values = [*values[:at], Outcome(values[at]), *values[at + 1 :]]
    event: Event = kind(*values)
    return event


def stored_actions(actions: Sequence[Action]) -> list[Any]:
    """Actions in the form of a record that was read, to be compared with one."""
    stored = [[number, list(values)] for number, values in encode_actions(actions)]
    for row in stored:
        if row[0] == SEND_STATE:  # the one action with rows inside
            row[1] = DECODER.decode(ENCODER.encode(row[1]))
    return stored


def describe_action(action: list[Any]) -> str:
    """An action of a record for a person."""
    number, values = action
    names = [field.name for field in fields_of(ACTIONS[number])]
    inside = ", ".join(f"{name}={value!r}" for name, value in zip(names, values, strict=True))
    return f"{ACTIONS[number].__name__}({inside})"


def encode_frame(payload: bytes) -> bytes:
    """A payload with its length and checksum."""
    return FRAME.pack(len(payload), zlib.crc32(payload)) + payload


def encode_batch(records: Sequence[tuple[Any, ...]]) -> bytes:
    """A frame of records."""
    return encode_frame(ENCODER.encode(records))


class SegmentHeader(NamedTuple):
    """What a segment begins with. The names of its fields are stored."""

    run: str
    number: int  # of the segment in its run
    at: int  # records of the run before this segment
    began_ms: float
    module: str  # `engine_digest` of the engine that was captured
    settings: Settings
    seed: int
    snapshot: bytes | None  # None: the engine was new
    format: int = FORMAT

    def encode(self) -> bytes:
        """The header's frame."""
        about = {"magic": MAGIC, "settings": self.settings}
        return encode_frame(ENCODER.encode({**self._asdict(), **about}))


def decode_header(raw: Any) -> SegmentHeader:
    """A header that was read. CaptureError where it is none."""
    if not isinstance(raw, dict) or raw.get("magic") != MAGIC:
        raise CaptureError("not a capture")
    if raw.get("format") not in (FORMAT, format_1.FORMAT):
        raise CaptureError(f"format {raw.get('format')!r}; this program reads {format_1.FORMAT} and {FORMAT}")
    try:
        settings = raw["settings"]
        if raw["format"] == format_1.FORMAT:
            settings = format_1.settings(settings)
        given = {name: raw[name] for name in SegmentHeader._fields if name != "settings"}
        return SegmentHeader(settings=msgspec.convert(settings, Settings), **given)
    except (AttributeError, KeyError, TypeError, msgspec.ValidationError) as error:
        raise CaptureError(f"a head that can't be read ({error})") from None


class Truncation(NamedTuple):
    """Where reading had to stop, and why."""

    offset: int
    reason: str


def decode_frames(data: bytes) -> Iterator[Any | Truncation]:
    """The payloads of a segment, as far as they are intact; a `Truncation` at the end where that is not
    all."""
    at = 0
    while at < len(data):
        if len(data) - at < FRAME.size:
            yield Truncation(at, "torn in a frame's head")
            return
        length, crc = FRAME.unpack_from(data, at)
        body = data[at + FRAME.size : at + FRAME.size + length]
        if length > MAX_FRAME_BYTES or not length:
            yield Truncation(at, "a frame's length is damaged")
            return
        if len(body) < length:
            yield Truncation(at, "torn in a frame")
            return
        if zlib.crc32(body) != crc:
            yield Truncation(at, "a frame's checksum is wrong")
            return
        try:
            yield DECODER.decode(body)
        except msgspec.DecodeError:
            yield Truncation(at, "a frame that can't be decoded")
            return
        at += FRAME.size + length


def engine_digest(folder: Path | None = None) -> str:
    """The version of the engine: a digest of its sources. `folder`: another `glenchute/policy`."""
    folder = folder or Path(str(policy.__file__)).parent
    digest = hashlib.blake2b(digest_size=8)
    for pattern in ENGINE_SOURCES:
        for path in sorted(folder.glob(pattern)):
            digest.update(path.read_bytes())
    return digest.hexdigest()
