"""Protobufs of envoy.service.ext_proc.v3 to events and back (the published API, v3)."""

from __future__ import annotations

from collections.abc import Container
from typing import Any

from envoy.config.core.v3 import base_pb2
from envoy.extensions.filters.http.ext_proc.v3 import processing_mode_pb2
from envoy.service.ext_proc.v3 import external_processor_pb2 as pb

from . import events as ev

ProcessingRequest = pb.ProcessingRequest
ProcessingResponse = pb.ProcessingResponse
MOST_DEPTH = 4
MOST_SHAPES = 64
SHAPES: dict[Any, Any] = {}  # answers of each shape, to be copied
OVERWRITE = base_pb2.HeaderValueOption.OVERWRITE_IF_EXISTS_OR_ADD
LB = "envoy.lb"
LB_KEY = "x-gateway-destination-endpoint"  # Gateway API inference extension, endpoint picker protocol
OTHERS = ("response_body", "request_trailers", "response_trailers")
CONTINUES = {
    kind: pb.ProcessingResponse() for kind in (*OTHERS, "request_headers", "request_body", "response_headers")
}
for _kind, _made in CONTINUES.items():
    getattr(_made, _kind).SetInParent()


def headers(found: Any, wanted: Container[str]) -> dict[str, list[bytes]]:
    """Those of a HeaderMap that somebody reads; values come in `raw_value`, from old proxies in `value`."""
    made: dict[str, list[bytes]] = {}
    for header in found.headers:
        name = header.key.lower()
        if name in wanted:
            made.setdefault(name, []).append(header.raw_value or header.value.encode())
    return made


def value(found: Any, depth: int = 0) -> Any:
    """A google.protobuf.Value as plain data; lists, nulls and what lies too deep are left out as None."""
    kind = found.WhichOneof("kind")
    if kind in ("string_value", "number_value", "bool_value"):
        return getattr(found, kind)
    if kind == "struct_value" and depth < MOST_DEPTH:
        return struct(found.struct_value, depth + 1)
    return None


def struct(found: Any, depth: int = 0) -> dict[str, Any]:
    """A google.protobuf.Struct."""
    return {key: value(inner, depth) for key, inner in found.fields.items()}


def attributes(message: Any) -> dict[str, Any]:
    """All attributes, whichever filter's name they come under."""
    made: dict[str, Any] = {}
    for inner in message.attributes.values():
        made.update(struct(inner))
    return made


def read(message: Any, wanted: Container[str]) -> ev.Said:
    """A ProcessingRequest as an event, with the headers that are `wanted`."""
    if message.observability_mode:
        return ev.Observed()
    kind = message.WhichOneof("request")
    if kind == "request_headers":
        said = message.request_headers
        told = {name: struct(inner) for name, inner in message.metadata_context.filter_metadata.items()}
        return ev.RequestHeaders(headers(said.headers, wanted), said.end_of_stream, attributes(message), told)
    if kind == "response_headers":
        said = message.response_headers
        return ev.ResponseHeaders(headers(said.headers, wanted), said.end_of_stream, attributes(message))
    if kind == "request_body":
        return ev.RequestBody(message.request_body.body, message.request_body.end_of_stream)
    return ev.Other(kind) if kind in OTHERS else ev.Unknown()


def change(changes: Any, told: ev.Go) -> None:
    """Header changes; what is set replaces what a client may have sent by the same name."""
    for name, text in told.set_headers.items():
        option = changes.set_headers.add(append_action=OVERWRITE)
        option.header.key, option.header.raw_value = name, text.encode()
    changes.remove_headers.extend(told.remove_headers)


def mutation(made: Any, kind: str) -> Any:
    """Where the header changes of an answer stand."""
    part = getattr(made, kind)
    return part.header_mutation if kind.endswith("trailers") else part.response.header_mutation


def write(told: ev.Told) -> Any:
    """An event as a ProcessingResponse."""
    made = pb.ProcessingResponse()
    if isinstance(told, ev.Reply):
        reply = made.immediate_response
        reply.status.code = told.status
        for name, text in told.headers.items():
            option = reply.headers.set_headers.add(append_action=OVERWRITE)
            option.header.key, option.header.raw_value = name, text.encode()
        reply.body, reply.details = told.body.encode(), told.details
        return made
    if not (told.set_headers or told.remove_headers or told.want_response or told.want_body):
        return CONTINUES[told.kind]
    # The same few shapes come again and again: a copy of one is cheaper than building it.
    shape = told.kind, tuple(told.set_headers), told.remove_headers, bool(told.endpoint), told.want_response
    known = SHAPES.get(shape) if not told.want_body else None
    if known is not None:
        made.CopyFrom(known)
        options = mutation(made, told.kind).set_headers
        for option, text in zip(options, told.set_headers.values(), strict=True):
            option.header.raw_value = text.encode()
        if told.endpoint:
            made.dynamic_metadata.fields[LB].struct_value.fields[LB_KEY].string_value = told.endpoint
        return made
    getattr(made, told.kind).SetInParent()
    change(mutation(made, told.kind), told)
    if told.endpoint:
        made.dynamic_metadata.fields[LB].struct_value.fields[LB_KEY].string_value = told.endpoint
    if told.kind == "request_headers" and (told.want_response or told.want_body):
        mode = made.mode_override  # all of it counts: what is left out would go back to its default
        mode.request_header_mode = mode.response_header_mode = processing_mode_pb2.ProcessingMode.SEND
        mode.request_trailer_mode = mode.response_trailer_mode = processing_mode_pb2.ProcessingMode.SKIP
        if told.want_body:
            mode.request_body_mode = processing_mode_pb2.ProcessingMode.BUFFERED
            return made
    if len(SHAPES) < MOST_SHAPES:
        SHAPES[shape] = made
    kept = pb.ProcessingResponse()
    kept.CopyFrom(made)
    return kept
