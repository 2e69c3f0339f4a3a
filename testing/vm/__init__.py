"""Tests of the process that runs on every VM of a platform deployment."""
