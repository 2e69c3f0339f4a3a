"""Data types of the messages, log records, settings and manifests."""
