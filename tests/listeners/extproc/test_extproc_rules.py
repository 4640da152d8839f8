"""Tests of the mapping rules for proxies' requests, of invalid operator's files and of the pure decisions."""

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
from tests.platform_facts import FACTS

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


def request_view(method: str, path: str, **more_headers: bytes | list[bytes]) -> RequestView:
    """Returns a request of the plan `osnovni`, with `_` for `-` in the names of more headers."""
    headers: dict[str, list[bytes]] = {":method": [method.encode()], ":path": [path.encode()]}
    for name, value in more_headers.items():
        headers[name.replace("_", "-")] = value if isinstance(value, list) else [value]
    return RequestView(headers, {"glenchute.auth": {"plan": "osnovni"}})


def expected_request(class_name: str, **changes: Any) -> MappedRequest:
    """Returns the mapped request, with default fields except for `changes`."""
    return replace(MappedRequest(class_name, "osnovni", ACCOUNT, 1.0, 4, "", "", 0.0), **changes)


READABLE = [
    (request_view("GET", f"/v1/reports/{ACCOUNT}"), expected_request("report-read")),
    (request_view("GET", f"/v1/reports/{ACCOUNT}/2026/11"), expected_request("report-read")),
    (
        request_view("GET", f"/v1/reports/{ACCOUNT.upper()}?units=2.5&x=1"),
        expected_request("report-read", units=2.5),
    ),
    (request_view("GET", "/v1/reports/%300000000b4d65521"), expected_request("report-read")),
    (
        request_view("POST", f"/v1/orders/{ACCOUNT}", idempotency_key=b"k"),
        expected_request("check-order", idempotency_key="k"),
    ),
    (
        request_view("POST", f"/v1/charges/{ACCOUNT}", x_request_id=b"r"),
        expected_request("check-charge", request_id="r"),
    ),
    (
        request_view("POST", f"/v1/charges/{ACCOUNT}", x_deadline_ms=b"150"),
        expected_request("check-charge", deadline_ms=150.0),
    ),
    (
        request_view("POST", f"/v1/charges/{ACCOUNT}", x_other=[b"\xff", b"\x00"]),
        expected_request("check-charge"),
    ),
]
UNREADABLE = [
    (request_view("PUT", f"/v1/reports/{ACCOUNT}"), "unknown-class", 404),
    (request_view("GET", "/"), "unknown-class", 404),
    (request_view("GET", "/v1/reports/"), "unknown-class", 404),
    (request_view("GET", f"/v1/reports/{ACCOUNT[:-1]}"), "bad-account", 400),
    (request_view("GET", "/v1/reports/ffffffffffffffff"), "bad-account", 400),
    (request_view("GET", f"/v1/reports/{ACCOUNT}?units=0"), "bad-units", 400),
    (request_view("GET", f"/v1/reports/{ACCOUNT}?units=nan"), "bad-units", 400),
    (request_view("GET", f"/v1/reports/{ACCOUNT}?units=7"), "bad-units", 400),
    (request_view("GET", f"/v1/reports/{ACCOUNT}?units=1&units=2"), "repeated-units", 400),
    (request_view("GET", f"/v1/reports/{ACCOUNT}?units=" + "1" * 600), "long-units", 431),
    (request_view("GET", "/" + "x" * 9000), "long-:path", 431),
    (request_view("POST", f"/v1/orders/{ACCOUNT}"), "no-key", 400),
    (request_view("POST", f"/v1/orders/{ACCOUNT}", idempotency_key=b"a b"), "bad-key", 400),
    (
        request_view("POST", f"/v1/orders/{ACCOUNT}", idempotency_key=[b"a", b"b"]),
        "repeated-idempotency-key",
        400,
    ),
    (request_view("POST", f"/v1/orders/{ACCOUNT}", idempotency_key=b"\xff"), "binary-idempotency-key", 400),
    (request_view("POST", f"/v1/charges/{ACCOUNT}", x_request_id=b"r" * 200), "bad-id", 400),
    (request_view("POST", f"/v1/charges/{ACCOUNT}", x_deadline_ms=b"-1"), "bad-deadline_ms", 400),
]


@pytest.mark.parametrize("view, expected", READABLE)
def test_requests_are_mapped_by_the_rules(view: RequestView, expected: MappedRequest) -> None:
    assert RULES.map_request(view) == expected


