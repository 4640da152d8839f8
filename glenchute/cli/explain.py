"""``glenchute explain``: which route binds a request, why, and when its attempts may go out."""

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

from .files import operator_file, platform, sound_operator


def command(args: argparse.Namespace) -> int:
    """0 with the story; 2 where a file can't be used or the request is of no kind that there is."""
    try:
        path, facts = operator_file(args.operator), platform(args.platform).facts
        if args.class_name not in facts.classes:
            raise ConfigError(f"no class {args.class_name}; there are {', '.join(facts.classes)}")
        if args.plan not in facts.plans:
            raise ConfigError(f"no plan {args.plan}; there are {', '.join(facts.plans)}")
        wanted = facts.classes[args.class_name].command
        if args.verb and args.verb != wanted:
            raise ConfigError(f"{args.class_name} comes by CALL.{wanted} and is refused by CALL.{args.verb}")
    except ConfigError as error:
        print(f"glenchute: {error}", file=sys.stderr)
        return 2
    operator = sound_operator(path, facts)
    if operator is None:
        return 2
    for line in story(operator, facts, args.class_name, args.plan):
        print(line)
    return 0


def story(operator: OperatorConfig, facts: PlatformFacts, class_name: str, plan: str) -> Iterator[str]:
    """The lines."""
    cls = facts.classes[class_name]
    yield f"CALL.{cls.command} of class {class_name} ({cls.idempotency.value}), plan {plan}:"
    route = operator.bindings.get((class_name, plan))
    for one in sorted(operator.routes, key=lambda m: -m.rank):
        if one.covers(class_name, plan, cls.command):
            verdict = "binds" if route is not None and one.route.name == route.name else "is less specific"
            yield f"  route {one.route.name} names {one.rank} of class, plan, command: {verdict}"
    if route is None:
        yield "  no route binds it; the module alone decides"
        return
    if route.name == "defaults":
        yield "  [defaults] bind it, as no route matches"
    yield from timeline(route, facts, class_name)


def timeline(route: RouteLimits, facts: PlatformFacts, class_name: str) -> Iterator[str]:
    """When each attempt may start, from the first one's start."""
    cls = facts.classes[class_name]
    timeout, attempts = route.attempt_timeout_ms, max_attempts(route, facts)
    shortest, longest = backoff_delays_ms(route, attempts, False), backoff_delays_ms(route, attempts, True)
    early = late = 0.0
    for number in range(attempts):
        if number:
            early += shortest[number - 1]
            late += longest[number - 1] + timeout
        if early >= cls.deadline_ms:
            break
        until = f", given up after {timeout:g} ms" if timeout else ""
        when = "at 0 ms" if not number else f"from {early:g} ms" + (f" to {late:g} ms" if timeout else "")
        yield f"  attempt {number + 1}: {when}{until}"
    if route.hedge_after_ms:
        yield f"  a second copy after {route.hedge_after_ms:g} ms, if the first is still out"
    causes = (
        sorted(cause.value for cause in route.retryable_outcomes)
        if route.retryable_outcomes is not None
        else None
    )
    yield f"  a further attempt after: {', '.join(causes) if causes else 'what the module allows'}"
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
        latest = latest_write_ms(route, facts)
        last = f"the last byte of a try leaves by {latest:g} ms" if latest else "the module keeps to that"
        yield f"  repeats are dropped for {cls.idempotency_window_ms:g} ms; {last}"
    elif cls.idempotency is Idempotency.NON_IDEMPOTENT:
        yield "  once it may have run there is no further attempt, whatever the route says"
