"""Clients of the services that gateways use: the counter, discovery, other members, and the other process."""
