"""Tests of the control daemon."""
