"""Tests of the entry daemon."""
