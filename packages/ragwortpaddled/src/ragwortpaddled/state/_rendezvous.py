"""Rendezvous hashing: every daemon selects the same member for a key without coordination."""

from collections.abc import Iterable

import xxhash


def rank_by_rendezvous(names: Iterable[str], key: str) -> list[str]:
    """Return names sorted by their hash weight for a key, highest first."""
    return sorted(names, key=lambda name: (_weight(name, key), name), reverse=True)


def choose_by_rendezvous(names: Iterable[str], key: str) -> str | None:
    """Return the name with the highest hash weight for a key, or None without names."""
    return max(names, key=lambda name: (_weight(name, key), name), default=None)


def _weight(name: str, key: str) -> int:
    return xxhash.xxh64_intdigest(f"{name}\0{key}".encode())
