"""Live scenarios: real daemons under load, against stand-in backend servers."""
