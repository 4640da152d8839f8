"""``glenchute replay``: a capture through the module, equal or not, and why a request went as it did."""

from __future__ import annotations

import argparse
import sys
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from glenchute.capture.codec import Record, event_of, module_digest, readable
from glenchute.capture.errors import CaptureError
from glenchute.capture.refusals import CAUSES, Refusals
from glenchute.capture.replay import Difference, Report, kinds, other_module, read, replay, runs
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.events import AttemptAssigned, Request

MOST_SHOWN = 20
MOST_COMPARED = 1_000_000


def command(args: argparse.Namespace) -> int:
    """0 where every decision is equal, 1 where one is not, 2 where the capture can't be used."""
    try:
        found = runs(Path(args.path))
        make = other_module(Path(args.against)) if args.against else DecisionEngine
        equal = True
        for run, files in found.items():
            causes = Refusals() if args.refusals else None
            seen = Story(args.explain) if args.explain else causes
            most = MOST_COMPARED if args.against or args.diff else 1
            version = version_of(files)
            own = args.against is None and version == module_digest()
            if args.against is None and version not in ("", module_digest()):
                print(f"{run}: captured by module {version}, replayed by {module_digest()}")
            report = replay(files, make, args.since, args.until, most, own, seen)
            equal = equal and not report.differences
            lines = seen.lines if isinstance(seen, Story) else causes_told(causes) if causes else ()
            for line in [*lines, *told(run, report, bool(args.against))]:
                print(line)
    except CaptureError as error:
        print(f"glenchute: {error}", file=sys.stderr)
        return 2
    return 0 if equal else 1


def causes_told(found: Refusals) -> Iterator[str]:
    """Refusals by cause."""
    rows = found.rows()
    yield f"{found.requests} requests, {sum(row.refusals for row in rows)} refused"
    for row in rows:
        left = f"{row.store_left:.1f} units left in the store" if row.units else ""
        yield f"  {row.cause:12} {row.refusals:7} {row.units:9.0f} units  {left:32} {CAUSES[row.cause]}"


def version_of(files: list[Path]) -> str:
    """The module's version by the first segment that can be read."""
    for file in files:
        try:
            return read(file).head.module
        except CaptureError:
            continue
    return ""


def told(run: str, report: Report, against: bool) -> Iterator[str]:
    """The result in lines."""
    for note in report.notes:
        yield f"{run}: {note}"
    if against:
        yield from table(report.differences)
    else:
        for difference in report.differences[:MOST_SHOWN]:
            yield f"record {difference.at} at {difference.now_ms:.3f}: {difference.event}"
            yield f"  captured: {'; '.join(map(readable, difference.captured)) or 'nothing'}"
            yield f"  replayed: {'; '.join(map(readable, difference.replayed)) or 'nothing'}"
    verdict = "all decisions are equal" if not report.differences else f"{len(report.differences)} differ"
    yield f"{run}: {report.records} records, {report.faults} faults: {verdict}"


def table(differences: list[Difference]) -> Iterator[str]:
    """Which decisions changed into which, how often, for how many units. After the first the two versions
    have lived through different pasts, so later ones are consequences as well."""
    changed: Counter[tuple[str, str]] = Counter()
    units: Counter[tuple[str, str]] = Counter()
    for difference in differences:
        pair = kinds(difference.captured), kinds(difference.replayed)
        changed[pair] += 1
        if isinstance(difference.event, Request):
            units[pair] += round(difference.event.units)
    for (was, now), count in changed.most_common():
        yield f"  {was:14} -> {now:14} {count:7} times, {units[was, now]} units of new requests"


class Story:
    """Collects all that befell one request, with the state that each decision was made in."""

    def __init__(self, request: str) -> None:
        self.request = request
        self.lines: list[str] = []
        self.customer = ""

    def __call__(self, module: Any, record: Record) -> None:
        event = event_of(record)
        mine = getattr(event, "request_id", None) == self.request
        actions = [action for action in record[3] or () if action[1] and action[1][0] == self.request]
        if not mine and not actions:
            return
        if isinstance(event, AttemptAssigned):  # decides nothing: the state is the one told just before
            self.lines.append(f"{record[0]:.3f}  attempt {event.attempt} to {event.reason}")
            return
        self.lines.append(f"{record[0]:.3f}  {event}")
        if isinstance(event, Request):
            self.customer = event.tenant
        self.lines += [f"    {line}" for line in state(module, self.customer)]
        shown = record[3] if mine else actions
        self.lines += [f"  => {readable(action)}" for action in shown or ()]


def state(module: Any, tenant_id: str) -> Iterator[str]:
    """What the engine believed of a tenant, the counter and the servers."""
    quota, pacing = module.quota, module.quota.counter.pacing
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
    capacity, backlog = module.shedder.capacity, module.shedder.backlog
    yield f"V: {capacity.capacity_per_s:.1f} units/s, backlog {backlog.in_flight_ms:.0f} ms"
    yield f"further attempts in store: {module.execution.retry_budget.tokens:.1f}"
    for name, server in module.pool.servers.items():
        yield (
            f"server {name}: out {server.in_flight}, pace {server.relative_latency:.2f}, "
            f"fails {server.failure_rate:.2f}"
        )
