"""External processor (ext_proc): proxies ask the gateway about each request. Needs the extra `extproc`."""
