"""The control daemon."""
