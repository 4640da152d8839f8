"""Recording: between the core and the engine, in memory or on disk, never in the way.

The loop's thread appends a tuple for each event and encodes a batch now and then; files are written by a
thread of their own behind a queue of bounded length. Where that is full, the rest of the segment is dropped
and counted, and the next begins with a snapshot: slow disks cost records, never requests.
"""

from __future__ import annotations

import contextlib
import hashlib
import logging
import os
import queue
import secrets
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, NamedTuple

from glenchute.core.types import DecisionHandler
from glenchute.policy.actions import Action, Reject
from glenchute.policy.events import Event, Request
from glenchute.policy.settings import Settings

from . import snapshot
from .codec import SegmentHeader, encode_batch, encode_record, engine_digest

log = logging.getLogger("glenchute")

RECORDS_PER_FRAME = 256
MAX_QUEUED_WRITES = 64  # frames that may wait for the disk
REJECTION_WINDOW_S = 5.0  # the rejection rate is taken over this long ...
MIN_REQUESTS_IN_WINDOW = 50  # ... and so many requests
MIN_TRIGGER_INTERVAL_S = 60.0  # a trigger of one kind writes no more often


class CaptureRule(NamedTuple):
    """What is captured, by the operator's file. `ring`: in memory, written on a trigger; else on disk at
    once."""

    folder: str
    ring: bool = True
    segment_s: float = 10.0
    segment_bytes: int = 4 * 1024 * 1024
    max_segments: int = 12  # kept; the oldest goes
    rejection_trigger_fraction: float = 1.0  # a trigger; 1: none
    pseudonym_key: bytes | None = None  # the engine is told a keyed hash of each account in its place


class SegmentWriter:
    """Writes files in a thread of its own."""

    def __init__(self, folder: Path, segments: int) -> None:
        self.folder, self.segments = folder, segments
        self.queue: queue.Queue[tuple[str, bytes] | None] = queue.Queue(MAX_QUEUED_WRITES)
        self.names: deque[str] = deque()
        self.failure_count = 0
        self.thread = threading.Thread(target=self.run, name="capture", daemon=True)
        self.thread.start()

    def enqueue(self, name: str, data: bytes) -> bool:
        """Queues bytes for a file; False where the queue is full."""
        try:
            self.queue.put_nowait((name, data))
        except queue.Full:
            return False
        return True

    def run(self) -> None:
        """The thread: writes what is queued, and removes the oldest segments."""
        while (item := self.queue.get()) is not None:
            name, data = item
            try:
                with open(self.folder / name, "ab") as file:
                    file.write(data)
                if name not in self.names:
                    self.names.append(name)
                    while len(self.names) > self.segments:
                        with contextlib.suppress(FileNotFoundError):
                            os.unlink(self.folder / self.names.popleft())
            except OSError as error:
                self.failure_count += 1
                if self.failure_count == 1:
                    log.error("the capture can't be written: %s", error)

    def close(self, patience_s: float) -> None:
        """Writes what is queued, for `patience_s` at most."""
        with contextlib.suppress(queue.Full):
            self.queue.put(None, timeout=patience_s)
        self.thread.join(patience_s)


def tenant_pseudonym(account: str, key: bytes) -> str:
    """What stands for a tenant where captures leave the operator: BLAKE2b (RFC 7693) with a key. The engine
    itself gets this name, so that a replay is exact: the starts of a tenant's windows and its counter keys
    depend on its name."""
    return hashlib.blake2b(account.encode(), key=key[:64], digest_size=8).hexdigest()


@dataclass
class RejectionWindow:
    """Requests and rejections since a moment of the loop's clock; 0: before the first event."""

    since_s: float
    requests: int = 0
    rejections: int = 0


