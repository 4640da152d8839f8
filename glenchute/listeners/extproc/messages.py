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
        said = message.request_headers
        told = {
            name: decode_struct(inner) for name, inner in message.metadata_context.filter_metadata.items()
        }
        return ev.RequestHeaders(
            decode_headers(said.headers, wanted), said.end_of_stream, decode_attributes(message), told
        )
    if kind == "response_headers":
        said = message.response_headers
        return ev.ResponseHeaders(
            decode_headers(said.headers, wanted), said.end_of_stream, decode_attributes(message)
        )
    if kind == "request_body":
        return ev.RequestBody(message.request_body.body, message.request_body.end_of_stream)
    return ev.UnhandledMessage(kind) if kind in UNHANDLED_KINDS else ev.UnknownMessage()


def apply_header_changes(changes: Any, told: ev.ContinueResponse) -> None:
    """Header changes; what is set replaces what a client may have sent under the same name."""
    for name, text in told.set_headers.items():
        option = changes.set_headers.add(append_action=OVERWRITE)
        option.header.key, option.header.raw_value = name, text.encode()
    changes.remove_headers.extend(told.remove_headers)


def header_mutation(made: Any, kind: str) -> Any:
    """The field of a response that holds its header changes."""
    part = getattr(made, kind)
    return part.header_mutation if kind.endswith("trailers") else part.response.header_mutation


def encode_response(told: ev.ProcessorResponse) -> Any:
    """An event as a ProcessingResponse."""
    made = pb.ProcessingResponse()
    if isinstance(told, ev.ImmediateResponse):
        reply = made.immediate_response
        reply.status.code = told.status
        for name, text in told.headers.items():
            option = reply.headers.set_headers.add(append_action=OVERWRITE)
            option.header.key, option.header.raw_value = name, text.encode()
        reply.body, reply.details = told.body.encode(), told.details
        return made
    if not (
        told.set_headers or told.remove_headers or told.wants_response_headers or told.wants_request_body
    ):
        return PLAIN_RESPONSES[told.kind]
    # The same few shapes come again and again: a copy of one is cheaper than building it.
    shape = (
        told.kind,
        tuple(told.set_headers),
        told.remove_headers,
        bool(told.endpoint),
        told.wants_response_headers,
    )
    known = RESPONSE_TEMPLATES.get(shape) if not told.wants_request_body else None
    if known is not None:
        made.CopyFrom(known)
        options = header_mutation(made, told.kind).set_headers
        for option, text in zip(options, told.set_headers.values(), strict=True):
            option.header.raw_value = text.encode()
        if told.endpoint:
            made.dynamic_metadata.fields[LB_METADATA_NAMESPACE].struct_value.fields[
                LB_ENDPOINT_KEY
            ].string_value = told.endpoint
        return made
    getattr(made, told.kind).SetInParent()
    apply_header_changes(header_mutation(made, told.kind), told)
    if told.endpoint:
        made.dynamic_metadata.fields[LB_METADATA_NAMESPACE].struct_value.fields[
            LB_ENDPOINT_KEY
        ].string_value = told.endpoint
    if told.kind == "request_headers" and (told.wants_response_headers or told.wants_request_body):
        mode = made.mode_override  # all of it counts: what is left out would go back to its default
        mode.request_header_mode = mode.response_header_mode = processing_mode_pb2.ProcessingMode.SEND
        mode.request_trailer_mode = mode.response_trailer_mode = processing_mode_pb2.ProcessingMode.SKIP
        if told.wants_request_body:
            mode.request_body_mode = processing_mode_pb2.ProcessingMode.BUFFERED
            return made
    if len(RESPONSE_TEMPLATES) < MAX_RESPONSE_TEMPLATES:
        RESPONSE_TEMPLATES[shape] = made
    kept = pb.ProcessingResponse()
    kept.CopyFrom(made)
    return kept
