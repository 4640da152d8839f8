"""The rules that a route must keep on this platform, each with a code, checked at load.

Two kinds of rule: those that keep the gateway's promises (nothing takes effect twice) and those that find a
route that can't mean what it says. All are stated against `Facts`, what the platform's file says.
"""

from __future__ import annotations

from glenchute.policy.events import Outcome
from glenchute.policy.retries.route_limits import Route
from glenchute.policy.settings import Idempotency

from .facts import ClassFacts, Facts

# Of every wait: timers are a millisecond coarse and end up to one late, twice (the pause and the time-out).
CLOCK_MS = 4.0
MEMORY_MARGIN_MS = 5.0  # the module sends nothing in the last 5 ms of a memory span
MAY_HAVE_RUN = (Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT)


def pauses(route: Route, attempts: int, longest: bool) -> list[float]:
    """The pauses before attempts 1, 2, ... at their longest or shortest."""
    if route.backoff is None:
        return [0.0] * (attempts - 1)
    pick = route.backoff.most if longest else route.backoff.least
    return [pick(number) for number in range(1, attempts)]


def attempts_of(route: Route, facts: Facts) -> int:
    """How many attempts it allows at most."""
    return min(route.attempts or facts.attempts_cap, facts.attempts_cap)


def latest_write(route: Route, facts: Facts) -> float | None:
    """How long after the first attempt's start a byte of the last one can leave; None where the route sets no
    time-out, so that the module spaces its attempts by the memory span itself."""
    attempts = attempts_of(route, facts)
    if attempts < 2 or not route.attempt_timeout_ms:
        return None
    waits = route.attempt_timeout_ms * (attempts - 1) + sum(pauses(route, attempts, True))
    connecting = min(facts.connect_ms, route.attempt_timeout_ms)
    return waits + connecting + CLOCK_MS * (attempts - 1)


def violations(route: Route, name: str, facts: Facts) -> list[tuple[str, str, str, bool]]:
    """What this route breaks for the class `name`: code, key, sentence, whether it is only a warning."""
    cls = facts.classes[name]
    found: list[tuple[str, str, str, bool]] = []

    def add(code: str, key: str, sentence: str, warning: bool = False) -> None:
        found.append((code, key, sentence, warning))

    causes = route.causes or frozenset()
    risky = sorted(cause.value for cause in causes if cause in MAY_HAVE_RUN)
    attempts = attempts_of(route, facts)
    timeout, copy = route.attempt_timeout_ms, route.copy_after_ms
    if copy and cls.repeat is Idempotency.NON_IDEMPOTENT:
        add("copy-unsafe", "second_copy_after_ms", f"{name} must never run twice; leave the second copy out")
    elif copy and not facts.overlap:
        add("copy-no-overlap", "second_copy_after_ms", "the platform allows one attempt at a time; drop it")
    elif copy and cls.repeat is Idempotency.WITH_KEY and copy + facts.connect_ms + CLOCK_MS > memory(cls):
        add("copy-beyond-memory", "second_copy_after_ms",
            f"a copy of {name} could leave {copy + facts.connect_ms + CLOCK_MS:g} ms after the first, and "
            f"repeats are dropped for {cls.memory_ms:g} ms; shorten it")  # fmt: skip
    if copy and route.attempts == 1:
        add("copy-over-attempts", "second_copy_after_ms", "attempts = 1 leaves no second copy; allow 2")
    if copy and timeout and copy >= timeout:
        add("copy-after-timeout", "second_copy_after_ms",
            f"the first attempt ends after {timeout:g} ms already; put the copy before that")  # fmt: skip
    if risky and cls.repeat is Idempotency.NON_IDEMPOTENT:
        add("cause-may-have-run", "retry_on",
            f"after {', '.join(risky)} {name} may have run and must not run again; "
            'write ["full", "unreachable"]')  # fmt: skip
    if cls.repeat is Idempotency.WITH_KEY and attempts > 1 and (risky or route.causes is None):
        if not cls.scope_known:
            add("keyed-scope", "retry_on",
                f"the platform's file does not say which servers drop repeats of {name}; "
                'write ["full", "unreachable"]')  # fmt: skip
        latest = latest_write(route, facts)
        if latest is not None and latest > memory(cls):
            add("keyed-beyond-memory", "attempt_timeout_ms",
                f"attempt {attempts} of {name} can leave {latest:g} ms after the first (time-outs, pauses at "
                f"their longest, {min(facts.connect_ms, timeout):g} ms to connect), and repeats are dropped "
                f"for {cls.memory_ms:g} ms; shorten attempt_timeout_ms or backoff, or allow fewer attempts",
                )  # fmt: skip
    if route.attempts > facts.attempts_cap:
        add("attempts-over-cap", "attempts", f"the platform allows {facts.attempts_cap}; write that or less")
    if timeout > cls.deadline_ms:
        add("timeout-over-deadline", "attempt_timeout_ms",
            f"clients of {name} wait {cls.deadline_ms:g} ms at most; write less")  # fmt: skip
    elif timeout and timeout < facts.connect_ms:
        add("timeout-under-connect", "attempt_timeout_ms",
            f"a new connection may take {facts.connect_ms:g} ms; attempts that need one may end unreachable",
            True)  # fmt: skip
    if attempts > 1 and sum(pauses(route, attempts, False)) >= cls.deadline_ms:
        add("attempts-never-fit", "backoff" if route.backoff else "attempts",
            f"the pauses before attempt {attempts} take {sum(pauses(route, attempts, False)):g} ms at least, "
            f"and clients of {name} wait {cls.deadline_ms:g} ms; allow fewer attempts or shorter pauses",
            )  # fmt: skip
    return found


def memory(cls: ClassFacts) -> float:
    """How long after a keyed request's first byte a repeat may leave."""
    return cls.memory_ms - MEMORY_MARGIN_MS
