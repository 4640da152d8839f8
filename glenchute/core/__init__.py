"""The lifecycle of requests, independent of protocols and sockets."""
