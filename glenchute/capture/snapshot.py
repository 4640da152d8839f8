"""Snapshots: the engine's whole state as bytes. Loading one creates instances of known classes and runs no
other code."""

from __future__ import annotations

import io
import pickle
from enum import Enum
from typing import Any

from glenchute.policy.actions import (
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
from glenchute.policy.events import Endpoint, EndpointListKind, EndpointState, Outcome, QuotaSnapshot, Request
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

from . import format_1, format_1_snapshot
from .errors import SnapshotError

POLICY_CLASSES = (
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
    Attempt,
    Backlog,
    CallPacing,
    CapacityEstimate,
    CounterCall,
    CounterCalls,
    CounterHealth,
    CounterMonitor,
    CounterSync,
    DecisionEngine,
    Endpoint,
    EndpointChooser,
    EndpointListKind,
    EndpointState,
    Idempotency,
    IdempotencyScope,
    LatencyEstimates,
    LoadShedder,
    Outcome,
    OutlierDetector,
    PeerLoad,
    PendingRequest,
    Plan,
    QuotaAccounting,
    QuotaSnapshot,
    RejectionCause,
    ReportedState,
    Reports,
    Request,
    RequestClass,
    RequestExecution,
    RetryBudget,
    RetryPolicy,
    ScheduledAttempt,
    Server,
    ServerPool,
    Settings,
    SlowStart,
    SlowStartLimiter,
    Tenant,
    TenantTable,
    WindowCounter,
)
STANDARD_CLASSES = (
    ("collections", "deque"),
    ("random", "Random"),
    ("builtins", "set"),
    ("builtins", "frozenset"),
)
ALLOWED_CLASSES = frozenset((kind.__module__, kind.__qualname__) for kind in POLICY_CLASSES) | frozenset(
    STANDARD_CLASSES
)


class RestrictedUnpickler(pickle.Unpickler):
    """An unpickler that loads the engine's classes and a few of the standard library, and nothing that could
    run other code."""

    def find_class(self, module: str, name: str) -> Any:
        """Returns a class by its name; raises `SnapshotError` if it is not allowed."""
        if (module, name) == ("builtins", "getattr"):
            return enum_member  # Python 3.11 before 3.11.4 pickles an Enum member as a call of `getattr`
        if (module, name) in ALLOWED_CLASSES:
            return super().find_class(module, name)
        raise SnapshotError(f"the snapshot refers to {module}.{name}, which may not be loaded")


def enum_member(kind: Any, name: str) -> Any:
    """Replaces `getattr` in a snapshot: returns a member of an Enum, and refuses any other attribute."""
    if not (isinstance(kind, type) and issubclass(kind, Enum)):
        raise SnapshotError(f"the snapshot refers to {name} of {kind!r}, which is not an Enum")
    return kind[name]


def dump(engine: Any) -> bytes:
    """Returns the engine's whole state as bytes."""
    return pickle.dumps(engine, protocol=5)


def load(state: bytes, capture_format: int) -> Any:
    """Returns the engine of a snapshot from a capture of this format. Raises `SnapshotError` if it can't be
    loaded."""
    try:
        if capture_format == format_1.FORMAT:
            return format_1_snapshot.load_snapshot(state)
        return RestrictedUnpickler(io.BytesIO(state)).load()
    except SnapshotError:
        raise
    except Exception as error:  # unpickling damaged bytes may raise any exception
        raise SnapshotError(f"the snapshot can't be loaded ({error!r})") from None
