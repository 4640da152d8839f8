"""The messages of a stream, in both directions. `messages.py` converts them from and to protobuf messages."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class RequestHeaders:
    """A request's headers, by lower-case name. With `end_of_stream` no body follows."""

    headers: dict[str, list[bytes]]
    end_of_stream: bool = True
    attributes: Mapping[str, Any] = field(default_factory=dict)
    metadata: Mapping[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class RequestBody:
    """A request's buffered body, or a part of it."""

    body: bytes
    end_of_stream: bool


@dataclass(slots=True)
class ResponseHeaders:
    """A response's headers. On an upstream stream they are those of an attempt's response, on a downstream
    stream those of the response that the client is about to get."""

    headers: dict[str, list[bytes]]
    end_of_stream: bool = False
    attributes: Mapping[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class UnhandledMessage:
    """A body or trailers that the processor did not ask for: the response has the same `kind`, which is the
    name of a field of ProcessingRequest, and changes nothing."""

    kind: str


@dataclass(slots=True)
class ObservedMessage:
    """A message in observability mode: the proxy does not wait for a response, which would have no effect."""


@dataclass(slots=True)
class UnknownMessage:
    """A message without any field that is known here."""


ProxyMessage = (
    RequestHeaders | RequestBody | ResponseHeaders | UnhandledMessage | ObservedMessage | UnknownMessage
)


@dataclass(slots=True)
class ContinueResponse:
    """Lets the exchange continue, with header changes.

    `kind` is the name of the field of ProcessingResponse. `endpoint`, unless empty, is the server to name in
    the metadata of the namespace `envoy.lb`.
    """

    kind: str
    set_headers: dict[str, str] = field(default_factory=dict)
    remove_headers: tuple[str, ...] = ()
    endpoint: str = ""
    wants_response_headers: bool = False  # mode_override asks the proxy for the response's headers
    wants_request_body: bool = False  # mode_override asks the proxy for the request's body, buffered


@dataclass(slots=True)
class ImmediateResponse:
    """Ends the exchange: the proxy responds with this instead of forwarding anything."""

    status: int
    headers: dict[str, str]
    body: str
    details: str


ProcessorResponse = ContinueResponse | ImmediateResponse
RespondCallback = Callable[[ProcessorResponse | None], None]  # None if the message needs no response
