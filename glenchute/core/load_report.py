"""Parses load reports, which servers send with their responses."""

from __future__ import annotations

import math
import re

QUEUED_KEYS = (b"queue", b"waiting")
ACTIVE_KEYS = (b"inflight", b"active")
NUMBER_PATTERN = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
MAX_REPORTED_REQUESTS = 100_000.0
MAX_REPORT_BYTES = 256


def parse_load_report(report: bytes | None) -> tuple[float | None, float | None]:
    """Returns the queued and the active requests of a report such as ``queue=3,inflight=9``, or None if
    absent.

    Malformed and implausible values are ignored: a single `nan` would stay in every moving mean for ever.
    """
    queued = active = None
    for part in report.split(b",") if report and len(report) <= MAX_REPORT_BYTES else ():
        key, _, digits = part.partition(b"=")
        value = float(digits) if NUMBER_PATTERN.fullmatch(digits) else math.inf
        if value > MAX_REPORTED_REQUESTS:
            continue
        if key in QUEUED_KEYS:
            queued = value
        elif key in ACTIVE_KEYS:
            active = value
    return queued, active
