"""Plugins of the test runner."""
