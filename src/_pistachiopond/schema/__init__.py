"""Typed data that processes and the log share."""
