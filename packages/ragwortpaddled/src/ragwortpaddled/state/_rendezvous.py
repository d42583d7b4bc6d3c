"""Rendezvous hashing: every daemon picks the same member for a key without agreement."""

from collections.abc import Iterable

import xxhash


def rank(names: Iterable[str], key: str) -> list[str]:
    """Return names by their weight for a key, the heaviest first."""
    return sorted(names, key=lambda name: (_weight(name, key), name), reverse=True)


def choose(names: Iterable[str], key: str) -> str | None:
    """Return the heaviest name for a key, or None if there are no names."""
    return max(names, key=lambda name: (_weight(name, key), name), default=None)


def _weight(name: str, key: str) -> int:
    return xxhash.xxh64_intdigest(f"{name}\0{key}".encode())
