"""Identifies what a request has in common with others that crash endpoints."""

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass

CONTENT_DIGEST_BYTES = 8
MAX_PROMPT_PARTS = 16  # bounds what the evidence about one request can hold


@dataclass(frozen=True, slots=True)
class RequestFingerprint:
    """The digest of a request's content, and the parts of its prompt that others may share."""

    content: str
    prompt_parts: frozenset[str]

    @property
    def traits(self) -> frozenset[str]:
        """Return the content and the prompt parts: whatever may make an endpoint crash."""
        return self.prompt_parts | {self.content}


def fingerprint(
    team: str, target: bytes, body: bytes, prompt_parts: Sequence[str]
) -> RequestFingerprint:
    """Return the fingerprint of a request; the last prompt part belongs to its content alone."""
    digest = hashlib.blake2b(digest_size=CONTENT_DIGEST_BYTES)
    for item in (team.encode(), target, ",".join(prompt_parts).encode(), body):
        digest.update(len(item).to_bytes(8, "big"))
        digest.update(item)
    shared_parts = prompt_parts[:-1][:MAX_PROMPT_PARTS]
    return RequestFingerprint(
        f"content/{digest.hexdigest()}", frozenset(f"part/{part}" for part in shared_parts)
    )
