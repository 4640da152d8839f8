"""The messages of a stream, in both directions. `messages.py` converts them from and to protobufs."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class RequestHeaders:
    """A request's headers, by lower-case name; `end_of_stream`: no body follows."""

    headers: dict[str, list[bytes]]
    end_of_stream: bool = True
    attributes: Mapping[str, Any] = field(default_factory=dict)
    metadata: Mapping[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class RequestBody:
    """A buffered body, or a part of one."""

    body: bytes
    end_of_stream: bool


@dataclass(slots=True)
class ResponseHeaders:
    """A response's headers: of an attempt on an upstream stream, for the client on a downstream one."""

    headers: dict[str, list[bytes]]
    end_of_stream: bool = False
    attributes: Mapping[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class UnhandledMessage:
    """A message that needs a response of its own kind and no more: bodies and trailers that were not asked
    for. `kind` is the field of ProcessingRequest."""

    kind: str


@dataclass(slots=True)
class ObservedMessage:
    """Observability mode: the proxy does not wait, and a response would have no effect."""


@dataclass(slots=True)
class UnknownMessage:
    """A message without any known field."""


ProxyMessage = (
    RequestHeaders | RequestBody | ResponseHeaders | UnhandledMessage | ObservedMessage | UnknownMessage
)


@dataclass(slots=True)
class ContinueResponse:
    """Continue, with header changes. `kind` is the field of ProcessingResponse; `endpoint` goes into the
    metadata `envoy.lb`."""

    kind: str
    set_headers: dict[str, str] = field(default_factory=dict)
    remove_headers: tuple[str, ...] = ()
    endpoint: str = ""
    wants_response_headers: bool = False  # by mode_override: send the response's headers
    wants_request_body: bool = False  # by mode_override: send the request's body, buffered


@dataclass(slots=True)
class ImmediateResponse:
    """The proxy responds with this and does nothing else."""

    status: int
    headers: dict[str, str]
    body: str
    details: str


ProcessorResponse = ContinueResponse | ImmediateResponse
RespondCallback = Callable[[ProcessorResponse | None], None]  # None: no response is due
