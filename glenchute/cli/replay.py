"""``glenchute replay``: replays a capture through the engine, compares the decisions, and traces requests."""

from __future__ import annotations

import argparse
import sys
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from glenchute.capture.codec import Record, decode_event, describe_action, engine_digest
from glenchute.capture.errors import CaptureError
from glenchute.capture.rejections import CAUSE_TEXTS, RejectionCauses
from glenchute.capture.replay import (
    Difference,
    Report,
    find_runs,
    load_other_engine,
    read_segment,
    replay,
    summarize,
)
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.events import AttemptAssigned, Request

MAX_SHOWN = 20  # differences printed per run
MAX_COMPARED = 1_000_000  # differences collected per run with --against or --diff


def command(args: argparse.Namespace) -> int:
    """Replays and prints. Returns 0 if all decisions are equal, 1 if one differs, 2 if the capture is
    unusable."""
    try:
        runs = find_runs(Path(args.path))
        create_engine = load_other_engine(Path(args.against)) if args.against else DecisionEngine
        equal = True
        for run, files in runs.items():
            causes = RejectionCauses() if args.refusals else None
            observer = RequestTrace(args.explain) if args.explain else causes
            max_differences = MAX_COMPARED if args.against or args.diff else 1
            version = captured_version(files)
            is_captured_engine = args.against is None and version == engine_digest()
            if args.against is None and version not in ("", engine_digest()):
                print(f"{run}: captured by module {version}, replayed by {engine_digest()}")
            report = replay(
                files, create_engine, args.since, args.until, max_differences, is_captured_engine, observer
            )
            equal = equal and not report.differences
            lines = (
                observer.lines
                if isinstance(observer, RequestTrace)
                else describe_causes(causes)
                if causes
                else ()
            )
            for line in [*lines, *describe_report(run, report, bool(args.against))]:
                print(line)
    except CaptureError as error:
        print(f"glenchute: {error}", file=sys.stderr)
        return 2
    return 0 if equal else 1


def describe_causes(causes: RejectionCauses) -> Iterator[str]:
    """Yields a table of the rejections by cause."""
    rows = causes.rows()
    yield f"{causes.request_count} requests, {sum(row.rejections for row in rows)} refused"
    for row in rows:
        left = f"{row.bucket_left_units:.1f} units left in the store" if row.units else ""
        text = CAUSE_TEXTS[row.cause]
        yield f"  {row.cause:12} {row.rejections:7} {row.units:9.0f} units  {left:32} {text}"


def captured_version(files: list[Path]) -> str:
    """Returns the engine's digest from the first readable segment; empty if none is readable."""
    for file in files:
        try:
            return read_segment(file).header.module
        except CaptureError:
            continue
    return ""


def describe_report(run: str, report: Report, against: bool) -> Iterator[str]:
    """Yields the lines that describe the result of a replay."""
    for note in report.notes:
        yield f"{run}: {note}"
    if against:
        yield from describe_changes(report.differences)
    else:
        for difference in report.differences[:MAX_SHOWN]:
            yield f"record {difference.record_index} at {difference.now_ms:.3f}: {difference.event}"
            yield f"  captured: {'; '.join(map(describe_action, difference.captured)) or 'nothing'}"
            yield f"  replayed: {'; '.join(map(describe_action, difference.replayed)) or 'nothing'}"
    verdict = "all decisions are equal" if not report.differences else f"{len(report.differences)} differ"
    yield f"{run}: {report.records} records, {report.fault_count} faults: {verdict}"


def describe_changes(differences: list[Difference]) -> Iterator[str]:
    """Yields which decisions changed into which, how often, and for how many units. After the first
    difference the two versions are in different states, so later differences may be consequences of it."""
    changed: Counter[tuple[str, str]] = Counter()
    units: Counter[tuple[str, str]] = Counter()
    for difference in differences:
        pair = summarize(difference.captured), summarize(difference.replayed)
        changed[pair] += 1
        if isinstance(difference.event, Request):
            units[pair] += round(difference.event.units)
    for (was, now), count in changed.most_common():
        yield f"  {was:14} -> {now:14} {count:7} times, {units[was, now]} units of new requests"


class RequestTrace:
    """An observer for `replay`: collects all events of one request, with the state in which each decision was
    made."""

    def __init__(self, request: str) -> None:
        self.request = request
        self.lines: list[str] = []
        self.tenant_id = ""

    def __call__(self, engine: Any, record: Record) -> None:
        """Adds the lines of one record."""
        event = decode_event(record)
        is_own = getattr(event, "request_id", None) == self.request
        actions = [action for action in record[3] or () if action[1] and action[1][0] == self.request]
        if not is_own and not actions:
            return
        if isinstance(event, AttemptAssigned):  # no decision: the previous event shows the state
            self.lines.append(f"{record[0]:.3f}  attempt {event.attempt} to {event.reason}")
            return
        self.lines.append(f"{record[0]:.3f}  {event}")
        if isinstance(event, Request):
            self.tenant_id = event.tenant
        self.lines += [f"    {line}" for line in describe_state(engine, self.tenant_id)]
        shown = record[3] if is_own else actions
        self.lines += [f"  => {describe_action(action)}" for action in shown or ()]


def describe_state(engine: Any, tenant_id: str) -> Iterator[str]:
    """Yields the engine's state of a tenant, the counter and the servers."""
    quota, pacing = engine.quota, engine.quota.counter.pacing
    tenant = quota.tenants.by_id.get(tenant_id)
    if tenant is not None:
        yield (
            f"customer: store {tenant.bucket_units:.2f}, part {tenant.local_units:.2f}, "
            f"guard {tenant.ceiling_guard_units:.2f}, credit {tenant.credit_units:.2f}"
        )
        yield (
            f"customer: own {tenant.own_demand_per_s:.2f}/s, others {tenant.others_demand_per_s:.2f}/s, "
            f"open {tenant.attempts_in_flight}"
        )
        yield (
            f"counter: total {tenant.counter_total_units:.2f} heard at {tenant.counter_total_ms:.0f}, "
            f"{tenant.calls_in_flight} calls out, {tenant.window_counter}"
        )
    counter = (
        "mute"
        if pacing.is_unavailable
        else f"share of calls {pacing.call_fraction:.2f}, missed {pacing.consecutive_failures}"
    )
    yield f"counter as a whole: {counter}"
    capacity, backlog = engine.shedder.capacity, engine.shedder.backlog
    yield f"V: {capacity.capacity_per_s:.1f} units/s, backlog {backlog.in_flight_ms:.0f} ms"
    yield f"further attempts in store: {engine.execution.retry_budget.tokens:.1f}"
    for name, server in engine.pool.servers.items():
        yield (
            f"server {name}: out {server.in_flight}, pace {server.relative_latency:.2f}, "
            f"fails {server.failure_rate:.2f}"
        )
