"""The capture format: encodes and decodes segments, frames and records, without I/O.

A segment is a sequence of frames. A frame is the length and the CRC-32 of its payload (both little-endian,
32 bits), followed by the payload in MessagePack. The first frame of a segment is its `SegmentHeader`; each
other frame is a batch of records. A segment can be replayed alone: its header holds the settings and the
seed, and a snapshot of the engine's state unless the engine was new.

A record is ``[now_ms, kind, fields, actions]``, where `kind` is an index of `EVENTS`. Each action is
``[kind, fields]``, where `kind` is an index of `ACTIONS`; `actions` is None where the engine raised an
exception. Times are stored as full floats, not as differences, because rounded times would not replay
exactly.
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
    SendLimitShares,
    SendState,
    SetTimer,
    StartAttempt,
    SubscribeToEndpoints,
)
from glenchute.policy.events import (
    AdmissionEnded,
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
    LimitShare,
    LimitSharesReceived,
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
# Source files of the engine, relative to `glenchute/policy`.
ENGINE_SOURCES = ("*.py", "admission/*.py", "balancing/*.py", "retries/*.py")
FRAME_HEADER = struct.Struct("<II")
MAX_FRAME_BYTES = 64 * 1024 * 1024  # a greater length is taken for damage

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
    AdmissionEnded,
    LimitSharesReceived,
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
    SendLimitShares,
)
# Actions whose fields hold further objects.
NESTED_KINDS = frozenset({ACTIONS.index(SendState), ACTIONS.index(SendLimitShares)})
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder()

Record = list[Any]


def field_getter(kind: type[Any]) -> Any:
    """Returns a function that returns the field values of an instance of `kind` as a tuple."""
    names = [field.name for field in fields_of(kind)]
    if not names:
        return lambda instance: ()
    if len(names) == 1:
        get_field = attrgetter(names[0])
        return lambda instance: (get_field(instance),)
    return attrgetter(*names)


EVENT_ENCODERS = {kind: (number, field_getter(kind)) for number, kind in enumerate(EVENTS)}
OUTCOME_INDEX = {
    kind: [field.name for field in fields_of(kind)].index("outcome") for kind in (AttemptEnded, CounterReply)
}
ACTION_ENCODERS = {kind: (number, field_getter(kind)) for number, kind in enumerate(ACTIONS)}


def encode_actions(actions: Sequence[Action]) -> list[tuple[int, Any]]:
    """Returns the kind and the field values of each action."""
    return [
        (kind, values_of(action))
        for action in actions
        for kind, values_of in (ACTION_ENCODERS[type(action)],)
    ]


def encode_record(now_ms: float, event: Event, actions: Sequence[Action] | None) -> tuple[Any, ...]:
    """Returns a record as a plain tuple, which is cheap, since this runs for every event. `actions` is None
    where the engine raised an exception."""
    kind, values_of = EVENT_ENCODERS[type(event)]
    return now_ms, kind, values_of(event), None if actions is None else encode_actions(actions)


def decode_event(record: Record) -> Event:
    """Returns the event of a decoded record."""
    kind, values = EVENTS[record[1]], record[2]
    if kind is UsageUpdate:
        return UsageUpdate(Request(**values[0]), *values[1:])
    if kind is EndpointList:
        rows = [{**row, "state": EndpointState(row["state"])} for row in values[1]]
        entries = tuple(Endpoint(**row) for row in rows)
        return EndpointList(EndpointListKind(values[0]), entries, *values[2:])
    if kind is StateReceived:
        return StateReceived(tuple(QuotaSnapshot(**row) for row in values[0]))
    if kind is LimitSharesReceived:
        return LimitSharesReceived(tuple(LimitShare(**row) for row in values[0]))
    index = OUTCOME_INDEX.get(kind)
    if index is not None:
        values = [*values[:index], Outcome(values[index]), *values[index + 1 :]]
    event: Event = kind(*values)
    return event


def stored_actions(actions: Sequence[Action]) -> list[Any]:
    """Returns actions in the form in which a decoded record holds them, for comparison."""
    stored = [[kind, list(values)] for kind, values in encode_actions(actions)]
    for row in stored:
        if row[0] in NESTED_KINDS:
            row[1] = DECODER.decode(ENCODER.encode(row[1]))
    return stored


def describe_action(action: list[Any]) -> str:
    """Returns an action of a decoded record as readable text."""
    kind, values = action
    names = [field.name for field in fields_of(ACTIONS[kind])]
    arguments = ", ".join(f"{name}={value!r}" for name, value in zip(names, values, strict=True))
    return f"{ACTIONS[kind].__name__}({arguments})"


def encode_frame(payload: bytes) -> bytes:
    """Returns a frame: a payload preceded by its length and checksum."""
    return FRAME_HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def encode_batch(records: Sequence[tuple[Any, ...]]) -> bytes:
    """Returns a frame that holds a batch of records."""
    return encode_frame(ENCODER.encode(records))


class SegmentHeader(NamedTuple):
    """The header of a segment. Captures store the names of its fields."""

    run: str  # identifies the run of the recorder, which may consist of several segments
    number: int  # index of the segment in its run
    at: int  # number of records of the run before this segment
    began_ms: float
    module: str  # `engine_digest` of the captured engine
    settings: Settings
    seed: int
    snapshot: bytes | None  # state of the engine before the first record; None if the engine was new
    format: int = FORMAT

    def encode(self) -> bytes:
        """Returns the frame of the header."""
        extra = {"magic": MAGIC, "settings": self.settings}
        return encode_frame(ENCODER.encode({**self._asdict(), **extra}))


def decode_header(raw: Any) -> SegmentHeader:
    """Returns the header in the first payload of a segment; raises `CaptureError` if there is none."""
    if not isinstance(raw, dict) or raw.get("magic") != MAGIC:
        raise CaptureError("not a capture")
    if raw.get("format") not in (FORMAT, format_1.FORMAT):
        raise CaptureError(
            f"unknown format {raw.get('format')!r}; this program reads {format_1.FORMAT} and {FORMAT}"
        )
    try:
        settings = raw["settings"]
        if raw["format"] == format_1.FORMAT:
            settings = format_1.convert_settings(settings)
        others = {name: raw[name] for name in SegmentHeader._fields if name != "settings"}
        return SegmentHeader(settings=msgspec.convert(settings, Settings), **others)
    except (AttributeError, KeyError, TypeError, msgspec.ValidationError) as error:
        raise CaptureError(f"the segment header can't be read ({error})") from None


class Truncation(NamedTuple):
    """The offset at which a segment stopped being readable, and the reason."""

    offset: int
    reason: str


def decode_frames(data: bytes) -> Iterator[Any | Truncation]:
    """Yields the decoded payloads of a segment up to the first frame that is incomplete or damaged, and for
    that frame a `Truncation`."""
    offset = 0
    while offset < len(data):
        if len(data) - offset < FRAME_HEADER.size:
            yield Truncation(offset, "torn in a frame's head")
            return
        length, crc = FRAME_HEADER.unpack_from(data, offset)
        payload = data[offset + FRAME_HEADER.size : offset + FRAME_HEADER.size + length]
        if length > MAX_FRAME_BYTES or not length:
            yield Truncation(offset, "a frame's length is damaged")
            return
        if len(payload) < length:
            yield Truncation(offset, "torn in a frame")
            return
        if zlib.crc32(payload) != crc:
            yield Truncation(offset, "a frame's checksum is wrong")
            return
        try:
            yield DECODER.decode(payload)
        except msgspec.DecodeError:
            yield Truncation(offset, "a frame that can't be decoded")
            return
        offset += FRAME_HEADER.size + length


def engine_digest(folder: Path | None = None) -> str:
    """Returns the version of the engine: a digest of its source files. `folder` holds them; the default is
    this program's `glenchute/policy`."""
    folder = folder or Path(str(policy.__file__)).parent
    digest = hashlib.blake2b(digest_size=8)
    for pattern in ENGINE_SOURCES:
        for path in sorted(folder.glob(pattern)):
            digest.update(path.read_bytes())
    return digest.hexdigest()
