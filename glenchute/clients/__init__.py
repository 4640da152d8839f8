"""The services that gateways ask: counter, discovery."""
