"""The two kinds of streams: a proxy opens one for each request and one for each attempt."""

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

MAX_BODY_BYTES = 64 * 1024  # of a body that a mapping rule needs


class DownstreamStream:
    """A stream of the filter on the client's side: the request, then the response that the client gets."""

    __slots__ = ("abort", "buffered_body", "partial_request", "request", "table")

    def __init__(self, calls: RequestTable) -> None:
        self.table = calls
        self.request: ProxiedRequest | None = None
        self.partial_request: RequestView | None = None  # while a body is awaited
        self.buffered_body = bytearray()
        self.abort: Callable[[], None] | None = None

    def receive(self, message: ev.ProxyMessage, answer: ev.RespondCallback) -> None:
        """Takes one message; `answer` is called once, now or later."""
        match message:
            case ev.RequestHeaders():
                if self.request is not None or self.partial_request is not None:
                    answer(
                        ev.ContinueResponse("request_headers")
                    )  # a second time on one stream: changes nothing
                    return
                view = RequestView(
                    message.headers, message.metadata, body=b"" if message.end_of_stream else None
                )
                self.start_request(view, "request_headers", answer)
            case ev.RequestBody():
                self.buffer_body(message, answer)
            case ev.ResponseHeaders():
                if self.request is None:
                    answer(ev.ContinueResponse("response_headers"))
                    return
                status, details, load = self.table.read_response(message)
                self.request.on_client_response(status, details, load, answer)
            case ev.UnhandledMessage(kind):
                answer(ev.ContinueResponse(kind))
            case _:
                answer(None)

    def buffer_body(self, message: ev.RequestBody, answer: ev.RespondCallback) -> None:
        """A body, or a part of one, that the mapping rules wait for."""
        if self.partial_request is None:
            answer(ev.ContinueResponse("request_body"))
            return
        self.buffered_body += message.body
        if len(self.buffered_body) > MAX_BODY_BYTES:
            self.partial_request = None
            answer(invalid_request_response(MappingError("body-too-large", 413)))
        elif message.end_of_stream:
            view, self.partial_request = self.partial_request, None
            view.body = bytes(self.buffered_body)
            self.start_request(view, "request_body", answer)
        else:
            answer(ev.ContinueResponse("request_body"))

    def start_request(self, view: RequestView, kind: str, answer: ev.RespondCallback) -> None:
        """Maps the request and hands it to the table; asks for its body first where a rule needs that."""
        try:
            fields = self.table.settings.mapping_rules.map_request(view)
        except MappingError as error:
            self.table.counts["invalid"] += 1
            answer(invalid_request_response(error))
            return
        except BodyRequired:
            self.partial_request = view
            answer(ev.ContinueResponse(kind, wants_request_body=True))
            return

        def after_body(response: ev.ProcessorResponse | None) -> None:
            if isinstance(response, ev.ContinueResponse):
                response = ev.ContinueResponse(
                    kind, response.set_headers, response.remove_headers, response.endpoint
                )
            answer(response)

        plain = kind == "request_headers"
        self.table.accept(
            self, fields, single_header(view.headers, TOKEN_HEADER), answer if plain else after_body
        )

    def close(self, clean: bool) -> None:
        """The stream has ended; `clean`: the proxy ended it in order."""
        if self.request is not None:
            self.request.on_client_stream_closed(self, clean)


class UpstreamStream:
    """A stream of the filter on the server's side: one attempt."""

    __slots__ = ("abort", "attempt", "request", "table")

    def __init__(self, calls: RequestTable) -> None:
        self.table = calls
        self.request: ProxiedRequest | None = None
        self.attempt: ProxiedAttempt | None = None
        self.abort: Callable[[], None] | None = None

    def receive(self, message: ev.ProxyMessage, answer: ev.RespondCallback) -> None:
        """Takes one message; `answer` is called once, now or later."""
        match message:
            case ev.RequestHeaders():
                if self.request is not None:
                    answer(failure_response("asked-twice"))
                    return
                self.start_attempt(message, answer)
            case ev.ResponseHeaders():
                if self.request is None:
                    answer(ev.ContinueResponse("response_headers"))
                    return
                status, details, load = self.table.read_response(message)
                self.request.on_attempt_response(self, status, details, load, answer)
            case ev.RequestBody():
                answer(ev.ContinueResponse("request_body"))
            case ev.UnhandledMessage(kind):
                answer(ev.ContinueResponse(kind))
            case _:
                answer(None)

    def start_attempt(self, message: ev.RequestHeaders, answer: ev.RespondCallback) -> None:
        """An attempt asks whether it may go."""
        token = self.table.signer.verify(single_header(message.headers, TOKEN_HEADER))
        entry = (
            self.table.requests_by_number.get(token.request_number)
            if token and token.process_id == self.table.signer.process_id
            else None
        )
        if entry is not None:
            self.request = entry
            entry.request_attempt(self, str(message.attributes.get("upstream.address", "")), answer)
        elif (
            token is not None
            and token.process_id != self.table.signer.process_id
            and self.table.may_resume(token)
        ):
            self.table.counts["followed"] += 1
            answer(ev.ContinueResponse("request_headers", remove_headers=(TOKEN_HEADER,)))
        else:
            self.table.counts["unproven"] += 1
            answer(failure_response("not-proven-unsent"))

    def close(self, clean: bool) -> None:
        """The stream has ended."""
        if self.request is not None:
            self.request.on_attempt_stream_closed(self)
