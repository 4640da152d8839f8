"""Recorder: wraps the engine and records its events and actions in memory or on disk, without blocking.

The event loop's thread appends a tuple for each event and encodes a batch once `RECORDS_PER_FRAME` are
pending. A separate thread writes the files, behind a bounded queue. If the queue is full, the rest of the
segment is dropped and counted, and the next segment begins with a snapshot, so a slow disk costs records but
never delays requests.
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
MAX_QUEUED_WRITES = 64  # pending writes of frames or whole segments
REJECTION_WINDOW_S = 5.0  # period over which the fraction of rejections is measured
MIN_REQUESTS_IN_WINDOW = 50  # with fewer requests in a window, rejections trigger nothing
MIN_TRIGGER_INTERVAL_S = 60.0  # shortest time between two triggers with the same reason


class CaptureRule(NamedTuple):
    """The operator's settings for captures. With `ring` the newest segments are held in memory and written on
    a trigger; otherwise segments are written to disk as they are recorded."""

    folder: str
    ring: bool = True
    segment_s: float = 10.0  # age after which a new segment is opened
    segment_bytes: int = 4 * 1024 * 1024  # size after which a new segment is opened
    max_segments: int = 12  # beyond this number the oldest segment is removed
    rejection_trigger_fraction: float = 1.0  # fraction of rejected requests above which to trigger; 1: never
    pseudonym_key: bytes | None = None  # if set, the engine gets pseudonyms in place of the tenants' names


class SegmentWriter:
    """Writes segments to files in a separate thread."""

    def __init__(self, folder: Path, max_segments: int) -> None:
        self.folder, self.max_segments = folder, max_segments
        self.queue: queue.Queue[tuple[str, bytes] | None] = queue.Queue(MAX_QUEUED_WRITES)
        self.file_names: deque[str] = deque()  # written segments, the newest last
        self.failure_count = 0
        self.thread = threading.Thread(target=self.run, name="capture", daemon=True)
        self.thread.start()

    def enqueue(self, name: str, data: bytes) -> bool:
        """Queues bytes to be appended to a file; returns False if the queue is full."""
        try:
            self.queue.put_nowait((name, data))
        except queue.Full:
            return False
        return True

    def run(self) -> None:
        """Runs the thread: writes the queued bytes, and removes the oldest segments."""
        while (item := self.queue.get()) is not None:
            name, data = item
            try:
                with open(self.folder / name, "ab") as file:
                    file.write(data)
                if name not in self.file_names:
                    self.file_names.append(name)
                    while len(self.file_names) > self.max_segments:
                        with contextlib.suppress(FileNotFoundError):
                            os.unlink(self.folder / self.file_names.popleft())
            except OSError as error:
                self.failure_count += 1
                if self.failure_count == 1:
                    log.error("capture: a file can't be written (later errors are not logged): %s", error)

    def close(self, timeout_s: float) -> None:
        """Ends the thread once the queue is written; waits up to `timeout_s` each for room in the queue and
        for the thread."""
        with contextlib.suppress(queue.Full):
            self.queue.put(None, timeout=timeout_s)
        self.thread.join(timeout_s)


def tenant_pseudonym(tenant: str, key: bytes) -> str:
    """Returns a pseudonym for a tenant, a keyed BLAKE2b hash (RFC 7693), for captures that leave the
    operator. The running engine gets the pseudonym as well, so that a replay is exact: the starts of a
    tenant's windows and its counter keys depend on its name."""
    return hashlib.blake2b(tenant.encode(), key=key[:64], digest_size=8).hexdigest()


@dataclass
class RejectionWindow:
    """Requests and rejections since a time on the loop's clock."""

    since_s: float  # 0 until the first window begins
    requests: int = 0
    rejections: int = 0


