"""Retries and hedged requests: retry policy, retry budget, route limits and attempts made by proxies."""
