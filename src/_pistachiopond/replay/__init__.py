"""Replays traces in a simulation, sends live load, and reports the results."""
