"""Mapping of requests to services: tables, overlaps and gaps; the order of the file never decides."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glenchute.policy.services.routing import (
    Overlap,
    RequestOrigin,
    ServiceRouter,
    ServiceRule,
    normalize_host,
    overlaps,
    path_segments,
    unreached_classes,
)

RULES = [
    ServiceRule("reports", host="reports.jadran.example.org"),
    ServiceRule("orders", host="orders.jadran.example.org"),
    ServiceRule("jadran", host="*.jadran.example.org"),
    ServiceRule("archive", host="reports.jadran.example.org", path="/v1/archive"),
    ServiceRule("old", path="/v0"),
    ServiceRule("charges", class_name="check-charge"),
    ServiceRule("slow", class_name="check-charge", command="POST", listener="extproc"),
    ServiceRule("writes", command="POST"),
]
HOST = "reports.jadran.example.org"


@pytest.mark.parametrize(
    ("origin", "expected"),
    [
        (RequestOrigin("report-read", HOST, "/v1/reports/7"), "reports"),
        (RequestOrigin("report-read", "Reports.Jadran.example.org.:8443", "/"), "reports"),
        (RequestOrigin("report-read", HOST, "/v1/archive"), "archive"),
        (RequestOrigin("report-read", HOST, "/v1/archive/2020?x=/v0"), "archive"),
        (RequestOrigin("report-read", HOST, "/v1/archives"), "reports"),  # prefixes match whole segments
        # A path with dot segments matches no prefix.
        (RequestOrigin("report-read", HOST, "/v1/archive/../../v0"), "reports"),
        (RequestOrigin("report-read", HOST, "/v1/archive%2f.."), "reports"),
        # The host decides before the path.
        (RequestOrigin("report-read", "orders.jadran.example.org", "/v0/x"), "orders"),
        (RequestOrigin("report-read", "a.b.jadran.example.org", ""), "jadran"),
        (RequestOrigin("report-read", "jadran.example.org", ""), None),  # the domain itself does not match
        (RequestOrigin("report-read", "elsewhere.example.org", "/v0/x"), "old"),
        (RequestOrigin("check-charge"), "charges"),
        # The class decides before the command.
        (RequestOrigin("check-charge", command="POST", listener="resp2"), "charges"),
        (RequestOrigin("check-charge", command="POST", listener="extproc"), "slow"),
        (RequestOrigin("check-order", command="POST"), "writes"),
        (RequestOrigin("report-read"), None),
        (RequestOrigin("report-read", "bad host", "/v0"), None),
        (RequestOrigin("report-read", "[::1]:80", "/v0"), "old"),
    ],
)
def test_the_most_specific_rule_wins_in_any_order(origin: RequestOrigin, expected: str | None) -> None:
    for seed in range(6):
        rules = RULES[:]
        random.Random(seed).shuffle(rules)
        assert ServiceRouter(rules).service_for(origin) == expected


@pytest.mark.parametrize(
    ("authority", "expected"),
    [
        ("a.example.org", "a.example.org"), ("A.Example.ORG:80", "a.example.org"),
        ("a.example.org.", "a.example.org"), ("[2001:db8::1]:443", "[2001:db8::1]"), ("[2001:db8::1", None),
        ("", None), ("a..b", None), ("-a.b", None), ("a_b", None),
        ("x" * 64, None), (".".join(["abcdefgh"] * 32), None), ("a b", None), ("a/b", None),
    ],
)  # fmt: skip
def test_hosts(authority: str, expected: str | None) -> None:
    assert normalize_host(authority) == expected


def test_overlaps_are_found_and_different_forms_of_one_path_are_one() -> None:
    rules = [
        *RULES,
        ServiceRule("x", path="/v0/"),
        ServiceRule("y", host="*.jadran.example.org"),
        ServiceRule("z", path="//v0"),
    ]
    assert overlaps(RULES) == []
    assert overlaps(rules) == [Overlap(4, 8), Overlap(2, 9), Overlap(4, 10)]


def test_gaps_are_classes_that_match_no_rule() -> None:
    classes = ("report-read", "check-order", "check-charge")
    unreached = unreached_classes(ServiceRouter(RULES), classes, ("resp2",))
    assert [origin.class_name for origin in unreached] == ["report-read", "check-order"]
    assert not unreached_classes(ServiceRouter([*RULES, ServiceRule("rest")]), classes, ("resp2", "extproc"))


NAMED = st.sampled_from(["", "a", "b"])
RULE = st.builds(ServiceRule, st.just("s"), st.sampled_from(["", "h.x", "*.x", "*.h.x"]),
                 st.sampled_from(["", "/p", "/p/q"]), NAMED, NAMED, NAMED)  # fmt: skip
ORIGIN = st.builds(RequestOrigin, NAMED, st.sampled_from(["", "h.x", "i.x", "k.h.x", "y"]),
                st.sampled_from(["", "/", "/p", "/p/q/r", "/pp"]), NAMED, NAMED)  # fmt: skip


def covers(rule: ServiceRule, origin: RequestOrigin) -> bool:
    """Returns whether a rule matches a request, by a direct check that serves as the reference."""
    is_in_domain = rule.host.startswith("*") and origin.host.endswith(rule.host[1:])
    host = not rule.host or origin.host == rule.host or is_in_domain
    path = path_segments(origin.path)[: len(path_segments(rule.path))] == path_segments(rule.path)
    attributes = zip(rule.attributes, (origin.class_name, origin.command, origin.listener), strict=True)
    return host and path and all(not required or required == actual for required, actual in attributes)


@given(st.lists(RULE, max_size=12, unique_by=lambda rule: rule[1:]), ORIGIN)
@settings(derandomize=True, deadline=None)
def test_the_router_agrees_with_a_direct_check_of_each_rule(
    rules: list[ServiceRule], origin: RequestOrigin
) -> None:
    named = [rule._replace(service=str(at)) for at, rule in enumerate(rules)]
    found = ServiceRouter(named).service_for(origin)
    matching = [rule for rule in named if covers(rule, origin)]
    assert (found is None) == (not matching)
    if found is not None:
        chosen = named[int(found)]
        assert chosen in matching

        def rank(rule: ServiceRule) -> tuple[object, ...]:
            host = (bool(rule.host) and not rule.host.startswith("*"), len(rule.host))
            return (*host, len(path_segments(rule.path)), *(bool(part) for part in rule.attributes))

        assert rank(chosen) == max(map(rank, matching))


def test_a_look_up_does_not_grow_with_the_services() -> None:
    """Counts the table look-ups for one request instead of measuring time."""

    class Counting(dict):  # type: ignore[type-arg]
        lookup_count = 0

        def get(self, key: object, default: object = None) -> object:
            Counting.lookup_count += 1
            return super().get(key, default)

    steps = []
    for count in (1, 10, 200):
        router = ServiceRouter(
            [ServiceRule(f"s{n}", host=f"s{n}.example.org", path="/v1") for n in range(count)]
        )
        router.table = Counting(router.table)
        Counting.lookup_count = 0
        assert router.service_for(RequestOrigin("c", "s0.example.org", "/v1/x/y")) == "s0"
        assert router.service_for(RequestOrigin("c", "nobody.example.org", "/v1/x/y")) is None
        steps.append(Counting.lookup_count)
    assert steps[0] == steps[1] == steps[2]
