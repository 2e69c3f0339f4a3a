"""Tests, which mirror the modules."""
