"""Connections to servers, and the attempts made on them."""
