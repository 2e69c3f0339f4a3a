"""The process that runs on every VM of a platform deployment.

It accepts callers' requests and forwards them to backend servers. One VM at a time
leads: it follows the platform's store, divides customers' rate limits and decides
which models the servers load. The others report to it.
"""
