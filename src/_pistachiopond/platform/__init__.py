"""The users' platform: its names, formats and calls, decoded into our own types.

Nothing here decides, and nothing outside this folder knows the platform's names.
"""
