"""HTTP clients of the platform's log, weight store and VM list."""
