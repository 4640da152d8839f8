"""The rules that a route must comply with on this platform, each with a code, checked at load.

There are two kinds of rule: those that keep the gateway's guarantees (no request takes effect twice) and
those that find a route whose settings can't take effect as written. All are checked against `PlatformFacts`.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from glenchute.policy.events import Outcome
from glenchute.policy.retries.route_limits import RouteLimits
from glenchute.policy.settings import Idempotency

from .facts import ClassFacts, PlatformFacts

# Maximum delay of each retry by timers, which have a resolution of 1 ms and fire up to 1 ms late; a retry
# waits for two of them, the backoff and the timeout.
TIMER_ERROR_MS = 4.0
IDEMPOTENCY_MARGIN_MS = 5.0  # the engine starts no attempt in the last 5 ms of an idempotency window
MAY_HAVE_RUN = (Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT)
SAFE_CAUSES_FIX = 'write ["full", "unreachable"]'


class Violation(NamedTuple):
    """A rule that a route breaks: a stable code, the key of the route, and a message with the fix."""

    code: str
    key: str
    message: str
    is_warning: bool = False


def backoff_delays_ms(route: RouteLimits, attempts: int, longest: bool) -> list[float]:
    """Returns the longest or shortest delay before each attempt after the first."""
    if route.backoff is None:
        return [0.0] * (attempts - 1)
    pick = route.backoff.max_delay_ms if longest else route.backoff.min_delay_ms
    return [pick(number) for number in range(1, attempts)]


def max_attempts(route: RouteLimits, facts: PlatformFacts) -> int:
    """Returns how many attempts per request the route allows."""
    return min(route.max_attempts or facts.max_attempts, facts.max_attempts)


def latest_write_ms(route: RouteLimits, facts: PlatformFacts) -> float | None:
    """Returns how long after the start of the first attempt a byte of the last attempt can be written. None
    if the route sets no timeout, so that the engine itself keeps attempts within the idempotency window."""
    attempts = max_attempts(route, facts)
    if attempts < 2 or not route.attempt_timeout_ms:
        return None
    waits = route.attempt_timeout_ms * (attempts - 1) + sum(backoff_delays_ms(route, attempts, True))
    connecting = min(facts.connect_timeout_ms, route.attempt_timeout_ms)
    return waits + connecting + TIMER_ERROR_MS * (attempts - 1)


def retry_window_ms(cls: ClassFacts) -> float:
    """Returns how long after the first byte of a request with an idempotency key a repeat may be written."""
    return cls.idempotency_window_ms - IDEMPOTENCY_MARGIN_MS


def violations(route: RouteLimits, name: str, facts: PlatformFacts) -> list[Violation]:
    """Returns the rules that this route breaks for the class `name`."""
    return [
        *hedging_violations(route, name, facts),
        *repeat_violations(route, name, facts),
        *timing_violations(route, name, facts),
    ]


def hedging_violations(route: RouteLimits, name: str, facts: PlatformFacts) -> Iterator[Violation]:
    """Yields violations by hedged requests, which must be allowed, safe, and able to start."""
    cls, delay_ms, key = facts.classes[name], route.hedge_after_ms, "second_copy_after_ms"
    if not delay_ms:
        return
    latest_ms = delay_ms + facts.connect_timeout_ms + TIMER_ERROR_MS
    if cls.idempotency is Idempotency.NON_IDEMPOTENT:
        yield Violation("copy-unsafe", key, f"{name} must never run twice; leave the second copy out")
    elif not facts.allows_hedging:
        yield Violation("copy-no-overlap", key, "the platform allows one attempt at a time; remove it")
    elif cls.idempotency is Idempotency.WITH_KEY and latest_ms > retry_window_ms(cls):
        message = (
            f"a copy of {name} could be written {latest_ms:g} ms after the first, and "
            f"repeats are dropped for {cls.idempotency_window_ms:g} ms; shorten it"
        )
        yield Violation("copy-beyond-memory", key, message)
    if route.max_attempts == 1:
        yield Violation("copy-over-attempts", key, "attempts = 1 leaves no second copy; allow 2")
    if route.attempt_timeout_ms and delay_ms >= route.attempt_timeout_ms:
        message = (
            f"the first attempt ends after {route.attempt_timeout_ms:g} ms already; put the copy before that"
        )
        yield Violation("copy-after-timeout", key, message)


def repeat_violations(route: RouteLimits, name: str, facts: PlatformFacts) -> Iterator[Violation]:
    """Yields violations by retries that might make a request take effect twice."""
    cls, attempts = facts.classes[name], max_attempts(route, facts)
    unsafe_causes = sorted(cause.value for cause in route.retryable_outcomes or () if cause in MAY_HAVE_RUN)
    if unsafe_causes and cls.idempotency is Idempotency.NON_IDEMPOTENT:
        message = (
            f"after {', '.join(unsafe_causes)} {name} may have run and must not run again; {SAFE_CAUSES_FIX}"
        )
        yield Violation("cause-may-have-run", "retry_on", message)
    if cls.idempotency is not Idempotency.WITH_KEY or attempts < 2:
        return
    if not unsafe_causes and route.retryable_outcomes is not None:
        return
    if not cls.is_scope_known:
        message = f"the platform's file does not say which servers drop repeats of {name}; {SAFE_CAUSES_FIX}"
        yield Violation("keyed-scope", "retry_on", message)
    latest_ms = latest_write_ms(route, facts)
    if latest_ms is not None and latest_ms > retry_window_ms(cls):
        connecting = min(facts.connect_timeout_ms, route.attempt_timeout_ms)
        message = (
            f"attempt {attempts} of {name} can be written {latest_ms:g} ms after the first (timeouts, "
            f"longest backoffs, {connecting:g} ms to connect), and repeats are dropped "
            f"for {cls.idempotency_window_ms:g} ms; shorten attempt_timeout_ms or backoff, "
            "or allow fewer attempts"
        )
        yield Violation("keyed-beyond-memory", "attempt_timeout_ms", message)


def timing_violations(route: RouteLimits, name: str, facts: PlatformFacts) -> Iterator[Violation]:
    """Yields violations by attempts that exceed the platform's limit or the clients' deadline."""
    cls, timeout_ms = facts.classes[name], route.attempt_timeout_ms
    attempts = max_attempts(route, facts)
    if route.max_attempts > facts.max_attempts:
        message = f"the platform allows {facts.max_attempts}; write that or less"
        yield Violation("attempts-over-cap", "attempts", message)
    if timeout_ms > cls.deadline_ms:
        message = f"clients of {name} wait {cls.deadline_ms:g} ms at most; write less"
        yield Violation("timeout-over-deadline", "attempt_timeout_ms", message)
    elif timeout_ms and timeout_ms < facts.connect_timeout_ms:
        message = (
            f"a new connection may take {facts.connect_timeout_ms:g} ms; "
            "attempts that need one may end unreachable"
        )
        yield Violation("timeout-under-connect", "attempt_timeout_ms", message, is_warning=True)
    shortest_ms = sum(backoff_delays_ms(route, attempts, False))
    if attempts > 1 and shortest_ms >= cls.deadline_ms:
        message = (
            f"the backoffs before attempt {attempts} take at least {shortest_ms:g} ms, "
            f"and clients of {name} wait {cls.deadline_ms:g} ms; allow fewer attempts or shorter backoffs"
        )
        yield Violation("attempts-never-fit", "backoff" if route.backoff else "attempts", message)
