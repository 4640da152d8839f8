"""The platform's front: RESP2 over TCP."""
