"""The sockets of members; only where `[fleet]` is in the operator's file."""
