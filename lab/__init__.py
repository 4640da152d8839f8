"""Stand-ins for the systems beyond the gateway, written from public specifications."""