class Recorder:
    """Stands before the engine and records each call. `clock`: the loop's time in seconds."""

    def __init__(
        self,
        engine: DecisionHandler,
        settings: Settings,
        seed: int,
        rule: CaptureRule,
        clock: Callable[[], float],
    ) -> None:
        self.engine, self.settings, self.seed = engine, settings, seed
        self.rule, self.clock = rule, clock
        self.run = secrets.token_hex(4)
        self.engine_version = engine_digest()
        self.writer = SegmentWriter(Path(rule.folder), rule.max_segments)
        self.segment_number = 0
        self.record_count = 0
        self.pending_records: list[tuple[Any, ...]] = []
        self.ring_segments: deque[tuple[str, list[bytes]]] = deque()  # segments in memory, the newest last
        self.segment_name = ""
        self.segment_size_bytes = 0
        self.opened_s = 0.0
        self.is_dropping = False  # the queue was full: this segment has ended
        self.dropped_records = 0
        self.is_engine_new = True  # nothing has happened to the engine yet
        self.triggered_s: dict[str, float] = {}
        self.rejection_window = RejectionWindow(0.0)

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """One event. The snapshot of a new segment holds the state before it."""
        rule = self.rule
        if rule.pseudonym_key is not None and type(event) is Request:
            event = replace(event, tenant=tenant_pseudonym(event.tenant, rule.pseudonym_key))
        full = self.segment_size_bytes > rule.segment_bytes or self.clock() - self.opened_s > rule.segment_s
        if full or not self.segment_name:
            self.open_segment(now_ms)
        try:
            actions = self.engine.handle(now_ms, event)
        except Exception:
            self.add_record(encode_record(now_ms, event, None))
            self.trigger("module fault")
            self.segment_name = ""  # what the fault left behind is in the next snapshot
            raise
        self.add_record(encode_record(now_ms, event, actions))
        if self.rule.rejection_trigger_fraction < 1.0:
            self.check_rejections(event, actions)
        return actions

    def add_record(self, record: tuple[Any, ...]) -> None:
        """Adds a record."""
        self.record_count += 1
        self.pending_records.append(record)
        if len(self.pending_records) >= RECORDS_PER_FRAME:
            self.flush()

    def flush(self) -> None:
        """Encodes what is pending."""
        records, self.pending_records = self.pending_records, []
        if not records:
            return
        data = encode_batch(records)
        self.segment_size_bytes += len(data)
        if self.rule.ring:
            self.ring_segments[-1][1].append(data)
        elif self.is_dropping or not self.writer.enqueue(self.segment_name, data):
            self.drop(len(records))

    def drop(self, records: int) -> None:
        """The disk is too slow."""
        if not self.is_dropping:
            log.warning("the capture drops the rest of %s", self.segment_name)
        self.is_dropping = True
        self.dropped_records += records

    def open_segment(self, now_ms: float) -> None:
        """Opens a segment."""
        self.flush()
        state = None if self.is_engine_new else snapshot.dump(self.engine)
        self.is_engine_new = False
        head = SegmentHeader(
            self.run,
            self.segment_number,
            self.record_count,
            now_ms,
            self.engine_version,
            self.settings,
            self.seed,
            state,
        )
        self.segment_name = f"{self.run}-{self.segment_number:06d}.glcap"
        self.segment_number += 1
        self.segment_size_bytes, self.opened_s, self.is_dropping = 0, self.clock(), False
        data = head.encode()
        if self.rule.ring:
            self.ring_segments.append((self.segment_name, [data]))
            while len(self.ring_segments) > self.rule.max_segments:
                self.ring_segments.popleft()
        elif not self.writer.enqueue(self.segment_name, data):
            self.drop(0)

    def trigger(self, why: str) -> None:
        """Writes what the ring holds and empties it, at most once a minute for each reason."""
        now = self.clock()
        if now - self.triggered_s.get(why, -1e9) < MIN_TRIGGER_INTERVAL_S:
            return
        self.triggered_s[why] = now
        self.flush()
        log.warning(
            "capture: %s; %d segments are written to %s", why, len(self.ring_segments), self.rule.folder
        )
        segments, self.ring_segments = list(self.ring_segments), deque()
        for name, frames in segments:
            if not self.writer.enqueue(name, b"".join(frames)):
                log.warning("the capture drops %s", name)
        if self.rule.ring:
            self.segment_name = ""  # the next event opens a new segment

    def check_rejections(self, event: Event, actions: list[Action]) -> None:
        """Counts rejections; a share over the rule's is a trigger."""
        now_s, window = self.clock(), self.rejection_window
        window.requests += isinstance(event, Request)
        window.rejections += sum(1 for action in actions if isinstance(action, Reject))
        if now_s - window.since_s >= REJECTION_WINDOW_S:
            self.rejection_window = RejectionWindow(now_s)
            is_over = window.rejections > self.rule.rejection_trigger_fraction * window.requests
            if window.since_s and window.requests >= MIN_REQUESTS_IN_WINDOW and is_over:
                self.trigger("refusals")

    def close(self) -> None:
        """Writes what is left, at the end of the process."""
        self.flush()
        if self.dropped_records:
            log.warning("the capture has dropped %d records", self.dropped_records)
        self.writer.close(0.5)
