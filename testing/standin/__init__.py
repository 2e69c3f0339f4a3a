"""Tests of the standin package."""
