"""Stand-ins of the second review: the store, servers, callers, and processes."""
