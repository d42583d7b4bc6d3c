"""Versions that stay ordered when the store is restored from a copy.

A restore takes the store's revision back, and the same revisions are given out again. Its era
increases with each restore, so a version consists of the era and the revision, era first.
"""

from typing import Annotated

from msgspec import Meta

REVISION_BITS = 40
ERA_BITS = 13  # with the revision, a version fits into the integers of JSON

Revision = Annotated[int, Meta(ge=0, lt=1 << REVISION_BITS)]
Version = Annotated[int, Meta(ge=0, lt=1 << (ERA_BITS + REVISION_BITS))]


def make_version(era: int, revision: int) -> int:
    """Return the version of a revision in an era; later eras are greater than earlier ones."""
    return (era << REVISION_BITS) + revision


def era_of(version: int) -> int:
    """Return the era of a version."""
    return version >> REVISION_BITS


def revision_of(version: int) -> int:
    """Return the revision of a version within its era."""
    return version & ((1 << REVISION_BITS) - 1)