class Recorder:
    """Wraps an engine and records each call to it. `clock` returns the loop's time in seconds."""

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
        self.run_id = secrets.token_hex(4)
        self.engine_version = engine_digest()
        self.writer = SegmentWriter(Path(rule.folder), rule.max_segments)
        self.segment_number = 0
        self.record_count = 0
        self.pending_records: list[tuple[Any, ...]] = []
        self.ring_segments: deque[tuple[str, list[bytes]]] = deque()  # names and frames, the newest last
        self.segment_name = ""
        self.segment_size_bytes = 0
        self.opened_s = 0.0
        self.is_dropping = False  # the queue was full, so the rest of this segment is dropped
        self.dropped_records = 0
        self.is_engine_new = True  # the engine has not handled an event yet
        self.triggered_s: dict[str, float] = {}  # time of the last trigger, by reason
        self.rejection_window = RejectionWindow(0.0)

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Passes an event to the engine, records it with the actions, and returns these. A new segment's
        snapshot holds the state before the event. An exception of the engine is recorded and raised again."""
        rule = self.rule
        if rule.pseudonym_key is not None and type(event) is Request:
            event = replace(event, tenant=tenant_pseudonym(event.tenant, rule.pseudonym_key))
        is_finished = (
            self.segment_size_bytes > rule.segment_bytes or self.clock() - self.opened_s > rule.segment_s
        )
        if is_finished or not self.segment_name:
            self.open_segment(now_ms)
        try:
            actions = self.engine.handle(now_ms, event)
        except Exception:
            self.add_record(encode_record(now_ms, event, None))
            self.trigger("module fault")
            self.segment_name = ""  # the next segment's snapshot holds the state that the exception left
            raise
        self.add_record(encode_record(now_ms, event, actions))
        if self.rule.rejection_trigger_fraction < 1.0:
            self.check_rejections(event, actions)
        return actions

    def add_record(self, record: tuple[Any, ...]) -> None:
        """Adds a record, and encodes a batch when enough are pending."""
        self.record_count += 1
        self.pending_records.append(record)
        if len(self.pending_records) >= RECORDS_PER_FRAME:
            self.flush()

    def flush(self) -> None:
        """Encodes the pending records, and adds them to the segment in memory or queues them for writing."""
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
        """Counts dropped records, and drops the rest of the segment: the disk is too slow."""
        if not self.is_dropping:
            log.warning(
                "capture: the write queue is full; dropping the rest of segment %s", self.segment_name
            )
        self.is_dropping = True
        self.dropped_records += records

    def open_segment(self, now_ms: float) -> None:
        """Opens a segment with a header that holds the engine's present state."""
        self.flush()
        engine_state = None if self.is_engine_new else snapshot.dump(self.engine)
        self.is_engine_new = False
        header = SegmentHeader(
            self.run_id,
            self.segment_number,
            self.record_count,
            now_ms,
            self.engine_version,
            self.settings,
            self.seed,
            engine_state,
        )
        self.segment_name = f"{self.run_id}-{self.segment_number:06d}.glcap"
        self.segment_number += 1
        self.segment_size_bytes, self.opened_s, self.is_dropping = 0, self.clock(), False
        data = header.encode()
        if self.rule.ring:
            self.ring_segments.append((self.segment_name, [data]))
            while len(self.ring_segments) > self.rule.max_segments:
                self.ring_segments.popleft()
        elif not self.writer.enqueue(self.segment_name, data):
            self.drop(0)

    def trigger(self, reason: str) -> None:
        """Writes the segments in memory and removes them from it, at most once a minute for each reason."""
        now_s = self.clock()
        if now_s - self.triggered_s.get(reason, -1e9) < MIN_TRIGGER_INTERVAL_S:
            return
        self.triggered_s[reason] = now_s
        self.flush()
        log.warning(
            "capture: trigger (%s); writing %d segments to %s",
            reason,
            len(self.ring_segments),
            self.rule.folder,
        )
        segments, self.ring_segments = list(self.ring_segments), deque()
        for name, frames in segments:
            if not self.writer.enqueue(name, b"".join(frames)):
                log.warning("capture: the write queue is full; dropping segment %s", name)
        if self.rule.ring:
            self.segment_name = ""  # the next event opens a new segment

    def check_rejections(self, event: Event, actions: list[Action]) -> None:
        """Counts requests and rejections; triggers when a window ends with too large a fraction of
        rejections."""
        now_s, window = self.clock(), self.rejection_window
        window.requests += isinstance(event, Request)
        window.rejections += sum(1 for action in actions if isinstance(action, Reject))
        if now_s - window.since_s >= REJECTION_WINDOW_S:
            self.rejection_window = RejectionWindow(now_s)
            is_exceeded = window.rejections > self.rule.rejection_trigger_fraction * window.requests
            if window.since_s and window.requests >= MIN_REQUESTS_IN_WINDOW and is_exceeded:
                self.trigger("refusals")

    def close(self) -> None:
        """Encodes the pending records and ends the writer, at the end of the process."""
        self.flush()
        if self.dropped_records:
            log.warning(
                "capture: %d records were dropped because the write queue was full", self.dropped_records
            )
        self.writer.close(0.5)
