"""State that gateways share: membership, gossip, leases and usage reports. No I/O."""
