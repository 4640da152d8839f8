"""Converts protobufs of envoy.service.ext_proc.v3 to events and back."""

from __future__ import annotations

from collections.abc import Container
from typing import Any

from envoy.config.core.v3 import base_pb2
from envoy.extensions.filters.http.ext_proc.v3 import processing_mode_pb2
from envoy.service.ext_proc.v3 import external_processor_pb2 as pb

from . import events as ev

ProcessingRequest = pb.ProcessingRequest
ProcessingResponse = pb.ProcessingResponse
MAX_STRUCT_DEPTH = 4
MAX_RESPONSE_TEMPLATES = 64
RESPONSE_TEMPLATES: dict[Any, Any] = {}  # a response of each shape, to be copied
OVERWRITE = base_pb2.HeaderValueOption.OVERWRITE_IF_EXISTS_OR_ADD
LB_METADATA_NAMESPACE = "envoy.lb"
# Gateway API inference extension, endpoint picker protocol.
LB_ENDPOINT_KEY = "x-gateway-destination-endpoint"
UNHANDLED_KINDS = ("response_body", "request_trailers", "response_trailers")
PLAIN_RESPONSES = {
    kind: pb.ProcessingResponse()
    for kind in (*UNHANDLED_KINDS, "request_headers", "request_body", "response_headers")
}
for _kind, _made in PLAIN_RESPONSES.items():
    getattr(_made, _kind).SetInParent()


def decode_headers(found: Any, wanted: Container[str]) -> dict[str, list[bytes]]:
    """The headers of a HeaderMap that are in `wanted`; values are in `raw_value`, from old proxies in
    `value`."""
    made: dict[str, list[bytes]] = {}
    for header in found.headers:
        name = header.key.lower()
        if name in wanted:
            made.setdefault(name, []).append(header.raw_value or header.value.encode())
    return made


def decode_value(found: Any, depth: int = 0) -> Any:
    """A google.protobuf.Value as plain data; lists, nulls and what is nested too deep become None."""
    kind = found.WhichOneof("kind")
    if kind in ("string_value", "number_value", "bool_value"):
        return getattr(found, kind)
    if kind == "struct_value" and depth < MAX_STRUCT_DEPTH:
        return decode_struct(found.struct_value, depth + 1)
    return None


def decode_struct(found: Any, depth: int = 0) -> dict[str, Any]:
    """A google.protobuf.Struct as a dict."""
    return {key: decode_value(inner, depth) for key, inner in found.fields.items()}


def decode_attributes(message: Any) -> dict[str, Any]:
    """All attributes, whichever filter's name they come under."""
    made: dict[str, Any] = {}
    for inner in message.attributes.values():
        made.update(decode_struct(inner))
    return made


def decode_request(message: Any, wanted: Container[str]) -> ev.ProxyMessage:
    """A ProcessingRequest as an event, with the headers that are `wanted`."""
    if message.observability_mode:
        return ev.ObservedMessage()
    kind = message.WhichOneof("request")
    if kind == "request_headers":
        part = message.request_headers
        metadata = {
            name: decode_struct(inner) for name, inner in message.metadata_context.filter_metadata.items()
        }
        return ev.RequestHeaders(
            decode_headers(part.headers, wanted), part.end_of_stream, decode_attributes(message), metadata
        )
    if kind == "response_headers":
        part = message.response_headers
        return ev.ResponseHeaders(
            decode_headers(part.headers, wanted), part.end_of_stream, decode_attributes(message)
        )
    if kind == "request_body":
        return ev.RequestBody(message.request_body.body, message.request_body.end_of_stream)
    return ev.UnhandledMessage(kind) if kind in UNHANDLED_KINDS else ev.UnknownMessage()


def apply_header_changes(changes: Any, event: ev.ContinueResponse) -> None:
    """Header changes; what is set replaces what a client may have sent under the same name."""
    for name, text in event.set_headers.items():
        option = changes.set_headers.add(append_action=OVERWRITE)
        option.header.key, option.header.raw_value = name, text.encode()
    changes.remove_headers.extend(event.remove_headers)


def header_mutation(response: Any, kind: str) -> Any:
    """The field of a response that holds its header changes."""
    part = getattr(response, kind)
    return part.header_mutation if kind.endswith("trailers") else part.response.header_mutation


def encode_response(event: ev.ProcessorResponse) -> Any:
    """An event as a ProcessingResponse."""
    if isinstance(event, ev.ImmediateResponse):
        return encode_immediate(event)
    changes_nothing = not (event.set_headers or event.remove_headers)
    if changes_nothing and not (event.wants_response_headers or event.wants_request_body):
        return PLAIN_RESPONSES[event.kind]
    if event.wants_request_body:
        return build_continue(event)
    # The same few shapes come again and again: a copy of one is cheaper than building it.
    shape = (
        event.kind,
        tuple(event.set_headers),
        event.remove_headers,
        bool(event.endpoint),
        event.wants_response_headers,
    )
    template = RESPONSE_TEMPLATES.get(shape)
    if template is not None:
        return fill_template(template, event)
    response = build_continue(event)
    if len(RESPONSE_TEMPLATES) < MAX_RESPONSE_TEMPLATES:
        RESPONSE_TEMPLATES[shape] = response
    copy = pb.ProcessingResponse()
    copy.CopyFrom(response)
    return copy


def encode_immediate(event: ev.ImmediateResponse) -> Any:
    """An ImmediateResponse."""
    response = pb.ProcessingResponse()
    immediate = response.immediate_response
    immediate.status.code = event.status
    for name, text in event.headers.items():
        option = immediate.headers.set_headers.add(append_action=OVERWRITE)
        option.header.key, option.header.raw_value = name, text.encode()
    immediate.body, immediate.details = event.body.encode(), event.details
    return response


def fill_template(template: Any, event: ev.ContinueResponse) -> Any:
    """A copy of a response of the event's shape, with the event's values."""
    response = pb.ProcessingResponse()
    response.CopyFrom(template)
    options = header_mutation(response, event.kind).set_headers
    for option, text in zip(options, event.set_headers.values(), strict=True):
        option.header.raw_value = text.encode()
    set_endpoint(response, event.endpoint)
    return response


def build_continue(event: ev.ContinueResponse) -> Any:
    """A response that lets the exchange continue, built field by field."""
    response = pb.ProcessingResponse()
    getattr(response, event.kind).SetInParent()
    apply_header_changes(header_mutation(response, event.kind), event)
    set_endpoint(response, event.endpoint)
    if event.kind == "request_headers" and (event.wants_response_headers or event.wants_request_body):
        mode = response.mode_override  # replaces the whole mode: what is left out gets its default
        mode.request_header_mode = mode.response_header_mode = processing_mode_pb2.ProcessingMode.SEND
        mode.request_trailer_mode = mode.response_trailer_mode = processing_mode_pb2.ProcessingMode.SKIP
        if event.wants_request_body:
            mode.request_body_mode = processing_mode_pb2.ProcessingMode.BUFFERED
    return response


def set_endpoint(response: Any, endpoint: str) -> None:
    """Names the chosen server in the metadata for the proxy's load balancer, if there is one."""
    if endpoint:
        namespace = response.dynamic_metadata.fields[LB_METADATA_NAMESPACE]
        namespace.struct_value.fields[LB_ENDPOINT_KEY].string_value = endpoint
