"""The two kinds of streams. A proxy opens a downstream stream for each request and an upstream stream for
each attempt."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from glenchute.policy.services.request_mapping import BodyRequired, MappingError, RequestView

from . import events as ev
from .responses import TOKEN_HEADER, failure_response, invalid_request_response, single_header

if TYPE_CHECKING:
    from .attempt import ProxiedAttempt
    from .request import ProxiedRequest
    from .table import RequestTable

MAX_BODY_BYTES = 64 * 1024  # limit for a body that a mapping rule needs; larger ones get 413


class DownstreamStream:
    """A stream of the downstream filter, for one request: its headers, and later the response that the client
    is about to get."""

    __slots__ = ("abort", "buffered_body", "partial_request", "request", "table")

    def __init__(self, table: RequestTable) -> None:
        self.table = table
        self.request: ProxiedRequest | None = None
        self.partial_request: RequestView | None = None  # set while its body is awaited
        self.buffered_body = bytearray()
        self.abort: Callable[[], None] | None = None

    def receive(self, message: ev.ProxyMessage, respond: ev.RespondCallback) -> None:
        """Handles one message; `respond` is called once, now or later."""
        match message:
            case ev.RequestHeaders():
                if self.request is not None or self.partial_request is not None:
                    # Headers that come a second time on a stream change nothing.
                    respond(ev.ContinueResponse("request_headers"))
                    return
                view = RequestView(
                    message.headers, message.metadata, body=b"" if message.end_of_stream else None
                )
                self.start_request(view, "request_headers", respond)
            case ev.RequestBody():
                self.buffer_body(message, respond)
            case ev.ResponseHeaders():
                if self.request is None:
                    respond(ev.ContinueResponse("response_headers"))
                    return
                status, details, load = self.table.read_response(message)
                self.request.on_client_response(status, details, load, respond)
            case ev.UnhandledMessage(kind):
                respond(ev.ContinueResponse(kind))
            case _:
                respond(None)

    def buffer_body(self, message: ev.RequestBody, respond: ev.RespondCallback) -> None:
        """Buffers a body, or a part of it, that the mapping rules need; starts the request at its end."""
        if self.partial_request is None:
            respond(ev.ContinueResponse("request_body"))
            return
        self.buffered_body += message.body
        if len(self.buffered_body) > MAX_BODY_BYTES:
            self.partial_request = None
            respond(invalid_request_response(MappingError("body-too-large", 413)))
        elif message.end_of_stream:
            view, self.partial_request = self.partial_request, None
            view.body = bytes(self.buffered_body)
            self.start_request(view, "request_body", respond)
        else:
            respond(ev.ContinueResponse("request_body"))

    def start_request(self, view: RequestView, kind: str, respond: ev.RespondCallback) -> None:
        """Maps the request and passes it to the table. Asks for its body first if a rule needs it."""
        try:
            fields = self.table.settings.mapping_rules.map_request(view)
        except MappingError as error:
            self.table.counts["invalid"] += 1
            respond(invalid_request_response(error))
            return
        except BodyRequired:
            self.partial_request = view
            respond(ev.ContinueResponse(kind, wants_request_body=True))
            return

        def respond_after_body(response: ev.ProcessorResponse | None) -> None:
            if isinstance(response, ev.ContinueResponse):
                response = ev.ContinueResponse(
                    kind, response.set_headers, response.remove_headers, response.endpoint
                )
            respond(response)

        is_first_message = kind == "request_headers"
        self.table.accept(
            self,
            fields,
            single_header(view.headers, TOKEN_HEADER),
            respond if is_first_message else respond_after_body,
        )

    def close(self, clean: bool) -> None:
        """Handles the stream's end. `clean`: it was closed in order, not reset."""
        if self.request is not None:
            self.request.on_client_stream_closed(self, clean)


class UpstreamStream:
    """A stream of the upstream filter, for one attempt."""

    __slots__ = ("abort", "attempt", "request", "table")

    def __init__(self, table: RequestTable) -> None:
        self.table = table
        self.request: ProxiedRequest | None = None
        self.attempt: ProxiedAttempt | None = None
        self.abort: Callable[[], None] | None = None

    def receive(self, message: ev.ProxyMessage, respond: ev.RespondCallback) -> None:
        """Handles one message; `respond` is called once, now or later."""
        match message:
            case ev.RequestHeaders():
                if self.request is not None:
                    respond(failure_response("asked-twice"))
                    return
                self.start_attempt(message, respond)
            case ev.ResponseHeaders():
                if self.request is None:
                    respond(ev.ContinueResponse("response_headers"))
                    return
                status, details, load = self.table.read_response(message)
                self.request.on_attempt_response(self, status, details, load, respond)
            case ev.RequestBody():
                respond(ev.ContinueResponse("request_body"))
            case ev.UnhandledMessage(kind):
                respond(ev.ContinueResponse(kind))
            case _:
                respond(None)

    def start_attempt(self, message: ev.RequestHeaders, respond: ev.RespondCallback) -> None:
        """Decides whether an attempt may be sent, by its token: as its request in the table says, or, for
        another process's token, if its class allows that."""
        token = self.table.signer.verify(single_header(message.headers, TOKEN_HEADER))
        request = (
            self.table.requests_by_number.get(token.request_number)
            if token and token.process_id == self.table.signer.process_id
            else None
        )
        if request is not None:
            self.request = request
            request.request_attempt(self, str(message.attributes.get("upstream.address", "")), respond)
        elif (
            token is not None
            and token.process_id != self.table.signer.process_id
            and self.table.may_resume(token)
        ):
            self.table.counts["followed"] += 1
            respond(ev.ContinueResponse("request_headers", remove_headers=(TOKEN_HEADER,)))
        else:
            self.table.counts["unproven"] += 1
            respond(failure_response("not-proven-unsent"))

    def close(self, clean: bool) -> None:
        """Handles the stream's end; an attempt without a result gets one."""
        if self.request is not None:
            self.request.on_attempt_stream_closed(self)
