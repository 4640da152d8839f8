"""Snapshots in captures of format 1: converts the state of an older engine to the present classes.

A snapshot is first unpickled into `OldState` objects, so that none of its code runs, and these are then
converted to the present classes; shared references stay shared. If an old class has been split, a function
creates the objects of the new classes.
"""

from __future__ import annotations

import io
import pickle
import random
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from glenchute.policy.actions import (
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
from glenchute.policy.admission.backlog import Backlog
from glenchute.policy.admission.call_pacing import CallPacing
from glenchute.policy.admission.capacity import CapacityEstimate
from glenchute.policy.admission.counter_calls import CounterCall, CounterCalls
from glenchute.policy.admission.counter_health import CounterHealth, CounterMonitor
from glenchute.policy.admission.counter_sync import CounterSync
from glenchute.policy.admission.epoch_markers import WindowCounter
from glenchute.policy.admission.overload import LoadShedder
from glenchute.policy.admission.quota import QuotaAccounting, RejectionCause
from glenchute.policy.admission.tenant import Tenant
from glenchute.policy.admission.tenants import TenantTable
from glenchute.policy.balancing.endpoint_choice import EndpointChooser
from glenchute.policy.balancing.latency import LatencyEstimates
from glenchute.policy.balancing.outliers import OutlierDetector
from glenchute.policy.balancing.peer_load import PeerLoad
from glenchute.policy.balancing.pool import ServerPool
from glenchute.policy.balancing.server import Server
from glenchute.policy.balancing.slow_start import SlowStartLimiter
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.events import (
    Endpoint,
    EndpointListKind,
    EndpointState,
    Outcome,
    QuotaSnapshot,
    Request,
)
from glenchute.policy.reports import ReportedState, Reports
from glenchute.policy.request_execution import RequestExecution
from glenchute.policy.requests import Attempt, PendingRequest, ScheduledAttempt
from glenchute.policy.retries.retry_budget import RetryBudget
from glenchute.policy.retries.retry_policy import RetryPolicy
from glenchute.policy.settings import (
    Idempotency,
    IdempotencyScope,
    Plan,
    RequestClass,
    Settings,
    SlowStart,
)

from .errors import SnapshotError
from .format_1 import (
    ENDPOINT,
    PLAN,
    QUOTA_SNAPSHOT,
    REQUEST,
    REQUEST_CLASS,
    SETTINGS,
    SLOW_START,
    State,
    rename_fields,
)

TENANT = {
    "key": "tenant_id",
    "spread": "gateway_spread",
    "at": "updated_ms",
    "store": "bucket_units",
    "part": "local_units",
    "guard": "ceiling_guard_units",
    "seen": "last_seen_ms",
    "credit": "credit_units",
    "own": "own_demand_per_s",
    "others": "others_demand_per_s",
    "drained": "assumed_drain_units",
    "open": "attempts_in_flight",
    "size": "largest_request_units",
    "told_own": "reported_own_units",
    "told_all": "reported_units",
    "span": "window_length_ms",
    "window": "window_start_ms",
    "name": "counter_key",
    "word": "window_counter",
    "whole": "is_last_call_complete",
    "fresh": "unreported_units",
    "under_way": "calls_in_flight",
    "mine": "own_units_since_reply",
    "by_counter": "counter_others_units",
    "by_members": "member_others_units",
    "before": "previous_window_units",
    "heard": "reporting_fraction",
    "heard_at": "usage_update_ms",
    "total": "counter_total_units",
    "total_at": "counter_total_ms",
    "called_at": "last_call_ms",
}
WINDOW_COUNTER = {
    "mark": "marker",
    "may_mark": "may_add_marker",
    "marked": "is_marked",
    "confirmed": "is_marker_confirmed",
    "marks": "marker_count",
    "told": "confirmed_units",
    "lost": "has_lost_memory",
}
COUNTER_MONITOR = {
    "mute_after": "unavailable_after",
    "missed": "consecutive_failures",
    "share": "call_fraction",
    "lost_at": "memory_lost_ms",
    "mute_at": "unavailable_ms",
    "crew": "slow_marker_fraction",
    "fresh": "fast_marker_fraction",
}
SERVER = {
    "entry": "endpoint",
    "size": "weight",
    "out": "in_flight",
    "pace": "relative_latency",
    "paced_at": "relative_latency_ms",
    "fails": "failure_rate",
    "fails_at": "failure_rate_ms",
    "refused": "connect_failures",
    "look_at": "backed_off_until_ms",
    "avoid_to": "avoid_until_ms",
    "silent_since": "unanswered_since_ms",
    "held": "peer_requests",
    "held_at": "load_report_ms",
    "turn": "slow_start_tokens",
    "turn_at": "slow_start_tokens_ms",
    "rate": "response_rate_per_s",
    "rated_at": "response_rate_ms",
}
PENDING_REQUEST = {
    "cls": "request_class",
    "customer": "tenant",
    "came": "arrived_ms",
    "deadline": "deadline_ms",
    "attempts": "attempt_count",
    "out": "in_flight",
    "counted": "is_counted",
    "booked": "is_charged",
    "reached": "has_reached_server",
    "tried": "attempted_addresses",
    "may_run_at": "may_have_run_ms",
    "home": "pinned_endpoint",
}
ATTEMPT = {
    "opened": "pending",
    "server": "endpoint",
    "sent": "sent_ms",
    "work": "expected_latency_ms",
    "began": "response_started_ms",
}


@dataclass(frozen=True)
class Conversion:
    """How an object of an old class is converted: the present class, the present names of
    attributes, and an optional function that is then applied to the state."""

    target: type[Any]
    names: Mapping[str, str] = field(default_factory=dict)
    finish: Callable[[State], State] | None = None


def create_object(target: type[Any], **state: Any) -> Any:
    """Creates an object with these attributes, without calling `__init__`."""
    new = object.__new__(target)
    for name, value in state.items():
        object.__setattr__(new, name, value)
    return new


def quota_accounting(old: State) -> State:
    """Splits the old quota object, which also held the tenants, the counter calls and their pacing."""
    settings, pacing = old["settings"], call_pacing(old)
    calls = CounterCalls()
    for key, rows in old["calls_out"].items():
        calls.in_flight[key] = deque(CounterCall(*row) for row in rows)
    for key, rows in old["timed_out"].items():
        calls.timed_out[key] = deque(timed_out_call(*row) for row in rows)
    tenants = create_object(
        TenantTable,
        settings=settings,
        pacing=pacing,
        calls=calls,
        plans=old["plans"],
        by_id=old["customers"],
        unreported=old["due"],
        started_ms=old["started"],
        markers_from_ms=old["marks_from"],
        process_count=old["processes"],
        mean_attempt_s=old["hold_s"],
    )
    counter = create_object(
        CounterSync,
        settings=settings,
        rng=old["rng"],
        tenants=tenants,
        pacing=pacing,
        calls=calls,
        replied_tenant=old["asker"],
        reserved_units=old["ahead"],
    )
    cause = RejectionCause(old["cause"]) if old["cause"] else None
    return {
        "settings": settings,
        "rng": old["rng"],
        "tenants": tenants,
        "counter": counter,
        "rejection_cause": cause,
    }


def timed_out_call(
    tenant: Tenant, window_counter: WindowCounter, units: float, marker: float, had_request: bool
) -> CounterCall:
    """Returns a call that had timed out. The old engine kept only whether a request had waited for it, which
    is all that matters for such a call, so the request id is empty, or None if none waited."""
    return CounterCall(tenant, window_counter, units, marker, "" if had_request else None, True, 0.0)


def call_pacing(old: State) -> CallPacing:
    """Returns the pacing of counter calls, which the old quota object also held."""
    pacing: CallPacing = create_object(
        CallPacing,
        settings=old["settings"],
        monitor=old["watch"],
        consecutive_failures=old["missed"],
        late_fraction=old["slow"],
        call_fraction=old["share"],
        next_probe_ms=old["probe_at"],
    )
    return pacing


def server_pool(old: State) -> State:
    """Splits the old server pool, which also held all estimates of the servers' load and health."""
    settings = old["settings"]
    warming_up, warm = old["crowd"]
    return {
        "settings": settings,
        "rng": old["rng"],
        "servers": old["servers"],
        "total_servers": old["of"],
        "latency": create_object(LatencyEstimates, mean_ms=old["means"], load_factor=old["load"]),
        "outliers": create_object(OutlierDetector, median_failure_rate=old["usual"]),
        "peer_load": create_object(PeerLoad, mean_requests_warming_up=warming_up, mean_requests_warm=warm),
        "slow_start": create_object(
            SlowStartLimiter,
            rules=settings.slow_start,
            gateway_count=settings.gateway_count,
            warm_response_rate_per_s=old["rate"],
        ),
    }


def attempt_in_backlog(old: State) -> State:
    """Adds that the work of an attempt counts as backlog, as it did until the attempt's end."""
    return {**old, "is_in_backlog": True}


def load_shedder(old: State) -> State:
    """Splits the old load shedder, which also held the capacity estimate and the backlog."""
    capacity = create_object(
        CapacityEstimate,
        capacity_per_s=old["capacity"],
        window_start_ms=old["at"],
        latency_ratios=old["times"],
        window_units=old["demand"],
        demand_per_s=old["last"],
        servers_per_gateway=old["part"],
        mean_latency_s=old["took"],
        mean_request_units=old["size"],
        good_windows=old["well"],
    )
    backlog = create_object(
        Backlog,
        in_flight_ms=old["backlog"],
        completed_ms_per_s=old["done"],
        peak_ms_per_s=old["peak"],
        completed_at_ms=old["done_at"],
        measured_since_ms=old["born"],
    )
    return {"capacity": capacity, "backlog": backlog, "credit_units": old["credit"]}


def decision_engine(old: State) -> State:
    """Splits the old engine, which also held the requests, the retry budget and the reports."""
    states = {name: ReportedState(*state) for name, state in old["told"].items()}
    reports = create_object(Reports, counts=old["tally"], counts_since_ms=old["tallied_at"], states=states)
    pool = old["fleet"]
    return {
        "settings": old["settings"],
        "rng": old["rng"],
        "classes": old["classes"],
        "quota": old["quota"],
        "pool": pool,
        "shedder": old["pressure"],
        "reports": reports,
        "execution": request_execution(old, pool, reports),
        "next_tick_ms": old["tick_at"],
        "actions": old["actions"],
    }


def request_execution(old: State, pool: ServerPool, reports: Reports) -> RequestExecution:
    """Returns the request execution of an engine, whose state the old engine held itself."""
    settings = old["settings"]
    chooser = create_object(
        EndpointChooser,
        settings=settings,
        rng=old["rng"],
        pool=pool,
        slow_start=pool.slow_start,
        peer_load=pool.peer_load,
        outliers=pool.outliers,
    )
    execution: RequestExecution = create_object(
        RequestExecution,
        settings=settings,
        quota=old["quota"],
        pool=pool,
        shedder=old["pressure"],
        reports=reports,
        chooser=chooser,
        retry_policy=create_object(RetryPolicy, settings=settings, latency=pool.latency),
        retry_budget=create_object(RetryBudget, tokens=old["retries"]),
        requests=old["requests"],
        attempts=old["attempts"],
        waiting=old["held"],
        scheduled={token: ScheduledAttempt(*row) for token, row in old["waits"].items()},
        last_token=old["serial"],
        resumed_ms=old["woke"],
        actions=old["actions"],
    )
    return execution


ENUMS: dict[tuple[str, str], tuple[type[Enum], Mapping[str, str]]] = {
    ("heathglade.interface", "Repeat"): (
        Idempotency,
        {"SAFE": "IDEMPOTENT", "KEYED": "WITH_KEY", "UNSAFE": "NON_IDEMPOTENT"},
    ),
    ("heathglade.interface", "Scope"): (IdempotencyScope, {}),
    ("heathglade.interface", "Ending"): (Outcome, {"FULL": "REJECTED", "UNSENT": "NOT_SENT"}),
    ("heathglade.interface", "ServerState"): (EndpointState, {"GONE": "REMOVED"}),
    ("heathglade.interface", "ListKind"): (EndpointListKind, {"SAVED": "CACHED"}),
    ("heathglade.marks", "Health"): (CounterHealth, {"MUTE": "UNAVAILABLE"}),
}
CLASSES: dict[tuple[str, str], Conversion] = {
    ("heathglade.interface", "Settings"): Conversion(Settings, SETTINGS),
    ("heathglade.interface", "RequestClass"): Conversion(RequestClass, REQUEST_CLASS),
    ("heathglade.interface", "Plan"): Conversion(Plan, PLAN),
    ("heathglade.interface", "Safety"): Conversion(SlowStart, SLOW_START),
    ("heathglade.interface", "ServerEntry"): Conversion(Endpoint, ENDPOINT),
    ("heathglade.interface", "Request"): Conversion(Request, REQUEST),
    ("heathglade.interface", "Stock"): Conversion(QuotaSnapshot, QUOTA_SNAPSHOT),
    ("heathglade.interface", "Send"): Conversion(StartAttempt, {"server": "address"}),
    ("heathglade.interface", "Cancel"): Conversion(CancelAttempt),
    ("heathglade.interface", "Refuse"): Conversion(Reject),
    ("heathglade.interface", "Fail"): Conversion(Fail),
    ("heathglade.interface", "SetTimer"): Conversion(SetTimer),
    ("heathglade.interface", "Count"): Conversion(IncrementCounter, {"name": "key"}),
    ("heathglade.interface", "Subscribe"): Conversion(SubscribeToEndpoints),
    ("heathglade.interface", "Log"): Conversion(LogMessage),
    ("heathglade.interface", "HandOver"): Conversion(SendState, {"stocks": "quotas"}),
    ("heathglade.marks", "Name"): Conversion(WindowCounter, WINDOW_COUNTER),
    ("heathglade.marks", "Watch"): Conversion(CounterMonitor, COUNTER_MONITOR),
    ("heathglade.records", "Customer"): Conversion(Tenant, TENANT),
    ("heathglade.records", "Server"): Conversion(Server, SERVER),
    ("heathglade.records", "Open"): Conversion(PendingRequest, PENDING_REQUEST),
    ("heathglade.records", "Attempt"): Conversion(Attempt, ATTEMPT, attempt_in_backlog),
    ("heathglade.policy", "Quota"): Conversion(QuotaAccounting, finish=quota_accounting),
    ("heathglade.policy", "Fleet"): Conversion(ServerPool, finish=server_pool),
    ("heathglade.policy", "Pressure"): Conversion(LoadShedder, finish=load_shedder),
    ("heathglade.policy", "Gateway"): Conversion(DecisionEngine, finish=decision_engine),
}
STANDARD_CLASSES = (("collections", "deque"), ("builtins", "set"), ("builtins", "frozenset"))


class OldState:
    """An object of an old class: its attributes, without behaviour. Each old class has a subclass with its
    name."""

    conversion: Conversion
    attributes: State

    def __setstate__(self, state: Any) -> None:
        """Stores the attributes, which a class with slots pickles as a pair."""
        plain, slots = state if isinstance(state, tuple) else (state, None)
        self.attributes = {**(plain or {}), **(slots or {})}


@dataclass(frozen=True)
class OldEnum:
    """An old enumeration, which gives access to its members only: by value, as Python 3.11.4 and later pickle
    them, or by name, as earlier versions do. The values have not changed."""

    target: type[Enum]
    members: Mapping[str, str]

    def __call__(self, value: object) -> Enum:
        """Returns the present member with this value."""
        return self.target(value)


def enum_member(enumeration: Any, name: str) -> Enum:
    """Replaces `getattr` in a snapshot: returns the present member for an old name, and refuses any other
    attribute."""
    if not isinstance(enumeration, OldEnum):
        raise SnapshotError(f"the snapshot refers to {name} of {enumeration!r}, which is not an Enum")
    return enumeration.target[enumeration.members.get(name, name)]


class OldUnpickler(pickle.Unpickler):
    """An unpickler that loads the classes of format 1 as `OldState`, a few of the standard library as they
    are, and nothing else."""

    def find_class(self, module: str, name: str) -> Any:
        """Returns what replaces a class of the pickle; raises `SnapshotError` if the class is not allowed."""
        if (module, name) == ("builtins", "getattr"):
            return enum_member
        if (module, name) == ("random", "Random"):
            return random.Random
        if (module, name) in STANDARD_CLASSES:
            return super().find_class(module, name)
        if (module, name) in ENUMS:
            return OldEnum(*ENUMS[module, name])
        if (module, name) in CLASSES:
            return type(name, (OldState,), {"conversion": CLASSES[module, name]})
        raise SnapshotError(f"the snapshot refers to {module}.{name}, which may not be loaded")


class Converter:
    """Converts old objects to the present classes. An object that is referred to twice stays one object."""

    def __init__(self) -> None:
        self.converted: dict[int, Any] = {}  # new objects by the id of the old one
        self.originals: list[Any] = []  # references that keep the ids in `converted` from being reused

    def convert(self, value: Any) -> Any:
        """Returns the value with all old objects in it converted."""
        if id(value) in self.converted:
            return self.converted[id(value)]
        if isinstance(value, OldState):
            return self.convert_object(value)
        if isinstance(value, list | deque):
            sequence = self.remember(value, type(value)())
            sequence.extend(self.convert(item) for item in value)
            return sequence
        if isinstance(value, dict):
            table = self.remember(value, {})
            table.update((self.convert(key), self.convert(item)) for key, item in value.items())
            return table
        if isinstance(value, tuple):
            return tuple(self.convert(item) for item in value)
        return value

    def remember(self, old: Any, new: Any) -> Any:
        """Stores the new object for an old one, before its parts are converted, and returns it."""
        self.originals.append(old)
        self.converted[id(old)] = new
        return new

    def convert_object(self, old: OldState) -> Any:
        """Returns an object of the present class with the old one's state."""
        conversion = old.conversion
        new = self.remember(old, object.__new__(conversion.target))
        state = {name: self.convert(value) for name, value in old.attributes.items()}
        state = rename_fields(state, conversion.names)
        if conversion.finish is not None:
            state = conversion.finish(state)
        for name, value in state.items():
            object.__setattr__(new, name, value)
        return new


def load_snapshot(state: bytes) -> Any:
    """Returns the engine of a snapshot. Raises `SnapshotError` or any unpickling error if it can't be
    loaded."""
    return Converter().convert(OldUnpickler(io.BytesIO(state)).load())
