"""Wire formats, fed byte by byte; no sockets."""
