"""``glenchute explain``: prints which route applies to a request, why, and when its attempts may start."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterator

from glenchute.config.facts import PlatformFacts
from glenchute.config.operator import OperatorConfig
from glenchute.config.platform import ConfigError
from glenchute.config.rules import backoff_delays_ms, latest_write_ms, max_attempts
from glenchute.policy.retries.route_limits import RouteLimits
from glenchute.policy.settings import Idempotency

from .files import load_platform, load_valid_operator, operator_path


def command(args: argparse.Namespace) -> int:
    """Prints the explanation. Returns 0, or 2 if a file is invalid or the platform has no such class or
    plan."""
    try:
        path, facts = operator_path(args.operator), load_platform(args.platform).facts
        if args.class_name not in facts.classes:
            raise ConfigError(f"no class {args.class_name}; there are {', '.join(facts.classes)}")
        if args.plan not in facts.plans:
            raise ConfigError(f"no plan {args.plan}; there are {', '.join(facts.plans)}")
        command_name = facts.classes[args.class_name].command
        if args.verb and args.verb != command_name:
            raise ConfigError(
                f"{args.class_name} comes by CALL.{command_name} and is refused by CALL.{args.verb}"
            )
    except ConfigError as error:
        print(f"glenchute: {error}", file=sys.stderr)
        return 2
    operator = load_valid_operator(path, facts)
    if operator is None:
        return 2
    for line in explain(operator, facts, args.class_name, args.plan):
        print(line)
    return 0


def explain(operator: OperatorConfig, facts: PlatformFacts, class_name: str, plan: str) -> Iterator[str]:
    """Yields the lines of the explanation."""
    cls = facts.classes[class_name]
    yield f"CALL.{cls.command} of class {class_name} ({cls.idempotency.value}), plan {plan}:"
    route = operator.bindings.get((class_name, plan))
    for matched in sorted(operator.routes, key=lambda m: -m.rank):
        if matched.covers(class_name, plan, cls.command):
            is_binding = route is not None and matched.route.name == route.name
            verdict = "binds" if is_binding else "is less specific"
            yield f"  route {matched.route.name} names {matched.rank} of class, plan, command: {verdict}"
    if route is None:
        yield "  no route binds it; the decision engine alone decides"
        return
    if route.name == "defaults":
        yield "  [defaults] bind it, as no route matches"
    yield from describe_limits(route, facts, class_name)


def describe_limits(route: RouteLimits, facts: PlatformFacts, class_name: str) -> Iterator[str]:
    """Yields when each attempt may start, relative to the start of the first one, and the route's other
    limits."""
    cls = facts.classes[class_name]
    timeout_ms, attempts = route.attempt_timeout_ms, max_attempts(route, facts)
    shortest, longest = backoff_delays_ms(route, attempts, False), backoff_delays_ms(route, attempts, True)
    earliest_ms = latest_ms = 0.0
    for number in range(attempts):
        if number:
            earliest_ms += shortest[number - 1]
            latest_ms += longest[number - 1] + timeout_ms
        if earliest_ms >= cls.deadline_ms:
            break
        until = f", given up after {timeout_ms:g} ms" if timeout_ms else ""
        when = (
            "at 0 ms"
            if not number
            else f"from {earliest_ms:g} ms" + (f" to {latest_ms:g} ms" if timeout_ms else "")
        )
        yield f"  attempt {number + 1}: {when}{until}"
    if route.hedge_after_ms:
        yield f"  a second copy after {route.hedge_after_ms:g} ms, if the first is still in flight"
    causes = (
        sorted(cause.value for cause in route.retryable_outcomes)
        if route.retryable_outcomes is not None
        else None
    )
    yield f"  a further attempt after: {', '.join(causes) if causes else 'what the decision engine allows'}"
    if route.max_pipeline_depth:
        shared = (
            "a connection to itself"
            if route.max_pipeline_depth == 1
            else f"{route.max_pipeline_depth} on one connection at most"
        )
        yield f"  [pipeline]: {shared}"
    if route.retry_budget is not None:
        rule = route.retry_budget
        per_request, per_s = rule.retries_per_request, rule.min_retries_per_s
        yield f"  budget of further attempts: {per_request:g} a request, and {per_s:g} a second"
    yield f"  the client waits {cls.deadline_ms:g} ms at most"
    if cls.idempotency is Idempotency.WITH_KEY:
        latest_write = latest_write_ms(route, facts)
        last = (
            f"the last byte of an attempt leaves by {latest_write:g} ms"
            if latest_write
            else "the decision engine keeps to that"
        )
        yield f"  repeats are dropped for {cls.idempotency_window_ms:g} ms; {last}"
    elif cls.idempotency is Idempotency.NON_IDEMPOTENT:
        yield "  once it may have run, there is no further attempt, whatever the route says"
