"""Tests of the program ``pond``."""
