"""Stand-ins: simulated engines, services and platform, with fault injection."""
