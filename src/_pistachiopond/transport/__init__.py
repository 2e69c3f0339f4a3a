"""gRPC and TLS between the system's own processes."""
