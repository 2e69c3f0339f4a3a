"""The entry daemon, an HTTP gateway that forwards callers' requests.

Callers are the API clients of customers. The daemon checks API keys and token
limits, queues requests, and dispatches them to backend servers: model engines, which
stream completions, and plain HTTP services.
"""
