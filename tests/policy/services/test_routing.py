"""Which service a request is for: tables, overlaps and gaps, and the order of the file never decides."""

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
    ServiceRule("slow", class_name="check-charge", command="POST", front="extproc"),
    ServiceRule("writes", command="POST"),
]
HOST = "reports.jadran.example.org"


@pytest.mark.parametrize(
    ("way", "expected"),
    [
        (RequestOrigin("report-read", HOST, "/v1/reports/7"), "reports"),
        (RequestOrigin("report-read", "Reports.Jadran.example.org.:8443", "/"), "reports"),
        (RequestOrigin("report-read", HOST, "/v1/archive"), "archive"),
        (RequestOrigin("report-read", HOST, "/v1/archive/2020?x=/v0"), "archive"),
        (RequestOrigin("report-read", HOST, "/v1/archives"), "reports"),  # whole segments
        (RequestOrigin("report-read", HOST, "/v1/archive/../../v0"), "reports"),  # dots match no prefix
        (RequestOrigin("report-read", HOST, "/v1/archive%2f.."), "reports"),
        (
            RequestOrigin("report-read", "orders.jadran.example.org", "/v0/x"),
            "orders",
        ),  # a host before a path
        (RequestOrigin("report-read", "a.b.jadran.example.org", ""), "jadran"),
        (RequestOrigin("report-read", "jadran.example.org", ""), None),  # the domain itself is not below it
        (RequestOrigin("report-read", "elsewhere.example.org", "/v0/x"), "old"),
        (RequestOrigin("check-charge"), "charges"),
        (RequestOrigin("check-charge", command="POST", front="resp2"), "charges"),  # class before command
        (RequestOrigin("check-charge", command="POST", front="extproc"), "slow"),
        (RequestOrigin("check-order", command="POST"), "writes"),
        (RequestOrigin("report-read"), None),
        (RequestOrigin("report-read", "bad host", "/v0"), None),
        (RequestOrigin("report-read", "[::1]:80", "/v0"), "old"),
    ],
)
def test_the_most_specific_rule_wins_in_any_order(way: RequestOrigin, expected: str | None) -> None:
    for seed in range(6):
        rules = RULES[:]
        random.Random(seed).shuffle(rules)
        assert ServiceRouter(rules).service_for(way) == expected


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


def test_gaps_are_classes_that_no_rule_reaches() -> None:
    classes = ("report-read", "check-order", "check-charge")
    found = unreached_classes(ServiceRouter(RULES), classes, ("resp2",))
    assert [way.class_name for way in found] == ["report-read", "check-order"]
    assert not unreached_classes(ServiceRouter([*RULES, ServiceRule("rest")]), classes, ("resp2", "extproc"))


NAMED = st.sampled_from(["", "a", "b"])
RULE = st.builds(ServiceRule, st.just("s"), st.sampled_from(["", "h.x", "*.x", "*.h.x"]),
                 st.sampled_from(["", "/p", "/p/q"]), NAMED, NAMED, NAMED)  # fmt: skip
WAY = st.builds(RequestOrigin, NAMED, st.sampled_from(["", "h.x", "i.x", "k.h.x", "y"]),
                st.sampled_from(["", "/", "/p", "/p/q/r", "/pp"]), NAMED, NAMED)  # fmt: skip


def covers(rule: ServiceRule, way: RequestOrigin) -> bool:
    """What a rule means, said the slow way."""
    below = rule.host.startswith("*") and way.host.endswith(rule.host[1:])
    host = not rule.host or way.host == rule.host or below
    path = path_segments(way.path)[: len(path_segments(rule.path))] == path_segments(rule.path)
    rest = zip(rule.attributes, (way.class_name, way.command, way.front), strict=True)
    return host and path and all(not named or named == given for named, given in rest)


@given(st.lists(RULE, max_size=12, unique_by=lambda rule: rule[1:]), WAY)
@settings(derandomize=True, deadline=None)
def test_the_table_agrees_with_what_rules_mean(rules: list[ServiceRule], way: RequestOrigin) -> None:
    named = [rule._replace(service=str(at)) for at, rule in enumerate(rules)]
    found = ServiceRouter(named).service_for(way)
    matching = [rule for rule in named if covers(rule, way)]
    assert (found is None) == (not matching)
    if found is not None:
        chosen = named[int(found)]
        assert chosen in matching

        def rank(rule: ServiceRule) -> tuple[object, ...]:
            host = (bool(rule.host) and not rule.host.startswith("*"), len(rule.host))
            return (*host, len(path_segments(rule.path)), *(bool(part) for part in rule.attributes))

        assert rank(chosen) == max(map(rank, matching))


def test_a_look_up_does_not_grow_with_the_services() -> None:
    """Steps are counted, not timed: the tables that are asked for one request."""

    class Counting(dict):  # type: ignore[type-arg]
        asked = 0

        def get(self, key: object, default: object = None) -> object:
            Counting.asked += 1
            return super().get(key, default)

    steps = []
    for count in (1, 10, 200):
        router = ServiceRouter(
            [ServiceRule(f"s{n}", host=f"s{n}.example.org", path="/v1") for n in range(count)]
        )
        router.table = Counting(router.table)
        Counting.asked = 0
        assert router.service_for(RequestOrigin("c", "s0.example.org", "/v1/x/y")) == "s0"
        assert router.service_for(RequestOrigin("c", "nobody.example.org", "/v1/x/y")) is None
        steps.append(Counting.asked)
    assert steps[0] == steps[1] == steps[2]
