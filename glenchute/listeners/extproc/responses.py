"""Responses to a proxy: names of headers, formats, and the responses that the gateway gives by itself."""

from __future__ import annotations

from collections.abc import Mapping

from glenchute.core.types import Address
from glenchute.policy.services.request_mapping import MappingError

from . import events as ev

TOKEN_HEADER = "x-glenchute-token"
RETRY_HEADER = "x-glenchute-retry"  # on a response: the proxy is to try again
REASON_HEADER = "x-glenchute-reason"
EFFECT_HEADER = "x-glenchute-effect"  # "none": no attempt ran; "unknown": no promise
ROUTE_TIMEOUT_HEADER = "x-envoy-upstream-rq-timeout-ms"
ATTEMPT_TIMEOUT_HEADER = "x-envoy-upstream-rq-per-try-timeout-ms"
EXPECTED_TIMEOUT_HEADER = "x-envoy-expected-rq-timeout-ms"  # the time that a server has
# A server must not ask for a retry in the gateway's name.
PASS_RESPONSE = ev.ContinueResponse("response_headers", {}, (RETRY_HEADER,))


def format_address(address: Address) -> str:
    """`host:port`, as a proxy writes it."""
    return f"{address[0]}:{address[1]}" if ":" not in address[0] else f"[{address[0]}]:{address[1]}"


def format_timeout_ms(seconds: float) -> str:
    """Whole milliseconds, rounded down so that the proxy's clock runs out no later than ours; at least 1."""
    return str(max(1, int(1000.0 * seconds + 1e-6)))


def single_header(headers: Mapping[str, list[bytes]], name: str) -> str:
    """A header's only value; "" where it is missing or repeated."""
    values = headers.get(name, ())
    return values[0].decode("latin-1") if len(values) == 1 and len(values[0]) <= 4096 else ""


def rejection_response(retry_after_ms: float, reason: str) -> ev.ImmediateResponse:
    """No attempt ran, and none will: the client may retry. Whole seconds upwards, as in RFC 9110, section
    10.2.3, and the exact milliseconds in a header of our own."""
    headers = {REASON_HEADER: reason, EFFECT_HEADER: "none"}
    if retry_after_ms > 0:
        headers["retry-after"] = str(max(1, -int(-retry_after_ms // 1000)))
        headers["x-glenchute-retry-after-ms"] = str(int(retry_after_ms))
    return ev.ImmediateResponse(429, headers, "", "glenchute_refused")


def failure_response(reason: str) -> ev.ImmediateResponse:
    """No promise about the effect. 500 and not 503, which clients and proxies retry."""
    return ev.ImmediateResponse(
        500, {REASON_HEADER: reason, EFFECT_HEADER: "unknown"}, "", f"glenchute_{reason}".replace("-", "_")
    )


def invalid_request_response(error: MappingError) -> ev.ImmediateResponse:
    """The mapping rules can't read the request; nothing ran."""
    return ev.ImmediateResponse(
        error.status, {REASON_HEADER: error.reason, EFFECT_HEADER: "none"}, "", "glenchute_invalid"
    )
