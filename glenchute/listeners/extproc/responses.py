"""Header names and formats of responses to a proxy, and the responses that the gateway itself gives."""

from __future__ import annotations

from collections.abc import Mapping

from glenchute.core.types import Address
from glenchute.policy.services.request_mapping import MappingError

from . import events as ev

TOKEN_HEADER = "x-glenchute-token"
RETRY_HEADER = "x-glenchute-retry"  # set on a response that the proxy is to retry
REASON_HEADER = "x-glenchute-reason"
EFFECT_HEADER = "x-glenchute-effect"  # "none": no attempt ran; "unknown": an attempt may have run
ROUTE_TIMEOUT_HEADER = "x-envoy-upstream-rq-timeout-ms"
ATTEMPT_TIMEOUT_HEADER = "x-envoy-upstream-rq-per-try-timeout-ms"
EXPECTED_TIMEOUT_HEADER = "x-envoy-expected-rq-timeout-ms"  # tells the server how long it has
# Removes the retry header, so that a server can't ask for a retry in the gateway's name.
PASS_RESPONSE = ev.ContinueResponse("response_headers", {}, (RETRY_HEADER,))


def format_address(address: Address) -> str:
    """Returns `host:port` as a proxy writes it, with an IPv6 host in brackets."""
    return f"{address[0]}:{address[1]}" if ":" not in address[0] else f"[{address[0]}]:{address[1]}"


def format_timeout_ms(seconds: float) -> str:
    """Returns whole milliseconds, at least 1, rounded down so that the proxy times out no later than the
    gateway."""
    return str(max(1, int(1000.0 * seconds + 1e-6)))


def single_header(headers: Mapping[str, list[bytes]], name: str) -> str:
    """Returns a header's only value; "" if it is missing, repeated or over 4096 bytes long."""
    values = headers.get(name, ())
    return values[0].decode("latin-1") if len(values) == 1 and len(values[0]) <= 4096 else ""


def rejection_response(retry_after_ms: float, reason: str) -> ev.ImmediateResponse:
    """Builds the response for a rejected request: no attempt ran and none will, so the client may retry.

    The header retry-after has whole seconds, rounded up (RFC 9110, section 10.2.3); a header of the gateway's
    own has the milliseconds.
    """
    headers = {REASON_HEADER: reason, EFFECT_HEADER: "none"}
    if retry_after_ms > 0:
        headers["retry-after"] = str(max(1, -int(-retry_after_ms // 1000)))
        headers["x-glenchute-retry-after-ms"] = str(int(retry_after_ms))
    return ev.ImmediateResponse(429, headers, "", "glenchute_refused")


def failure_response(reason: str) -> ev.ImmediateResponse:
    """Builds the response for a request that may have run. Its status is 500 rather than 503, because clients
    and proxies retry after 503."""
    return ev.ImmediateResponse(
        500, {REASON_HEADER: reason, EFFECT_HEADER: "unknown"}, "", f"glenchute_{reason}".replace("-", "_")
    )


def invalid_request_response(error: MappingError) -> ev.ImmediateResponse:
    """Builds the response for a request that the mapping rules can't read; no attempt ran."""
    return ev.ImmediateResponse(
        error.status, {REASON_HEADER: error.reason, EFFECT_HEADER: "none"}, "", "glenchute_invalid"
    )