@pytest.mark.parametrize("view, reason, status", UNREADABLE)
def test_a_request_that_can_not_be_mapped_raises_its_reason(
    view: RequestView, reason: str, status: int
) -> None:
    with pytest.raises(MappingError) as raised:
        RULES.map_request(view)
    assert (raised.value.reason, raised.value.status) == (reason, status)


@given(
    st.dictionaries(st.sampled_from([":path", ":method", "x-request-id", "idempotency-key", "x-deadline-ms"]),
                    st.lists(st.binary(max_size=80), max_size=3)),
    st.text("/v1reportsod%{}?&=" + ACCOUNT, max_size=60),
)  # fmt: skip
def test_arbitrary_headers_are_mapped_or_rejected(random_headers: dict[str, list[bytes]], path: str) -> None:
    for headers in (random_headers, {**random_headers, ":path": [path.encode()], ":method": [b"GET"]}):
        try:
            mapped = RULES.map_request(RequestView(headers, {"glenchute.auth": {"plan": "osnovni"}}))
        except MappingError as error:
            assert 400 <= error.status < 500
        else:
            assert mapped.class_name in RULES.needs_key_by_class and len(mapped.account) == 16


@given(st.lists(st.sampled_from(["=a", "=b", "1x", "1y", "*z"]), min_size=1, max_size=4))
def test_a_more_literal_template_is_more_specific(kinds: list[str]) -> None:
    segment_texts = {"=a": "a", "=b": "b", "1x": "{x}", "1y": "{y}", "*z": "{z=**}"}
    text = "/" + "/".join(segment_texts[kind] for kind in kinds)
    is_invalid = len(set(k for k in kinds if k[0] != "=")) != len([k for k in kinds if k[0] != "="])
    is_invalid = is_invalid or "*z" in kinds[:-1]
    if is_invalid:
        with pytest.raises(ValueError, match=r"variable|end"):
            PathTemplate.parse(text)
        return
    template = PathTemplate.parse(text)
    path = [{"=a": "a", "=b": "b"}.get(kind, "v") for kind in kinds]
    assert template.match(path) is not None
    literal = PathTemplate.parse("/" + "/".join(path))
    assert literal.specificity <= template.specificity and literal.match(path) == {}


# --- operator's files ------------------------------------------------------------------------------------

LISTEN = '[fronts.extproc]\nlisten = "127.0.0.1:9300"\n'
MAP = '[fronts.extproc.map]\naccount = "header:a"\nplan = "header:p"\nkey = "header:k"\n'
CLASS = 'class = "header:c"\n'
OPERATION = '[[fronts.extproc.operation]]\nclass = "{}"\nmethod = "{}"\npath = "{}"\n'
LIMIT = '[fronts.extproc.ratelimit]\ndomain = "d"\n[fronts.extproc.ratelimit.map]\n'
READ = OPERATION.format("report-read", "GET", "/r/{a}")
INVALID_FILES = [
    ("[fronts.other]\n", "unknown-key", 1),
    ("[fronts.extproc]\n" + MAP + CLASS, "missing-key", 1),
    (LISTEN, "missing-key", 1),
    (LISTEN.replace("127.0.0.1", "0.0.0.0") + MAP + CLASS, "bad-word", 2),
    (LISTEN.replace("127.0.0.1", "10.0.0.1") + MAP + CLASS, "bad-word", 2),
    (LISTEN.replace("127.0.0.1:9300", "unix:relative") + MAP + CLASS, "bad-word", 2),
    (LISTEN + "attempt_streams = 1\n" + MAP + CLASS, "wrong-type", 3),
    (LISTEN + "most_calls = 0\n" + MAP + CLASS, "out-of-range", 3),
    (LISTEN + 'endpoint_header = "X-Upper"\n' + MAP + CLASS, "bad-word", 3),
    (LISTEN + 'tls = { certificate = "c" }\n' + MAP + CLASS, "missing-key", 3),
    (LISTEN + MAP, "no-class", 3),
    (LISTEN + MAP.replace('key = "header:k"\n', "") + CLASS, "no-key", 3),
    (LISTEN + MAP + 'class = "header:"\n', "bad-source", 7),
    (LISTEN + MAP + 'class = "cookie:x"\n', "bad-source", 7),
    (LISTEN + MAP + 'class = "descriptor:x"\n', "bad-source", 7),
    (LISTEN + MAP + 'class = "metadata:onlyspace"\n', "bad-source", 7),
    (LISTEN + MAP + CLASS + 'id = "path:x"\n', "unknown-variable", 8),
    (LISTEN + MAP + 'id = "path:b"\n' + READ, "unknown-variable", 7),
    (LISTEN + 'restart_open = ["nobody"]\n' + MAP + CLASS, "unknown-class", 3),
    (LISTEN + 'restart_open = ["check-charge"]\n' + MAP + CLASS, "unsafe-open", 3),
    (LISTEN + MAP + OPERATION.format("nobody", "GET", "/r"), "unknown-class", 8),
    (LISTEN + MAP + OPERATION.format("check-charge", "GET", "/r"), "unsafe-by-safe-method", 9),
    (LISTEN + MAP + OPERATION.format("check-order", "HEAD", "/r"), "unsafe-by-safe-method", 9),
    (LISTEN + MAP + '[[fronts.extproc.operation]]\nclass = "check-charge"\npath = "/r"\n',
     "unsafe-by-any-method", 7),
    (LISTEN + MAP + READ + READ.replace("{a}", "{b}"), "duplicate-operation", 11),
    (LISTEN + MAP + READ.replace("{a}", "x{a}"), "bad-template", 10),
    (LISTEN + MAP + READ.replace("{a}", "{a=**}/x"), "bad-template", 10),
    (LISTEN + MAP + READ.replace("{a}", "{a}/{a}"), "bad-template", 10),
    (LISTEN + MAP + READ.replace("/r/{a}", "r"), "bad-word", 10),
    (LISTEN + MAP + CLASS + LIMIT + 'account = "header:a"\nplan = "value:standard"\nclass = "value:x"\n',
     "bad-source", 11),
    (LISTEN + MAP + CLASS + LIMIT + 'account = "descriptor:a"\nplan = "value:standard"\n', "no-class", 10),
]  # fmt: skip


