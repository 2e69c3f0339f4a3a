"""Tests of logs, metrics and tracing."""
