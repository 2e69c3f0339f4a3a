"""Trace replay, load and reports."""
