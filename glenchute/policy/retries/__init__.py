"""When another attempt may start: route limits and what proxied attempts allow."""
