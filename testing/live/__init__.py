"""Proofs with real processes and stand-ins."""
