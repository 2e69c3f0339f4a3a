"""Tests of the example manifests."""
