"""The rules that a route must keep on this platform, each with a code, checked at load.

Two kinds of rule: those that keep the gateway's promises (no request takes effect twice) and those that find
a route that can't mean what it says. All are stated against `PlatformFacts`, what the platform's file says.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from glenchute.policy.events import Outcome
from glenchute.policy.retries.route_limits import RouteLimits
from glenchute.policy.settings import Idempotency

from .facts import ClassFacts, PlatformFacts

# Of every wait: timers are a millisecond coarse and end up to one late, twice (the backoff and the timeout).
TIMER_ERROR_MS = 4.0
IDEMPOTENCY_MARGIN_MS = 5.0  # the engine starts no attempt in the last 5 ms of an idempotency window
MAY_HAVE_RUN = (Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT)
ONLY_UNRUN = 'write ["full", "unreachable"]'


class Violation(NamedTuple):
    """A rule that a route breaks: a stable code, the key of the route, and one sentence with the fix."""

    code: str
    key: str
    message: str
    is_warning: bool = False


def backoff_delays_ms(route: RouteLimits, attempts: int, longest: bool) -> list[float]:
    """The delays before attempts 1, 2, ... at their longest or shortest."""
    if route.backoff is None:
        return [0.0] * (attempts - 1)
    pick = route.backoff.max_delay_ms if longest else route.backoff.min_delay_ms
    return [pick(number) for number in range(1, attempts)]


def max_attempts(route: RouteLimits, facts: PlatformFacts) -> int:
    """How many attempts of a request the route allows."""
    return min(route.max_attempts or facts.max_attempts, facts.max_attempts)


def latest_write_ms(route: RouteLimits, facts: PlatformFacts) -> float | None:
    """How long after the first attempt's start a byte of the last one can leave; None where the route sets no
    timeout, so that the engine spaces its attempts by the idempotency window itself."""
    attempts = max_attempts(route, facts)
    if attempts < 2 or not route.attempt_timeout_ms:
        return None
    waits = route.attempt_timeout_ms * (attempts - 1) + sum(backoff_delays_ms(route, attempts, True))
    connecting = min(facts.connect_timeout_ms, route.attempt_timeout_ms)
    return waits + connecting + TIMER_ERROR_MS * (attempts - 1)


def retry_window_ms(cls: ClassFacts) -> float:
    """How long after the first byte of a request with an idempotency key a repeat may leave."""
    return cls.idempotency_window_ms - IDEMPOTENCY_MARGIN_MS


def violations(route: RouteLimits, name: str, facts: PlatformFacts) -> list[Violation]:
    """What this route breaks for the class `name`."""
    return [
        *hedging_violations(route, name, facts),
        *repeat_violations(route, name, facts),
        *timing_violations(route, name, facts),
    ]


def hedging_violations(route: RouteLimits, name: str, facts: PlatformFacts) -> Iterator[Violation]:
    """A hedged request must be allowed, harmless, and of use."""
    cls, delay_ms, key = facts.classes[name], route.hedge_after_ms, "second_copy_after_ms"
    if not delay_ms:
        return
    latest_ms = delay_ms + facts.connect_timeout_ms + TIMER_ERROR_MS
    if cls.idempotency is Idempotency.NON_IDEMPOTENT:
        yield Violation("copy-unsafe", key, f"{name} must never run twice; leave the second copy out")
    elif not facts.allows_hedging:
        yield Violation("copy-no-overlap", key, "the platform allows one attempt at a time; drop it")
    elif cls.idempotency is Idempotency.WITH_KEY and latest_ms > retry_window_ms(cls):
        message = (
            f"a copy of {name} could leave {latest_ms:g} ms after the first, and "
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
    """No retry may make a request take effect twice."""
    cls, attempts = facts.classes[name], max_attempts(route, facts)
    risky = sorted(cause.value for cause in route.retryable_outcomes or () if cause in MAY_HAVE_RUN)
    if risky and cls.idempotency is Idempotency.NON_IDEMPOTENT:
        message = f"after {', '.join(risky)} {name} may have run and must not run again; {ONLY_UNRUN}"
        yield Violation("cause-may-have-run", "retry_on", message)
    if cls.idempotency is not Idempotency.WITH_KEY or attempts < 2:
        return
    if not risky and route.retryable_outcomes is not None:
        return
    if not cls.is_scope_known:
        message = f"the platform's file does not say which servers drop repeats of {name}; {ONLY_UNRUN}"
        yield Violation("keyed-scope", "retry_on", message)
    latest_ms = latest_write_ms(route, facts)
    if latest_ms is not None and latest_ms > retry_window_ms(cls):
        connecting = min(facts.connect_timeout_ms, route.attempt_timeout_ms)
        message = (
            f"attempt {attempts} of {name} can leave {latest_ms:g} ms after the first (time-outs, pauses at "
            f"their longest, {connecting:g} ms to connect), and repeats are dropped "
            f"for {cls.idempotency_window_ms:g} ms; shorten attempt_timeout_ms or backoff, "
            "or allow fewer attempts"
        )
        yield Violation("keyed-beyond-memory", "attempt_timeout_ms", message)


def timing_violations(route: RouteLimits, name: str, facts: PlatformFacts) -> Iterator[Violation]:
    """Attempts must fit the platform's cap and the time that clients wait."""
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
            f"the pauses before attempt {attempts} take {shortest_ms:g} ms at least, "
            f"and clients of {name} wait {cls.deadline_ms:g} ms; allow fewer attempts or shorter pauses"
        )
        yield Violation("attempts-never-fit", "backoff" if route.backoff else "attempts", message)
