"""The engine's whole state as bytes, and back. Reading makes known classes only and runs nothing else."""

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
PLAIN = (("collections", "deque"), ("random", "Random"), ("builtins", "set"), ("builtins", "frozenset"))
KNOWN = frozenset((kind.__module__, kind.__qualname__) for kind in POLICY_CLASSES) | frozenset(PLAIN)


class RestrictedUnpickler(pickle.Unpickler):
    """Loads the engine's own classes and a few plain ones, nothing that could do anything."""

    def find_class(self, module: str, name: str) -> Any:
        """A class by name; `SnapshotError` for an unknown one."""
        if (module, name) == ("builtins", "getattr"):
            return enum_member  # this is how Python 3.11 pickles a member of an Enum
        if (module, name) in KNOWN:
            return super().find_class(module, name)
        raise SnapshotError(f"a snapshot that asks for {module}.{name}")


def enum_member(kind: Any, name: str) -> Any:
    """A member of an Enum, and no other attribute of anything."""
    if not (isinstance(kind, type) and issubclass(kind, Enum)):
        raise SnapshotError(f"a snapshot that asks for {name} of {kind!r}")
    return kind[name]


def dump(engine: Any) -> bytes:
    """The engine's whole state."""
    return pickle.dumps(engine, protocol=5)


def load(state: bytes, capture_format: int) -> Any:
    """An engine in that state, which a capture of this format holds; `SnapshotError` where there is none."""
    try:
        if capture_format == format_1.FORMAT:
            return format_1_snapshot.load_snapshot(state)
        return RestrictedUnpickler(io.BytesIO(state)).load()
    except SnapshotError:
        raise
    except Exception as error:  # a state of other classes, or damage: whatever it is, there is no engine
        raise SnapshotError(f"a snapshot that can't be read ({error!r})") from None
