"""Randomized soak test: faults are injected into daemon processes, then invariants are checked."""
