"""Encoding and decoding of wire formats. No I/O."""
