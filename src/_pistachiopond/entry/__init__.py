"""The caller-facing daemon."""
