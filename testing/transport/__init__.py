"""Tests of the gRPC helpers."""
