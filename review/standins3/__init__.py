"""Stand-ins of the platform, the workers and the requesters; standard library only."""
