"""Converts protobuf messages of envoy.service.ext_proc.v3 to events and back."""

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
RESPONSE_TEMPLATES: dict[Any, Any] = {}  # by shape; a template is copied and its values are replaced
OVERWRITE = base_pb2.HeaderValueOption.OVERWRITE_IF_EXISTS_OR_ADD
LB_METADATA_NAMESPACE = "envoy.lb"
# Name from the endpoint picker protocol of the Gateway API inference extension.
LB_ENDPOINT_KEY = "x-gateway-destination-endpoint"
UNHANDLED_KINDS = ("response_body", "request_trailers", "response_trailers")
PLAIN_RESPONSES = {
    kind: pb.ProcessingResponse()
    for kind in (*UNHANDLED_KINDS, "request_headers", "request_body", "response_headers")
}
for _kind, _response in PLAIN_RESPONSES.items():
    getattr(_response, _kind).SetInParent()


def decode_headers(header_map: Any, wanted: Container[str]) -> dict[str, list[bytes]]:
    """Returns the values of the `wanted` headers of a HeaderMap, by lower-case name. Older proxies send a
    value in `value` instead of `raw_value`."""
    headers: dict[str, list[bytes]] = {}
    for header in header_map.headers:
        name = header.key.lower()
        if name in wanted:
            headers.setdefault(name, []).append(header.raw_value or header.value.encode())
    return headers


def decode_value(value: Any, depth: int = 0) -> Any:
    """Converts a google.protobuf.Value to plain data. Lists, nulls and structs nested deeper than
    `MAX_STRUCT_DEPTH` become None."""
    kind = value.WhichOneof("kind")
    if kind in ("string_value", "number_value", "bool_value"):
        return getattr(value, kind)
    if kind == "struct_value" and depth < MAX_STRUCT_DEPTH:
        return decode_struct(value.struct_value, depth + 1)
    return None


def decode_struct(struct: Any, depth: int = 0) -> dict[str, Any]:
    """Converts a google.protobuf.Struct to a dict."""
    return {key: decode_value(value, depth) for key, value in struct.fields.items()}


def decode_attributes(message: Any) -> dict[str, Any]:
    """Merges the attributes of all filters in a ProcessingRequest; the filters' names are dropped."""
    attributes: dict[str, Any] = {}
    for struct in message.attributes.values():
        attributes.update(decode_struct(struct))
    return attributes


def decode_request(message: Any, wanted: Container[str]) -> ev.ProxyMessage:
    """Converts a ProcessingRequest to an event that has only the `wanted` headers."""
    if message.observability_mode:
        return ev.ObservedMessage()
    kind = message.WhichOneof("request")
    if kind == "request_headers":
        http_headers = message.request_headers
        metadata = {
            name: decode_struct(struct) for name, struct in message.metadata_context.filter_metadata.items()
        }
        return ev.RequestHeaders(
            decode_headers(http_headers.headers, wanted),
            http_headers.end_of_stream,
            decode_attributes(message),
            metadata,
        )
    if kind == "response_headers":
        http_headers = message.response_headers
        return ev.ResponseHeaders(
            decode_headers(http_headers.headers, wanted),
            http_headers.end_of_stream,
            decode_attributes(message),
        )
    if kind == "request_body":
        return ev.RequestBody(message.request_body.body, message.request_body.end_of_stream)
    return ev.UnhandledMessage(kind) if kind in UNHANDLED_KINDS else ev.UnknownMessage()


def apply_header_changes(changes: Any, event: ev.ContinueResponse) -> None:
    """Writes an event's header changes to a HeaderMutation. A header that is set replaces one that a client
    may have sent under the same name."""
    for name, value in event.set_headers.items():
        option = changes.set_headers.add(append_action=OVERWRITE)
        option.header.key, option.header.raw_value = name, value.encode()
    changes.remove_headers.extend(event.remove_headers)


def header_mutation(response: Any, kind: str) -> Any:
    """Returns the field of a response that holds its header changes."""
    part = getattr(response, kind)
    return part.header_mutation if kind.endswith("trailers") else part.response.header_mutation


def encode_response(event: ev.ProcessorResponse) -> Any:
    """Converts an event to a ProcessingResponse, which the caller must not modify: it may be shared."""
    if isinstance(event, ev.ImmediateResponse):
        return encode_immediate(event)
    changes_nothing = not (event.set_headers or event.remove_headers)
    if changes_nothing and not (event.wants_response_headers or event.wants_request_body):
        return PLAIN_RESPONSES[event.kind]
    if event.wants_request_body:
        return build_continue(event)
    # Responses have few distinct shapes: copying a template is cheaper than building a response.
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
    """Converts an ImmediateResponse to a ProcessingResponse."""
    response = pb.ProcessingResponse()
    immediate = response.immediate_response
    immediate.status.code = event.status
    for name, value in event.headers.items():
        option = immediate.headers.set_headers.add(append_action=OVERWRITE)
        option.header.key, option.header.raw_value = name, value.encode()
    immediate.body, immediate.details = event.body.encode(), event.details
    return response


def fill_template(template: Any, event: ev.ContinueResponse) -> Any:
    """Copies a template of the event's shape and fills in the event's values."""
    response = pb.ProcessingResponse()
    response.CopyFrom(template)
    options = header_mutation(response, event.kind).set_headers
    for option, value in zip(options, event.set_headers.values(), strict=True):
        option.header.raw_value = value.encode()
    set_endpoint(response, event.endpoint)
    return response


def build_continue(event: ev.ContinueResponse) -> Any:
    """Builds a response that lets the exchange continue, field by field."""
    response = pb.ProcessingResponse()
    getattr(response, event.kind).SetInParent()
    apply_header_changes(header_mutation(response, event.kind), event)
    set_endpoint(response, event.endpoint)
    if event.kind == "request_headers" and (event.wants_response_headers or event.wants_request_body):
        # An override replaces the whole mode: fields that are not set here get their defaults.
        mode = response.mode_override
        mode.request_header_mode = mode.response_header_mode = processing_mode_pb2.ProcessingMode.SEND
        mode.request_trailer_mode = mode.response_trailer_mode = processing_mode_pb2.ProcessingMode.SKIP
        if event.wants_request_body:
            mode.request_body_mode = processing_mode_pb2.ProcessingMode.BUFFERED
    return response


def set_endpoint(response: Any, endpoint: str) -> None:
    """Names the chosen server in the metadata for the proxy's load balancer, unless `endpoint` is empty."""
    if endpoint:
        namespace = response.dynamic_metadata.fields[LB_METADATA_NAMESPACE]
        namespace.struct_value.fields[LB_ENDPOINT_KEY].string_value = endpoint