@pytest.mark.parametrize("text, code, line", INVALID_FILES)
def test_an_invalid_file_fails_with_its_code_and_line(text: str, code: str, line: int) -> None:
    reading = parse(text, FACTS)
    assert reading.config is None
    assert (code, line) in [(finding.code, finding.line) for finding in reading.findings], reading.findings


def test_a_valid_file_loads() -> None:
    text = LISTEN + 'restart_open = ["report-read", "check-order"]\n' + MAP + READ
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
        (503, "via_upstream", Outcome.ERROR),  # a server's own 503 does not prove that nothing ran
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
def test_outcomes_follow_from_status_and_response_code_details(
    status: int, details: str, expected: Outcome
) -> None:
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
def test_an_earlier_processs_request_is_sent_only_if_a_repeat_is_harmless(
    idempotency: Idempotency, is_resumable: bool, age_ms: float, window_ms: float
) -> None:
    if may_send_after_takeover(idempotency, is_resumable, age_ms, window_ms):
        assert is_resumable and age_ms >= 0 and idempotency is not Idempotency.NON_IDEMPOTENT
        assert idempotency is Idempotency.IDEMPOTENT or age_ms < window_ms


SERVER_ADDRESSES = st.sampled_from(["", "a:1", "b:2"])


@given(
    st.builds(
        AttemptState, *[st.booleans()] * 3, SERVER_ADDRESSES, SERVER_ADDRESSES, st.booleans(), st.booleans()
    )
)
def test_an_attempt_is_allowed_only_as_the_engine_chose(state: AttemptState) -> None:
    verdict = judge_attempt(state)
    if verdict is AttemptVerdict.ALLOW:
        assert state.has_chosen_server and not state.is_request_finished and not state.has_open_attempts
        assert (
            state.is_server_accepting
            and state.is_in_time
            and state.requested_address in ("", state.chosen_address)
        )
    if state.is_request_finished:
        assert verdict is AttemptVerdict.REQUEST_FINISHED  # regardless of all other fields


@given(st.sampled_from(FinalOutcome), st.booleans(), st.integers(100, 599))
def test_no_response_promises_an_effect_that_is_not_known(
    outcome: FinalOutcome, may_have_run: bool, status: int
) -> None:
    verdict = judge_response(outcome, may_have_run, status)
    if (
        verdict is ResponseVerdict.PASS_THROUGH
        and may_have_run
        and outcome in (FinalOutcome.FAILED, FinalOutcome.NONE)
    ):
        assert status not in (429, 503) and status >= 400
    assert (verdict is ResponseVerdict.REJECTION) == (outcome is FinalOutcome.REJECTED)
