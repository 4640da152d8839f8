"""The form of a capture: records, batches of them, frames, segments. Sans I/O.

A segment is a sequence of frames; a frame is its payload's length and CRC-32 (both little-endian, 32 bits)
and the payload, MessagePack. The first frame of a segment is its `Head`; the others are batches of records. A
segment can be replayed alone: its head holds the settings and the seed, and, unless the module was new, a
snapshot of the module's state.

A record is ``[now_ms, kind, fields, actions]``; actions are ``[kind, fields]`` each, None where the module
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
MOST_FRAME = 64 * 1024 * 1024  # a longer one is damage

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
HAND_OVER = ACTIONS.index(SendState)
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder()

Record = list[Any]


def getter(kind: type[Any]) -> Any:
    """Takes all fields of an object at once, always as a tuple."""
    names = [field.name for field in fields_of(kind)]
    if not names:
        return lambda found: ()
    if len(names) == 1:
        one = attrgetter(names[0])
        return lambda found: (one(found),)
    return attrgetter(*names)


EVENT_OF = {kind: (number, getter(kind)) for number, kind in enumerate(EVENTS)}
ENDING_AT = {
    kind: [field.name for field in fields_of(kind)].index("outcome") for kind in (AttemptEnded, CounterReply)
}
ACTION_OF = {kind: (number, getter(kind)) for number, kind in enumerate(ACTIONS)}


def taken_apart(actions: Sequence[Action]) -> list[tuple[int, Any]]:
    """The number of each action's kind, and its fields."""
    return [(number, take(action)) for action in actions for number, take in (ACTION_OF[type(action)],)]


def note(now_ms: float, event: Event, actions: Sequence[Action] | None) -> tuple[Any, ...]:
    """A record, not encoded yet; cheap, as it is made for every event."""
    number, take = EVENT_OF[type(event)]
    told = None
    if actions is not None:
        told = taken_apart(actions)
    return now_ms, number, take(event), told


def event_of(record: Record) -> Event:
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
    at = ENDING_AT.get(kind)
    if at is not None:
        values = [*values[:at], Outcome(values[at]), *values[at + 1 :]]
    event: Event = kind(*values)
    return event


def told(actions: Sequence[Action]) -> list[Any]:
    """Actions in the form of a record that was read, to be compared with one."""
    apart = [[number, list(values)] for number, values in taken_apart(actions)]
    for row in apart:
        if row[0] == HAND_OVER:  # the one action with rows inside
            row[1] = DECODER.decode(ENCODER.encode(row[1]))
    return apart


def readable(action: list[Any]) -> str:
    """An action of a record for a person."""
    number, values = action
    names = [field.name for field in fields_of(ACTIONS[number])]
    inside = ", ".join(f"{name}={value!r}" for name, value in zip(names, values, strict=True))
    return f"{ACTIONS[number].__name__}({inside})"


def frame(payload: bytes) -> bytes:
    """With length and checksum."""
    return FRAME.pack(len(payload), zlib.crc32(payload)) + payload


def batch(records: Sequence[tuple[Any, ...]]) -> bytes:
    """A frame of records."""
    return frame(ENCODER.encode(records))


class Head(NamedTuple):
    """What a segment begins with. `at` counts the records of the run before it."""

    run: str
    number: int
    at: int
    began_ms: float
    module: str
    settings: Settings
    seed: int
    snapshot: bytes | None
    format: int = FORMAT

    def encode(self) -> bytes:
        """The head's frame."""
        about = {"magic": MAGIC, "settings": self.settings}
        return frame(ENCODER.encode({**self._asdict(), **about}))


def head_of(raw: Any) -> Head:
    """A head that was read."""
    if not isinstance(raw, dict) or raw.get("magic") != MAGIC:
        raise CaptureError("not a capture")
    if raw.get("format") not in (FORMAT, format_1.FORMAT):
        raise CaptureError(f"format {raw.get('format')!r}; this program reads {format_1.FORMAT} and {FORMAT}")
    try:
        settings = raw["settings"]
        if raw["format"] == format_1.FORMAT:
            settings = format_1.settings(settings)
        given = {name: raw[name] for name in Head._fields if name != "settings"}
        return Head(settings=msgspec.convert(settings, Settings), **given)
    except (AttributeError, KeyError, TypeError, msgspec.ValidationError) as error:
        raise CaptureError(f"a head that can't be read ({error})") from None


class Cut(NamedTuple):
    """Where reading had to stop, and why."""

    offset: int
    why: str


def payloads(data: bytes) -> Iterator[Any | Cut]:
    """The payloads of a segment's bytes, as far as they are sure; a `Cut` at the end where that is not
    all."""
    at = 0
    while at < len(data):
        if len(data) - at < FRAME.size:
            yield Cut(at, "torn in a frame's head")
            return
        length, crc = FRAME.unpack_from(data, at)
        body = data[at + FRAME.size : at + FRAME.size + length]
        if length > MOST_FRAME or not length:
            yield Cut(at, "a frame's length is damaged")
            return
        if len(body) < length:
            yield Cut(at, "torn in a frame")
            return
        if zlib.crc32(body) != crc:
            yield Cut(at, "a frame's checksum is wrong")
            return
        try:
            yield DECODER.decode(body)
        except msgspec.DecodeError:
            yield Cut(at, "a frame that can't be decoded")
            return
        at += FRAME.size + length


def module_digest(folder: Path | None = None) -> str:
    """The version of the module: a digest of its sources."""
    folder = folder or Path(str(policy.__file__)).parent
    digest = hashlib.blake2b(digest_size=8)
    for pattern in ENGINE_SOURCES:
        for path in sorted(folder.glob(pattern)):
            digest.update(path.read_bytes())
    return digest.hexdigest()
