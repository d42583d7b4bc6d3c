"""The messages between daemons."""

import msgspec

from ragwortpaddled.protocol._gossip import Delta, DigestLine
from ragwortpaddled.protocol._operations import Change, Judgement
from ragwortpaddled.protocol._platform import ObjectChange


class Digest(msgspec.Struct, frozen=True, tag="digest"):
    """Offers what the sender holds and asks for what it lacks."""

    lines: list[DigestLine]


class DigestReply(msgspec.Struct, frozen=True, tag="digest_reply"):
    """What the asker lacks, and what the replier holds."""

    deltas: list[Delta]
    lines: list[DigestLine]


class Deltas(msgspec.Struct, frozen=True, tag="deltas"):
    """Entries that the receiver lacks."""

    deltas: list[Delta]


class FetchSummary(msgspec.Struct, frozen=True, tag="fetch_summary"):
    """Swaps the summaries of two data centres."""

    data_centre: str
    summary: bytes


class SummaryReply(msgspec.Struct, frozen=True, tag="summary_reply"):
    """The summary of the replier's data centre."""

    data_centre: str
    summary: bytes


class FetchRelease(msgspec.Struct, frozen=True, tag="fetch_release"):
    """Asks for the release in force if it is above a number."""

    above: int


class ReleaseReply(msgspec.Struct, frozen=True, tag="release_reply"):
    """A release in its text form, empty if there is none above the number."""

    text: str


class CommitChanges(msgspec.Struct, frozen=True, tag="commit_changes"):
    """Asks the preferred writer of a shard to commit changes."""

    shard: int
    changes: list[Change]


class ChangesReply(msgspec.Struct, frozen=True, tag="changes_reply"):
    """The judgement on each change in order; None where it could not be committed."""

    judgements: list[Judgement | None]


class RelayNews(msgspec.Struct, frozen=True, tag="relay_news"):
    """What a relay daemon has in force, and its running requests by endpoint.

    It asks for changes of endpoints above a revision of the store.
    """

    name: str
    config_version: int
    running: dict[str, int]
    places_layers: bool = False
    suspects: list[str] = []
    link_bits: list[tuple[list[str], float]] = []
    endpoints_after: int = 0
    requests_by_pool: dict[str, int] = {}


class RelayNewsReply(msgspec.Struct, frozen=True, tag="relay_news_reply"):
    """The replier's news, and what the asker lacks: a newer configuration, later changes."""

    news: RelayNews
    config: str
    endpoint_changes: list[ObjectChange] = []


class Acknowledged(msgspec.Struct, frozen=True, tag="acknowledged"):
    """The message was taken in."""


PeerMessage = (
    Digest
    | DigestReply
    | Deltas
    | FetchSummary
    | SummaryReply
    | FetchRelease
    | ReleaseReply
    | CommitChanges
    | ChangesReply
    | RelayNews
    | RelayNewsReply
    | Acknowledged
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """Return the bytes of a message."""
    return _ENCODER.encode(message)


def decode_message(data: bytes) -> PeerMessage:
    """Read a message.

    :raises msgspec.MsgspecError: it is malformed
    """
    return _DECODER.decode(data)
