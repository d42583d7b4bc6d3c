"""Decodes JSON that other programs wrote, where any bytes must be expected."""

import re
from typing import TypeVar

import msgspec

from ragwortpaddled.errors import ObjectsError

T = TypeVar("T")

MAX_NESTING_DEPTH = 64
MAX_REASON_CHARACTERS = 200  # of a log line; an error may quote the value
# Not UTF-8, so that what contains it cannot be read as a whole, while its neighbours can.
_PRUNED = b'"\xff"'
# Strings, so that brackets within them do not count, also one without an end; runs of brackets.
_TOKEN = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+(?:"|\\?\Z)|[\[{]++|[\]}]++', re.DOTALL)


def decode_json(value: bytes | str | msgspec.Raw, message_type: type[T]) -> T:
    """Decode JSON from another program.

    :raises ObjectsError: the value is malformed, not UTF-8, nested too deeply or out of range
    """
    try:
        return msgspec.json.decode(value, type=message_type)
    except (msgspec.MsgspecError, ValueError, OverflowError, RecursionError) as error:
        raise ObjectsError(shorten(str(error))) from error


def decode_reply(body: bytes, message_type: type[T]) -> T:
    """Decode JSON whose parts are ``msgspec.Raw``, so that one malformed part hides no other.

    A part that is nested too deeply to be skipped then holds a string that is not UTF-8.

    :raises ObjectsError: the JSON itself is malformed
    """
    try:
        return msgspec.json.decode(body, type=message_type)
    except RecursionError:
        return decode_json(_prune(body), message_type)
    except (msgspec.MsgspecError, ValueError, OverflowError) as error:
        raise ObjectsError(shorten(str(error))) from error


def shorten(text: str) -> str:
    """Return the first ``MAX_REASON_CHARACTERS`` of a text, for a log line."""
    return text if len(text) <= MAX_REASON_CHARACTERS else text[:MAX_REASON_CHARACTERS] + "..."


def _prune(body: bytes) -> bytes:
    """Replace what is nested deeper than ``MAX_NESTING_DEPTH``; recursion would not get there."""
    kept = []
    kept_until = depth = 0
    for token in _TOKEN.finditer(body):
        first, last = token.span()
        bracket = body[first]
        if bracket in b"[{":
            depth += last - first
            cut = last - (depth - MAX_NESTING_DEPTH)
            if first <= cut < last:
                kept += [body[kept_until:cut], _PRUNED]
        elif bracket in b"]}":
            excess = depth - MAX_NESTING_DEPTH
            depth -= last - first
            if 0 < excess <= last - first:
                kept_until = first + excess
    if depth <= MAX_NESTING_DEPTH:
        kept.append(body[kept_until:])
    return b"".join(kept)
