"""Adapter to the users' platform: decodes its formats into this project's types.

All names of the platform's headers, fields and calls are confined to this package. It
contains no decision logic.
"""
