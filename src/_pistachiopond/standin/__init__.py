"""Stand-ins for engines, services and the platform, with faults."""
