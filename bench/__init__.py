"""Benchmarks: each module is a command that prints its measurements."""
