"""Tests of the decision modules."""
