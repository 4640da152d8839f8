"""Bare ext_proc server by one of three libraries: a lower bound for the cost of the external processor.

    python -m benchmarks.extproc_echo grpcio|grpclib|h2

Prints its port, then serves until stdin ends. Each message is answered with a fixed CONTINUE response.
"""

from __future__ import annotations

import asyncio
import os
import sys
from typing import Any

import uvloop
from envoy.service.ext_proc.v3 import external_processor_pb2 as pb

SERVICE = "envoy.service.ext_proc.v3.ExternalProcessor"
PATH = f"/{SERVICE}/Process"


def reply(request: Any) -> Any:
    """Returns a CONTINUE response of the same kind as the request."""
    response = pb.ProcessingResponse()
    getattr(response, request.WhichOneof("request")).SetInParent()
    return response


async def serve_grpcio() -> int:
    """Starts grpcio's asyncio server; returns its port."""
    import grpc

    async def process(requests: Any, context: Any) -> None:
        while (request := await context.read()) is not grpc.aio.EOF:
            await context.write(reply(request))

    server = grpc.aio.server(options=(("grpc.so_reuseport", 0),))
    method = grpc.stream_stream_rpc_method_handler(
        process, pb.ProcessingRequest.FromString, pb.ProcessingResponse.SerializeToString
    )
    server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler(SERVICE, {"Process": method}),))
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    running_servers.append(server)
    return int(port)


async def serve_grpclib() -> int:
    """Starts the server of grpclib, pure Python over h2; returns its port."""
    import grpclib.const
    import grpclib.server

    class Echo:
        async def process(self, stream: Any) -> None:
            async for request in stream:
                await stream.send_message(reply(request))

        def __mapping__(self) -> dict[str, Any]:
            kind = grpclib.const.Cardinality.STREAM_STREAM
            handler = grpclib.const.Handler(self.process, kind, pb.ProcessingRequest, pb.ProcessingResponse)
            return {PATH: handler}

    server = grpclib.server.Server([Echo()])
    await server.start("127.0.0.1", 0)
    running_servers.append(server)
    return int(server._server.sockets[0].getsockname()[1])


async def serve_h2() -> int:
    """Starts a server on h2 alone, with the minimum of gRPC; returns its port. It has no flow control of its
    own, no time-outs and no TLS."""
    from h2.config import H2Configuration
    from h2.connection import H2Connection
    from h2.events import DataReceived, RequestReceived, StreamEnded

    class Echo(asyncio.Protocol):
        def connection_made(self, transport: Any) -> None:
            self.transport = transport
            self.conn = H2Connection(H2Configuration(client_side=False, header_encoding=None))
            self.conn.initiate_connection()
            self.unparsed: dict[int, bytes] = {}

        def data_received(self, received: bytes) -> None:
            conn = self.conn
            for event in conn.receive_data(received):
                if isinstance(event, RequestReceived):
                    headers = [(b":status", b"200"), (b"content-type", b"application/grpc")]
                    conn.send_headers(event.stream_id, headers)
                    self.unparsed[event.stream_id] = b""
                elif isinstance(event, DataReceived):
                    conn.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
                    data = self.unparsed[event.stream_id] + event.data
                    # A gRPC message: a flag of one byte, its length in four, and the message.
                    while len(data) >= 5 and len(data) >= 5 + int.from_bytes(data[1:5], "big"):
                        end = 5 + int.from_bytes(data[1:5], "big")
                        payload = reply(pb.ProcessingRequest.FromString(data[5:end])).SerializeToString()
                        conn.send_data(event.stream_id, b"\0" + len(payload).to_bytes(4, "big") + payload)
                        data = data[end:]
                    self.unparsed[event.stream_id] = data
                elif isinstance(event, StreamEnded):
                    self.unparsed.pop(event.stream_id, None)
                    conn.send_headers(event.stream_id, [(b"grpc-status", b"0")], end_stream=True)
            self.transport.write(conn.data_to_send())

    server = await asyncio.get_running_loop().create_server(Echo, "127.0.0.1", 0)
    running_servers.append(server)
    return int(server.sockets[0].getsockname()[1])


running_servers: list[Any] = []
LIBRARIES = {"grpcio": serve_grpcio, "grpclib": serve_grpclib, "h2": serve_h2}


async def serve(library: str) -> None:
    """Serves until stdin ends."""
    print(await LIBRARIES[library](), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    os._exit(0)  # exits without cleanup, as an echo has no work to finish


if __name__ == "__main__":
    uvloop.run(serve(sys.argv[1]))
