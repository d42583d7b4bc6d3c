"""The messages that daemons exchange."""

import msgspec

from ragwortpaddled.errors import PeerRefusedError
from ragwortpaddled.protocol._gossip import Delta, DigestEntry
from ragwortpaddled.protocol._json import shorten
from ragwortpaddled.protocol._operations import Change, ChangeResult, OperationRecord
from ragwortpaddled.protocol._platform import ObjectChange
from ragwortpaddled.protocol._ranges import Count, Measure, Quantity
from ragwortpaddled.protocol._store_version import Version


class Digest(msgspec.Struct, frozen=True, tag="digest"):
    """Summarises the state of the sender and requests the entries that it lacks."""

    lines: list[DigestEntry]


class DigestReply(msgspec.Struct, frozen=True, tag="digest_reply"):
    """Entries that the requester lacks, and a digest of the responder's state."""

    deltas: list[Delta]
    lines: list[DigestEntry]


class Deltas(msgspec.Struct, frozen=True, tag="deltas"):
    """Entries that the receiver lacks, according to its digest."""

    deltas: list[Delta]


class FetchSummary(msgspec.Struct, frozen=True, tag="fetch_summary"):
    """Sends the summary of one data centre and requests that of the other."""

    data_centre: str
    summary: bytes


class SummaryReply(msgspec.Struct, frozen=True, tag="summary_reply"):
    """The summary of the responder's data centre."""

    data_centre: str
    summary: bytes


class FetchRelease(msgspec.Struct, frozen=True, tag="fetch_release"):
    """Requests the active release if its number is greater than ``above``."""

    above: int


class ReleaseReply(msgspec.Struct, frozen=True, tag="release_reply"):
    """A release in its text format, empty if the responder has none above the number."""

    text: str


class CommitChanges(msgspec.Struct, frozen=True, tag="commit_changes"):
    """Asks the preferred writer of a shard to commit changes to it, in this or a later era."""

    shard: int
    changes: list[Change]
    era: int = 0


class ChangesReply(msgspec.Struct, frozen=True, tag="changes_reply"):
    """The decision on each change, in the order of the request; None if it was not committed."""

    judgements: list[ChangeResult | None]


class KeepRecord(msgspec.Struct, frozen=True, tag="keep_record"):
    """Asks another daemon to keep a committed operation record for a time."""

    record: OperationRecord


class CrashReport(msgspec.Struct, frozen=True):
    """One crash of an endpoint, and what is known of the requests that may have caused it.

    ``requests`` holds the traits of each request by its content.
    """

    key: str
    age_ms: Count
    requests: dict[str, list[str]] = {}
    innocent: list[str] = []
    known: list[str] = []
    resolved: bool = False


class RelayNews(msgspec.Struct, frozen=True, tag="relay_news"):
    """The state of a relay daemon: configuration version, load by endpoint, suspected endpoints.

    ``endpoints_after`` requests the endpoint changes after that revision of the store. A receiver
    whose crash records have another digest includes them in its reply.
    """

    name: str
    config_version: Count
    running: dict[str, int]
    places_layers: bool = False
    suspects: list[str] = []
    link_bits: list[tuple[list[str], Measure]] = []
    endpoints_after: int = 0
    requests_by_pool: dict[str, int] = {}
    crash_digest: Count = 0
    crashes: list[CrashReport] = []
    # Milliseconds since the last answer and requests a second, None after the end of a limit.
    request_limits: dict[str, tuple[Count, Quantity | None]] = {}
    fencing_token: Version = 0  # the highest that the daemon knows of
    # Incarnation and store era of endpoints that left before a recent restore of the store.
    departures: dict[str, tuple[Count, Count]] = {}
    forwards: bool = False  # whether the sender can pass requests on to endpoints


class RelayNewsReply(msgspec.Struct, frozen=True, tag="relay_news_reply"):
    """The responder's state, and the newer configuration and endpoint changes that it has."""

    news: RelayNews
    config: str
    endpoint_changes: list[ObjectChange] = []


class ProbeEndpoint(msgspec.Struct, frozen=True, tag="probe_endpoint"):
    """Asks whether an endpoint accepts connections from the receiver's VM.

    ``unreachable_seconds`` is the time for which the sender's VM has not reached it.
    """

    address: str
    unreachable_seconds: Quantity = 0.0


class ProbeEndpointReply(msgspec.Struct, frozen=True, tag="probe_endpoint_reply"):
    """Whether the endpoint accepts connections; None if the responder cannot tell."""

    accepts: bool | None


class BorrowRetries(msgspec.Struct, frozen=True, tag="borrow_retries"):
    """Asks for retries of the receiver's share of a pool's retry budget.

    ``begun`` limits them to requests that an endpoint may have run.
    """

    name: str
    pool: str
    count: Count
    begun: bool = False


class RetriesLent(msgspec.Struct, frozen=True, tag="retries_lent"):
    """The number of retries lent, which the responder counts as used from now on."""

    count: Count


class Acknowledged(msgspec.Struct, frozen=True, tag="acknowledged"):
    """Confirms that the message was processed."""


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
    | KeepRecord
    | RelayNews
    | RelayNewsReply
    | ProbeEndpoint
    | ProbeEndpointReply
    | BorrowRetries
    | RetriesLent
    | Acknowledged
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message as MessagePack."""
    return _ENCODER.encode(message)


def decode_message(data: bytes) -> PeerMessage:
    """Decode a message.

    :raises PeerRefusedError: the message is malformed
    """
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError, OverflowError, RecursionError) as error:
        raise PeerRefusedError(f"malformed message: {shorten(str(error))}") from error
