"""The client listener for the platform's protocol: RESP2 over TCP."""
