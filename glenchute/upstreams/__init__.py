"""Connections to the servers, and the attempts on them."""
