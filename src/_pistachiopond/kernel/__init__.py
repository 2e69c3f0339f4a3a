"""The micro-kernel of each process: its services and timers."""
