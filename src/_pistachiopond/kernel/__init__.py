"""The micro-kernel: services, timers and clocks."""
