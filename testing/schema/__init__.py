"""Tests of the typed data."""
