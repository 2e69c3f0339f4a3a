"""The operators' command-line program ``pond``."""
