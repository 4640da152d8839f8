"""What of a proxy's request is which field: the rules, files that must not load, the pure decisions."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glenchute.config.operator import parse
from glenchute.policy.events import Outcome
from glenchute.policy.retries.proxied_attempts import (
    AttemptState,
    AttemptVerdict,
    FinalOutcome,
    ResponseVerdict,
    classify_response,
    judge_attempt,
    judge_response,
    may_send_after_takeover,
)
from glenchute.policy.services.request_mapping import (
    MappedRequest,
    MappingError,
    MappingRules,
    Operation,
    PathTemplate,
    RequestView,
)
from glenchute.policy.settings import Idempotency
from tests.sites import FACTS

ACCOUNT = "00000000b4d65521"
RULES = MappingRules(
    {
        "account": "path:account", "plan": "metadata:glenchute.auth/plan", "units": "query:units",
        "id": "header:x-request-id", "key": "header:idempotency-key", "deadline_ms": "header:x-deadline-ms",
    },
    (
        Operation("report-read", "GET", PathTemplate.parse("/v1/reports/{account}")),
        Operation("report-read", "GET", PathTemplate.parse("/v1/reports/{account}/{part=**}")),
        Operation("check-order", "POST", PathTemplate.parse("/v1/orders/{account}")),
        Operation("check-charge", "POST", PathTemplate.parse("/v1/{kind}/{account}")),
    ),
    {"report-read": False, "check-order": True, "check-charge": False},
    ("osnovni", "standard"),
    4,
    6.0,
)  # fmt: skip


def view(method: str, path: str, **more: bytes | list[bytes]) -> RequestView:
    """A request of the plan `osnovni`."""
    given: dict[str, list[bytes]] = {":method": [method.encode()], ":path": [path.encode()]}
    for name, value in more.items():
        given[name.replace("_", "-")] = value if isinstance(value, list) else [value]
    return RequestView(given, {"glenchute.auth": {"plan": "osnovni"}})


def fields(class_name: str, **more: Any) -> MappedRequest:
    """What is expected, but for what is given."""
    return replace(MappedRequest(class_name, "osnovni", ACCOUNT, 1.0, 4, "", "", 0.0), **more)


READ = [
    (view("GET", f"/v1/reports/{ACCOUNT}"), fields("report-read")),
    (view("GET", f"/v1/reports/{ACCOUNT}/2026/11"), fields("report-read")),
    (view("GET", f"/v1/reports/{ACCOUNT.upper()}?units=2.5&x=1"), fields("report-read", units=2.5)),
    (view("GET", "/v1/reports/%300000000b4d65521"), fields("report-read")),
    (view("POST", f"/v1/orders/{ACCOUNT}", idempotency_key=b"k"), fields("check-order", idempotency_key="k")),
    (view("POST", f"/v1/charges/{ACCOUNT}", x_request_id=b"r"), fields("check-charge", request_id="r")),
    (view("POST", f"/v1/charges/{ACCOUNT}", x_deadline_ms=b"150"), fields("check-charge", deadline_ms=150.0)),
    (view("POST", f"/v1/charges/{ACCOUNT}", x_other=[b"\xff", b"\x00"]), fields("check-charge")),
]
UNREAD = [
    (view("PUT", f"/v1/reports/{ACCOUNT}"), "unknown-class", 404),
    (view("GET", "/"), "unknown-class", 404),
    (view("GET", "/v1/reports/"), "unknown-class", 404),
    (view("GET", f"/v1/reports/{ACCOUNT[:-1]}"), "bad-account", 400),
    (view("GET", "/v1/reports/ffffffffffffffff"), "bad-account", 400),
    (view("GET", f"/v1/reports/{ACCOUNT}?units=0"), "bad-units", 400),
    (view("GET", f"/v1/reports/{ACCOUNT}?units=nan"), "bad-units", 400),
    (view("GET", f"/v1/reports/{ACCOUNT}?units=7"), "bad-units", 400),
    (view("GET", f"/v1/reports/{ACCOUNT}?units=1&units=2"), "repeated-units", 400),
    (view("GET", f"/v1/reports/{ACCOUNT}?units=" + "1" * 600), "long-units", 431),
    (view("GET", "/" + "x" * 9000), "long-:path", 431),
    (view("POST", f"/v1/orders/{ACCOUNT}"), "no-key", 400),
    (view("POST", f"/v1/orders/{ACCOUNT}", idempotency_key=b"a b"), "bad-key", 400),
    (view("POST", f"/v1/orders/{ACCOUNT}", idempotency_key=[b"a", b"b"]), "repeated-idempotency-key", 400),
    (view("POST", f"/v1/orders/{ACCOUNT}", idempotency_key=b"\xff"), "binary-idempotency-key", 400),
    (view("POST", f"/v1/charges/{ACCOUNT}", x_request_id=b"r" * 200), "bad-id", 400),
    (view("POST", f"/v1/charges/{ACCOUNT}", x_deadline_ms=b"-1"), "bad-deadline_ms", 400),
]


@pytest.mark.parametrize("seen, expected", READ)
def test_requests_are_read_by_the_rules(seen: RequestView, expected: MappedRequest) -> None:
    assert RULES.map_request(seen) == expected


@pytest.mark.parametrize("seen, reason, status", UNREAD)
def test_what_can_not_be_read_says_why(seen: RequestView, reason: str, status: int) -> None:
    with pytest.raises(MappingError) as found:
        RULES.map_request(seen)
    assert (found.value.reason, found.value.status) == (reason, status)


@given(
    st.dictionaries(st.sampled_from([":path", ":method", "x-request-id", "idempotency-key", "x-deadline-ms"]),
                    st.lists(st.binary(max_size=80), max_size=3)),
    st.text("/v1reportsod%{}?&=" + ACCOUNT, max_size=60),
)  # fmt: skip
def test_no_headers_break_the_reading(given_: dict[str, list[bytes]], path: str) -> None:
    for headers in (given_, {**given_, ":path": [path.encode()], ":method": [b"GET"]}):
        try:
            read = RULES.map_request(RequestView(headers, {"glenchute.auth": {"plan": "osnovni"}}))
        except MappingError as error:
            assert 400 <= error.status < 500
        else:
            assert read.class_name in RULES.needs_key_by_class and len(read.account) == 16


@given(st.lists(st.sampled_from(["=a", "=b", "1x", "1y", "*z"]), min_size=1, max_size=4))
def test_of_two_templates_that_match_the_more_literal_one_counts(kinds: list[str]) -> None:
    texts = {"=a": "a", "=b": "b", "1x": "{x}", "1y": "{y}", "*z": "{z=**}"}
    text = "/" + "/".join(texts[kind] for kind in kinds)
    wrong = len(set(k for k in kinds if k[0] != "=")) != len([k for k in kinds if k[0] != "="])
    wrong = wrong or "*z" in kinds[:-1]
    if wrong:
        with pytest.raises(ValueError, match=r"variable|end"):
            PathTemplate.parse(text)
        return
    template = PathTemplate.parse(text)
    path = [{"=a": "a", "=b": "b"}.get(kind, "v") for kind in kinds]
    assert template.match(path) is not None
    literal = PathTemplate.parse("/" + "/".join(path))
    assert literal.specificity <= template.specificity and literal.match(path) == {}


# --- files -----------------------------------------------------------------------------------------------

HEAD = '[fronts.extproc]\nlisten = "127.0.0.1:9300"\n'
MAP = '[fronts.extproc.map]\naccount = "header:a"\nplan = "header:p"\nkey = "header:k"\n'
CLASS = 'class = "header:c"\n'
OPERATION = '[[fronts.extproc.operation]]\nclass = "{}"\nmethod = "{}"\npath = "{}"\n'
LIMIT = '[fronts.extproc.ratelimit]\ndomain = "d"\n[fronts.extproc.ratelimit.map]\n'
READS = OPERATION.format("report-read", "GET", "/r/{a}")
BAD = [
    ("[fronts.other]\n", "unknown-key", 1),
    ("[fronts.extproc]\n" + MAP + CLASS, "missing-key", 1),
    (HEAD, "missing-key", 1),
    (HEAD.replace("127.0.0.1", "0.0.0.0") + MAP + CLASS, "bad-word", 2),
    (HEAD.replace("127.0.0.1", "10.0.0.1") + MAP + CLASS, "bad-word", 2),
    (HEAD.replace("127.0.0.1:9300", "unix:relative") + MAP + CLASS, "bad-word", 2),
    (HEAD + "attempt_streams = 1\n" + MAP + CLASS, "wrong-type", 3),
    (HEAD + "most_calls = 0\n" + MAP + CLASS, "out-of-range", 3),
    (HEAD + 'endpoint_header = "X-Upper"\n' + MAP + CLASS, "bad-word", 3),
    (HEAD + 'tls = { certificate = "c" }\n' + MAP + CLASS, "missing-key", 3),
    (HEAD + MAP, "no-class", 3),
    (HEAD + MAP.replace('key = "header:k"\n', "") + CLASS, "no-key", 3),
    (HEAD + MAP + 'class = "header:"\n', "bad-source", 7),
    (HEAD + MAP + 'class = "cookie:x"\n', "bad-source", 7),
    (HEAD + MAP + 'class = "descriptor:x"\n', "bad-source", 7),
    (HEAD + MAP + 'class = "metadata:onlyspace"\n', "bad-source", 7),
    (HEAD + MAP + CLASS + 'id = "path:x"\n', "unknown-variable", 8),
    (HEAD + MAP + 'id = "path:b"\n' + READS, "unknown-variable", 7),
    (HEAD + 'restart_open = ["nobody"]\n' + MAP + CLASS, "unknown-class", 3),
    (HEAD + 'restart_open = ["check-charge"]\n' + MAP + CLASS, "unsafe-open", 3),
    (HEAD + MAP + OPERATION.format("nobody", "GET", "/r"), "unknown-class", 8),
    (HEAD + MAP + OPERATION.format("check-charge", "GET", "/r"), "unsafe-by-safe-method", 9),
    (HEAD + MAP + OPERATION.format("check-order", "HEAD", "/r"), "unsafe-by-safe-method", 9),
    (HEAD + MAP + '[[fronts.extproc.operation]]\nclass = "check-charge"\npath = "/r"\n',
     "unsafe-by-any-method", 7),
    (HEAD + MAP + READS + READS.replace("{a}", "{b}"), "duplicate-operation", 11),
    (HEAD + MAP + READS.replace("{a}", "x{a}"), "bad-template", 10),
    (HEAD + MAP + READS.replace("{a}", "{a=**}/x"), "bad-template", 10),
    (HEAD + MAP + READS.replace("{a}", "{a}/{a}"), "bad-template", 10),
    (HEAD + MAP + READS.replace("/r/{a}", "r"), "bad-word", 10),
    (HEAD + MAP + CLASS + LIMIT + 'account = "header:a"\nplan = "value:standard"\nclass = "value:x"\n',
     "bad-source", 11),
    (HEAD + MAP + CLASS + LIMIT + 'account = "descriptor:a"\nplan = "value:standard"\n', "no-class", 10),
]  # fmt: skip


@pytest.mark.parametrize("text, code, line", BAD)
def test_a_wrong_file_fails_with_its_code_and_line(text: str, code: str, line: int) -> None:
    reading = parse(text, FACTS)
    assert reading.config is None
    assert (code, line) in [(finding.code, finding.line) for finding in reading.findings], reading.findings


def test_a_file_in_order_loads() -> None:
    text = HEAD + 'restart_open = ["report-read", "check-order"]\n' + MAP + READS
    reading = parse(text + OPERATION.format("check-charge", "POST", "/r/{a}"), FACTS)
    assert reading.findings == () and reading.config is not None
    assert reading.config.fronts is not None and "extproc" in reading.config.fronts


# --- the pure decisions ------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "status, details, expected",
    [
        (200, "via_upstream", Outcome.OK),
        (404, "via_upstream", Outcome.OK),
        (200, "", Outcome.OK),
        (429, "via_upstream", Outcome.REJECTED),
        (500, "via_upstream", Outcome.ERROR),
        (503, "via_upstream", Outcome.ERROR),  # a node's own 503 proves nothing
        (504, "via_upstream", Outcome.ERROR),
        (504, "", Outcome.TIMEOUT),
        (503, "no_healthy_upstream", Outcome.UNREACHABLE),
        (503, "upstream_reset_before_response_started{connection_timeout}", Outcome.UNREACHABLE),
        (503, "upstream_reset_before_response_started{remote_connection_failure|TLS}", Outcome.UNREACHABLE),
        (503, "upstream_reset_before_response_started{overflow}", Outcome.UNREACHABLE),
        (503, "upstream_reset_before_response_started{connection_termination}", Outcome.RESET),
        (503, "upstream_reset_before_response_started{remote_reset}", Outcome.RESET),
        (503, "upstream_reset_after_response_started{remote_reset}", Outcome.RESET),
        (504, "upstream_response_timeout", Outcome.TIMEOUT),
        (504, "upstream_per_try_timeout", Outcome.TIMEOUT),
        (0, "downstream_remote_disconnect", Outcome.CANCELLED),
        (503, "something_of_tomorrow", Outcome.ERROR),
        (0, "", Outcome.RESET),
    ],
)
def test_endings_are_read_from_what_a_proxy_saw(status: int, details: str, expected: Outcome) -> None:
    assert classify_response(status, details, 429) is expected


@given(st.integers(0, 599), st.text(max_size=40))
def test_only_listed_details_prove_that_nothing_ran(status: int, details: str) -> None:
    if not details.startswith(("no_", "cluster", "route", "maintenance", "upstream_reset")):
        assert classify_response(status, details, 0) not in (
            Outcome.UNREACHABLE,
            Outcome.NOT_SENT,
            Outcome.REJECTED,
        )


@given(st.sampled_from(Idempotency), st.booleans(), st.floats(-1e6, 1e9), st.floats(0, 1e6))
def test_what_an_earlier_process_decided(repeat: Idempotency, open_: bool, age: float, memory: float) -> None:
    if may_send_after_takeover(repeat, open_, age, memory):
        assert open_ and age >= 0 and repeat is not Idempotency.NON_IDEMPOTENT
        assert repeat is Idempotency.IDEMPOTENT or age < memory


NODES = st.sampled_from(["", "a:1", "b:2"])


@given(st.builds(AttemptState, *[st.booleans()] * 3, NODES, NODES, st.booleans(), st.booleans()))
def test_an_attempt_passes_only_where_all_is_as_chosen(asking: AttemptState) -> None:
    verdict = judge_attempt(asking)
    if verdict is AttemptVerdict.ALLOW:
        assert asking.has_chosen_server and not asking.is_request_finished and not asking.has_open_attempts
        assert (
            asking.is_server_accepting
            and asking.is_in_time
            and asking.requested_address in ("", asking.chosen_address)
        )
    if asking.is_request_finished:
        assert verdict is AttemptVerdict.REQUEST_FINISHED  # whatever else holds: the client has its answer


@given(st.sampled_from(FinalOutcome), st.booleans(), st.integers(100, 599))
def test_no_client_is_promised_what_is_not_known(
    outcome: FinalOutcome, may_have_run: bool, status: int
) -> None:
    shown = judge_response(outcome, may_have_run, status)
    if (
        shown is ResponseVerdict.PASS_THROUGH
        and may_have_run
        and outcome in (FinalOutcome.FAILED, FinalOutcome.NONE)
    ):
        assert status not in (429, 503) and status >= 400
    assert (shown is ResponseVerdict.REJECTION) == (outcome is FinalOutcome.REJECTED)
