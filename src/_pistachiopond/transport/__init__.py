"""gRPC and TLS between pistachiopond's own processes."""
