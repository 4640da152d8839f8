"""The external processor: proxies ask for each request. Needs the extra `extproc`."""
